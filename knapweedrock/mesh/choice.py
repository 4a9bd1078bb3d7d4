"""Choice of a target for services whose requests any target may serve."""

import random
from collections.abc import Callable, Collection

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.mesh.messages import Member

# Load of a target's slots up to which the nearer zone is preferred.
NEAR_LOAD = 0.8
# Load that a target in another zone has to be better by.
FAR_PENALTY = 0.35
FAILURE_PENALTY = 2.0
FAILURE_MEMORY_MS = 1500
REPORT_MEMORY_MS = 400
COLD_PENALTY = 0.5
LATENCY_WEIGHT = 0.1
SLOW_FACTOR = 1.5


class Peer:
    """What a node has seen of one target through its requests."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.busy = 0.0
        self.busy_ns = 0
        self.failed_ns = 0
        self.latency_ms = 0.0


class Chooser:
    """Chooses among the targets of a service by load, zone and failures."""

    def __init__(self, zone: str, clock: Clock, is_up: Callable[[str], bool]) -> None:
        self.peers: dict[str, Peer] = {}
        self._zone = zone
        self._clock = clock
        self._is_up = is_up

    def choose(
        self,
        members: Collection[Member],
        zones_out: Collection[str],
        tried: Collection[str],
    ) -> Member | None:
        """Choose a ready member that was not tried yet; None where there is none."""
        fit = [
            member
            for member in members
            if member.state == "ready"
            and member.zone not in zones_out
            and member.node_id not in tried
            and self._is_up(member.peer)
        ]
        if not fit:
            return None
        usual_ms = self._find_usual_ms(fit)
        return min(fit, key=lambda member: self.score(member, usual_ms))

    def score(self, member: Member, usual_ms: float) -> float:
        """Return the load to expect at a member; lower is better."""
        peer = self.find_peer(member)
        now_ns = self._clock.now_ns()
        load = peer.in_flight / max(member.slots, 1)
        age_ms = (now_ns - peer.busy_ns) / NS_PER_MS
        if age_ms < REPORT_MEMORY_MS:
            load = max(load, peer.busy)
        if usual_ms and peer.latency_ms > usual_ms * SLOW_FACTOR:
            load *= peer.latency_ms / usual_ms
            load += 0.2
        if member.zone != self._zone:
            load += FAR_PENALTY
        elif load < NEAR_LOAD:
            load *= 0.5
        if now_ns - peer.failed_ns < FAILURE_MEMORY_MS * NS_PER_MS and peer.failed_ns:
            load += FAILURE_PENALTY
        if member.cold:
            load += COLD_PENALTY
        return load + random.random() * 0.02

    def find_peer(self, member: Member) -> Peer:
        """Return what is known of a member's target."""
        found = self.peers.get(member.node_id)
        if found is None:
            found = self.peers[member.node_id] = Peer()
        return found

    def note_answer(self, member: Member, busy: float, latency_ms: float) -> None:
        """Note an answer of a member."""
        peer = self.find_peer(member)
        peer.busy = busy
        peer.busy_ns = self._clock.now_ns()
        if latency_ms:
            peer.latency_ms += (latency_ms - peer.latency_ms) * (
                LATENCY_WEIGHT if peer.latency_ms else 1
            )

    def note_failure(self, member: Member) -> None:
        """Note that a member failed a request."""
        self.find_peer(member).failed_ns = self._clock.now_ns()

    def _find_usual_ms(self, members: list[Member]) -> float:
        known = sorted(
            peer.latency_ms for peer in map(self.find_peer, members) if peer.latency_ms
        )
        return known[(len(known) - 1) // 2] if known else 0.0
