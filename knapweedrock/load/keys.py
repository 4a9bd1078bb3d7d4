"""Keys drawn by popularity (Zipf), repeatable by seed."""

import random
from bisect import bisect_left
from itertools import accumulate


class ZipfKeys:
    """Keys `key-0`, `key-1`, … where rank r is drawn in proportion to 1/(r+1)^s."""

    def __init__(self, count: int, exponent: float, source: random.Random) -> None:
        self._random = source
        self._sums = list(accumulate((rank + 1) ** -exponent for rank in range(count)))

    def draw(self) -> str:
        """Draw the next key."""
        place = self._random.random() * self._sums[-1]
        return f"key-{bisect_left(self._sums, place)}"


def create_keys(count: int, exponent: float, seed: int) -> ZipfKeys:
    """Create a source of keys; an exponent of 0 makes all alike."""
    return ZipfKeys(count, exponent, random.Random(f"keys-{seed}"))
