"""Pacing of messages on a VM's network link, so that short messages overtake long ones.

All connections of a VM share its network link. If a long message were written to its
socket at once, it would fill the buffers along the path, and data sent on other
connections would wait behind all of it.
"""

import heapq
import itertools
from collections.abc import Iterator
from typing import NamedTuple

import gevent
from gevent.event import Event

from knapweedrock.clock import NS_PER_MS, Clock

# Bytes that a network link of 1 Mbit/s carries in a millisecond.
BYTES_PER_MS_PER_MBPS = 125.0
# Share of the bandwidth used for messages; the rest is for headers and other traffic.
PAYLOAD_SHARE = 0.9
# A message is long if the network link needs more time than this to carry it. Long
# messages are sent in slices that take this time each.
SLICE_MS = 20.0


class QueuedMessage(NamedTuple):
    """Long message that waits for its turn; the lowest `rank_ns` is sent first."""

    rank_ns: int
    sequence: int
    size_bytes: int
    ready: Event


class Pacer:
    """Schedules long messages one at a time and lets short ones through immediately."""

    def __init__(self, mbps: float, clock: Clock) -> None:
        """Create a pacer for a network link of `mbps` Mbit/s, or 0 if unknown."""
        self._bytes_per_ms = mbps * BYTES_PER_MS_PER_MBPS * PAYLOAD_SHARE
        self._slice_bytes = max(int(self._bytes_per_ms * SLICE_MS), 1)
        self._clock = clock
        # Time at which the network link has carried all messages sent so far.
        self._free_ns = 0
        self._queue: list[QueuedMessage] = []
        self._sequence = itertools.count()
        self._timer: gevent.Greenlet | None = None

    def is_long(self, size_bytes: int) -> bool:
        """Return whether a message of this size has to wait for its turn."""
        return self._bytes_per_ms > 0 and size_bytes > self._slice_bytes

    def wait_turn(self, size_bytes: int) -> None:
        """Wait until a message of this size may be sent."""
        if not self._bytes_per_ms:
            return
        if not self.is_long(size_bytes) or (not self._queue and self._is_free()):
            self._reserve(size_bytes)
            return
        # A shorter message overtakes a longer one only if it arrives less than the
        # difference of their transmission times later, so long messages do not starve.
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
        """Yield data in slices, each once the link has carried the previous ones."""
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
