"""Crashes of the target: told apart from broken connections, then settled."""

from typing import TYPE_CHECKING

import gevent
import logbook
from gevent.event import Event

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError
from knapweedrock.targets.connections import ConnectionPool
from knapweedrock.targets.control import Control
from knapweedrock.targets.ramp import Ramp
from knapweedrock.targets.suspects import Suspects

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

SETTLE_TIMEOUT_MS = 3000
PROBE_INTERVAL_MS = 50

log = logbook.Logger("crashes")


class Crashes:
    """One possible crash at a time, from the first broken exchange on.

    It is a crash once a connection is refused or a new incarnation shows. It was
    none once the target shows the incarnation it had.
    """

    def __init__(
        self,
        env: "Environment",
        pool: ConnectionPool,
        control: Control,
        ramp: Ramp,
        suspects: Suspects,
    ) -> None:
        self.env = env
        self.pool = pool
        self.control = control
        self.ramp = ramp
        self.suspects = suspects
        self.incarnation = ""
        self.pending: set[str] = set()
        self.is_confirmed = False
        self.settled = Event()
        self.settled.set()

    def note_break(self, fingerprints: set[str]) -> None:
        """Note a broken exchange and who was in flight."""
        if not self.settled.is_set():
            if not self.is_confirmed:
                self.pending |= fingerprints
            return
        self.settled.clear()
        self.pending = set(fingerprints)
        self.is_confirmed = False
        self.ramp.confined = True
        self.pool.drop_idle()
        gevent.spawn(self._probe)

    def note_incarnation(self, incarnation: str) -> None:
        """Note an incarnation that the target shows now."""
        if self.incarnation and incarnation != self.incarnation:
            self._confirm()
        self.incarnation = incarnation
        self.ramp.confined = False
        self._settle()

    def wait_settled(self, until_ns: int) -> None:
        """Wait until the target is known to go on; raises `TARGET_UNREACHABLE`."""
        left_ms = (until_ns - self.env.clock.now_ns()) / NS_PER_MS
        if not self.settled.wait(max(left_ms, 1) / 1000):
            raise RefusalError(Code.TARGET_UNREACHABLE, retry_after_ms=1000)

    def _confirm(self) -> None:
        if self.settled.is_set() or self.is_confirmed:
            return
        self.is_confirmed = True
        log.warning("the target crashed with {} in flight", len(self.pending))
        self.suspects.count_crash(self.pending)
        self.pending = set()

    def _settle(self) -> None:
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
                    self._confirm()
            else:
                self._compare(self.control.read_incarnation())
            gevent.sleep(PROBE_INTERVAL_MS / 1000)
        self._settle()

    def _compare(self, incarnation: str) -> None:
        """Settle by the incarnation of the health endpoint, where it tells one."""
        if not incarnation or self.settled.is_set():
            return
        if incarnation == self.incarnation and not self.is_confirmed:
            self.ramp.confined = False
            self._settle()
        elif incarnation != self.incarnation:
            self._confirm()

    def dump(self) -> dict[str, object]:
        """Return the state as plain data."""
        return {
            "incarnation": self.incarnation,
            "settled": self.settled.is_set(),
            "pending": sorted(self.pending),
        }
