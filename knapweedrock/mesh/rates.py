"""Limit of the requests a second that a target takes."""

from knapweedrock.clock import NS_PER_S, Clock

# Time for which a limit may be used ahead, where it was not used before.
BURST_S = 0.25
# A target that takes nothing gets a request each 2 s: only its answers tell that its
# limit has ended.
MIN_RATE_PER_S = 0.5


class RateLimit:
    """A bucket of requests that fills at the rate that the target named."""

    def __init__(self, clock: Clock) -> None:
        self.rate_per_s: float | None = None
        self._clock = clock
        # Requests that may go now; below 1 none may.
        self._tokens = 0.0
        self._refilled_ns = 0

    def set_limit(self, limit: float | None) -> bool:
        """Take a limit, in requests a second, None for none; tell whether it is new."""
        rate = None if limit is None else max(limit, MIN_RATE_PER_S)
        if rate == self.rate_per_s:
            return False
        if self.rate_per_s is None:
            # What went before counts as well: there is nothing to be used ahead.
            self._tokens, self._refilled_ns = 0.0, self._clock.now_ns()
        else:
            self._refill()
        self.rate_per_s = rate
        return True

    def has_room(self) -> bool:
        """Tell whether a request may go now."""
        if self.rate_per_s is None:
            return True
        self._refill()
        return self._tokens >= 1

    def consume(self) -> None:
        """Count a request that goes."""
        if self.rate_per_s is not None:
            self._refill()
            self._tokens -= 1

    def compute_wait_ms(self, ahead: int) -> float:
        """Find how long a request waits behind this many others."""
        if self.rate_per_s is None:
            return 0.0
        self._refill()
        return max(0.0, (ahead + 1 - self._tokens) * 1000 / self.rate_per_s)

    def _refill(self) -> None:
        now_ns = self._clock.now_ns()
        if self.rate_per_s is not None:
            capacity = max(1.0, self.rate_per_s * BURST_S)
            refilled = (now_ns - self._refilled_ns) / NS_PER_S * self.rate_per_s
            self._tokens = min(self._tokens + refilled, capacity)
        self._refilled_ns = now_ns
