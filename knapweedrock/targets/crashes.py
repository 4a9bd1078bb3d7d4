"""Crashes of the target: told apart from broken connections, then settled."""

from typing import TYPE_CHECKING, NamedTuple

import gevent
import logbook
from gevent.event import Event

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError
from knapweedrock.targets.announcements import Target
from knapweedrock.targets.connections import ConnectionPool
from knapweedrock.targets.control import Control
from knapweedrock.targets.ramp import Ramp
from knapweedrock.targets.suspects import Suspects

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

SETTLE_TIMEOUT_MS = 3000
PROBE_INTERVAL_MS = 50
CLASSIFY_TIMEOUT_MS = 250
TELL_TIMEOUT_MS = 200
LATE_ANNOUNCEMENT_MS = 500

log = logbook.Logger("crashes")


class InFlight(NamedTuple):
    """A request in flight: what it does, and when it was sent."""

    fingerprint: str
    began_ns: int


class Crashes:
    """One possible crash at a time, from the first broken exchange on.

    It is a crash once a connection is refused or a new incarnation shows. It was
    none once the target shows the incarnation it had.
    """

    def __init__(
        self,
        env: "Environment",
        target: Target,
        pool: ConnectionPool,
        control: Control,
        ramp: Ramp,
        suspects: Suspects,
    ) -> None:
        self.env = env
        self.target = target
        self.pool = pool
        self.control = control
        self.ramp = ramp
        self.suspects = suspects
        self.incarnation = ""
        self.announced = ""
        self.broken_ns = 0
        self.broken_incarnation = ""
        self.pending: set[str] = set()
        self.is_confirmed = False
        self.confirmed_ns = 0
        self.classified = Event()
        self.classified.set()
        self.settled = Event()
        self.settled.set()

    def note_break(self, in_flight: list[InFlight], began_ns: int = 0) -> None:
        """Note a broken exchange, when it was sent, and what was in flight.

        What was sent after a crash was confirmed breaks by another one.
        """
        if not self.settled.is_set() and not self.is_confirmed:
            self.pending |= {item.fingerprint for item in in_flight}
            return
        if not self.settled.is_set() and began_ns <= self.confirmed_ns:
            return
        is_first = self.settled.is_set()
        since_ns = 0 if is_first else self.confirmed_ns
        self.settled.clear()
        self.classified.clear()
        self.pending = {i.fingerprint for i in in_flight if i.began_ns > since_ns}
        self.is_confirmed = False
        self.broken_ns = self.env.clock.now_ns()
        self.broken_incarnation = self.incarnation
        self.ramp.confined = True
        self.pool.drop_idle()
        if is_first:
            gevent.spawn(self._probe)

    def note_incarnation(self, incarnation: str) -> None:
        """Note an incarnation that the target announced."""
        if self._is_late(incarnation):
            return
        if self.incarnation and incarnation != self.incarnation:
            self._confirm()
        self.incarnation = self.announced = incarnation
        self.ramp.confined = False
        self._settle()

    def _is_late(self, incarnation: str) -> bool:
        """Tell whether an announcement may be from before the last break."""
        if self.settled.is_set() or incarnation != self.broken_incarnation:
            return False
        since_ns = self.env.clock.now_ns() - self.broken_ns
        return since_ns < LATE_ANNOUNCEMENT_MS * NS_PER_MS

    def wait_classified(self) -> None:
        """Wait a moment until a crash is told apart, and told to the peers.

        Whoever got the answer may send the request to another target at once.
        """
        self.classified.wait(CLASSIFY_TIMEOUT_MS / 1000)

    def wait_settled(self, until_ns: int) -> None:
        """Wait until the target is known to go on; raises `TARGET_UNREACHABLE`."""
        left_ms = (until_ns - self.env.clock.now_ns()) / NS_PER_MS
        if not self.settled.wait(max(left_ms, 1) / 1000):
            raise RefusalError(Code.TARGET_UNREACHABLE, retry_after_ms=1000)

    def _confirm(self) -> None:
        if self.settled.is_set() or self.is_confirmed:
            return
        self.is_confirmed = True
        self.confirmed_ns = self.env.clock.now_ns()
        log.warning("the target crashed with {} in flight", len(self.pending))
        telling = self.suspects.count_crash(self.pending)
        self.pending = set()
        gevent.spawn(self._finish_telling, telling)

    def _finish_telling(self, telling: list[gevent.Greenlet]) -> None:
        gevent.joinall(telling, timeout=TELL_TIMEOUT_MS / 1000)
        self.classified.set()

    def _settle(self) -> None:
        if not self.is_confirmed:
            self.classified.set()
        if not self.settled.is_set():
            self.settled.set()
            self.env.counters.count("target_breaks_settled")

    def _probe(self) -> None:
        """Ask the target who it is until that is settled."""
        end_ns = self.env.clock.now_ns() + SETTLE_TIMEOUT_MS * NS_PER_MS
        while not self.settled.is_set() and self.env.clock.now_ns() < end_ns:
            try:
                self.pool.drop(self.pool.dial())
            except RefusalError as error:
                if "refused" in error.detail:
                    self.target.note_refused()
                    self._confirm()
            else:
                self._compare(self.control.read_incarnation())
            gevent.sleep(PROBE_INTERVAL_MS / 1000)
        self._settle()

    def _compare(self, incarnation: str) -> None:
        """Judge by the incarnation of the health endpoint, where it tells one.

        A new incarnation has to announce itself before the crash is settled, since
        its cold start begins with that.
        """
        if not incarnation or self.settled.is_set():
            return
        if incarnation == self.announced and not self.is_confirmed:
            self.ramp.confined = False
            self._settle()
        elif incarnation != self.incarnation:
            self._confirm()
            self.incarnation = incarnation

    def dump(self) -> dict[str, object]:
        """Return the state as plain data."""
        return {
            "incarnation": self.incarnation,
            "settled": self.settled.is_set(),
            "pending": sorted(self.pending),
        }
