"""Limit of the requests a second that a target takes."""

from knapweedrock.clock import NS_PER_S, Clock

# Time for which a limit may be used ahead, where it was not used before.
BURST_S = 0.25
# A target that takes nothing gets a request each 2 s: only its answers tell that its
# limit has ended.
LEAST_RATE = 0.5


class RateLimit:
    """A bucket of requests that fills at the rate that the target named."""

    def __init__(self, clock: Clock) -> None:
        self.rate: float | None = None
        self._clock = clock
        # Requests that may go now; below 1 none may.
        self._left = 0.0
        self._since_ns = 0

    def change(self, limit: float | None) -> bool:
        """Take a limit, in requests a second, None for none; tell whether it is new."""
        rate = None if limit is None else max(limit, LEAST_RATE)
        if rate == self.rate:
            return False
        if self.rate is None:
            # What went before counts as well: there is nothing to be used ahead.
            self._left, self._since_ns = 0.0, self._clock.now_ns()
        else:
            self._fill()
        self.rate = rate
        return True

    def has_room(self) -> bool:
        """Tell whether a request may go now."""
        if self.rate is None:
            return True
        self._fill()
        return self._left >= 1

    def take(self) -> None:
        """Count a request that goes."""
        if self.rate is not None:
            self._fill()
            self._left -= 1

    def find_wait_ms(self, ahead: int) -> float:
        """Find how long a request waits behind this many others."""
        if self.rate is None:
            return 0.0
        self._fill()
        return max(0.0, (ahead + 1 - self._left) * 1000 / self.rate)

    def _fill(self) -> None:
        now_ns = self._clock.now_ns()
        if self.rate is not None:
            most = max(1.0, self.rate * BURST_S)
            gained = (now_ns - self._since_ns) / NS_PER_S * self.rate
            self._left = min(self._left + gained, most)
        self._since_ns = now_ns
