"""Rate limit for the requests to a target, in requests per second."""

from knapweedrock.clock import NS_PER_S, Clock

# Capacity of the bucket, as time at the limit: requests that were allowed within this
# time but not sent can be sent later in a burst.
BURST_S = 0.25
# A target with a limit of 0 still gets a request every 2 s, because only its responses
# show when the limit has ended.
MIN_RATE_PER_S = 0.5


class RateLimit:
    """A token bucket that refills at the target's limit; each request costs a token."""

    def __init__(self, clock: Clock) -> None:
        self.rate_per_s: float | None = None
        self._clock = clock
        # A request needs a whole token; fractions accumulate.
        self._tokens = 0.0
        self._refilled_ns = 0

    def set_limit(self, limit: float | None) -> bool:
        """Set the limit in requests per second, or None; return whether it changed."""
        rate = None if limit is None else max(limit, MIN_RATE_PER_S)
        if rate == self.rate_per_s:
            return False
        if self.rate_per_s is None:
            # Requests sent before the limit count too, so the bucket starts empty.
            self._tokens, self._refilled_ns = 0.0, self._clock.now_ns()
        else:
            self._refill()
        self.rate_per_s = rate
        return True

    def has_room(self) -> bool:
        """Return whether a request may be sent now."""
        if self.rate_per_s is None:
            return True
        self._refill()
        return self._tokens >= 1

    def consume(self) -> None:
        """Consume the token of a request that is sent."""
        if self.rate_per_s is not None:
            self._refill()
            self._tokens -= 1

    def compute_wait_ms(self, ahead: int) -> float:
        """Compute how long a request waits behind `ahead` other requests."""
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
