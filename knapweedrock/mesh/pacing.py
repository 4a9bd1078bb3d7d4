"""Pacing of messages on a VM's link: a long one waits its turn, short ones pass it.

All connections of a VM share its link. A long message that is handed over whole fills
the buffers on the way, and whatever is sent meanwhile on other connections waits for
all of it.
"""

import heapq
import itertools
from collections.abc import Iterator
from typing import NamedTuple

import gevent
from gevent.event import Event

from knapweedrock.clock import NS_PER_MS, Clock

# Bytes that a link of 1 Mbit/s takes in a millisecond.
BYTES_MS_A_MBPS = 125.0
# Share of the link that messages take; the rest is for headers and all else it carries.
USED_SHARE = 0.9
# A message is long if the link takes more time for it; long ones are sent in slices
# of as much.
SLICE_MS = 20.0


class Turn(NamedTuple):
    """A long message of `size` bytes that waits; the lowest rank comes first."""

    rank_ns: int
    number: int
    size: int
    come: Event


class Pacer:
    """Hands the link to long messages one after the other, short ones sooner."""

    def __init__(self, mbps: float, clock: Clock) -> None:
        """Take the bandwidth of the link, 0 where it is not known."""
        self._bytes_a_ms = mbps * BYTES_MS_A_MBPS * USED_SHARE
        self._slice = max(int(self._bytes_a_ms * SLICE_MS), 1)
        self._clock = clock
        # When the link has sent all that was handed to it.
        self._free_ns = 0
        self._waiting: list[Turn] = []
        self._numbers = itertools.count()
        self._timer: gevent.Greenlet | None = None

    def is_long(self, size: int) -> bool:
        """Tell whether a message of this many bytes waits its turn."""
        return self._bytes_a_ms > 0 and size > self._slice

    def wait_turn(self, size: int) -> None:
        """Wait until a message of this many bytes may be sent."""
        if not self._bytes_a_ms:
            return
        if not self.is_long(size) or (not self._waiting and self._is_free()):
            self._reserve(size)
            return
        # One that has waited for as long as it takes longer goes before a shorter one.
        rank_ns = self._clock.now_ns() + self._find_ns(size)
        item = Turn(rank_ns, next(self._numbers), size, Event())
        heapq.heappush(self._waiting, item)
        self._wake_later()
        try:
            item.come.wait()
        except BaseException:
            if item in self._waiting:
                self._waiting.remove(item)
                heapq.heapify(self._waiting)
            raise

    def cut(self, data: bytes | memoryview) -> Iterator[memoryview]:
        """Yield data in slices, each when the link has taken those before."""
        whole = memoryview(data)
        if not self.is_long(len(whole)):
            yield whole
            return
        began_ns = self._clock.now_ns()
        for start in range(0, len(whole), self._slice):
            due_ns = began_ns + self._find_ns(start)
            pause_ns = due_ns - self._clock.now_ns()
            if pause_ns > 0:
                gevent.sleep(pause_ns / NS_PER_MS / 1000)
            yield whole[start : start + self._slice]

    def _find_ns(self, size: int) -> int:
        return int(size / self._bytes_a_ms * NS_PER_MS)

    def _is_free(self) -> bool:
        return self._free_ns <= self._clock.now_ns()

    def _reserve(self, size: int) -> None:
        self._free_ns = max(self._free_ns, self._clock.now_ns()) + self._find_ns(size)

    def _wake_later(self) -> None:
        if self._timer is None:
            wait_ns = max(self._free_ns - self._clock.now_ns(), 0)
            self._timer = gevent.spawn_later(wait_ns / NS_PER_MS / 1000, self._wake)

    def _wake(self) -> None:
        self._timer = None
        if self._waiting and self._is_free():
            turn = heapq.heappop(self._waiting)
            self._reserve(turn.size)
            turn.come.set()
        if self._waiting:
            self._wake_later()
