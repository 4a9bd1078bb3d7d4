"""Budget of retries: a share of the requests, and a few for a start."""

RETRY_SHARE = 0.1
MAX_SAVED = 50.0


class RetryBudget:
    """Retries that may still be made."""

    def __init__(self) -> None:
        self.saved = MAX_SAVED

    def count_request(self) -> None:
        """Earn a share of a retry."""
        if self.saved < MAX_SAVED:
            self.saved += RETRY_SHARE

    def take(self) -> bool:
        """Spend a retry; tell whether there was one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
