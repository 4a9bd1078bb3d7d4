"""Requests that a node may send while it gets no answer from an accountant."""

from collections import deque

from knapweedrock.clock import NS_PER_S, Clock
from knapweedrock.mesh.budgets import remove_before


class QuotaAllowance:
    """Allowance of a node for one workspace.

    Without an answer the node may send, in one window, as many requests as it was
    granted in the window before, if the accountant last said that the use is calm. Over
    all nodes that is no more than was granted before, at most half of the limit.
    """

    def __init__(self, clock: Clock, window_s: float) -> None:
        self._clock = clock
        self._window_ns = int(window_s * NS_PER_S)
        self._granted_ns: deque[int] = deque()
        self._is_calm = False
        self._lost_ns = 0
        self._remaining = 0

    def record_granted(self, is_calm: bool) -> None:
        """Record a request that an accountant granted."""
        self.record_answer(is_calm)
        now_ns = self._clock.now_ns()
        self._granted_ns.append(now_ns)
        remove_before(self._granted_ns, now_ns - self._window_ns)

    def record_answer(self, is_calm: bool) -> None:
        """Record what an accountant said about the use of the workspace."""
        self._is_calm = is_calm

    def spend(self) -> bool:
        """Spend a part of the allowance; return whether the request may be sent."""
        now_ns = self._clock.now_ns()
        if not self._is_calm:
            return False
        if not self._lost_ns or now_ns - self._lost_ns > 2 * self._window_ns:
            self._begin_loss(now_ns)
        if now_ns - self._lost_ns > self._window_ns or not self._remaining:
            return False
        self._remaining -= 1
        return True

    def _begin_loss(self, now_ns: int) -> None:
        remove_before(self._granted_ns, now_ns - self._window_ns)
        self._lost_ns = now_ns
        self._remaining = len(self._granted_ns)
