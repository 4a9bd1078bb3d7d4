"""What this node knows of the load on each target: own counts and latencies."""

import math
from collections import defaultdict

from knapweedrock.clock import NS_PER_MS, Clock

RISE_WEIGHT = 0.5
ABANDONED_WEIGHT = 0.25
ABANDONED_FACTOR = 2.0
LEAST_FALL_WEIGHT = 0.1
FALL_MS = 500.0
FIRST_LATENCY_MS = 1.0
FIRST_PROBE_MS = 250
LONGEST_PROBE_MS = 1000
UNCOVERED_FACTOR = 4
MAX_AVOID_MS = 1000
MIN_AVOID_MS = 50


class Load:
    """Requests in flight and recent latency of one target, as seen from here."""

    __slots__ = (
        "_clock",
        "_measured_ns",
        "_next",
        "avoid_until_ns",
        "last_ns",
        "latency_ms",
        "probe_ms",
        "starts",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next = 0
        self._measured_ns = 0
        self.starts: dict[int, int] = {}
        self.latency_ms = FIRST_LATENCY_MS
        self.last_ns = 0
        self.probe_ms = FIRST_PROBE_MS
        self.avoid_until_ns = 0

    def begin(self) -> int:
        """Count a request as in flight; return its number."""
        self._next += 1
        self.last_ns = self.starts[self._next] = self._clock.now_ns()
        return self._next

    def end(self, number: int, measured: bool) -> float:
        """Count a request as ended; return its milliseconds.

        With `measured` its time goes into the latency, which rises faster than it
        falls.
        """
        taken_ms = (self._clock.now_ns() - self.starts.pop(number)) / NS_PER_MS
        if measured:
            self._follow(taken_ms)
        return taken_ms

    def abandon(self, number: int) -> None:
        """Count a cancelled request as ended; it would have taken longer."""
        taken_ms = (self._clock.now_ns() - self.starts.pop(number)) / NS_PER_MS
        likely_ms = taken_ms * ABANDONED_FACTOR
        if likely_ms > self.latency_ms:
            self.latency_ms += ABANDONED_WEIGHT * (likely_ms - self.latency_ms)

    def avoid(self, wait_ms: float) -> None:
        """Send nothing here for a while, after a refusal."""
        wait_ms = min(max(wait_ms, MIN_AVOID_MS), MAX_AVOID_MS)
        self.avoid_until_ns = self._clock.now_ns() + int(wait_ms * NS_PER_MS)

    def take_probe(self, now_ns: int, covered: bool) -> bool:
        """Tell whether a slow target is to be tried again now.

        A request that a second copy covers is preferred for it.
        """
        wait_ms = self.probe_ms if covered else self.probe_ms * UNCOVERED_FACTOR
        if self.starts or now_ns - self.last_ns < wait_ms * NS_PER_MS:
            return False
        self.probe_ms = min(self.probe_ms * 2, LONGEST_PROBE_MS)
        return True

    def expected_ms(self, now_ns: int) -> float:
        """Return the latency to expect; an old request in flight counts at its age."""
        if not self.starts:
            return self.latency_ms
        oldest_ms = (now_ns - next(iter(self.starts.values()))) / NS_PER_MS
        return max(self.latency_ms, oldest_ms)

    def _follow(self, taken_ms: float) -> None:
        # An old latency weighs less, so that a rarely tried target recovers soon.
        now_ns = self._clock.now_ns()
        age_ms = (now_ns - self._measured_ns) / NS_PER_MS
        self._measured_ns = now_ns
        if taken_ms > self.latency_ms:
            weight = RISE_WEIGHT
        else:
            weight = max(LEAST_FALL_WEIGHT, 1 - math.exp(-age_ms / FALL_MS))
            self.probe_ms = FIRST_PROBE_MS
        self.latency_ms += weight * (taken_ms - self.latency_ms)

    def dump(self) -> dict[str, object]:
        """Return the counts."""
        return {"in_flight": len(self.starts), "latency_ms": round(self.latency_ms, 3)}


def create_loads(clock: Clock) -> defaultdict[str, Load]:
    """Create loads by node id."""
    return defaultdict(lambda: Load(clock))
