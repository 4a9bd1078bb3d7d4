"""Membership: heartbeats to the coordinator, and what its answers bring."""

import random
from typing import TYPE_CHECKING, NamedTuple

import gevent
from gevent.event import Event
from logbook import Logger

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import (
    KnapweedrockError,
    LinkError,
    PlatformError,
    RefusalError,
)
from knapweedrock.nodes.cell import read_cell
from knapweedrock.nodes.handlers import Sender, handles
from knapweedrock.nodes.messages import (
    Adopt,
    Assign,
    Done,
    FetchConfig,
    FetchView,
    Heartbeat,
    Lease,
    ViewAnswer,
)
from knapweedrock.nodes.timing import HEARTBEAT_MS, HEARTBEAT_TIMEOUT_MS
from knapweedrock.nodes.updates import NO_VIEW, take_configuration, take_view
from knapweedrock.nodes.view import Member, ViewVersion

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

FETCH_TIMEOUT_MS = 1000
LOOKUP_PAUSE_MIN_MS = 250
LOOKUP_PAUSE_MAX_MS = 2000
FAILED_BEAT_PAUSE_MS = 60
BEHIND_LIMIT_MS = 2000

log = Logger("membership")


class Peer(NamedTuple):
    """Node id and peer address."""

    node_id: str
    address: str


class Membership:
    """This node as a member of its cell."""

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.coordinator: Peer | None = None
        self.last_lease_ns = 0
        self.wake = Event()
        self.leaving = False
        self.lookup_pause_ms = LOOKUP_PAUSE_MIN_MS
        self.lookup_after_ns = 0
        self.behind_since_ns = 0
        env.dumps["membership"] = self

    def run(self) -> None:
        """Send heartbeats for as long as the node lives."""
        while True:
            self.wake.wait(HEARTBEAT_MS * random.uniform(0.9, 1) / 1000)
            self.wake.clear()
            if self.beat():
                continue
            self._look_up()
            gevent.sleep(FAILED_BEAT_PAUSE_MS / 1000)

    def beat(self) -> bool:
        """Send one heartbeat; tell whether it brought a lease."""
        if self.coordinator is None:
            return False
        sent_ns = self.env.clock.now_ns()
        try:
            answer = self._ask(self._create_heartbeat(), HEARTBEAT_TIMEOUT_MS)
            self._take_lease(answer, sent_ns)
        except KnapweedrockError:
            self.env.counters.count("heartbeats_failed")
            return False
        return answer.lease_ms > 0

    def describe(self) -> Member:
        """Describe this node and its target as the cell should see them."""
        settings = self.env.settings
        fields = self.env.delivery.member_fields()
        if self.leaving:
            fields["state"] = "leaving"
        return {
            "node_id": settings.node_id,
            "incarnation": self.env.incarnation,
            "zone": settings.zone,
            "peer": str(settings.peer),
            "caller": str(settings.caller),
            "operator": str(settings.operator),
            **fields,
        }

    def silent_ms(self) -> float:
        """Return how long ago the last heartbeat that brought a lease was sent."""
        return (self.env.clock.now_ns() - self.last_lease_ns) / NS_PER_MS

    def expect_election(self) -> None:
        """Stand for office without waiting for the coordinator to fall silent."""
        self.last_lease_ns = 0
        self.env.coordinator.wake.set()

    def fetch_newer(self) -> None:
        """Fetch a view from the coordinator, if it has a newer one."""
        answer = self._ask(FetchView(*self.env.views.version), FETCH_TIMEOUT_MS)
        if not self._take_view(answer):
            self._take_view(self._ask(FetchView(*NO_VIEW), FETCH_TIMEOUT_MS))

    def accept_view(self, note: Assign | ViewAnswer) -> None:
        """Take a newer view, and beat at once if the coordinator is new.

        A view that is not to be had from the difference is fetched after the beat.
        """
        before = self.coordinator
        if not self._take_view(note) or self.coordinator != before:
            self.wake.set()

    def _take_view(self, note: Assign | ViewAnswer) -> bool:
        """Take a newer view and its coordinator; tell whether the note was of use."""
        before = self.env.views.version
        fitted = take_view(self.env, note)
        if self.env.views.version > before:
            self._follow_view()
        return fitted

    def fetch_configuration(self, peer: Peer) -> None:
        """Fetch a newer configuration from a peer."""
        for version in (self.env.configuration.version, 0):
            answer = self.env.links.request(
                peer.address, peer.node_id, FetchConfig(version), FETCH_TIMEOUT_MS
            )
            if take_configuration(self.env, answer):
                return

    def dump(self) -> dict[str, object]:
        """Return who the coordinator is and when it last answered."""
        return {
            "coordinator": self.coordinator,
            "silent_ms": self.silent_ms(),
            "view": list(self.env.views.version),
            "config_version": self.env.configuration.version,
            "leaving": self.leaving,
        }

    def _ask(self, message, timeout_ms: float):
        peer = self.coordinator
        if peer.node_id == self.env.settings.node_id:
            sender = Sender(peer.node_id, self.env.incarnation)
            return self.env.coordinator.answer(sender, message)
        return self.env.links.request(peer.address, peer.node_id, message, timeout_ms)

    def _create_heartbeat(self) -> Heartbeat:
        load, hot = self.env.delivery.load_report()
        described = self.describe()
        known = self.env.views.view["members"].get(self.env.settings.node_id)
        return Heartbeat(
            cell=self.env.settings.cell,
            node_id=self.env.settings.node_id,
            incarnation=self.env.incarnation,
            epoch=self.env.views.version.epoch,
            count=self.env.views.version.count,
            config_version=self.env.configuration.version,
            load=int(load),
            platform_ok=self.env.coordinator.platform_ok,
            member=None if described == known else described,
            hot=hot,
        )

    def _take_lease(self, answer: Lease, sent_ns: int) -> None:
        version = ViewVersion(answer.epoch, answer.count)
        if version > self.env.views.version:
            self.fetch_newer()
        if not self._keeps_up(answer.config_version):
            return
        if answer.lease_ms <= 0 or self.env.views.version < version:
            return
        if not self.env.lease.remaining_ms() > 0:
            log.info("lease held epoch={} count={}", answer.epoch, answer.count)
        self.env.lease.extend(answer.epoch, sent_ns, answer.lease_ms)
        self.last_lease_ns = max(self.last_lease_ns, sent_ns)
        self.lookup_pause_ms = LOOKUP_PAUSE_MIN_MS

    def _keeps_up(self, version: int) -> bool:
        """Fetch a newer configuration; tell whether the node may use its lease.

        A node that stays behind lets its lease lapse and takes no new work.
        """
        held = self.env.configuration
        now = self.env.clock.now_ns()
        if version <= held.version:
            self.behind_since_ns = 0
            return True
        self.behind_since_ns = self.behind_since_ns or now
        if held.version == 0:
            self.fetch_configuration(self.coordinator)
            return held.version > 0
        gevent.spawn(self._catch_up)
        return now - self.behind_since_ns < BEHIND_LIMIT_MS * NS_PER_MS

    def _catch_up(self) -> None:
        try:
            self.fetch_configuration(self.coordinator)
        except LinkError:
            self.env.counters.count("config_fetches_failed")

    def _follow_view(self) -> None:
        view = self.env.views.view
        member = view["members"].get(view["coordinator"])
        if member is not None:
            self.coordinator = Peer(member["node_id"], member["peer"])

    def _look_up(self) -> None:
        """Find the coordinator through a peer, else through the platform."""
        self._ask_peers()
        now = self.env.clock.now_ns()
        if now < self.lookup_after_ns:
            return
        pause_ms = self.lookup_pause_ms * random.uniform(0.5, 1)
        self.lookup_after_ns = now + int(pause_ms * NS_PER_MS)
        self.lookup_pause_ms = min(self.lookup_pause_ms * 2, LOOKUP_PAUSE_MAX_MS)
        try:
            stored = read_cell(self.env.platform, self.env.settings.cell)
        except PlatformError:
            return
        if stored is not None and stored.value["epoch"] >= self.env.views.version[0]:
            self.coordinator = Peer(stored.value["coordinator"], stored.value["peer"])

    def _ask_peers(self) -> None:
        own = self.env.settings.node_id
        others = [
            member
            for name, member in self.env.views.view["members"].items()
            if name != own
        ]
        if not others:
            return
        member = random.choice(others)
        request = FetchView(*self.env.views.version)
        try:
            answer = self.env.links.request(
                member["peer"], member["node_id"], request, HEARTBEAT_TIMEOUT_MS
            )
        except LinkError:
            return
        self.accept_view(answer)


@handles(Assign)
def accept_assignment(env: "Environment", _sender: Sender, assign: Assign) -> Done:
    """Take a view that the coordinator pushed."""
    env.membership.accept_view(assign)
    return Done()


@handles(Adopt)
def adopt_orders(env: "Environment", _sender: Sender, adopt: Adopt) -> Done:
    """Take over the records of recent order ids."""
    if adopt.incarnation != env.incarnation:
        raise RefusalError(Code.NOT_OWNER, "the records are meant for another process")
    env.delivery.adopt(adopt.service, adopt.orders)
    return Done()


def create_membership(env: "Environment") -> Membership:
    """Create the membership of a node that knows no coordinator yet."""
    return Membership(env)
