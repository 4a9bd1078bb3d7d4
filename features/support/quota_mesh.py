"""Nodes that charge quotas of a workspace, with boards, leases and faults in steps."""

import random
from typing import Any, NamedTuple

from features.support.mesh_builders import FakeClock, create_member
from knapweedrock.clock import NS_PER_S
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import LinkError, RefusalError
from knapweedrock.mesh.messages import ChargeQuota, QuotaCharged
from knapweedrock.quotas.buckets import QuotaLimit, QuotaTerms
from knapweedrock.quotas.control import QuotaControl
from knapweedrock.workspaces.definitions import Workspace

STEP_MS = 10
WORKSPACE = "blue"
REMAINING_MS = 1500.0
LEASE_MS = 3000
RENEW_INTERVAL_MS = 600
# The coordinator names a member absent after this silence.
SILENCE_MS = 1200
RESTART_MS = 400


class FakeOutage(NamedTuple):
    """Outage of a peer, as links record it."""

    refused: bool


class FakeNode:
    """A node with its lease and its board; `group` says whom it can reach."""

    def __init__(self, mesh: "QuotaMesh", name: str) -> None:
        self.name = name
        self.group = 0
        self.is_silent = False
        self.up_ns = 0
        self.lease_until_ns = 0
        self.renewed_ns = 0
        self._mesh = mesh
        self.control = self.create_control()

    def create_control(self) -> QuotaControl:
        """Create the control of a process that has just started."""
        mesh = self._mesh
        return QuotaControl(
            self.name,
            mesh.clock,
            Counters(),
            FakeLinks(mesh, self),
            mesh.terms,
            lambda: (self.lease_until_ns - mesh.clock.ns) / 1_000_000,
        )

    def is_up(self) -> bool:
        """Return whether the process runs."""
        return self._mesh.clock.ns >= self.up_ns

    def restart(self) -> None:
        """End the process and start the next one after `RESTART_MS`."""
        self.up_ns = self._mesh.clock.ns + RESTART_MS * 1_000_000
        self.lease_until_ns = 0
        self.renewed_ns = 0
        self.control = self.create_control()


class FakeLinks:
    """Links of one node."""

    def __init__(self, mesh: "QuotaMesh", node: FakeNode) -> None:
        self._mesh = mesh
        self._node = node

    def request(self, peer: str, message: Any, _timeout_ms: float) -> Any:
        """Deliver a charge at once, or fail."""
        other = self._mesh.nodes[peer.partition(":")[0]]
        if not other.is_up():
            raise LinkError(Code.PEER_LOST, "closed by the peer")
        if other.is_silent or other.group != self._node.group:
            raise LinkError(Code.PEER_LOST, "silent")
        if self._mesh.random.random() < self._mesh.lost_share:
            raise LinkError(Code.PEER_LOST, "request lost")
        assert isinstance(message, ChargeQuota)
        answer = other.control.handle_charge(self._node.name, message)
        assert isinstance(answer, QuotaCharged)
        if self._mesh.random.random() < self._mesh.lost_share:
            raise LinkError(Code.PEER_LOST, "answer lost")
        return answer

    def get_outage(self, peer: str) -> FakeOutage | None:
        """Return whether a peer refuses connections."""
        other = self._mesh.nodes[peer.partition(":")[0]]
        is_reachable = other.group == self._node.group and not other.is_silent
        return FakeOutage(True) if is_reachable and not other.is_up() else None


class QuotaMesh:
    """Nodes under a steady demand; `sent_ns` are the times of granted requests."""

    def __init__(self, terms: QuotaTerms, count: int, seed: int = 1) -> None:
        self.clock = FakeClock()
        self.terms = terms
        self.random = random.Random(seed)
        self.lost_share = 0.0
        self.sent_ns: list[int] = []
        self.refused_ns: list[int] = []
        self.version = 1
        self.rate = self.burst = 0.0
        self.nodes = {f"n{n}": FakeNode(self, f"n{n}") for n in range(count)}
        self._start_ns = self.clock.ns

    @property
    def elapsed_s(self) -> float:
        """Return the time since the start."""
        return (self.clock.ns - self._start_ns) / NS_PER_S

    def set_quota(self, rate: float, burst: float) -> None:
        """Set the quota with a new version of the configuration."""
        self.version += 1
        self.rate, self.burst = float(rate), float(burst)

    def get_accountant(self) -> FakeNode:
        """Return the node that accounts for the workspace by the newest board."""
        order = next(iter(self.nodes.values())).control._accounts.order
        return self.nodes[order.list_candidates(WORKSPACE)[0]]

    def step(self, requests_per_s: float) -> None:
        """Advance by `STEP_MS`: renew leases, publish boards, and send requests."""
        self.clock.advance_ms(STEP_MS)
        self._renew_leases()
        for node in self.nodes.values():
            if node.is_up() and not node.is_silent:
                self._send(node, requests_per_s * STEP_MS / 1000)

    def _renew_leases(self) -> None:
        """Renew each lease in its turn; nodes outside group 0 lack a coordinator."""
        interval_ns = RENEW_INTERVAL_MS * 1_000_000
        for node in self.nodes.values():
            is_heard = node.is_up() and not node.is_silent and node.group == 0
            if is_heard and self.clock.ns - node.renewed_ns >= interval_ns:
                node.renewed_ns = self.clock.ns
                node.control.record_renewal()
                node.lease_until_ns = self.clock.ns + LEASE_MS * 1_000_000
                node.control.set_members(self._create_board())

    def _create_board(self) -> dict:
        silence_ns = SILENCE_MS * 1_000_000
        return {
            name: create_member(
                name,
                state="absent"
                if self.clock.ns - node.renewed_ns > silence_ns
                else "ready",
            )
            for name, node in self.nodes.items()
        }

    def _send(self, node: FakeNode, expected: float) -> None:
        count = int(expected) + (self.random.random() < expected % 1)
        workspace = Workspace(WORKSPACE, 0, self.rate, self.burst)
        for _ in range(count):
            try:
                wait_ms = node.control.charge(workspace, self.version, REMAINING_MS)
            except RefusalError:
                self.refused_ns.append(self.clock.ns)
            else:
                self.sent_ns.append(self.clock.ns + int(wait_ms * 1_000_000))

    def find_fullest_window(self, from_s: float = 0.0) -> int:
        """Return the most requests that were sent in any window from a time on."""
        first_ns = self._start_ns + int(from_s * NS_PER_S)
        times = sorted(t for t in self.sent_ns if t >= first_ns)
        window_ns = int(self.terms.window_s * NS_PER_S)
        fullest = begin = 0
        for end, time_ns in enumerate(times):
            while times[begin] <= time_ns - window_ns:
                begin += 1
            fullest = max(fullest, end - begin + 1)
        return fullest

    def compute_limit(self, rate: float, burst: float) -> float:
        """Compute the most requests that a window may have."""
        return self.terms.compute_limit(QuotaLimit(1, rate, burst))


def play_schedule(terms: QuotaTerms, seed: int) -> tuple[int, float]:
    """Play a seeded schedule of faults; return its fullest window and the limit."""
    chance = random.Random(seed)
    mesh = QuotaMesh(terms, chance.randint(2, 7), seed)
    rate = chance.choice((2, 8, 30, 90))
    mesh.set_quota(rate, rate * chance.choice((0.5, 1, 2)))
    mesh.lost_share = chance.choice((0, 0, 0.02, 0.2))
    demand = rate * chance.choice((0.6, 1, 5)) / len(mesh.nodes)
    fault_share = chance.choice((0.005, 0.01, 0.03)) * STEP_MS / 10
    while mesh.elapsed_s < 16:
        if chance.random() < fault_share:
            disturb(mesh, chance)
        mesh.step(demand)
    return mesh.find_fullest_window(), mesh.compute_limit(rate, mesh.burst)


def disturb(mesh: QuotaMesh, chance: random.Random) -> None:
    """Restart, silence, cut off or heal some nodes."""
    nodes = list(mesh.nodes.values())
    node = chance.choice(nodes)
    match chance.randrange(6):
        case 0 | 1:
            node.restart()
        case 2:
            for other in nodes:
                other.restart()
        case 3:
            node.is_silent = not node.is_silent
        case 4:
            # All nodes that are cut off reach each other.
            node.group = 1 - node.group
        case _:
            for other in nodes:
                other.group, other.is_silent = 0, False
