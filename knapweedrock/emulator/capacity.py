"""Capacity of a target stand-in: slots, cold start and collapse by overload."""

import secrets

from knapweedrock.clock import NS_PER_MS, NS_PER_S, Clock
from knapweedrock.emulator.worklog import Excess, WorkLog
from knapweedrock.settings import TargetSettings

COLLAPSE_AFTER_MS = 300
OVERLOAD_SLOWDOWN = 10.0


class Capacity:
    """Requests in hand against what the target bears at this moment.

    It bears `cold_slots` when it starts, and linearly more until it bears `slots`
    after `cold_s`.
    """

    def __init__(self, settings: TargetSettings, clock: Clock, log: WorkLog) -> None:
        self.settings = settings
        self.clock = clock
        self.log = log
        self.given = 0
        self.incarnation = ""
        self.cold_since_ns = 0
        self.overloaded_since_ns = 0

    def start(self) -> None:
        """Begin a new incarnation, which is cold."""
        self.incarnation = secrets.token_hex(8)
        self.given = 0
        self.turn_cold("start")

    def turn_cold(self, kind: str = "cold") -> None:
        """Begin a cold start without a new incarnation."""
        now_ns = self.clock.now_ns()
        self.cold_since_ns = now_ns
        self.overloaded_since_ns = 0
        self.log.events.append(
            {"at_ns": now_ns, "kind": kind, "incarnation": self.incarnation}
        )

    def count_bearable(self) -> int:
        """Return how many requests at once the target bears now."""
        full, cold = self.settings.slots, self.settings.cold_slots
        warm_ns = self.settings.cold_s * NS_PER_S
        age_ns = self.clock.now_ns() - self.cold_since_ns
        if age_ns >= warm_ns:
            return full
        return cold + int((full - cold) * age_ns / warm_ns)

    def is_cold(self) -> bool:
        """Tell whether the cold start goes on."""
        return self.count_bearable() < self.settings.slots

    def enter(self) -> float:
        """Take a request in hand and return the factor on its time of work."""
        self.given += 1
        self.log.peak_given = max(self.log.peak_given, self.given)
        bears = self.count_bearable()
        if self.given <= bears:
            self.overloaded_since_ns = 0
            return 1.0
        now_ns = self.clock.now_ns()
        self.overloaded_since_ns = self.overloaded_since_ns or now_ns
        self.log.excess.append(Excess(at_ns=now_ns, given=self.given, bears=bears))
        return OVERLOAD_SLOWDOWN * self.given / bears

    def leave(self) -> None:
        """Let go of a request."""
        self.given = max(self.given - 1, 0)
        if self.given <= self.count_bearable():
            self.overloaded_since_ns = 0

    def has_collapsed(self) -> bool:
        """Tell whether the overload lasted too long."""
        since_ns = self.overloaded_since_ns
        if not since_ns:
            return False
        return self.clock.now_ns() - since_ns > COLLAPSE_AFTER_MS * NS_PER_MS
