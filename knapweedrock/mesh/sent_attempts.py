"""Attempts that were sent on one connection to a target.

A target may send a response a second time, late, as if it were the next response on
the connection. The attempt id tells such a copy apart unless the same attempt is sent
on the connection once more.
"""

# Expired attempts are removed once at least this many are recorded.
MIN_REMOVAL_COUNT = 64


class SentAttempts:
    """Ids of attempts that may be sent again, with the deadlines of their requests."""

    def __init__(self) -> None:
        self._deadlines_ns: dict[str, int] = {}
        self._has_unnamed = False
        # Doubles with the attempts that remain, so that removals stay rare.
        self._removal_count = MIN_REMOVAL_COUNT

    def add(self, attempt_id: str, deadline_ns: int) -> None:
        """Record an attempt; an empty id stands for all requests without one."""
        if attempt_id:
            self._deadlines_ns[attempt_id] = deadline_ns
        else:
            self._has_unnamed = True

    def has(self, attempt_id: str) -> bool:
        """Return whether the attempt, or any without an id, is recorded."""
        if attempt_id:
            return attempt_id in self._deadlines_ns
        return self._has_unnamed

    def remove_expired(self, now_ns: int) -> None:
        """Forget attempts whose deadline has passed: they are not sent again."""
        if len(self._deadlines_ns) < self._removal_count:
            return
        self._deadlines_ns = {
            attempt_id: deadline_ns
            for attempt_id, deadline_ns in self._deadlines_ns.items()
            if deadline_ns > now_ns
        }
        self._removal_count = max(2 * len(self._deadlines_ns), MIN_REMOVAL_COUNT)
