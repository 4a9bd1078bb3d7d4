"""Retry budget of a service: each node enforces its own part without coordination."""

from collections import deque
from typing import NamedTuple

from logbook import Logger

from knapweedrock.clock import NS_PER_S, Clock

WINDOW_S = 10
# Shortest interval between two log lines about the use of a budget.
REPORT_INTERVAL_S = 1

log = Logger("budget")


class BudgetUse(NamedTuple):
    """How a service's retry budget is used.

    `share` of the budget is used, and retrying a request that was executed counts as
    `executed_cost` retries, since its second execution repeats its calls.
    """

    share: float
    executed_cost: int


# Targets' calls of a service are counted with its requests, and repeated calls can't be
# told from first ones, so much of the budget is kept for them.
USE_WITH_CALLS = BudgetUse(0.45, 3)
# Requests for keys come from callers only. The higher cost allows as many retries of
# executed requests, whose calls count in other budgets.
USE_WITH_KEYS = BudgetUse(0.9, 6)


class PeakCount:
    """Largest count within the last window; 0 before the first one."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current = 0
        # Former counts, each with the time until which it was the current one.
        self._former: deque[tuple[int, int]] = deque()

    def record(self, count: int) -> None:
        """Record the current count."""
        if count != self._current:
            self._former.append((self._clock.now_ns(), self._current))
            self._current = count

    def get(self) -> int:
        """Return the largest count that was current at any time in the window."""
        first_ns = self._clock.now_ns() - WINDOW_S * NS_PER_S
        while self._former and self._former[0][0] < first_ns:
            self._former.popleft()
        return max([self._current, *(count for _, count in self._former)])


class RetryBudget:
    """Limits the retries for one service by its requests that entered at this node.

    `started_ns` is when the process of this node started. Its predecessor may have used
    the node's part of the slack, so there is none until a window has passed.
    """

    def __init__(
        self,
        clock: Clock,
        ratio: float,
        slack: float,
        started_ns: int,
        use: BudgetUse = USE_WITH_CALLS,
        service: str = "",
    ) -> None:
        self._clock = clock
        self._started_ns = started_ns
        self._use = use
        self._service = service
        self._reported_ns = 0
        self.configure(ratio, slack)
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def configure(self, ratio: float, slack: float) -> None:
        """Set the share of requests that may be retried and the slack on top of it.

        `slack` is in retries per `WINDOW_S`, over all nodes.
        """
        self._ratio = ratio * self._use.share
        self._slack = slack * self._use.share

    def count_request(self) -> None:
        """Count a request for the service."""
        self._requests.append(self._clock.now_ns())

    def spend(self, node_count: int, was_executed: bool = False) -> bool:
        """Spend the cost of a retry if the budget allows it; return whether it did.

        The slack is divided by `node_count`, the most nodes that may have used a part
        of it within the window.
        """
        cost = self._use.executed_cost if was_executed else 1
        now_ns = self._clock.now_ns()
        for times in (self._requests, self._retries):
            while times and times[0] < now_ns - WINDOW_S * NS_PER_S:
                times.popleft()
        allowed = self._ratio * len(self._requests)
        if now_ns - self._started_ns >= WINDOW_S * NS_PER_S:
            allowed += self._slack / max(node_count, 1)
        is_allowed = len(self._retries) + cost <= allowed
        if is_allowed:
            self._retries.extend([now_ns] * cost)
        self._report(now_ns, allowed, node_count)
        return is_allowed

    def _report(self, now_ns: int, allowed: float, node_count: int) -> None:
        """Log how much of the budget is used, at most once in an interval."""
        if now_ns - self._reported_ns < REPORT_INTERVAL_S * NS_PER_S:
            return
        self._reported_ns = now_ns
        log.info(
            "retry budget",
            service=self._service,
            used=len(self._retries),
            allowed=round(allowed, 1),
            requests=len(self._requests),
            members=node_count,
        )
