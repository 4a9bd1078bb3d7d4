"""Token bucket of one workspace."""

from collections import deque
from typing import NamedTuple

from knapweedrock.clock import NS_PER_MS, NS_PER_S, Clock
from knapweedrock.mesh.budgets import remove_before
from knapweedrock.mesh.definitions import NodeSettings

# A token that is due within this time may be reserved.
MAX_RESERVATION_MS = 100.0
# Share of a window's limit up to which its use counts as calm.
CALM_SHARE = 0.5
# A request needs one token, so a bucket has room for one at least.
MIN_CAPACITY = 1.0
# Share of the rate for each of two accountants that may not know of each other.
SHARED_RATE = 0.5


class QuotaTerms(NamedTuple):
    """How far the requests of a workspace may exceed its quota.

    In each window of `window_s`, at most (rate x window + burst) x (1 + `overage`) +
    `slack` requests may run.
    """

    window_s: float
    overage: float
    slack: float

    def compute_limit(self, limit: "QuotaLimit") -> float:
        """Compute the most requests that may run in one window."""
        base = limit.rate_per_s * self.window_s + limit.burst
        return base * (1 + self.overage) + self.slack


class QuotaLimit(NamedTuple):
    """Quota of a workspace, as the given version of the configuration sets it."""

    version: int
    rate_per_s: float
    burst: float


def create_quota_terms(settings: NodeSettings) -> QuotaTerms:
    """Create the terms that a node's settings state."""
    return QuotaTerms(
        settings.quota_window_s, settings.quota_overage, settings.quota_slack
    )


class Charge(NamedTuple):
    """Result of a charge.

    A granted request waits for `wait_ms`; a refused one may return after
    `retry_after_ms`. `is_calm` says that much of the window's limit is left.
    """

    is_granted: bool
    wait_ms: float
    retry_after_ms: float
    is_calm: bool


class QuotaBucket:
    """Token bucket that begins empty and counts what it granted in the window."""

    def __init__(
        self,
        clock: Clock,
        terms: QuotaTerms,
        limit: QuotaLimit,
        empty_ns: int,
        shared_until_ns: int = 0,
    ) -> None:
        """Create a bucket that was empty at `empty_ns`.

        Until `shared_until_ns` another node may still grant tokens, so the bucket
        fills at `SHARED_RATE`.
        """
        self.limit = limit
        self._shared_until_ns = shared_until_ns
        self._clock = clock
        self._terms = terms
        self._created_ns = clock.now_ns()
        self._tokens = 0.0
        self._filled_ns = empty_ns
        self._granted_ns: deque[int] = deque()

    def configure(self, limit: QuotaLimit) -> None:
        """Change the limit if the given one is of a later version."""
        if limit.version > self.limit.version:
            self._fill()
            self.limit = limit

    def charge(self, is_isolated: bool = False) -> Charge:
        """Take a token, or reserve one that is due soon.

        `is_isolated` says that there may be a successor already: the bucket then gives
        up its burst and fills at `SHARED_RATE`.
        """
        now_ns = self._clock.now_ns()
        if is_isolated:
            self._shared_until_ns = max(self._shared_until_ns, now_ns)
        self._fill()
        if is_isolated:
            self._tokens = min(self._tokens, MIN_CAPACITY)
        missing = max(1.0 - self._tokens, 0.0)
        share = SHARED_RATE if now_ns <= self._shared_until_ns else 1.0
        due_ms = missing / (self.limit.rate_per_s * share) * 1000
        is_granted = due_ms <= MAX_RESERVATION_MS
        if is_granted:
            self._tokens -= 1.0
            self._granted_ns.append(now_ns)
        wait_ms, retry_after_ms = (due_ms, 0.0) if is_granted else (0.0, due_ms)
        return Charge(is_granted, wait_ms, retry_after_ms, self._is_calm(now_ns))

    def _fill(self) -> None:
        now_ns = self._clock.now_ns()
        elapsed_ns = max(now_ns - self._filled_ns, 0)
        shared_ns = min(max(self._shared_until_ns - self._filled_ns, 0), elapsed_ns)
        filling_s = (elapsed_ns - (1 - SHARED_RATE) * shared_ns) / NS_PER_S
        capacity = max(self.limit.burst, MIN_CAPACITY)
        tokens = self._tokens + self.limit.rate_per_s * filling_s
        self._tokens = min(tokens, capacity)
        self._filled_ns = now_ns

    def _is_calm(self, now_ns: int) -> bool:
        window_ns = int(self._terms.window_s * NS_PER_S)
        remove_before(self._granted_ns, now_ns - window_ns)
        if now_ns - self._created_ns < window_ns:
            # Other nodes may have granted tokens in this window.
            return False
        allowed = self._terms.compute_limit(self.limit)
        return len(self._granted_ns) <= CALM_SHARE * allowed

    def get_idle_ms(self) -> float:
        """Return the time since the last charge."""
        return (self._clock.now_ns() - self._filled_ns) / NS_PER_MS
