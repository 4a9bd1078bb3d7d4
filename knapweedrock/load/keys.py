"""Keys drawn by popularity (Zipf), repeatable by seed."""

import math
import random
from typing import Protocol


class KeySource(Protocol):
    """Source of request keys."""

    def draw(self) -> str:
        """Draw the next key."""


class ZipfKeys:
    """Keys `1` to `N`, where the probability of key r is proportional to r^-s.

    Uses rejection-inversion sampling by Hörmann and Derflinger. It needs no table,
    so memory and time do not depend on the number of keys.
    """

    def __init__(self, count: int, exponent: float, rng: random.Random) -> None:
        self._count = count
        self._exponent = exponent
        self._rng = rng
        self._low = self._integrate(1.5) - 1.0
        self._high = self._integrate(count + 0.5)
        self._accept_distance = 2.0 - self._invert(
            self._integrate(2.5) - self._weigh(2)
        )

    def draw(self) -> str:
        """Draw the next key."""
        while True:
            area = self._high + self._rng.random() * (self._low - self._high)
            x = self._invert(area)
            rank = min(max(int(x + 0.5), 1), self._count)
            is_near = rank - x <= self._accept_distance
            if is_near or area >= self._integrate(rank + 0.5) - self._weigh(rank):
                return str(rank)

    def _weigh(self, rank: int) -> float:
        return rank**-self._exponent

    def _integrate(self, x: float) -> float:
        if self._exponent == 1.0:
            return math.log(x)
        power = 1.0 - self._exponent
        return (x**power - 1.0) / power

    def _invert(self, area: float) -> float:
        if self._exponent == 1.0:
            return math.exp(area)
        power = 1.0 - self._exponent
        return max(1.0 + area * power, 0.0) ** (1.0 / power)


def create_keys(count: int, exponent: float, seed: int) -> ZipfKeys:
    """Create a source of keys; with an exponent of 0 all are equally likely."""
    return ZipfKeys(count, exponent, random.Random(f"keys-{seed}"))
