"""Token bucket that bounds extra requests to a share of the ordinary ones."""

RETRY_SHARE = 0.1
RETRY_BURST = 20.0


class Budget:
    """Token bucket that is filled by ordinary requests."""

    __slots__ = ("_burst", "_share", "tokens")

    def __init__(self, share: float, burst: float, tokens: float) -> None:
        self._share = share
        self._burst = burst
        self.tokens = tokens

    def earn(self) -> None:
        """Add the share that one ordinary request allows."""
        if self.tokens < self._burst:
            self.tokens += self._share

    def spend(self) -> bool:
        """Take one extra request; tell whether the budget allows it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def charge(self) -> bool:
        """Count a refusal; tell whether the request may be sent again.

        What is not allowed is owed, so that lasting overload ends all repeats.
        """
        is_allowed = self.tokens >= 1
        self.tokens = max(self.tokens - 1, -self._burst)
        return is_allowed
