"""Budgets that bound extra requests to a share of the ordinary ones."""

from collections import defaultdict

RETRY_SHARE = 0.1
COPY_SHARE = 0.05
RETRY_BURST = 20.0
COPY_BURST = 50.0


class Budget:
    """Token bucket of one service, filled by its ordinary requests."""

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


def create_retry_budgets() -> defaultdict[str, Budget]:
    """Create budgets of retries by service; a quiet service may retry at once."""
    return defaultdict(lambda: Budget(RETRY_SHARE, RETRY_BURST, RETRY_BURST))


def create_copy_budgets() -> defaultdict[str, Budget]:
    """Create budgets of second copies by service, which start empty."""
    return defaultdict(lambda: Budget(COPY_SHARE, COPY_BURST, 0.0))
