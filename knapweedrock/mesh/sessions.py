"""Requests of a peer that a node processes, independent of their connection."""

from collections import OrderedDict
from collections.abc import Collection
from typing import NamedTuple

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.mesh.connections import Connection
from knapweedrock.mesh.frames import Frame
from knapweedrock.mesh.messages import Forwarded, Resumed

# Time for which an answer is retained, since it may be lost with its connection.
ANSWER_RETENTION_MS = 4000
# Time within which a peer must reconnect to resume its requests.
RESUME_TIMEOUT_MS = 2000
# Time after which no data sent earlier can still arrive.
SESSION_RETENTION_MS = 60_000
MAX_CACHE_BYTES = 8 << 20
# Estimated size of an answer without its body.
ANSWER_OVERHEAD_BYTES = 1000

log = Logger("links")


class CachedAnswer(NamedTuple):
    """Answer that was sent at `sent_ns`."""

    frame: Frame
    size_bytes: int
    sent_ns: int


class AnswerCache:
    """Cache of the most recent answers to all peers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: OrderedDict[tuple[str, int], CachedAnswer] = OrderedDict()
        self._size_bytes = 0

    def add(self, sender: str, frame: Frame) -> None:
        """Add an answer, if it answers a forwarded request, and evict old answers."""
        if not isinstance(frame.message, Forwarded):
            return
        size_bytes = ANSWER_OVERHEAD_BYTES + len(frame.message.body)
        cached = CachedAnswer(frame, size_bytes, self._clock.now_ns())
        self._entries[sender, frame.number] = cached
        self._size_bytes += size_bytes
        self._evict()

    def get(self, sender: str, number: int) -> Frame | None:
        """Return the answer to a request, or None if it is not cached."""
        cached = self._entries.get((sender, number))
        return cached.frame if cached else None

    def _evict(self) -> None:
        cutoff_ns = self._clock.now_ns() - ANSWER_RETENTION_MS * NS_PER_MS
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if self._size_bytes <= MAX_CACHE_BYTES and oldest.sent_ns >= cutoff_ns:
                return
            self._entries.popitem(last=False)
            self._size_bytes -= oldest.size_bytes


class Session:
    """Requests of one process of a peer, numbered in the order of sending.

    Answers go to `connection`, which is None while the peer is not connected.
    """

    def __init__(self, sender: str, answers: AnswerCache) -> None:
        self.sender = sender
        self.connection: Connection | None = None
        self.running: dict[int, gevent.Greenlet] = {}
        # Highest request number received. None in a new session, which cannot know the
        # requests that were received before it.
        self._last_number: int | None = None
        # Number of the last `Resume` request, and when its connection was lost.
        self._last_resume_number = 0
        self._lost_ns = 0
        self._end_timer: gevent.Greenlet | None = None
        self._answers = answers

    def record_request(self, number: int) -> None:
        """Record that a request was received."""
        self._last_number = max(self._last_number or 0, number)

    def may_resume(self, number: int) -> bool:
        """Return whether this `Resume` is newer than the last one processed."""
        return number > self._last_resume_number

    def resume(
        self, connection: Connection, number: int, awaited: Collection[int]
    ) -> Resumed:
        """Continue the awaited requests on a newer connection; cancel the others.

        `number` is the number of the `Resume` request. Data that still arrives on the
        previous connection is ignored.
        """
        previous, self.connection = self.connection, connection
        if previous is not None:
            previous.shut_down()
        if self._end_timer is not None:
            self._end_timer.kill(block=False)
        self._last_resume_number = number
        for other in self.running.keys() - set(awaited):
            self.cancel(other)
        never_received = [n for n in awaited if self._was_never_received(n)]
        unknown = [
            n for n in awaited if n not in never_received and not self._is_known(n)
        ]
        if self._last_number is None:
            self._last_number = number
        return Resumed(never_received, unknown)

    def handle_disconnect(self, connection: Connection, now_ns: int) -> None:
        """Cancel all requests unless the peer reconnects in time."""
        if connection is not self.connection:
            return
        self.connection = None
        self._lost_ns = now_ns
        self._end_timer = gevent.spawn_later(
            RESUME_TIMEOUT_MS / 1000, self._end_unresumed
        )

    def is_expired(self, now_ns: int) -> bool:
        """Return whether the peer was disconnected so long that it has given up too."""
        if self.connection is not None:
            return False
        return now_ns - self._lost_ns > SESSION_RETENTION_MS * NS_PER_MS

    def _end_unresumed(self) -> None:
        self._end_timer = None
        if self.running:
            requests = len(self.running)
            log.info("link ended with work", sender=self.sender, requests=requests)
        self.end()

    def list_answers(self, numbers: Collection[int]) -> list[Frame]:
        """List the cached answers to the given requests."""
        found = (self._answers.get(self.sender, number) for number in numbers)
        return [frame for frame in found if frame is not None]

    def cancel(self, number: int) -> None:
        """Cancel a request if it is running."""
        task = self.running.pop(number, None)
        if task is not None:
            task.kill(block=False)

    def end(self) -> None:
        """Cancel all running requests."""
        for number in list(self.running):
            self.cancel(number)

    def _was_never_received(self, number: int) -> bool:
        return self._last_number is not None and number > self._last_number

    def _is_known(self, number: int) -> bool:
        return number in self.running or bool(self.list_answers([number]))
