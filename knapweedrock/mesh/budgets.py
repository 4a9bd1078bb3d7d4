"""Retry budget of a service: each node enforces its own part without coordination."""

from collections import deque

from knapweedrock.clock import NS_PER_S, Clock

WINDOW_S = 10
# Share of the configured budget that is used. If a request is executed again, its calls
# to other services are repeated. They count as retries there too, but no node there can
# tell them from first calls.
USABLE_SHARE = 0.45
# Cost of retrying a request that was executed: its second execution repeats its calls
# to other services.
EXECUTED_RETRY_COST = 3


class RetryBudget:
    """Limits the retries for one service by its requests that entered at this node."""

    def __init__(self, clock: Clock, ratio: float, slack: float) -> None:
        self._clock = clock
        self.configure(ratio, slack)
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def configure(self, ratio: float, slack: float) -> None:
        """Set the share of requests that may be retried and the slack on top of it.

        `slack` is in retries per `WINDOW_S`, over all nodes.
        """
        self._ratio = ratio * USABLE_SHARE
        self._slack = slack * USABLE_SHARE

    def count_request(self) -> None:
        """Count a request for the service."""
        self._requests.append(self._clock.now_ns())

    def spend(self, node_count: int, cost: int = 1) -> bool:
        """Spend `cost` retries if the budget allows it; return whether it did.

        The slack is divided by `node_count`.
        """
        now_ns = self._clock.now_ns()
        for times in (self._requests, self._retries):
            while times and times[0] < now_ns - WINDOW_S * NS_PER_S:
                times.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(node_count, 1)
        if len(self._retries) + cost > allowed:
            return False
        self._retries.extend([now_ns] * cost)
        return True
