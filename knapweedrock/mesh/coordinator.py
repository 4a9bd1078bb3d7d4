"""The coordinator: one node leases rights to all and decides who owns which keys."""

from typing import TYPE_CHECKING, NamedTuple

import gevent
from gevent.event import Event
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import LinkError, PlatformError
from knapweedrock.mesh import ownership
from knapweedrock.mesh.messages import Board, Member, Renew, Renewed, Row
from knapweedrock.mesh.publishing import Publisher
from knapweedrock.mesh.terms import Term
from knapweedrock.platform.store import Store, Stored

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

# Length of the leases that nodes get.
LEASE_MS = 6000
LEASE_MARGIN_MS = 400
SILENT_MS = 1200
FORGET_MS = 20_000
# Nodes have this long to report before the first table is made.
GATHER_MS = 2500
TICK_S = 0.1
BALANCE_MS = 500
# Both sides of a move take part in no other one for so long.
REST_MS = 1800

log = Logger("coordinator")


class Heard(NamedTuple):
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
            name, node.links, node.follower, clock, lambda: self.term.leading
        )
        self._began_ns = 0
        self._heard: dict[str, Heard] = {}
        self._loads: dict[str, list] = {}
        self._beats_ms: dict[str, float] = {}
        self._unheld: dict[str, list[Row]] = {}
        # What targets let go, by service.
        self._released: dict[str, list[tuple[int, int, str]]] = {}
        self._rest: dict[str, int] = {}
        self._balanced_ns = 0
        self._wake = Event()

    def claim(self, found: Stored | None) -> bool:
        """Try to become the coordinator; `found` is the store's object of the term."""
        if not self.term.claim(found):
            return False
        self._begin()
        return True

    def renew(self, request: Renew) -> Renewed:
        """Lease a node its rights and take its report; raises `NO_COORDINATOR`."""
        if not self.term.has_authority():
            raise LinkError(Code.NO_COORDINATOR, "not the coordinator")
        now_ns = self._clock.now_ns()
        name = request.member.node_id
        member = complete_member(request.member, self.board.members.get(name))
        self._heard[name] = Heard(now_ns, now_ns + LEASE_MS * NS_PER_MS)
        self._loads[name] = request.loads
        self._beats_ms[name] = now_ns / NS_PER_MS - request.heartbeat_ms
        rows = self.board.tables.get(member.service, [])
        self._note_unheld(name, rows, request)
        if self.board.members.get(name) != member:
            self._log_member(member)
            self._change(members={**self.board.members, name: member})
        self._publisher.help_follow(request)
        term = self.term
        return Renewed(
            term.epoch,
            LEASE_MS,
            self.board.coordinator,
            self._publisher.find_change(request),
            term.get_revision(),
            term.get_left_ms(),
        )

    def run_plans(self) -> None:
        """Decide on ownership whenever something has changed, for one term."""
        epoch = self.term.epoch
        while self.term.leads(epoch):
            self._wake.wait(TICK_S)
            self._wake.clear()
            if not self.term.has_authority():
                continue
            try:
                self._note_silent()
                for service in self._list_services():
                    self._plan(service)
            except PlatformError as error:
                log.warning("table not written", reason=error.detail)

    def _begin(self) -> None:
        now_ns = self._clock.now_ns()
        self._began_ns = now_ns
        known = self._node.board.members
        lease_until_ns = now_ns + LEASE_MS * NS_PER_MS
        tables = self.term.list_tables()
        owners = {row.node_id for rows in tables.values() for row in rows}
        self._heard = {n: Heard(now_ns, lease_until_ns) for n in {*known, *owners}}
        self._loads, self._unheld, self._released = {}, {}, {}
        epoch = self.term.epoch
        self.board = Board(epoch, 1, self._node.peer, dict(known), tables)
        log.info("elected", epoch=epoch, members=len(known))
        self._node.take_board(self.board)
        gevent.spawn(self.term.run)
        gevent.spawn(self.run_plans)
        self._publisher.begin(self.board)

    def _list_services(self) -> list[str]:
        configuration = self._node.configuration
        if configuration is None:
            return []
        return [s.name for s in configuration.services.values() if s.keyed]

    def _note_unheld(self, name: str, rows: list[Row], request: Renew) -> None:
        released = self._released.setdefault(request.member.service, [])
        released += [tuple(item) for item in request.released]
        spans = {tuple(item) for item in request.unheld}
        self._unheld[name] = [
            row
            for row in rows
            if row.node_id == name and (row.start, row.end, row.token) in spans
        ]
        if spans:
            self._wake.set()

    def _note_silent(self) -> None:
        """Take members that are not heard of as absent, and forget them later."""
        now_ns = self._clock.now_ns()
        members = dict(self.board.members)
        for name, member in self.board.members.items():
            heard = self._heard.get(name, Heard(self._began_ns, now_ns))
            silent_ms = (now_ns - heard.at_ns) / NS_PER_MS
            if silent_ms > FORGET_MS:
                del members[name]
            elif silent_ms > SILENT_MS and member.state == "ready":
                members[name] = member._replace(state="absent")
                log.warning("member silent", about=name, ms=int(silent_ms))
        if members != self.board.members:
            self._change(members=members)

    def _plan(self, service: str) -> None:
        rows = self.board.tables.get(service)
        if rows is None:
            self._plan_first(service)
            return
        facts = self._gather(service, rows)
        now_ns = self._clock.now_ns()
        settled = ownership.settle_rows(rows, facts)
        if settled != rows:
            self._write(service, ownership.merge_rows(settled))
            return
        if self.term.is_store_away():
            # Nothing can be given away while the store is away.
            marked = [row._replace(next_node="") for row in rows]
        else:
            marked = ownership.empty_unfit(rows, facts)
            marked = self._balance(marked, facts, now_ns)
        marked = ownership.merge_rows(ownership.mark_free(marked, facts))
        if marked != rows:
            self._change(tables={**self.board.tables, service: marked})

    def _plan_first(self, service: str) -> None:
        if self._clock.now_ns() - self._began_ns < GATHER_MS * NS_PER_MS:
            return
        fit = ownership.list_fit(self._gather(service, []))
        if fit:
            self._write(service, ownership.create_table(fit))

    def _balance(
        self, rows: list[Row], facts: ownership.Facts, now_ns: int
    ) -> list[Row]:
        if now_ns - self._balanced_ns < BALANCE_MS * NS_PER_MS:
            return rows
        self._balanced_ns = now_ns
        resting = {n for n, until_ns in self._rest.items() if until_ns > now_ns}
        marked = ownership.begin_moves(rows, facts, resting)
        self._note_moves(rows, marked, facts, now_ns)
        return marked

    def _note_moves(
        self,
        before: list[Row],
        marked: list[Row],
        facts: ownership.Facts,
        now_ns: int,
    ) -> None:
        """Log moves that begin, and let both sides rest after them."""
        for row in marked:
            if row.next_node and row not in before:
                until_ns = now_ns + REST_MS * NS_PER_MS
                self._rest[row.node_id] = self._rest[row.next_node] = until_ns
                log.info(
                    "move begins",
                    keys=f"{row.start}-{row.end}",
                    about=row.node_id,
                    receiver=row.next_node,
                    load=round(ownership.measure_row(row, facts), 2),
                )

    def _gather(self, service: str, rows: list[Row]) -> ownership.Facts:
        now_ns = self._clock.now_ns()
        unheld = [row for found in self._unheld.values() for row in found]
        for row in rows:
            heard = self._heard.get(row.node_id, Heard(0, 0))
            if heard.lease_until_ns + LEASE_MARGIN_MS * NS_PER_MS < now_ns:
                unheld.append(row)
        members = {
            name: member
            for name, member in self.board.members.items()
            if member.service == service
        }
        return ownership.Facts(
            members,
            self._node.zones_out,
            self._loads,
            unheld,
            self._released.get(service, []),
            self._beats_ms,
            self._node.settings.heartbeat_interval_ms,
        )

    def _write(self, service: str, rows: list[Row]) -> None:
        """Write a table and then publish it; raises `PlatformError`."""
        self.term.write_table(service, rows)
        self._counters.count("table_writes")
        before = set(self.board.tables.get(service, []))
        for row in rows:
            if row not in before:
                self._log_given(row)
                self._forget_released(service, row)
        self._change(tables={**self.board.tables, service: rows})

    def _forget_released(self, service: str, row: Row) -> None:
        self._released[service] = [
            item
            for item in self._released.get(service, [])
            if item[1] < row.start or item[0] > row.end
        ]

    def _change(self, **fields) -> None:
        version = self.board.version + 1
        self.board = self.board._replace(version=version, **fields)
        self._node.take_board(self.board)
        self._publisher.publish(self.board)
        self._wake.set()

    def _log_member(self, member: Member) -> None:
        log.info(
            "member reports",
            about=member.node_id,
            target=member.target,
            state=member.state,
            cold=member.cold,
        )

    def _log_given(self, row: Row) -> None:
        log.info(
            "keys given",
            keys=f"{row.start}-{row.end}",
            about=row.node_id,
            target=row.target,
            token=row.token,
            warm=bool(row.handover),
        )


def complete_member(member: Member, known: Member | None) -> Member:
    """Return what a node that has just started reports, with the target known before.

    The node learns of its target from the board then, and asks it; until that is
    done the target counts as absent.
    """
    if member.target or known is None or not known.target:
        return member
    state = "draining" if known.state == "draining" else "absent"
    return member._replace(
        target=known.target, instance=known.instance, slots=known.slots, state=state
    )
