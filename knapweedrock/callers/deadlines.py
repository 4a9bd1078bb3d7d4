"""Deadlines of requests, as CLOCK_BOOTTIME nanoseconds."""

from knapweedrock.callers.rules import Route
from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError

MAX_DIGITS = 12


class Deadline:
    """The time at which a request's answer is due."""

    __slots__ = ("_clock", "due_ns", "started_ns")

    def __init__(self, clock: Clock, allowed_ms: float) -> None:
        self._clock = clock
        self.started_ns = clock.now_ns()
        self.due_ns = self.started_ns + int(allowed_ms * NS_PER_MS)

    def remaining_ms(self) -> float:
        """Return the milliseconds left, negative once the deadline has passed."""
        return (self.due_ns - self._clock.now_ns()) / NS_PER_MS

    def elapsed_ms(self) -> float:
        """Return the milliseconds since the request came in."""
        return (self._clock.now_ns() - self.started_ns) / NS_PER_MS


def read_allowed_ms(route: Route, asked: str) -> int:
    """Read the milliseconds that the caller allows, bounded by the service."""
    if not asked:
        return route.default_deadline_ms
    if not (asked.isascii() and asked.isdecimal() and len(asked) <= MAX_DIGITS):
        detail = "Request-Deadline-Ms: expected a whole number of milliseconds"
        raise RefusalError(Code.BAD_REQUEST, detail)
    allowed_ms = int(asked)
    if allowed_ms == 0:
        raise RefusalError(Code.DEADLINE_PASSED)
    return min(allowed_ms, route.longest_request_ms)
