"""Fencing of a target stand-in: grants by range, and the check of each request."""

from typing import Any

from knapweedrock.clock import Clock
from knapweedrock.nodes.view import hash_key


class Fence:
    """Tokens granted so far."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.grants: dict[tuple[int, int], int] = {}
        self.seen: dict[str, int] = {}

    def grant(self, value: dict[str, Any]) -> None:
        """Take the grants of a node; tokens of a range only grow."""
        for start, end, token in value["ranges"]:
            span = (int(start), int(end))
            self.grants[span] = max(self.grants.get(span, 0), int(token))

    def find_highest(self, key: str) -> int:
        """Return the highest token known for the key."""
        place = hash_key(key)
        held = [t for (start, end), t in self.grants.items() if start <= place < end]
        return max([self.seen.get(key, 0), *held])

    def admits(self, key: str, token: int, lease_until_ns: int) -> bool:
        """Tell whether a request may run under its token and lease."""
        if self.clock.now_ns() >= lease_until_ns:
            return False
        if not key:
            return True
        if token < self.find_highest(key):
            return False
        self.seen[key] = token
        return True
