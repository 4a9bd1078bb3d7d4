"""Rate of one client's calls to the platform."""

from typing import NamedTuple

from knapweedrock.clock import NS_PER_MS, NS_PER_S, Clock


class Limits(NamedTuple):
    """Calls a second that one client sustains, and how many at once."""

    reads_per_s: float = 20
    reads_burst: int = 100
    writes_per_s: float = 5
    writes_burst: int = 50


class TokenBucket:
    """Token bucket whose tokens are reserved in the order of arrival."""

    def __init__(self, per_s: float, burst: int, clock: Clock) -> None:
        self._ns_per_call = NS_PER_S / per_s
        self._burst_ns = burst * self._ns_per_call
        self._clock = clock
        self._next_ns = 0.0

    def reserve(self, longest_ms: float) -> float | None:
        """Reserve a call and return the wait for it in milliseconds.

        None where the wait would be longer than `longest_ms`; nothing is reserved.
        """
        now_ns = self._clock.now_ns()
        start_ns = max(self._next_ns, now_ns - self._burst_ns + self._ns_per_call)
        wait_ms = max(0.0, (start_ns - now_ns) / NS_PER_MS)
        if wait_ms > longest_ms:
            return None
        self._next_ns = start_ns + self._ns_per_call
        return wait_ms
