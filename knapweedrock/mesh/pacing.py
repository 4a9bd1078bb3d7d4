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
BYTES_PER_MS_PER_MBPS = 125.0
# Share of the link that messages take; the rest is for headers and all else it carries.
PAYLOAD_SHARE = 0.9
# A message is long if the link takes more time for it; long ones are sent in slices
# of as much.
SLICE_MS = 20.0


class QueuedMessage(NamedTuple):
    """A long message of `size` bytes that waits; the lowest rank comes first."""

    rank_ns: int
    sequence: int
    size_bytes: int
    ready: Event


class Pacer:
    """Hands the link to long messages one after the other, short ones sooner."""

    def __init__(self, mbps: float, clock: Clock) -> None:
        """Take the bandwidth of the link, 0 where it is not known."""
        self._bytes_per_ms = mbps * BYTES_PER_MS_PER_MBPS * PAYLOAD_SHARE
        self._slice_bytes = max(int(self._bytes_per_ms * SLICE_MS), 1)
        self._clock = clock
        # When the link has sent all that was handed to it.
        self._free_ns = 0
        self._queue: list[QueuedMessage] = []
        self._sequence = itertools.count()
        self._timer: gevent.Greenlet | None = None

    def is_long(self, size_bytes: int) -> bool:
        """Tell whether a message of this many bytes waits its turn."""
        return self._bytes_per_ms > 0 and size_bytes > self._slice_bytes

    def wait_turn(self, size_bytes: int) -> None:
        """Wait until a message of this many bytes may be sent."""
        if not self._bytes_per_ms:
            return
        if not self.is_long(size_bytes) or (not self._queue and self._is_free()):
            self._reserve(size_bytes)
            return
        # One that has waited for as long as it takes longer goes before a shorter one.
        rank_ns = self._clock.now_ns() + self._compute_send_ns(size_bytes)
        queued = QueuedMessage(rank_ns, next(self._sequence), size_bytes, Event())
        heapq.heappush(self._queue, queued)
        self._schedule_wake()
        try:
            queued.ready.wait()
        except BaseException:
            if queued in self._queue:
                self._queue.remove(queued)
                heapq.heapify(self._queue)
            raise

    def slice_data(self, data: bytes | memoryview) -> Iterator[memoryview]:
        """Yield data in slices, each when the link has taken those before."""
        view = memoryview(data)
        if not self.is_long(len(view)):
            yield view
            return
        start_ns = self._clock.now_ns()
        for offset in range(0, len(view), self._slice_bytes):
            due_ns = start_ns + self._compute_send_ns(offset)
            pause_ns = due_ns - self._clock.now_ns()
            if pause_ns > 0:
                gevent.sleep(pause_ns / NS_PER_MS / 1000)
            yield view[offset : offset + self._slice_bytes]

    def _compute_send_ns(self, size_bytes: int) -> int:
        return int(size_bytes / self._bytes_per_ms * NS_PER_MS)

    def _is_free(self) -> bool:
        return self._free_ns <= self._clock.now_ns()

    def _reserve(self, size_bytes: int) -> None:
        self._free_ns = max(
            self._free_ns, self._clock.now_ns()
        ) + self._compute_send_ns(size_bytes)

    def _schedule_wake(self) -> None:
        if self._timer is None:
            wait_ns = max(self._free_ns - self._clock.now_ns(), 0)
            self._timer = gevent.spawn_later(wait_ns / NS_PER_MS / 1000, self._wake)

    def _wake(self) -> None:
        self._timer = None
        if self._queue and self._is_free():
            queued = heapq.heappop(self._queue)
            self._reserve(queued.size_bytes)
            queued.ready.set()
        if self._queue:
            self._schedule_wake()
