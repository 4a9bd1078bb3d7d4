"""Budget of repeated requests that all nodes share, kept at each by its own part."""

from collections import deque

from knapweedrock.clock import NS_PER_S, Clock

WINDOW_S = 10
# Part of what is allowed that is used: the calls of a repeated run count as repeats
# at the service that is called, and nobody tells them from others there.
USABLE_SHARE = 0.45
# What a repeat of a request that ran takes: its run makes its calls again.
EXECUTED_RETRY_COST = 3


class RetryBudget:
    """Repeats to one service, bounded by the requests that entered at this node."""

    def __init__(self, clock: Clock, ratio: float, slack: float) -> None:
        self._clock = clock
        self.configure(ratio, slack)
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def configure(self, ratio: float, slack: float) -> None:
        """Allow another share of the requests, and another number beyond it."""
        self._ratio = ratio * USABLE_SHARE
        self._slack = slack * USABLE_SHARE

    def count_request(self) -> None:
        """Count a request for the service."""
        self._requests.append(self._clock.now_ns())

    def spend(self, node_count: int, cost: int = 1) -> bool:
        """Take a repeat if the budget allows it; `nodes` share the slack."""
        now_ns = self._clock.now_ns()
        for times in (self._requests, self._retries):
            while times and times[0] < now_ns - WINDOW_S * NS_PER_S:
                times.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(node_count, 1)
        if len(self._retries) + cost > allowed:
            return False
        self._retries.extend([now_ns] * cost)
        return True
