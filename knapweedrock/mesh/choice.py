"""Choice of a target for services whose requests any target may serve."""

import random
from collections.abc import Callable, Collection

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.mesh.messages import Member, Notice

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
# Time of service to expect where none was measured.
FIRST_LATENCY_MS = 50.0
PACE_JITTER = 0.2
# Time after which the board tells whether a limit still holds.
BOARD_LAG_MS = 2000
MAX_LEAVING = 4096


class Peer:
    """What a node has seen of one target through its requests."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.busy = 0.0
        self.busy_ns = 0
        self.failed_ns = 0
        self.latency_ms = 0.0
        # Time to leave between requests, told at a moment; 0 where there is no limit.
        self.pace_ms = 0.0
        self.paced_ns = 0
        # When the next request keeps that time.
        self.next_ns = 0


class Chooser:
    """Chooses among the targets of a service by load, zone and failures."""

    def __init__(self, zone: str, clock: Clock, is_up: Callable[[str], bool]) -> None:
        self.peers: dict[str, Peer] = {}
        self._zone = zone
        self._clock = clock
        self._is_up = is_up
        # Starts of targets that said that they leave; the latest stands last.
        self._leaving: dict[str, None] = {}

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
            and not self.is_leaving(member)
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
        load += self._find_pace_wait_ms(member, peer) / (usual_ms or FIRST_LATENCY_MS)
        return load + random.random() * 0.02

    def _find_pace_wait_ms(self, member: Member, peer: Peer) -> float:
        """Find how long a limited target is to be left to others."""
        if not peer.pace_ms:
            return 0.0
        now_ns = self._clock.now_ns()
        told_ms = (now_ns - peer.paced_ns) / NS_PER_MS
        if member.limit is None and told_ms > BOARD_LAG_MS:
            # The limit has ended, or the target has started again.
            peer.pace_ms = 0.0
            return 0.0
        return max(0.0, (peer.next_ns - now_ns) / NS_PER_MS)

    def is_leaving(self, member: Member) -> bool:
        """Tell whether a member's target has said that it leaves."""
        return member.target in self._leaving

    def note_sent(self, member: Member) -> None:
        """Note that a request is sent to a member."""
        peer = self.find_peer(member)
        if not peer.pace_ms:
            return
        pace_ns = int(peer.pace_ms * NS_PER_MS)
        # One that is sent later than it could be lets the next one go sooner.
        from_ns = max(peer.next_ns, self._clock.now_ns() - pace_ns)
        jitter = random.uniform(1 - PACE_JITTER, 1 + PACE_JITTER)
        peer.next_ns = from_ns + int(pace_ns * jitter)

    def note_leaving(self, notice: Notice | None) -> None:
        """Note whether a target says that it leaves; it never takes that back."""
        if notice is None or not notice.leaving or notice.target in self._leaving:
            return
        if len(self._leaving) >= MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[notice.target] = None

    def note_notice(self, member: Member, notice: Notice | None) -> None:
        """Note what an answer says of a member's target."""
        self.note_leaving(notice)
        peer = self.find_peer(member)
        was_paced = bool(peer.pace_ms)
        peer.pace_ms = notice.pace_ms if notice is not None else 0.0
        peer.paced_ns = self._clock.now_ns()
        if peer.pace_ms and not was_paced:
            # Nodes that are told together do not come back together.
            wait_ns = random.random() * peer.pace_ms * NS_PER_MS
            peer.next_ns = peer.paced_ns + int(wait_ns)

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
