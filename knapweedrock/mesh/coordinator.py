"""The coordinator: one node leases rights to all and decides who owns which keys."""

from collections.abc import Collection
from functools import partial
from math import inf
from typing import TYPE_CHECKING, NamedTuple

from gevent.event import Event
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import LinkError, PlatformError
from knapweedrock.mesh import ownership
from knapweedrock.mesh.messages import Board, Member, Renew, Renewed, Row
from knapweedrock.mesh.moves import list_started_moves
from knapweedrock.mesh.planning import Planner
from knapweedrock.mesh.publishing import Publisher
from knapweedrock.mesh.row_loads import measure_row_load
from knapweedrock.mesh.snapshots import Snapshot, list_eligible_members
from knapweedrock.mesh.tasks import spawn_supervised
from knapweedrock.mesh.terms import MAX_OUTAGE_MS, TERM_MS, Term
from knapweedrock.platform.store import Store, Stored

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

# Least length of the leases that nodes get; short, as the keys of a VM that is gone
# without a word move once its lease has run out.
MIN_LEASE_MS = 3000
# Intervals of heartbeats in a lease at least: work is bound to the hold under which it
# began, which may be that of the heartbeat before.
MIN_HEARTBEATS_PER_LEASE = 3
# Longest leases that a former coordinator may have given, from when its term ended.
MAX_LEASE_MS = MAX_OUTAGE_MS - TERM_MS
LEASE_MARGIN_MS = 150
SILENCE_TIMEOUT_MS = 1200
MEMBER_EXPIRY_MS = 20_000
# Nodes have this long to report before the first table is made.
INITIAL_REPORT_MS = 2500
PLAN_INTERVAL_S = 0.1
# Pause between pushes to members that no push has reached.
PUSH_RETRY_MS = 500

log = Logger("coordinator")


class Contact(NamedTuple):
    """When a member was heard last and until when its lease may run, in ns."""

    at_ns: int
    lease_until_ns: int


class Coordinator:
    """A term of one node as the coordinator of the mesh."""

    def __init__(
        self, node: "Node", store: Store, clock: Clock, counters: Counters
    ) -> None:
        name = node.settings.node_id
        self.term = Term(name, node.process, node.peer, store, clock)
        self.board = Board(0, 0, "", {}, {})
        self._node = node
        self._clock = clock
        self._counters = counters
        self._publisher = Publisher(
            name, node.links, node.config_watcher, clock, lambda: self.term.leading
        )
        self._term_started_ns = 0
        self._contacts: dict[str, Contact] = {}
        # End of the longest lease that was given.
        self._max_lease_until_ns = 0
        self._loads: dict[str, list] = {}
        self._heartbeat_at_ms: dict[str, float] = {}
        self._unheld: dict[str, list[Row]] = {}
        # What targets let go, by service.
        self._released: dict[str, list[tuple[int, int, str]]] = {}
        self._planners: dict[str, Planner] = {}
        self._last_push_ns = 0
        self._plan_now = Event()

    def claim(self, stored: Stored | None) -> bool:
        """Try to become the coordinator; `found` is the store's object of the term."""
        if not self.term.claim(stored):
            return False
        self._begin_term(stored)
        return True

    def resign(self) -> None:
        """Give the right to coordinate up."""
        remaining_ns = self._max_lease_until_ns - self._clock.now_ns()
        self.term.resign(max(0, remaining_ns // NS_PER_MS))

    def renew(self, request: Renew) -> Renewed:
        """Lease a node its rights and take its report; raises `NO_COORDINATOR`."""
        if self.term.get_max_lease_ms() <= 0:
            raise LinkError(Code.NO_COORDINATOR, "not the coordinator")
        now_ns = self._clock.now_ns()
        name = request.member.node_id
        member = restore_known_target(request.member, self.board.members.get(name))
        lease_ms = self._grant_lease(name, now_ns)
        self._loads[name] = request.loads
        self._heartbeat_at_ms[name] = now_ns / NS_PER_MS - request.heartbeat_age_ms
        rows = self.board.tables.get(member.service, [])
        self._record_releases(name, rows, request)
        if self.board.members.get(name) != member:
            self._log_member(member)
            self._publish_change(members={**self.board.members, name: member})
        self._publisher.sync_configuration(request)
        term = self.term
        return Renewed(
            term.epoch,
            lease_ms,
            self.board.coordinator,
            self._publisher.get_missing_change(request),
            term.get_revision(),
            term.get_remaining_ms(),
        )

    def get_silence_ms(self, node_id: str) -> float:
        """Return how long ago a node was heard; endless for one that never was."""
        contact = self._contacts.get(node_id)
        return (self._clock.now_ns() - contact.at_ns) / NS_PER_MS if contact else inf

    def run_planning(self, epoch: int) -> None:
        """Decide on ownership whenever something has changed, for one term."""
        while self.term.is_current(epoch):
            self._plan_now.wait(PLAN_INTERVAL_S)
            self._plan_now.clear()
            if self.term.get_max_lease_ms() <= 0:
                continue
            self._mark_silent_members()
            self._retry_pushes()
            if not self.term.has_authority():
                continue
            try:
                for service in self._list_services():
                    self._plan_service(service)
            except PlatformError as error:
                log.warning("table not written", reason=error.detail)

    def _grant_lease(self, name: str, now_ns: int) -> int:
        """Note that a node was heard, and return the length of its lease in ms."""
        contact = self._contacts.get(name, Contact(0, 0))
        max_lease_ms = self.term.get_max_lease_ms()
        lease_ms = compute_lease_ms(self._node.settings.heartbeat_interval_ms)
        if self.term.is_store_unavailable():
            # No key can move while the store is away: leases are to outlast that.
            lease_ms = max_lease_ms
        if not self.term.may_lease(name):
            # A successor may count on it that the node has none.
            lease_ms = 0
        until_ns = max(contact.lease_until_ns, now_ns + lease_ms * NS_PER_MS)
        self._contacts[name] = Contact(now_ns, until_ns)
        self._max_lease_until_ns = max(self._max_lease_until_ns, until_ns)
        return lease_ms

    def _begin_term(self, stored: Stored | None) -> None:
        now_ns = self._clock.now_ns()
        self._term_started_ns = now_ns
        known = self._node.board.members
        tables = self.term.list_tables()
        owners = {row.node_id for rows in tables.values() for row in rows}
        names = {*known, *owners}
        self._contacts = assume_leases(
            stored, names, self._node.settings.node_id, now_ns
        )
        self._max_lease_until_ns = max(
            (contact.lease_until_ns for contact in self._contacts.values()), default=0
        )
        self._loads, self._unheld, self._released = {}, {}, {}
        self._planners = {}
        epoch = self.term.epoch
        self.board = Board(epoch, 1, self._node.peer, dict(known), tables)
        log.info("elected", epoch=epoch, members=len(known))
        self._node.accept_board(self.board)
        spawn_supervised(partial(self.term.run, epoch))
        spawn_supervised(partial(self.run_planning, epoch))
        self._publisher.start_term(self.board)

    def _list_services(self) -> list[str]:
        configuration = self._node.configuration
        if configuration is None:
            return []
        return [s.name for s in configuration.services.values() if s.keyed]

    def _record_releases(self, name: str, rows: list[Row], request: Renew) -> None:
        released = self._released.setdefault(request.member.service, [])
        released += [tuple(item) for item in request.released]
        if not request.unheld:
            self._unheld.pop(name, None)
            return
        spans = {tuple(item) for item in request.unheld}
        self._unheld[name] = [
            row
            for row in rows
            if row.node_id == name and (row.start, row.end, row.token) in spans
        ]
        self._plan_now.set()

    def _mark_silent_members(self) -> None:
        """Take members that are not heard of as absent, and forget them later."""
        now_ns = self._clock.now_ns()
        members = dict(self.board.members)
        for name, member in self.board.members.items():
            contact = self._contacts.get(name, Contact(self._term_started_ns, now_ns))
            silent_ms = (now_ns - contact.at_ns) / NS_PER_MS
            if silent_ms > MEMBER_EXPIRY_MS:
                del members[name]
            elif silent_ms > SILENCE_TIMEOUT_MS and member.state == "ready":
                members[name] = member._replace(state="absent")
                log.warning("member silent", about=name, ms=int(silent_ms))
        if not self.term.is_store_unavailable():
            # A node that is noted as lost now could get no lease for the whole outage.
            self.term.set_lost_nodes(list_lost_nodes(self._contacts, now_ns))
        if members != self.board.members:
            self._publish_change(members=members)

    def _retry_pushes(self) -> None:
        now_ns = self._clock.now_ns()
        if now_ns - self._last_push_ns > PUSH_RETRY_MS * NS_PER_MS:
            self._last_push_ns = now_ns
            self._publisher.push_to_unreached()

    def _plan_service(self, service: str) -> None:
        rows = self.board.tables.get(service)
        if rows is None:
            self._create_initial_table(service)
            return
        snapshot = self._create_snapshot(service, rows)
        now_ms = self._clock.now_ns() / NS_PER_MS
        reassigned = ownership.reassign_rows(rows, snapshot)
        if reassigned != rows:
            self._write_table(service, ownership.merge_rows(reassigned))
            return
        if self.term.is_store_unavailable():
            # Nothing can be given away while the store is away.
            planned = [row._replace(next_node="") for row in rows]
        else:
            planned = ownership.evacuate_rows(rows, snapshot)
            planned = self._plan_moves(service, planned, snapshot, now_ms)
        planned = ownership.merge_rows(ownership.mark_unheld_rows(planned, snapshot))
        if planned != rows:
            self._publish_change(tables={**self.board.tables, service: planned})

    def _create_initial_table(self, service: str) -> None:
        if self._clock.now_ns() - self._term_started_ns < INITIAL_REPORT_MS * NS_PER_MS:
            return
        eligible = list_eligible_members(self._create_snapshot(service, []))
        if eligible:
            self._write_table(service, ownership.create_initial_table(eligible))

    def _plan_moves(
        self, service: str, rows: list[Row], snapshot: Snapshot, now_ms: float
    ) -> list[Row]:
        marked = self._get_planner(service).plan_moves(rows, snapshot, now_ms)
        for row in list_started_moves(rows, marked):
            log.info(
                "move begins",
                keys=f"{row.start}-{row.end}",
                about=row.node_id,
                receiver=row.next_node,
                load=round(measure_row_load(row, snapshot), 2),
            )
        return marked

    def _get_planner(self, service: str) -> Planner:
        return self._planners.setdefault(service, Planner())

    def _create_snapshot(self, service: str, rows: list[Row]) -> Snapshot:
        now_ns = self._clock.now_ns()
        unheld = [row for node_rows in self._unheld.values() for row in node_rows]
        for row in rows:
            contact = self._contacts.get(row.node_id, Contact(0, 0))
            if contact.lease_until_ns + LEASE_MARGIN_MS * NS_PER_MS < now_ns:
                unheld.append(row)
        members = {
            name: self._get_confirmed_member(name, member)
            for name, member in self.board.members.items()
            if member.service == service
        }
        return Snapshot(
            members,
            self._node.zones_out,
            self._loads,
            unheld,
            self._released.get(service, []),
            self._heartbeat_at_ms,
            self._node.settings.heartbeat_interval_ms,
        )

    def _get_confirmed_member(self, name: str, member: Member) -> Member:
        """Return a member, as absent where it was not heard in this term yet.

        A former coordinator's word of it may be out of date, and keys that it got
        now could not move on for long.
        """
        contact = self._contacts.get(name)
        if contact is not None and contact.at_ns > self._term_started_ns:
            return member
        return member._replace(state="absent")

    def _write_table(self, service: str, rows: list[Row]) -> None:
        """Write a table and then publish it; raises `PlatformError`."""
        self.term.write_table(service, rows)
        self._counters.count("table_writes")
        before = set(self.board.tables.get(service, []))
        assigned = [row for row in rows if row not in before]
        for row in assigned:
            self._log_assignment(row)
            self._discard_released(service, row)
        now_ms = self._clock.now_ns() / NS_PER_MS
        self._get_planner(service).record_new_owners(assigned, now_ms)
        self._publish_change(tables={**self.board.tables, service: rows})

    def _discard_released(self, service: str, row: Row) -> None:
        self._released[service] = [
            item
            for item in self._released.get(service, [])
            if item[1] < row.start or item[0] > row.end
        ]

    def _publish_change(self, **fields) -> None:
        version = self.board.version + 1
        self.board = self.board._replace(version=version, **fields)
        self._node.accept_board(self.board)
        self._publisher.publish(self.board)
        self._plan_now.set()

    def _log_member(self, member: Member) -> None:
        log.info(
            "member reports",
            about=member.node_id,
            target=member.target,
            state=member.state,
            cold=member.cold,
        )

    def _log_assignment(self, row: Row) -> None:
        log.info(
            "keys given",
            keys=f"{row.start}-{row.end}",
            about=row.node_id,
            target=row.target,
            token=row.token,
            warm=bool(row.handover),
        )


def assume_leases(
    stored: Stored | None, names: Collection[str], node_id: str, now_ns: int
) -> dict[str, Contact]:
    """Assume the longest leases that nodes may have of the former coordinator.

    `found` is the store's object of its term. Nodes that it had as lost have none,
    once its term has run out.
    """
    max_lease_ms, lost_lease_ms, lost = 0, 0, ()
    if stored is not None:
        value = stored.value
        max_lease_ms = value.get("lease_ms", MAX_LEASE_MS)
        lost = value.get("lost", ())
        may_still_run = value["released"] or value["node"] == node_id
        lost_lease_ms = TERM_MS if may_still_run else 0
    return {
        name: Contact(
            now_ns,
            now_ns + (lost_lease_ms if name in lost else max_lease_ms) * NS_PER_MS,
        )
        for name in names
    }


def list_lost_nodes(contacts: dict[str, Contact], now_ns: int) -> list[str]:
    """List the nodes that are silent and whose leases end before the term could."""
    return [
        name
        for name, contact in contacts.items()
        if now_ns - contact.at_ns > SILENCE_TIMEOUT_MS * NS_PER_MS
        and contact.lease_until_ns - now_ns < TERM_MS * NS_PER_MS
    ]


def restore_known_target(reported: Member, known: Member | None) -> Member:
    """Return what a node reports, with what a former process of it knew.

    A node that has just started learns of its target from the board, and asks it;
    until that is done the target counts as absent. One that has heard a heartbeat
    first does not know yet what the target said in its answers.
    """
    if known is None or not known.target:
        return reported
    if reported.target == known.target:
        return keep_announcements(reported, known)
    if reported.target:
        return reported
    state = "draining" if known.state == "draining" else "absent"
    return reported._replace(
        target=known.target,
        instance=known.instance,
        slots=known.slots,
        state=state,
        limit=known.limit,
    )


def keep_announcements(reported: Member, known: Member) -> Member:
    """Return what is reported of a target, with what it said in its answers before."""
    if known.state == "draining" and reported.state == "ready":
        reported = reported._replace(state="draining")
    if reported.process != known.process and reported.limit is None:
        reported = reported._replace(limit=known.limit)
    return reported


def compute_lease_ms(heartbeat_interval_ms: int) -> int:
    """Find the length of leases for targets with this interval of heartbeats."""
    min_lease_ms = max(MIN_LEASE_MS, MIN_HEARTBEATS_PER_LEASE * heartbeat_interval_ms)
    return min(min_lease_ms, MAX_LEASE_MS)
