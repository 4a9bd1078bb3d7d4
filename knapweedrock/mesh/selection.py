"""Choice of a target for services whose requests any target may serve."""

import random
from collections.abc import Callable, Collection

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.mesh.messages import Member, Notice

# Load of a target's slots up to which the nearer zone is preferred.
SAME_ZONE_MAX_LOAD = 0.8
# Load that a target in another zone has to be better by.
OTHER_ZONE_PENALTY = 0.35
FAILURE_PENALTY = 2.0
FAILURE_RETENTION_MS = 1500
MAX_LOAD_REPORT_AGE_MS = 400
COLD_PENALTY = 0.5
LATENCY_EWMA_WEIGHT = 0.1
SLOW_FACTOR = 1.5
# Time of service to expect where none was measured.
DEFAULT_LATENCY_MS = 50.0
PACE_JITTER = 0.2
# Time after which the board tells whether a limit still holds.
BOARD_LAG_MS = 2000
MAX_LEAVING_TARGETS = 4096


class TargetStats:
    """What a node has seen of one target through its requests."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.reported_load = 0.0
        self.load_reported_ns = 0
        self.last_failure_ns = 0
        self.latency_ms = 0.0
        # Time to leave between requests, told at a moment; 0 where there is no limit.
        self.pace_ms = 0.0
        self.pace_reported_ns = 0
        # When the next request keeps that time.
        self.next_send_ns = 0


class TargetSelector:
    """Chooses among the targets of a service by load, zone and failures."""

    def __init__(self, zone: str, clock: Clock, is_up: Callable[[str], bool]) -> None:
        self.stats: dict[str, TargetStats] = {}
        self._zone = zone
        self._clock = clock
        self._is_up = is_up
        # Starts of targets that said that they leave; the latest stands last.
        self._leaving: dict[str, None] = {}

    def select(
        self,
        members: Collection[Member],
        zones_out: Collection[str],
        tried: Collection[str],
    ) -> Member | None:
        """Choose a ready member that was not tried yet; None where there is none."""
        candidates = [
            member
            for member in members
            if member.state == "ready"
            and member.zone not in zones_out
            and member.node_id not in tried
            and self._is_up(member.peer)
            and not self.is_leaving(member)
        ]
        if not candidates:
            return None
        typical_ms = self._compute_typical_ms(candidates)
        return min(candidates, key=lambda member: self.score(member, typical_ms))

    def score(self, member: Member, typical_ms: float) -> float:
        """Return the load to expect at a member; lower is better."""
        stats = self.get_stats(member)
        now_ns = self._clock.now_ns()
        load = stats.in_flight / max(member.slots, 1)
        age_ms = (now_ns - stats.load_reported_ns) / NS_PER_MS
        if age_ms < MAX_LOAD_REPORT_AGE_MS:
            load = max(load, stats.reported_load)
        if typical_ms and stats.latency_ms > typical_ms * SLOW_FACTOR:
            load *= stats.latency_ms / typical_ms
            load += 0.2
        if member.zone != self._zone:
            load += OTHER_ZONE_PENALTY
        elif load < SAME_ZONE_MAX_LOAD:
            load *= 0.5
        if (
            now_ns - stats.last_failure_ns < FAILURE_RETENTION_MS * NS_PER_MS
            and stats.last_failure_ns
        ):
            load += FAILURE_PENALTY
        if member.cold:
            load += COLD_PENALTY
        load += self._compute_pace_wait_ms(member, stats) / (
            typical_ms or DEFAULT_LATENCY_MS
        )
        return load + random.random() * 0.02

    def _compute_pace_wait_ms(self, member: Member, stats: TargetStats) -> float:
        """Find how long a limited target is to be left to others."""
        if not stats.pace_ms:
            return 0.0
        now_ns = self._clock.now_ns()
        reported_age_ms = (now_ns - stats.pace_reported_ns) / NS_PER_MS
        if member.limit is None and reported_age_ms > BOARD_LAG_MS:
            # The limit has ended, or the target has started again.
            stats.pace_ms = 0.0
            return 0.0
        return max(0.0, (stats.next_send_ns - now_ns) / NS_PER_MS)

    def is_leaving(self, member: Member) -> bool:
        """Tell whether a member's target has said that it leaves."""
        return member.target in self._leaving

    def record_sent(self, member: Member) -> None:
        """Note that a request is sent to a member."""
        stats = self.get_stats(member)
        if not stats.pace_ms:
            return
        interval_ns = int(stats.pace_ms * NS_PER_MS)
        # One that is sent later than it could be lets the next one go sooner.
        base_ns = max(stats.next_send_ns, self._clock.now_ns() - interval_ns)
        jitter = random.uniform(1 - PACE_JITTER, 1 + PACE_JITTER)
        stats.next_send_ns = base_ns + int(interval_ns * jitter)

    def record_leaving(self, notice: Notice | None) -> None:
        """Note whether a target says that it leaves; it never takes that back."""
        if notice is None or not notice.leaving or notice.target in self._leaving:
            return
        if len(self._leaving) >= MAX_LEAVING_TARGETS:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[notice.target] = None

    def record_notice(self, member: Member, notice: Notice | None) -> None:
        """Note what an answer says of a member's target."""
        self.record_leaving(notice)
        stats = self.get_stats(member)
        was_paced = bool(stats.pace_ms)
        stats.pace_ms = notice.pace_ms if notice is not None else 0.0
        stats.pace_reported_ns = self._clock.now_ns()
        if stats.pace_ms and not was_paced:
            # Nodes that are told together do not come back together.
            wait_ns = random.random() * stats.pace_ms * NS_PER_MS
            stats.next_send_ns = stats.pace_reported_ns + int(wait_ns)

    def get_stats(self, member: Member) -> TargetStats:
        """Return what is known of a member's target."""
        found = self.stats.get(member.node_id)
        if found is None:
            found = self.stats[member.node_id] = TargetStats()
        return found

    def record_response(
        self, member: Member, reported_load: float, latency_ms: float
    ) -> None:
        """Note an answer of a member."""
        stats = self.get_stats(member)
        stats.reported_load = reported_load
        stats.load_reported_ns = self._clock.now_ns()
        if latency_ms:
            stats.latency_ms += (latency_ms - stats.latency_ms) * (
                LATENCY_EWMA_WEIGHT if stats.latency_ms else 1
            )

    def record_failure(self, member: Member) -> None:
        """Note that a member failed a request."""
        self.get_stats(member).last_failure_ns = self._clock.now_ns()

    def _compute_typical_ms(self, members: list[Member]) -> float:
        latencies_ms = sorted(
            stats.latency_ms
            for stats in map(self.get_stats, members)
            if stats.latency_ms
        )
        return latencies_ms[(len(latencies_ms) - 1) // 2] if latencies_ms else 0.0
