"""What a node does for one peer, whatever connection it came over."""

from collections import OrderedDict
from collections.abc import Collection
from typing import NamedTuple

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.mesh.connections import Connection
from knapweedrock.mesh.frames import Frame
from knapweedrock.mesh.messages import Forwarded, Resumed

# Time for which an answer is kept that may have been lost with its connection.
ANSWER_KEPT_MS = 4000
# Time in which a peer whose connection has ended may come back to its requests.
RETURN_MS = 2000
# Time after which nothing that was sent before is on its way any more.
FORGET_MS = 60_000
MAX_KEPT_BYTES = 8 << 20
# What an answer takes beside its body.
ANSWER_BYTES = 1000

log = Logger("links")


class KeptAnswer(NamedTuple):
    """An answer that was sent at `sent_ns`."""

    frame: Frame
    size: int
    sent_ns: int


class AnswerCache:
    """The last answers to all peers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kept: OrderedDict[tuple[str, int], KeptAnswer] = OrderedDict()
        self._size = 0

    def keep(self, sender: str, frame: Frame) -> None:
        """Keep an answer to a request for a while."""
        if not isinstance(frame.message, Forwarded):
            return
        size = ANSWER_BYTES + len(frame.message.body)
        kept = KeptAnswer(frame, size, self._clock.now_ns())
        self._kept[sender, frame.number] = kept
        self._size += size
        self._drop_old()

    def find(self, sender: str, number: int) -> Frame | None:
        """Find the answer to a request."""
        kept = self._kept.get((sender, number))
        return kept.frame if kept else None

    def _drop_old(self) -> None:
        oldest_ns = self._clock.now_ns() - ANSWER_KEPT_MS * NS_PER_MS
        while self._kept:
            first = next(iter(self._kept.values()))
            if self._size <= MAX_KEPT_BYTES and first.sent_ns >= oldest_ns:
                return
            self._kept.popitem(last=False)
            self._size -= first.size


class Session:
    """Requests of one process of a peer, which numbers them in the order it sends them.

    `connection` is the one that answers go to; none while the peer has none.
    """

    def __init__(self, sender: str, answers: AnswerCache) -> None:
        self.sender = sender
        self.connection: Connection | None = None
        self.running: dict[int, gevent.Greenlet] = {}
        # The highest number that has come; none in a session that begins: what came
        # before is not known.
        self._last_number: int | None = None
        # Number of the last request to resume, and when its connection was lost.
        self._resumed = 0
        self._lost_ns = 0
        self._ending: gevent.Greenlet | None = None
        self._answers = answers

    def note(self, number: int) -> None:
        """Note that a request has come."""
        self._last_number = max(self._last_number or 0, number)

    def may_resume(self, number: int) -> bool:
        """Tell whether a connection is newer than those that were resumed on."""
        return number > self._resumed

    def resume(
        self, connection: Connection, number: int, awaited: Collection[int]
    ) -> Resumed:
        """Go on over a newer connection with what the peer still awaits.

        `number` is that of the request to resume. Nothing that still comes on former
        connections is taken.
        """
        former, self.connection = self.connection, connection
        if former is not None:
            former.shut_down()
        if self._ending is not None:
            self._ending.kill(block=False)
        self._resumed = number
        for other in self.running.keys() - set(awaited):
            self.cancel(other)
        unseen = [n for n in awaited if self._is_unseen(n)]
        unknown = [n for n in awaited if n not in unseen and not self._knows(n)]
        if self._last_number is None:
            self._last_number = number
        return Resumed(unseen, unknown)

    def lose(self, connection: Connection, now_ns: int) -> None:
        """End all work unless the peer comes back from a lost connection in time."""
        if connection is not self.connection:
            return
        self.connection = None
        self._lost_ns = now_ns
        self._ending = gevent.spawn_later(RETURN_MS / 1000, self._end_unclaimed)

    def is_over(self, now_ns: int) -> bool:
        """Tell whether the peer was lost for so long that it has given up itself."""
        if self.connection is not None:
            return False
        return now_ns - self._lost_ns > FORGET_MS * NS_PER_MS

    def _end_unclaimed(self) -> None:
        self._ending = None
        if self.running:
            requests = len(self.running)
            log.info("link ended with work", sender=self.sender, requests=requests)
        self.end()

    def list_answers(self, numbers: Collection[int]) -> list[Frame]:
        """List the answers that are ready."""
        found = (self._answers.find(self.sender, number) for number in numbers)
        return [frame for frame in found if frame is not None]

    def cancel(self, number: int) -> None:
        """End the work on a request."""
        task = self.running.pop(number, None)
        if task is not None:
            task.kill(block=False)

    def end(self) -> None:
        """End all work."""
        for number in list(self.running):
            self.cancel(number)

    def _is_unseen(self, number: int) -> bool:
        return self._last_number is not None and number > self._last_number

    def _knows(self, number: int) -> bool:
        return number in self.running or bool(self.list_answers([number]))
