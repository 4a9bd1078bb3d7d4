"""The coordinator of a cell: leases, the view, and the tasks of a term of office."""

import random
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event
from logbook import Logger

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError, PlatformError, RefusalError
from knapweedrock.nodes.cell import (
    name_configuration,
)
from knapweedrock.nodes.handlers import Sender, dispatch, handles
from knapweedrock.nodes.membership import Peer
from knapweedrock.nodes.messages import Assign, Heartbeat, Lease, ProbePlatform
from knapweedrock.nodes.moves import TableKeeper
from knapweedrock.nodes.office import Office, stand_for_office
from knapweedrock.nodes.roster import Process, Roster
from knapweedrock.nodes.tables import Tables
from knapweedrock.nodes.timing import (
    DRIFT_MS,
    PROMISE_MS,
    PROMISE_RENEWAL_MS,
)
from knapweedrock.nodes.view import Member, Range, Table, View
from knapweedrock.nodes.votes import tend_voters

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

TEND_INTERVAL_MS = 40
STAND_PAUSE_MIN_MS = 10
STAND_PAUSE_MAX_MS = 60
OUTSIDER_PAUSE_MS = 1500
LOST_VOTERS_AFTER_MS = 2500
LOST_VOTERS_PAUSE_MS = 1000
TAKE_OFFICE_TIMEOUT_MS = 1500
LAPSE_LIMIT_MS = 3000
PUSH_TIMEOUT_MS = 400
VOTER_INTERVAL_MS = 250
PLATFORM_LOST_LIMIT_MS = 300
PLATFORM_CHECK_INTERVAL_MS = 400
PROBE_ANSWER_MS = 400

log = Logger("coordinator")


class Term:
    """One term of office of this node, from election to its end."""

    def __init__(self, env: "Environment", office: Office) -> None:
        self.env = env
        self.office = office
        self.tables = Tables(env, office)
        self.roster = Roster(env, {})
        self.moving: set[tuple[str, int]] = set()
        self.keepers: dict[str, gevent.Greenlet] = {}
        self.foreign: dict[str, str] = {}
        self.count = 0
        self.voters_checked_ns = 0
        self.platform_lost_ns = 0
        self.platform_checked_ns = 0

    def begin(self) -> bool:
        """Take office: promises, then epochs into tables; tell whether it worked."""
        if not self.office.wait_held(TAKE_OFFICE_TIMEOUT_MS):
            return False
        members = dict(self.env.views.view["members"])
        self.roster = Roster(self.env, members, self.office.free_since_ns())
        self.tables.load()
        if self.office.ended:
            return False
        self.moving = self.tables.list_announced()
        self.publish()
        self.publish_to_all()
        log.info("office taken epoch={}", self.office.epoch)
        return True

    def run(self) -> None:
        """Act as coordinator until the office ends."""
        lapsed_ns = 0
        while not self.office.ended:
            gevent.sleep(TEND_INTERVAL_MS / 1000)
            now = self.env.clock.now_ns()
            if self.office.holds():
                lapsed_ns = 0
                self._tend()
                continue
            lapsed_ns = lapsed_ns or now
            if now - lapsed_ns > LAPSE_LIMIT_MS * NS_PER_MS:
                self.office.end("no majority of the voters promises")
        gevent.killall(list(self.keepers.values()), block=False)

    def answer_heartbeat(self, sender: Sender, heartbeat: Heartbeat) -> Lease:
        """Grant or refuse a member's node lease."""
        if not self.office.holds():
            raise RefusalError(Code.NOT_OWNER, "this node is not the coordinator now")
        if self.roster.hear(heartbeat):
            self.publish()
        if heartbeat.config_version > self.env.configuration.version:
            self._fetch_configuration(heartbeat)
        process = Process(heartbeat.node_id, heartbeat.incarnation)
        lease_ms = self.roster.grant(process)
        version = self.env.configuration.version
        return Lease(self.office.epoch, self.count, lease_ms, version)

    def publish(self) -> None:
        """Make the newest view the one in force at this node."""
        self.count += 1
        self.env.views.replace(self._build_view())

    def publish_to_all(self) -> None:
        """Publish the view and push it, since any member may forward requests."""
        self.publish()
        for node_id in self.roster.entries:
            gevent.spawn(self._push, node_id)

    def ask(self, node_id: str, message: Any, timeout_ms: float) -> Any:
        """Send a request to a member, which may be this node."""
        if node_id == self.env.settings.node_id:
            return dispatch(self.env, Sender(node_id, self.env.incarnation), message)
        entry = self.roster.entries.get(node_id)
        if entry is None:
            raise RefusalError(Code.PEER_UNREACHABLE, f"{node_id} is no member")
        return self.env.links.request(
            entry.member["peer"], node_id, message, timeout_ms
        )

    def _tend(self) -> None:
        if self.roster.remove_lapsed():
            self.publish()
        for service in self._list_keyed_services():
            if service not in self.keepers:
                keeper = TableKeeper(self.env, self, service)
                self.keepers[service] = gevent.spawn(keeper.run)
        now = self.env.clock.now_ns()
        if now - self.voters_checked_ns > VOTER_INTERVAL_MS * NS_PER_MS:
            self.voters_checked_ns = now
            gevent.spawn(tend_voters, self.env, self)
        self._check_platform(now)

    def _check_platform(self, now: int) -> None:
        """Look for a successor once the platform has been lost here for a while."""
        if self.env.coordinator.platform_ok:
            self.platform_lost_ns = 0
            return
        self.platform_lost_ns = self.platform_lost_ns or now
        if now - self.platform_lost_ns < PLATFORM_LOST_LIMIT_MS * NS_PER_MS:
            return
        if now - self.platform_checked_ns > PLATFORM_CHECK_INTERVAL_MS * NS_PER_MS:
            self.platform_checked_ns = now
            gevent.spawn(self._yield_to_reaching_voter)

    def _yield_to_reaching_voter(self) -> None:
        """Resign if a voter still reaches the platform."""
        own = self.env.settings.node_id
        others = [name for name in self.office.record["voters"] if name != own]
        calls = [gevent.spawn(self._reaches_platform, name) for name in others]
        gevent.joinall(calls, timeout=PROBE_ANSWER_MS / 1000)
        if any(call.value for call in calls):
            self.office.resign()

    def _reaches_platform(self, node_id: str) -> bool:
        try:
            self.ask(node_id, ProbePlatform(), PROBE_ANSWER_MS)
        except KnapweedrockError:
            return False
        return True

    def _fetch_configuration(self, heartbeat: Heartbeat) -> None:
        entry = self.roster.entries.get(heartbeat.node_id)
        if entry is not None:
            peer = Peer(heartbeat.node_id, entry.member["peer"])
            gevent.spawn(self._try_fetch, peer)

    def _try_fetch(self, peer: Peer) -> None:
        try:
            self.env.membership.fetch_configuration(peer)
        except KnapweedrockError:
            self.env.counters.count("config_fetches_failed")

    def _push(self, node_id: str) -> None:
        """Push the newest view to a member, as a difference from what it holds."""
        entry = self.roster.entries.get(node_id)
        if entry is None or node_id == self.env.settings.node_id:
            return
        version = self.env.views.version
        note = Assign(*self.env.views.find_change(entry.view_version))
        try:
            self.ask(node_id, note, PUSH_TIMEOUT_MS)
        except KnapweedrockError:
            self.env.counters.count("view_pushes_failed")
            return
        entry.note_view(version)

    def _list_keyed_services(self) -> list[str]:
        services = self.env.configuration.value["services"]
        return [name for name, service in services.items() if service["keyed"]]

    def _build_view(self) -> View:
        members: dict[str, Member] = {
            name: entry.member for name, entry in self.roster.entries.items()
        }
        tables = {
            service: self._mark_moving(service, table)
            for service, table in self.tables.current.items()
        }
        return {
            "cell": self.env.settings.cell,
            "epoch": self.office.epoch,
            "count": self.count,
            "coordinator": self.env.settings.node_id,
            "standby": self._choose_standby(),
            "voters": sorted(self.office.record["voters"]),
            "members": members,
            "tables": tables,
        }

    def _mark_moving(self, service: str, table: Table) -> Table:
        starts = {start for name, start in self.moving if name == service}
        if not starts:
            return table
        ranges: list[Range] = [
            {**entry, "moving": True} if entry["start"] in starts else entry
            for entry in table["ranges"]
        ]
        return {**table, "ranges": ranges}

    def _choose_standby(self) -> str:
        own = self.env.settings.node_id
        voters = sorted(self.office.record["voters"])
        others = [
            name for name in voters if name != own and name in self.roster.entries
        ]
        return others[0] if others else ""


class Coordinator:
    """This node as candidate and, while elected, as coordinator."""

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.term: Term | None = None
        self.stopped = False
        self.wake = Event()
        self.platform_ok = True
        self.waiting_for = ""
        self.pause_ms = float(STAND_PAUSE_MAX_MS)
        env.dumps["coordinator"] = self

    def run(self) -> None:
        """Stand for office whenever no coordinator is heard."""
        while not self.stopped:
            spare_ms = min(self._count_spare_ms(), PROMISE_MS)
            self.wake.wait(max(spare_ms, 0) / 1000)
            self.wake.clear()
            pause_ms = random.uniform(STAND_PAUSE_MIN_MS, STAND_PAUSE_MAX_MS)
            gevent.sleep(pause_ms / 1000)
            if self.stopped or not self._is_needed():
                continue
            try:
                self._serve_term()
            except KnapweedrockError as error:
                self.waiting_for = error.detail
                self.env.counters.count("elections_failed")
                gevent.sleep(PROMISE_RENEWAL_MS / 1000)
            if self.env.membership.silent_ms() > LOST_VOTERS_AFTER_MS:
                self._read_lost_voters()
            if self.env.settings.node_id not in self.env.views.view["voters"]:
                gevent.sleep(random.uniform(0, self._lengthen_pause()) / 1000)

    def answer(self, sender: Sender, message: Any) -> Any:
        """Answer a request of this node to its coordinator, which is itself."""
        return dispatch(self.env, sender, message)

    def get_term(self) -> Term:
        """Return the current term, or raise `RefusalError`."""
        if self.term is None:
            raise RefusalError(Code.NOT_OWNER, "this node is not the coordinator")
        return self.term

    def stop(self) -> None:
        """Resign and stand no more."""
        self.stopped = True
        if self.term is not None:
            self.term.office.resign()

    def status(self) -> dict[str, object]:
        """Return what a coordinator knows of its members."""
        now = self.env.clock.now_ns()
        term = self.term
        members = {} if term is None else term.roster.entries
        return {
            "in_office": term is not None and term.office.holds(),
            "epoch": 0 if term is None else term.office.epoch,
            "voters": {} if term is None else term.office.record["voters"],
            "waiting_for": self.waiting_for if self._is_needed() else "",
            "kept_elsewhere": {} if term is None else dict(term.foreign),
            "members": {
                name: {
                    "config_version": entry.config_version,
                    "last_heard_ms": (now - entry.heard_ns) // NS_PER_MS,
                    "heard": bool(entry.heard_ns),
                    "load": entry.load,
                    "lease_withheld": entry.suspended,
                }
                for name, entry in members.items()
            },
        }

    def dump(self) -> dict[str, object]:
        """Return the status and the ranges on the move."""
        moving = [] if self.term is None else sorted(self.term.moving)
        return {**self.status(), "moving": moving, "platform_ok": self.platform_ok}

    def _is_needed(self) -> bool:
        return not self.env.membership.leaving and self._count_spare_ms() < 0

    def _count_spare_ms(self) -> float:
        """Return how long the coordinator may yet be silent before this node stands."""
        voters = self.env.views.view["voters"]
        limit_ms = PROMISE_MS + DRIFT_MS
        if voters and self.env.settings.node_id not in voters:
            limit_ms += OUTSIDER_PAUSE_MS
        return limit_ms - self.env.membership.silent_ms()

    def _read_lost_voters(self) -> None:
        """Read the configuration, since no coordinator is there to pass it on."""
        name = name_configuration(self.env.settings.group)
        try:
            stored = self.env.platform.get(name)
        except PlatformError:
            return
        if stored is not None:
            self.env.configuration.replace(stored.version, stored.value)
        gevent.sleep(random.uniform(0, LOST_VOTERS_PAUSE_MS) / 1000)

    def _lengthen_pause(self) -> float:
        """Return a longer pause after each try of a node that is no voter."""
        self.pause_ms = min(self.pause_ms * 2, OUTSIDER_PAUSE_MS)
        return self.pause_ms

    def _serve_term(self) -> None:
        office = stand_for_office(self.env)
        if office is None:
            self.waiting_for = "a majority of the voters, or another candidate"
            return
        self.waiting_for = ""
        term = Term(self.env, office)
        try:
            if term.begin():
                self.term = term
                own = self.env.settings
                self.env.membership.coordinator = Peer(own.node_id, str(own.peer))
                self.env.membership.wake.set()
                term.run()
        finally:
            self.term = None
            office.end("the term is over")


@handles(Heartbeat)
def answer_heartbeat(env: "Environment", sender: Sender, beat: Heartbeat) -> Lease:
    """Grant a node lease if this node is the coordinator."""
    if beat.cell != env.settings.cell or beat.node_id != sender.node_id:
        raise RefusalError(Code.BAD_FRAME, "the heartbeat is of another cell or node")
    return env.coordinator.get_term().answer_heartbeat(sender, beat)


def create_coordinator(env: "Environment") -> Coordinator:
    """Create the candidate of a node."""
    return Coordinator(env)
