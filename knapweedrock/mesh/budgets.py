"""Retry budget of a service: each node enforces its own part without coordination."""

from collections import deque
from typing import NamedTuple

from logbook import Logger

from knapweedrock.clock import NS_PER_S, Clock
from knapweedrock.mesh.definitions import NodeSettings, Service

# Shortest interval between two log lines about the use of a budget.
REPORT_INTERVAL_S = 1

log = Logger("budget")


class BudgetTerms(NamedTuple):
    """Limit of the retries for a service, over all nodes.

    In each window of `window_s` at most `ratio` of the requests and `slack` in addition
    may be retried.
    """

    ratio: float
    slack: float
    window_s: float


class BudgetUse(NamedTuple):
    """How a service's retry budget is used.

    `share` of the budget is used, and retrying a request that was executed counts as
    `executed_cost` retries, since its second execution repeats its calls. In its first
    window a process uses `young_share` of the ratio and no slack: its predecessor may
    have used the other share in the same window.
    """

    share: float
    young_share: float
    executed_cost: int


# Targets' calls of a service are counted with its requests, and repeated calls can't be
# told from first ones, so much of the budget is kept for them.
USE_WITH_CALLS = BudgetUse(0.45, 0.05, 3)
# Requests for keys come from callers only. The higher cost allows as many retries of
# executed requests, whose calls count in other budgets.
USE_WITH_KEYS = BudgetUse(0.8, 0.15, 6)


def create_budget_terms(settings: NodeSettings) -> BudgetTerms:
    """Create the limit that a node's settings state."""
    return BudgetTerms(
        settings.retry_ratio, settings.retry_slack, settings.retry_window_s
    )


class PeakCount:
    """Largest count within the last window of `window_s`; 0 before the first one."""

    def __init__(self, clock: Clock, window_s: float) -> None:
        self.window_s = window_s
        self._clock = clock
        self._current = 0
        # Former counts, each with the time until which it was the current one.
        self._former: deque[tuple[int, int]] = deque()

    def record(self, count: int) -> None:
        """Record the current count."""
        self._remove_expired()
        if count != self._current:
            self._former.append((self._clock.now_ns(), self._current))
            self._current = count

    def get(self) -> int:
        """Return the largest count that was current at any time in the window."""
        self._remove_expired()
        return max([self._current, *(count for _, count in self._former)])

    def _remove_expired(self) -> None:
        first_ns = self._clock.now_ns() - int(self.window_s * NS_PER_S)
        while self._former and self._former[0][0] < first_ns:
            self._former.popleft()


class RetryBudget:
    """Limits the retries for one service by its requests that entered at this node.

    `started_ns` is when the process of this node started.
    """

    def __init__(
        self,
        clock: Clock,
        terms: BudgetTerms,
        started_ns: int,
        use: BudgetUse = USE_WITH_CALLS,
        service: str = "",
    ) -> None:
        self._clock = clock
        self._started_ns = started_ns
        self._use = use
        self._service = service
        self._reported_ns = 0
        self.configure(terms)
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def configure(self, terms: BudgetTerms) -> None:
        """Change the limit."""
        self._terms = terms
        self._window_ns = int(terms.window_s * NS_PER_S)

    def count_request(self) -> None:
        """Count a request for the service."""
        now_ns = self._clock.now_ns()
        self._requests.append(now_ns)
        remove_before(self._requests, now_ns - self._window_ns)

    def spend(self, node_count: int, was_executed: bool = False) -> bool:
        """Spend the cost of a retry if the budget allows it; return whether it did.

        The slack is divided by `node_count`, the most nodes that may have used a part
        of it within the window.
        """
        cost = self._use.executed_cost if was_executed else 1
        now_ns = self._clock.now_ns()
        for times in (self._requests, self._retries):
            remove_before(times, now_ns - self._window_ns)
        allowed = self._compute_allowed(now_ns, node_count)
        is_allowed = len(self._retries) + cost <= allowed
        if is_allowed:
            self._retries.extend([now_ns] * cost)
        self._report(now_ns, allowed, node_count)
        return is_allowed

    def get_request_count(self) -> int:
        """Return the number of requests that are remembered."""
        return len(self._requests)

    def _compute_allowed(self, now_ns: int, node_count: int) -> float:
        """Compute the cost that may be spent in the window that ends now."""
        terms, use, requests = self._terms, self._use, len(self._requests)
        if now_ns - self._started_ns < self._window_ns:
            return terms.ratio * use.young_share * requests
        slack = terms.slack / max(node_count, 1)
        return use.share * (terms.ratio * requests + slack)

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


def remove_before(times: deque[int], first_ns: int) -> None:
    """Remove the times before a given one; the times are in order."""
    while times and times[0] < first_ns:
        times.popleft()


class RetryBudgets:
    """Retry budgets of a node for all services."""

    def __init__(self, clock: Clock, terms: BudgetTerms) -> None:
        """Create the budgets of a process that starts now."""
        self._clock = clock
        self._terms = terms
        self._started_ns = clock.now_ns()
        self._member_count = PeakCount(clock, terms.window_s)
        self._budgets: dict[str, RetryBudget] = {}

    def configure(self, terms: BudgetTerms) -> None:
        """Change the limit of all services."""
        self._terms = terms
        self._member_count.window_s = terms.window_s
        for budget in self._budgets.values():
            budget.configure(terms)

    def record_member_count(self, count: int) -> None:
        """Record the number of members that the board names."""
        self._member_count.record(count)

    def count_request(self, service: Service) -> None:
        """Count a request for a service."""
        self._get_budget(service).count_request()

    def spend(self, service: Service, was_executed: bool = False) -> bool:
        """Spend the cost of a retry if the service's budget allows it."""
        node_count = self._member_count.get()
        return self._get_budget(service).spend(node_count, was_executed)

    def _get_budget(self, service: Service) -> RetryBudget:
        budget = self._budgets.get(service.name)
        if budget is None:
            use = USE_WITH_KEYS if service.keyed else USE_WITH_CALLS
            budget = self._budgets[service.name] = RetryBudget(
                self._clock, self._terms, self._started_ns, use, service.name
            )
        return budget
