"""Selection of targets for services without keys, whose targets are interchangeable."""

import random
from collections.abc import Callable, Collection

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.mesh.messages import Member, TargetNotice

# Load per slot up to which a target in the node's own zone is preferred.
SAME_ZONE_MAX_LOAD = 0.8
# Advantage in load that a target in another zone must have to be selected.
OTHER_ZONE_PENALTY = 0.35
FAILURE_PENALTY = 2.0
FAILURE_RETENTION_MS = 1500
MAX_LOAD_REPORT_AGE_MS = 400
COLD_PENALTY = 0.5
LATENCY_EWMA_WEIGHT = 0.1
# A target is penalized as slow above this multiple of the median latency.
SLOW_FACTOR = 1.5
# Expected latency of a request while none has been measured.
DEFAULT_LATENCY_MS = 50.0
INTERVAL_JITTER = 0.2
# Time after which the board shows whether a target still has a limit.
BOARD_LAG_MS = 2000
MAX_LEAVING_TARGETS = 4096


class TargetStats:
    """Load, latency and failures of a target as seen in the node's own requests."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.reported_load = 0.0
        self.load_reported_ns = 0
        self.last_failure_ns = 0
        self.latency_ms = 0.0
        # Minimum interval between requests to a limited target; 0 without a limit.
        self.request_interval_ms = 0.0
        self.interval_reported_ns = 0
        # Earliest time of the next request that keeps this interval.
        self.next_send_ns = 0


class TargetSelector:
    """Selects among the targets of a service by load, zone and recent failures."""

    def __init__(self, zone: str, clock: Clock, is_up: Callable[[str], bool]) -> None:
        self.stats: dict[str, TargetStats] = {}
        self._zone = zone
        self._clock = clock
        self._is_up = is_up
        # Target incarnations that reported that they leave, oldest report first.
        self._leaving: dict[str, None] = {}

    def select(
        self,
        members: Collection[Member],
        zones_out: Collection[str],
        tried_node_ids: Collection[str],
    ) -> Member | None:
        """Select a ready member that was not tried yet, or None if there is none."""
        candidates = [
            member
            for member in members
            if member.state == "ready"
            and member.zone not in zones_out
            and member.node_id not in tried_node_ids
            and self._is_up(member.peer)
            and not self.is_leaving(member)
        ]
        if not candidates:
            return None
        median_ms = self._compute_median_ms(candidates)
        return min(candidates, key=lambda member: self.score(member, median_ms))

    def score(self, member: Member, median_ms: float) -> float:
        """Return a member's expected load per slot with penalties; lower is better."""
        stats = self.get_stats(member)
        now_ns = self._clock.now_ns()
        load = stats.in_flight / max(member.slots, 1)
        age_ms = (now_ns - stats.load_reported_ns) / NS_PER_MS
        if age_ms < MAX_LOAD_REPORT_AGE_MS:
            load = max(load, stats.reported_load)
        if median_ms and stats.latency_ms > median_ms * SLOW_FACTOR:
            load *= stats.latency_ms / median_ms
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
        load += self._compute_interval_wait_ms(member, stats) / (
            median_ms or DEFAULT_LATENCY_MS
        )
        return load + random.random() * 0.02

    def _compute_interval_wait_ms(self, member: Member, stats: TargetStats) -> float:
        """Return how long this node should send no request to a limited target."""
        if not stats.request_interval_ms:
            return 0.0
        now_ns = self._clock.now_ns()
        reported_age_ms = (now_ns - stats.interval_reported_ns) / NS_PER_MS
        if member.limit is None and reported_age_ms > BOARD_LAG_MS:
            # The limit has ended, or the target has restarted.
            stats.request_interval_ms = 0.0
            return 0.0
        return max(0.0, (stats.next_send_ns - now_ns) / NS_PER_MS)

    def is_leaving(self, member: Member) -> bool:
        """Return whether a member's target has reported that it leaves."""
        return member.target in self._leaving

    def record_sent(self, member: Member) -> None:
        """Record a request to a member and schedule the next one by its limit."""
        stats = self.get_stats(member)
        if not stats.request_interval_ms:
            return
        interval_ns = int(stats.request_interval_ms * NS_PER_MS)
        # If a request is sent later than the limit requires, the next one may be sent
        # sooner, by up to one interval.
        base_ns = max(stats.next_send_ns, self._clock.now_ns() - interval_ns)
        jitter = random.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
        stats.next_send_ns = base_ns + int(interval_ns * jitter)

    def record_leaving(self, notice: TargetNotice | None) -> None:
        """Record a target that reports that it leaves, which it never withdraws."""
        if notice is None or not notice.leaving or notice.target in self._leaving:
            return
        if len(self._leaving) >= MAX_LEAVING_TARGETS:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[notice.target] = None

    def record_notice(self, member: Member, notice: TargetNotice | None) -> None:
        """Record the notice in a member's response, or that there was none."""
        self.record_leaving(notice)
        stats = self.get_stats(member)
        was_limited = bool(stats.request_interval_ms)
        stats.request_interval_ms = (
            notice.request_interval_ms if notice is not None else 0.0
        )
        stats.interval_reported_ns = self._clock.now_ns()
        if stats.request_interval_ms and not was_limited:
            # A random wait spreads the next requests of nodes that learn of the limit
            # at the same time.
            wait_ns = random.random() * stats.request_interval_ms * NS_PER_MS
            stats.next_send_ns = stats.interval_reported_ns + int(wait_ns)

    def get_stats(self, member: Member) -> TargetStats:
        """Return the statistics of a member's target, creating them if needed."""
        stats = self.stats.get(member.node_id)
        if stats is None:
            stats = self.stats[member.node_id] = TargetStats()
        return stats

    def record_response(
        self, member: Member, reported_load: float, latency_ms: float
    ) -> None:
        """Record a member's response; a latency of 0 ms leaves the mean unchanged."""
        stats = self.get_stats(member)
        stats.reported_load = reported_load
        stats.load_reported_ns = self._clock.now_ns()
        if latency_ms:
            stats.latency_ms += (latency_ms - stats.latency_ms) * (
                LATENCY_EWMA_WEIGHT if stats.latency_ms else 1
            )

    def record_failure(self, member: Member) -> None:
        """Record that a member failed a request."""
        self.get_stats(member).last_failure_ns = self._clock.now_ns()

    def _compute_median_ms(self, members: list[Member]) -> float:
        latencies_ms = sorted(
            stats.latency_ms
            for stats in map(self.get_stats, members)
            if stats.latency_ms
        )
        return latencies_ms[(len(latencies_ms) - 1) // 2] if latencies_ms else 0.0
