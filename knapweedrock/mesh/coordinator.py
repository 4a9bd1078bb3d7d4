"""The coordinator: the elected node that grants leases and assigns keys to targets."""

from collections.abc import Collection
from functools import partial
from math import inf
from typing import TYPE_CHECKING, NamedTuple

import gevent
from gevent.event import Event
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.eras.recovery import KeptRows, Recovery, strip_mark
from knapweedrock.errors import LinkError, PlatformError
from knapweedrock.mesh import ownership
from knapweedrock.mesh.config_publishing import ConfigurationPublisher
from knapweedrock.mesh.holds import overlaps
from knapweedrock.mesh.leader_records import read_leader_record
from knapweedrock.mesh.messages import Board, Member, Renew, Renewed, Row
from knapweedrock.mesh.moves import list_started_moves
from knapweedrock.mesh.planning import Planner
from knapweedrock.mesh.publishing import Publisher
from knapweedrock.mesh.row_loads import measure_row_load
from knapweedrock.mesh.snapshots import Snapshot, list_eligible_members
from knapweedrock.mesh.tasks import spawn_supervised
from knapweedrock.mesh.terms import (
    LEADER_NAME,
    MAX_OUTAGE_MS,
    RENEW_RETRY_S,
    TERM_MS,
    Memory,
    Term,
)
from knapweedrock.platform.documents import LEADER_KIND
from knapweedrock.platform.store import Store
from knapweedrock.platform.stored_objects import StoredObject

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

# Shortest lease of a node. It is short because the keys of a VM that fails silently
# can move only after its lease has expired.
MIN_LEASE_MS = 3000
# A lease covers at least this many heartbeat intervals: a request is bound to the hold
# under which it started, which may date from the previous heartbeat.
MIN_HEARTBEATS_PER_LEASE = 3
# Longest lease that a former coordinator may have granted, counted from the end of its
# term, and the limit of leases for long heartbeat intervals.
MAX_LEASE_MS = MAX_OUTAGE_MS - TERM_MS
# Time after the end of a lease until the coordinator counts the node's rows as unheld.
LEASE_MARGIN_MS = 150
# A member is marked absent after `SILENCE_TIMEOUT_MS` without a report, and removed
# after `MEMBER_EXPIRY_MS`.
SILENCE_TIMEOUT_MS = 1200
MEMBER_EXPIRY_MS = 20_000
# Time that nodes have to report before the initial table is created.
INITIAL_REPORT_MS = 2500
# Time from the start of a term in which targets that have no node's confirmation yet
# keep their rows: all VMs may have started at the same time.
RETURN_GRACE_MS = 1000
PLAN_INTERVAL_S = 0.1
# Interval between pushes of the board to members that no push has reached yet.
PUSH_RETRY_MS = 500

log = Logger("coordinator")


class Contact(NamedTuple):
    """Time of a member's last report and latest possible end of its lease, in ns."""

    at_ns: int
    lease_until_ns: int


NO_CONTACT = Contact(0, 0)


class Coordinator:
    """One node's role as the coordinator, active while it holds the term."""

    def __init__(
        self, node: "Node", store: Store, clock: Clock, counters: Counters
    ) -> None:
        name = node.settings.node_id
        self.term = Term(
            name,
            node.process,
            node.peer,
            store,
            clock,
            node.config_watcher.record_write,
        )
        self.board = Board(0, 0, "", {}, {})
        self._node = node
        self._clock = clock
        self._counters = counters
        self._publisher = Publisher(
            name,
            node.links,
            counters,
            lambda: self.term.leading,
            node.settings.link_mbps,
        )
        self._configuration_publisher = ConfigurationPublisher(
            node.links, node.config_watcher, clock
        )
        self._term_started_ns = 0
        self._contacts: dict[str, Contact] = {}
        # Contact of nodes that are not known yet.
        self._unknown_contact = NO_CONTACT
        # Latest end of all granted leases.
        self._max_lease_until_ns = 0
        # Measured row loads, time of the last target heartbeat, and rows that no target
        # holds, by the node that reported them.
        self._loads: dict[str, list] = {}
        self._heartbeat_at_ms: dict[str, float] = {}
        self._unheld: dict[str, list[Row]] = {}
        # Key ranges that targets have released, as (start, end, handover), by service.
        self._released: dict[str, list[tuple[int, int, str]]] = {}
        self._planners: dict[str, Planner] = {}
        # Set while the term does not know all holders of keys of earlier eras.
        self._recovery: Recovery | None = None
        self._kept_rows = KeptRows()
        self._last_push_ns = 0
        self._plan_now = Event()

    def claim(self, leader_record: StoredObject | None) -> bool:
        """Try to become the coordinator.

        `leader_record` is the record as last read from the store.
        """
        board = self._node.board
        tables = {
            service: [strip_mark(row) for row in rows]
            for service, rows in board.tables.items()
        }
        if not self.term.claim(leader_record, Memory(board.epoch, tables)):
            return False
        self._begin_term(leader_record)
        return True

    def resign(self) -> None:
        """Resign as coordinator, recording how long granted leases still run."""
        remaining_ns = self._max_lease_until_ns - self._clock.now_ns()
        self.term.resign(max(0, remaining_ns // NS_PER_MS))

    def renew(self, request: Renew) -> Renewed:
        """Renew a node's lease and record its report.

        Raises `LinkError` with `NO_COORDINATOR` unless this node may grant leases.
        """
        if self.term.get_max_lease_ms() <= 0:
            raise LinkError(Code.NO_COORDINATOR, "this node is not the coordinator")
        now_ns = self._clock.now_ns()
        name = request.member.node_id
        member = restore_known_target(request.member, self.board.members.get(name))
        self._loads[name] = request.loads
        self._heartbeat_at_ms[name] = now_ns / NS_PER_MS - request.heartbeat_age_ms
        rows = self.board.tables.get(member.service, [])
        self._record_releases(name, rows, request)
        self._kept_rows.record(member, request.kept)
        self._record_held(member, rows, request)
        if self.board.members.get(name) != member:
            self._log_member(member)
            self._publish_change(members={**self.board.members, name: member})
        self._configuration_publisher.sync(request)
        missing = self._publisher.get_missing_change(request)
        # The node may grant rows by its old board: no lease before it has the change.
        lease_ms = 0 if missing.follows else self._compute_lease_ms(name)
        self._record_lease(name, lease_ms, now_ns)
        term = self.term
        return Renewed(
            term.epoch,
            lease_ms,
            self.board.coordinator,
            missing.change,
            term.get_version().revision,
            term.get_remaining_ms(),
            missing.follows,
            term.get_version().era,
        )

    def is_recovering(self) -> bool:
        """Return whether this node leads and does not know all holders of keys."""
        return self.term.leading and self._recovery is not None

    def get_silence_ms(self, node_id: str) -> float:
        """Return the time since a node's last report, `inf` if it never reported."""
        contact = self._contacts.get(node_id)
        return (self._clock.now_ns() - contact.at_ns) / NS_PER_MS if contact else inf

    def run_planning(self, epoch: int) -> None:
        """Plan ownership on each change and at intervals until the term ends."""
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
                self._end_recovery_if_over()
            except PlatformError as error:
                log.warning("table not written", reason=error.detail)

    def _compute_lease_ms(self, name: str) -> int:
        """Return the length in ms of the lease that a node may get now."""
        if not self.term.may_lease(name):
            # The store lists the node as lost, so a successor may reassign its keys
            # without waiting for a lease.
            return 0
        if self.term.is_store_unavailable():
            # No key can move during a store outage, so leases last through it.
            return self.term.get_max_lease_ms()
        return compute_lease_ms(self._node.settings.heartbeat_interval_ms)

    def _record_lease(self, name: str, lease_ms: int, now_ns: int) -> None:
        """Record contact with a node and the lease that it gets."""
        contact = self._contacts.get(name, self._unknown_contact)
        until_ns = max(contact.lease_until_ns, now_ns + lease_ms * NS_PER_MS)
        self._contacts[name] = Contact(now_ns, until_ns)
        self._max_lease_until_ns = max(self._max_lease_until_ns, until_ns)

    def _begin_term(self, leader_record: StoredObject | None) -> None:
        now_ns = self._clock.now_ns()
        self._term_started_ns = now_ns
        known = self._node.board.members
        tables = self.term.list_tables()
        owners = {row.node_id for rows in tables.values() for row in rows}
        names = {*known, *owners}
        self._contacts = assume_leases(
            leader_record, names, self._node.settings.node_id, now_ns
        )
        self._unknown_contact = NO_CONTACT
        if self.term.recovering:
            # Also a node that neither the copy nor this node knows may have a lease.
            longest_until_ns = now_ns + MAX_OUTAGE_MS * NS_PER_MS
            self._contacts = dict.fromkeys(names, Contact(now_ns, longest_until_ns))
            self._unknown_contact = Contact(0, longest_until_ns)
        contacts = (self._unknown_contact, *self._contacts.values())
        self._max_lease_until_ns = max(contact.lease_until_ns for contact in contacts)
        self._loads, self._unheld, self._released = {}, {}, {}
        self._planners = {}
        self._kept_rows = KeptRows()
        self._recovery = None
        if self.term.recovering:
            longest_ms = MAX_OUTAGE_MS + LEASE_MARGIN_MS
            until_ns = now_ns + longest_ms * NS_PER_MS
            self._recovery = Recovery(self.term.era, until_ns)
        epoch = self.term.epoch
        log.info(
            "elected",
            epoch=epoch,
            members=len(known),
            era=self.term.era,
            recovering=self.term.recovering,
        )
        self._start_term(dict(known), tables)

    def _start_term(
        self, members: dict[str, Member], tables: dict[str, list[Row]]
    ) -> None:
        """Publish the first board of a term, and start the term's tasks."""
        epoch = self.term.epoch
        self.board = Board(epoch, 1, self._node.peer, members, tables, self.term.era)
        former_boards = list(self._node.recent_boards)
        self._node.accept_board(self.board)
        spawn_supervised(partial(self._run_term, epoch))
        spawn_supervised(partial(self.run_planning, epoch))
        self._publisher.start_term(self.board, former_boards)

    def _run_term(self, epoch: int) -> None:
        """Renew the term; claim again when the store has come back from a copy."""
        self.term.run(epoch)
        while self.term.is_current(epoch) and self.term.has_era_ended():
            try:
                self._claim_in_new_era()
            except PlatformError as error:
                log.warning("term not claimed again", reason=error.detail)
            if self.term.is_current(epoch):
                gevent.sleep(RENEW_RETRY_S)

    def _claim_in_new_era(self) -> None:
        """Claim the leadership in a new era, unless another node has done so."""
        store, term = self._node.store, self.term
        record = store.get(LEADER_KIND, LEADER_NAME)
        if record is not None and self._is_claimed_by_other(record):
            log.warning("term lost", epoch=term.epoch, era=record.era)
            term.leading = False
            return
        if not term.had_authority_in_next_era():
            # Another node may have led since, and only its targets know.
            self.claim(record)
            return
        board = self.board
        if term.claim(record, Memory(board.epoch, board.tables, is_complete=True)):
            log.warning("term claimed again", epoch=term.epoch, era=term.era)
            tables = term.list_tables() | self.board.tables
            self._start_term(dict(self.board.members), tables)

    def _is_claimed_by_other(self, record: StoredObject) -> bool:
        leader = read_leader_record(record)
        return leader.era >= record.era and leader.process != self._node.process

    def _list_services(self) -> list[str]:
        configuration = self._node.configuration
        if configuration is None:
            return []
        return [s.name for s in configuration.services.values() if s.keyed]

    def _record_releases(self, name: str, rows: list[Row], request: Renew) -> None:
        released = self._released.setdefault(request.member.service, [])
        released += [tuple(item) for item in request.released]
        if request.kept:
            self._plan_now.set()
        if not request.unheld:
            self._unheld.pop(name, None)
            return
        own_rows = [row for row in rows if row.node_id == name]
        self._unheld[name] = list_parts(own_rows, request.unheld)
        self._plan_now.set()

    def _record_held(self, member: Member, rows: list[Row], request: Renew) -> None:
        """Record which rows a target holds, from a heartbeat during a recovery."""
        age_ms = (self._clock.now_ns() - self._term_started_ns) / NS_PER_MS
        if self._recovery is None or request.epoch != self.board.epoch:
            return
        if request.heartbeat_age_ms >= age_ms:
            return
        unheld = self._unheld.get(member.node_id, [])
        self._recovery.record_held(
            row
            for row in rows
            if (row.node_id, row.target) == (member.node_id, member.target)
            and not any(overlaps(row, other) for other in unheld)
        )

    def _end_recovery_if_over(self) -> None:
        recovery, now_ns = self._recovery, self._clock.now_ns()
        if recovery is None or now_ns <= recovery.until_ns:
            return
        # A successor in the meantime recovers anew, as it knows none of these leases.
        self._recovery = None
        self.term.end_recovery()
        log.info("recovery ended", epoch=self.term.epoch)

    def _mark_silent_members(self) -> None:
        """Mark silent members absent and remove them after `MEMBER_EXPIRY_MS`."""
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
            # During an outage the list of lost nodes in the store cannot shrink, and
            # a node listed there would get no lease until the outage ends.
            self.term.set_lost_nodes(list_lost_nodes(self._contacts, now_ns))
        if members != self.board.members:
            self._publish_change(members=members)

    def _retry_pushes(self) -> None:
        now_ns = self._clock.now_ns()
        if now_ns - self._last_push_ns > PUSH_RETRY_MS * NS_PER_MS:
            self._last_push_ns = now_ns
            self._publisher.push_to_unreached()
            self._publisher.report_sent()

    def _plan_service(self, service: str) -> None:
        rows = self.board.tables.get(service)
        names = [n for n, m in self.board.members.items() if m.service == service]
        if rows is None and not self._kept_rows.has_any(names):
            self._create_initial_table(service)
            return
        if rows is None:
            # The copy of the store is older than the first table.
            rows = ownership.create_unowned_rows()
        snapshot = self._create_snapshot(service, rows)
        now_ms = self._clock.now_ns() / NS_PER_MS
        adopted = self._kept_rows.adopt(rows, names)
        if adopted != rows:
            self._adopt_rows(service, rows, adopted)
            return
        rows = ownership.split_unheld(rows, snapshot)
        reassigned = ownership.reassign_rows(rows, snapshot)
        if reassigned != rows:
            self._write_table(service, ownership.merge_rows(reassigned))
            return
        if self.term.is_store_unavailable():
            # Reassignment requires a write to the store, so no move can complete.
            planned = [row._replace(next_node="") for row in rows]
        else:
            planned = ownership.evacuate_rows(rows, snapshot)
            planned = self._plan_moves(service, planned, snapshot, now_ms)
        planned = ownership.merge_rows(ownership.mark_unheld_rows(planned, snapshot))
        if planned != self.board.tables.get(service):
            self._publish_change(tables={**self.board.tables, service: planned})

    def _adopt_rows(self, service: str, rows: list[Row], adopted: list[Row]) -> None:
        """Assign keys to targets that hold them under a higher token than the board's.

        Raises `PlatformError` if the write fails.
        """
        count = len(set(adopted) - set(rows))
        log.warning("keys adopted", service=service, rows=count)
        self._counters.count("keys_adopted", count)
        self._write_table(service, adopted)

    def _create_initial_table(self, service: str) -> None:
        if self._clock.now_ns() - self._term_started_ns < INITIAL_REPORT_MS * NS_PER_MS:
            return
        eligible = list_eligible_members(self._create_snapshot(service, []))
        if eligible:
            rows = ownership.create_initial_table(eligible, self.term.era)
            self._write_table(service, rows)

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
            contact = self._contacts.get(row.node_id, self._unknown_contact)
            if contact.lease_until_ns + LEASE_MARGIN_MS * NS_PER_MS < now_ns:
                unheld.append(row)
        if self._recovery is not None:
            unheld = [r for r in unheld if self._recovery.may_reassign(r, now_ns)]
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
            self._list_returning(members),
            era=self.term.era,
        )

    def _list_returning(self, members: dict[str, Member]) -> Collection[str]:
        """List members that have reported in a young term, without a ready target."""
        age_ms = (self._clock.now_ns() - self._term_started_ns) / NS_PER_MS
        if age_ms > RETURN_GRACE_MS:
            return ()
        return [
            name
            for name, member in members.items()
            if member.state == "absent" and self.get_silence_ms(name) < age_ms
        ]

    def _get_confirmed_member(self, name: str, member: Member) -> Member:
        """Return the member, marked absent unless it has reported in this term.

        The state that a former coordinator published may be stale. Keys assigned to
        a failed member cannot move again until that member's lease has expired.
        """
        contact = self._contacts.get(name)
        if contact is not None and contact.at_ns > self._term_started_ns:
            return member
        return member._replace(state="absent")

    def _write_table(self, service: str, rows: list[Row]) -> None:
        """Write a service's table to the store, then publish it.

        Raises `PlatformError` when the write fails.
        """
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
    leader_record: StoredObject | None,
    names: Collection[str],
    node_id: str,
    now_ns: int,
) -> dict[str, Contact]:
    """Return contacts with the longest leases that nodes may hold from a former term.

    `leader_record` is the record of the former coordinator. Nodes that it lists as lost
    hold no lease once the former term has expired.
    """
    max_lease_ms, lost_lease_ms, lost = 0, 0, ()
    if leader_record is not None:
        leader = read_leader_record(leader_record)
        max_lease_ms = MAX_LEASE_MS if leader.lease_ms is None else leader.lease_ms
        lost = leader.lost
        may_still_run = leader.released or leader.node == node_id
        lost_lease_ms = TERM_MS if may_still_run else 0
    return {
        name: Contact(
            now_ns,
            now_ns + (lost_lease_ms if name in lost else max_lease_ms) * NS_PER_MS,
        )
        for name in names
    }


def list_parts(rows: list[Row], ranges: Collection[tuple[int, int, int]]) -> list[Row]:
    """List the parts of rows in ranges `(start, end, token)` of the same token."""
    return [
        row._replace(start=max(row.start, start), end=min(row.end, end))
        for start, end, token in ranges
        for row in rows
        if row.token == token and row.start <= end and start <= row.end
    ]


def list_lost_nodes(contacts: dict[str, Contact], now_ns: int) -> list[str]:
    """List silent nodes whose leases expire within the length of a term."""
    return [
        name
        for name, contact in contacts.items()
        if now_ns - contact.at_ns > SILENCE_TIMEOUT_MS * NS_PER_MS
        and contact.lease_until_ns - now_ns < TERM_MS * NS_PER_MS
    ]


def restore_known_target(reported: Member, known: Member | None) -> Member:
    """Complete a node's report with what its former process knew about the target.

    A node that has just started learns its target from the board and then probes it;
    until the probe succeeds the target counts as absent. A node that receives a
    heartbeat before the board does not know yet whether the target announced in its
    responses that it is leaving or limited.
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
    """Keep what a target announced in its responses: that it leaves, and its limit."""
    if known.state == "draining" and reported.state == "ready":
        reported = reported._replace(state="draining")
    if reported.process != known.process and reported.limit is None:
        reported = reported._replace(limit=known.limit)
    return reported


def compute_lease_ms(heartbeat_interval_ms: int) -> int:
    """Return the lease length in ms for a heartbeat interval of targets."""
    min_lease_ms = max(MIN_LEASE_MS, MIN_HEARTBEATS_PER_LEASE * heartbeat_interval_ms)
    return min(min_lease_ms, MAX_LEASE_MS)
