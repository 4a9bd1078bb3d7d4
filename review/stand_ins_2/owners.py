"""Checks of the rule OWNER, from what the backends were granted and ran."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from review.stand_ins_2.backend import KEY_COUNT, Backend

SAMPLE_S = 0.02
MAX_SHARED_S = 0.5


class Overlap(NamedTuple):
    """Keys that two backends held at the same time, and for how long."""

    first: str
    second: str
    since_s: float
    lasted_s: float
    keys: int


class LowToken(NamedTuple):
    """A take of a key under a token not above one that another backend had."""

    at_s: float
    instance: str
    start: int
    end: int
    fence: int
    former: str
    former_fence: int


class OverlapMonitor:
    """Measures for how long two backends that are up hold the same keys."""

    def __init__(self, list_lives: Callable[[], list[Backend]]) -> None:
        self.overlaps: list[Overlap] = []
        self._list_lives = list_lives
        self._since: dict[tuple[str, str], tuple[float, int]] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample(time.monotonic())
            await asyncio.sleep(SAMPLE_S)

    def sample(self, now_s: float) -> None:
        """Compare the holds of all backends at one moment."""
        found: dict[tuple[str, str], int] = {}
        rows = sorted(
            (hold.start, hold.end, life.instance)
            for life in self._list_lives()
            if life.up
            for hold in life.list_unexpired()
        )
        for (start, end, owner), (other_start, other_end, other) in zip(
            rows, rows[1:], strict=False
        ):
            if other_start <= end and owner != other:
                pair = (min(owner, other), max(owner, other))
                shared = min(end, other_end) - max(start, other_start) + 1
                found[pair] = found.get(pair, 0) + shared
        for pair, keys in found.items():
            since_s, most = self._since.get(pair, (now_s, 0))
            self._since[pair] = (since_s, max(most, keys))
        for pair in [pair for pair in self._since if pair not in found]:
            since_s, most = self._since.pop(pair)
            self.overlaps.append(Overlap(*pair, since_s, now_s - since_s, most))

    def finish(self) -> list[Overlap]:
        """Return all overlaps, those that last still, too."""
        now_s = time.monotonic()
        for pair, (since_s, most) in self._since.items():
            self.overlaps.append(Overlap(*pair, since_s, now_s - since_s, most))
        self._since.clear()
        return self.overlaps


def list_low_tokens(lives: list[Backend]) -> list[LowToken]:
    """List the takes whose token is not above all that other backends had.

    A grant that the same backend had before under the same token doesn't count.
    """
    takes = sorted(
        (take.at_s, life.instance, take.start, take.end, take.fence)
        for life in lives
        for take in life.takes
    )
    highest: list[tuple[int, str]] = [(0, "")] * KEY_COUNT
    had: set[tuple[str, int, int]] = set()
    found = []
    for at_s, instance, start, end, fence in takes:
        worst = None
        for key in range(start, end + 1):
            former_fence, former = highest[key]
            is_same = (instance, key, fence) in had
            if former and former != instance and fence <= former_fence and not is_same:
                worst = (former, former_fence)
            had.add((instance, key, fence))
            if fence >= former_fence:
                highest[key] = (fence, instance)
        if worst is not None:
            found.append(LowToken(at_s, instance, start, end, fence, *worst))
    return found
