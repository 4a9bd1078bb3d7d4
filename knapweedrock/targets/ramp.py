"""Concurrency limit of the target: small in a cold start, grown by success."""

from typing import TYPE_CHECKING

from knapweedrock.clock import NS_PER_MS, NS_PER_S

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

DEFAULT_START_SHARE = 0.1
DEFAULT_RAMP_S = 15.0
RAMP_MARGIN = 1.05
JUMP_FACTOR = 2.0
JUMP_MS = 15.0
SHED_FACTOR = 0.8
BASELINE_WEIGHT = 0.02
FIRST_BASELINE_ANSWERS = 20


class Ramp:
    """The limit, which time allows to grow and only successes make grow."""

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.slots = 0
        self.start_limit = 1.0
        self.ramp_ns = 0.0
        self.started_ns = 0
        self.limit = 0.0
        self.baseline_ms = 0.0
        self.answers = 0
        self.confined = False

    def begin(self, slots: int, cold_slots: int | None, cold_s: float | None) -> None:
        """Begin the cold start of a target with this many slots."""
        self.slots = slots
        default = max(1, int(slots * DEFAULT_START_SHARE))
        self.start_limit = float(default if cold_slots is None else cold_slots)
        ramp_s = DEFAULT_RAMP_S if cold_s is None else cold_s
        self.ramp_ns = max(ramp_s * RAMP_MARGIN * NS_PER_S, 1.0)
        self.baseline_ms = 0.0
        self.answers = 0
        self.restart("target_cold_starts")

    def restart(self, counter: str) -> None:
        """Go back to the start of the ramp."""
        self.env.counters.count(counter)
        self.started_ns = self.env.clock.now_ns()
        self.limit = self.start_limit

    def get_limit(self) -> int:
        """Return how many requests may be in flight now."""
        return int(self.start_limit if self.confined else self.limit)

    def is_cold(self) -> bool:
        """Tell whether the ramp is not yet at its end."""
        return self.get_limit() < self.slots

    def count_success(self, work_ms: float) -> None:
        """Learn from a whole answer; grow where the time is come."""
        late_ms = self.get_late_ms()
        if 0 < late_ms < work_ms:
            return
        self._learn(work_ms)
        if self.limit < self.slots:
            self.limit = min(self._allowed(), self.limit + 1.0)

    def count_shed(self) -> None:
        """Learn that the target refused work."""
        self.limit = max(self.limit * SHED_FACTOR, self.start_limit)
        behind = (self.limit - self.start_limit) / max(self.slots - self.start_limit, 1)
        self.started_ns = self.env.clock.now_ns() - int(behind * self.ramp_ns)

    def get_late_ms(self) -> float:
        """Return the age at which a request in flight counts as late; 0: unknown."""
        if self.answers < FIRST_BASELINE_ANSWERS:
            return 0.0
        return self.baseline_ms * JUMP_FACTOR + JUMP_MS

    def _allowed(self) -> float:
        share = (self.env.clock.now_ns() - self.started_ns) / self.ramp_ns
        full = self.slots - self.start_limit
        return self.start_limit + full * min(share, 1.0)

    def _learn(self, work_ms: float) -> None:
        self.answers += 1
        if self.answers <= FIRST_BASELINE_ANSWERS:
            self.baseline_ms += (work_ms - self.baseline_ms) / self.answers
            return
        self.baseline_ms += (work_ms - self.baseline_ms) * BASELINE_WEIGHT

    def dump(self) -> dict[str, object]:
        """Return the state as plain data."""
        age_ms = (self.env.clock.now_ns() - self.started_ns) // NS_PER_MS
        return {
            "limit": round(self.limit, 2),
            "slots": self.slots,
            "age_ms": age_ms,
            "baseline_ms": round(self.baseline_ms, 3),
            "confined": self.confined,
        }
