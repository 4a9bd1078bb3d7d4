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
from knapweedrock.mesh.facts import Facts, list_fit
from knapweedrock.mesh.loops import spawn_lasting
from knapweedrock.mesh.measures import measure_row
from knapweedrock.mesh.messages import Board, Member, Renew, Renewed, Row
from knapweedrock.mesh.moves import list_begun
from knapweedrock.mesh.planning import Planner
from knapweedrock.mesh.publishing import Publisher
from knapweedrock.mesh.terms import OUTAGE_MS, TERM_MS, Term
from knapweedrock.platform.store import Store, Stored

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

# Least length of the leases that nodes get; short, as the keys of a VM that is gone
# without a word move once its lease has run out.
LEASE_MS = 3000
# Intervals of heartbeats in a lease at least: work is bound to the hold under which it
# began, which may be that of the heartbeat before.
LEASE_INTERVALS = 3
# Longest leases that a former coordinator may have given, from when its term ended.
FORMER_LEASE_MS = OUTAGE_MS - TERM_MS
LEASE_MARGIN_MS = 150
SILENT_MS = 1200
FORGET_MS = 20_000
# Nodes have this long to report before the first table is made.
GATHER_MS = 2500
TICK_S = 0.1
# Pause between pushes to members that no push has reached.
PUSH_AGAIN_MS = 500

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
        # End of the longest lease that was given.
        self._leased_until_ns = 0
        self._loads: dict[str, list] = {}
        self._beats_ms: dict[str, float] = {}
        self._unheld: dict[str, list[Row]] = {}
        # What targets let go, by service.
        self._released: dict[str, list[tuple[int, int, str]]] = {}
        self._planners: dict[str, Planner] = {}
        self._pushed_ns = 0
        self._wake = Event()

    def claim(self, found: Stored | None) -> bool:
        """Try to become the coordinator; `found` is the store's object of the term."""
        if not self.term.claim(found):
            return False
        self._begin(found)
        return True

    def resign(self) -> None:
        """Give the right to coordinate up."""
        left_ns = self._leased_until_ns - self._clock.now_ns()
        self.term.resign(max(0, left_ns // NS_PER_MS))

    def renew(self, request: Renew) -> Renewed:
        """Lease a node its rights and take its report; raises `NO_COORDINATOR`."""
        if self.term.get_outage_ms() <= 0:
            raise LinkError(Code.NO_COORDINATOR, "not the coordinator")
        now_ns = self._clock.now_ns()
        name = request.member.node_id
        member = complete_member(request.member, self.board.members.get(name))
        lease_ms = self._lease(name, now_ns)
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
            lease_ms,
            self.board.coordinator,
            self._publisher.find_change(request),
            term.get_revision(),
            term.get_left_ms(),
        )

    def measure_silence_ms(self, node_id: str) -> float:
        """Return how long ago a node was heard; endless for one that never was."""
        heard = self._heard.get(node_id)
        return (self._clock.now_ns() - heard.at_ns) / NS_PER_MS if heard else inf

    def run_plans(self, epoch: int) -> None:
        """Decide on ownership whenever something has changed, for one term."""
        while self.term.leads(epoch):
            self._wake.wait(TICK_S)
            self._wake.clear()
            if self.term.get_outage_ms() <= 0:
                continue
            self._note_silent()
            self._push_again()
            if not self.term.has_authority():
                continue
            try:
                for service in self._list_services():
                    self._plan(service)
            except PlatformError as error:
                log.warning("table not written", reason=error.detail)

    def _lease(self, name: str, now_ns: int) -> int:
        """Note that a node was heard, and return the length of its lease in ms."""
        known = self._heard.get(name, Heard(0, 0))
        outage_ms = self.term.get_outage_ms()
        lease_ms = find_lease_ms(self._node.settings.heartbeat_interval_ms)
        if self.term.is_store_away():
            # No key can move while the store is away: leases are to outlast that.
            lease_ms = outage_ms
        if not self.term.may_lease(name):
            # A successor may count on it that the node has none.
            lease_ms = 0
        until_ns = max(known.lease_until_ns, now_ns + lease_ms * NS_PER_MS)
        self._heard[name] = Heard(now_ns, until_ns)
        self._leased_until_ns = max(self._leased_until_ns, until_ns)
        return lease_ms

    def _begin(self, found: Stored | None) -> None:
        now_ns = self._clock.now_ns()
        self._began_ns = now_ns
        known = self._node.board.members
        tables = self.term.list_tables()
        owners = {row.node_id for rows in tables.values() for row in rows}
        names = {*known, *owners}
        self._heard = assume_leases(found, names, self._node.settings.node_id, now_ns)
        self._leased_until_ns = max(
            (heard.lease_until_ns for heard in self._heard.values()), default=0
        )
        self._loads, self._unheld, self._released = {}, {}, {}
        self._planners = {}
        epoch = self.term.epoch
        self.board = Board(epoch, 1, self._node.peer, dict(known), tables)
        log.info("elected", epoch=epoch, members=len(known))
        self._node.take_board(self.board)
        spawn_lasting(partial(self.term.run, epoch))
        spawn_lasting(partial(self.run_plans, epoch))
        self._publisher.begin(self.board)

    def _list_services(self) -> list[str]:
        configuration = self._node.configuration
        if configuration is None:
            return []
        return [s.name for s in configuration.services.values() if s.keyed]

    def _note_unheld(self, name: str, rows: list[Row], request: Renew) -> None:
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
        if not self.term.is_store_away():
            # A node that is noted as lost now could get no lease for the whole outage.
            self.term.set_lost(list_lost(self._heard, now_ns))
        if members != self.board.members:
            self._change(members=members)

    def _push_again(self) -> None:
        now_ns = self._clock.now_ns()
        if now_ns - self._pushed_ns > PUSH_AGAIN_MS * NS_PER_MS:
            self._pushed_ns = now_ns
            self._publisher.push_again()

    def _plan(self, service: str) -> None:
        rows = self.board.tables.get(service)
        if rows is None:
            self._plan_first(service)
            return
        facts = self._gather(service, rows)
        now_ms = self._clock.now_ns() / NS_PER_MS
        settled = ownership.settle_rows(rows, facts)
        if settled != rows:
            self._write(service, ownership.merge_rows(settled))
            return
        if self.term.is_store_away():
            # Nothing can be given away while the store is away.
            marked = [row._replace(next_node="") for row in rows]
        else:
            marked = ownership.empty_unfit(rows, facts)
            marked = self._balance(service, marked, facts, now_ms)
        marked = ownership.merge_rows(ownership.mark_free(marked, facts))
        if marked != rows:
            self._change(tables={**self.board.tables, service: marked})

    def _plan_first(self, service: str) -> None:
        if self._clock.now_ns() - self._began_ns < GATHER_MS * NS_PER_MS:
            return
        fit = list_fit(self._gather(service, []))
        if fit:
            self._write(service, ownership.create_table(fit))

    def _balance(
        self, service: str, rows: list[Row], facts: Facts, now_ms: float
    ) -> list[Row]:
        marked = self._get_planner(service).balance(rows, facts, now_ms)
        for row in list_begun(rows, marked):
            log.info(
                "move begins",
                keys=f"{row.start}-{row.end}",
                about=row.node_id,
                receiver=row.next_node,
                load=round(measure_row(row, facts), 2),
            )
        return marked

    def _get_planner(self, service: str) -> Planner:
        return self._planners.setdefault(service, Planner())

    def _gather(self, service: str, rows: list[Row]) -> Facts:
        now_ns = self._clock.now_ns()
        unheld = [row for found in self._unheld.values() for row in found]
        for row in rows:
            heard = self._heard.get(row.node_id, Heard(0, 0))
            if heard.lease_until_ns + LEASE_MARGIN_MS * NS_PER_MS < now_ns:
                unheld.append(row)
        members = {
            name: self._find_proven(name, member)
            for name, member in self.board.members.items()
            if member.service == service
        }
        return Facts(
            members,
            self._node.zones_out,
            self._loads,
            unheld,
            self._released.get(service, []),
            self._beats_ms,
            self._node.settings.heartbeat_interval_ms,
        )

    def _find_proven(self, name: str, member: Member) -> Member:
        """Return a member, as absent where it was not heard in this term yet.

        A former coordinator's word of it may be out of date, and keys that it got
        now could not move on for long.
        """
        heard = self._heard.get(name)
        if heard is not None and heard.at_ns > self._began_ns:
            return member
        return member._replace(state="absent")

    def _write(self, service: str, rows: list[Row]) -> None:
        """Write a table and then publish it; raises `PlatformError`."""
        self.term.write_table(service, rows)
        self._counters.count("table_writes")
        before = set(self.board.tables.get(service, []))
        given = [row for row in rows if row not in before]
        for row in given:
            self._log_given(row)
            self._forget_released(service, row)
        now_ms = self._clock.now_ns() / NS_PER_MS
        self._get_planner(service).note_given(given, now_ms)
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


def assume_leases(
    found: Stored | None, names: Collection[str], node_id: str, now_ns: int
) -> dict[str, Heard]:
    """Assume the longest leases that nodes may have of the former coordinator.

    `found` is the store's object of its term. Nodes that it had as lost have none,
    once its term has run out.
    """
    longest_ms, lost_ms, lost = 0, 0, ()
    if found is not None:
        value = found.value
        longest_ms = value.get("lease_ms", FORMER_LEASE_MS)
        lost = value.get("lost", ())
        is_early = value["released"] or value["node"] == node_id
        lost_ms = TERM_MS if is_early else 0
    return {
        name: Heard(
            now_ns, now_ns + (lost_ms if name in lost else longest_ms) * NS_PER_MS
        )
        for name in names
    }


def list_lost(heard: dict[str, Heard], now_ns: int) -> list[str]:
    """List the nodes that are silent and whose leases end before the term could."""
    return [
        name
        for name, known in heard.items()
        if now_ns - known.at_ns > SILENT_MS * NS_PER_MS
        and known.lease_until_ns - now_ns < TERM_MS * NS_PER_MS
    ]


def complete_member(member: Member, known: Member | None) -> Member:
    """Return what a node reports, with what a former process of it knew.

    A node that has just started learns of its target from the board, and asks it;
    until that is done the target counts as absent. One that has heard a heartbeat
    first does not know yet what the target said in its answers.
    """
    if known is None or not known.target:
        return member
    if member.target == known.target:
        return keep_word(member, known)
    if member.target:
        return member
    state = "draining" if known.state == "draining" else "absent"
    return member._replace(
        target=known.target,
        instance=known.instance,
        slots=known.slots,
        state=state,
        limit=known.limit,
    )


def keep_word(member: Member, known: Member) -> Member:
    """Return what is reported of a target, with what it said in its answers before."""
    if known.state == "draining" and member.state == "ready":
        member = member._replace(state="draining")
    if member.process != known.process and member.limit is None:
        member = member._replace(limit=known.limit)
    return member


def find_lease_ms(heartbeat_interval_ms: int) -> int:
    """Find the length of leases for targets with this interval of heartbeats."""
    wanted_ms = max(LEASE_MS, LEASE_INTERVALS * heartbeat_interval_ms)
    return min(wanted_ms, FORMER_LEASE_MS)
