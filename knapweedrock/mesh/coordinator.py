"""The coordinator: one node leases rights to all and decides who owns which keys.

The right to coordinate is an object in the platform's store that its holder renews.
"""

from typing import TYPE_CHECKING, NamedTuple

import gevent
from gevent.event import Event
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError, LinkError, PlatformError
from knapweedrock.mesh import ownership
from knapweedrock.mesh.boards import BoardHistory
from knapweedrock.mesh.messages import (
    Board,
    Member,
    Publish,
    PublishConfiguration,
    Renew,
    Renewed,
    Row,
)
from knapweedrock.platform.documents import LEADER_KIND, TABLE_KIND
from knapweedrock.platform.store import ConflictError, Store, Stored

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

LEADER_NAME = "coordinator"
# Length of the leases that nodes get.
LEASE_MS = 6000
# Time for which a renewal of the right to coordinate counts.
TERM_MS = 4000
TERM_MARGIN_MS = 300
TERM_RENEW_S = 1.0
TERM_RETRY_S = 0.3
WRITE_TIMEOUT_S = 1.5
LEASE_MARGIN_MS = 400
SILENT_MS = 1200
FORGET_MS = 20_000
GATHER_MS = 2500
TICK_S = 0.1
BALANCE_MS = 500
MOVES_AT_ONCE = 3
REST_MS = 1800
PUBLISH_TIMEOUT_MS = 500
STORE_DOUBT_MS = 1500
# A node that reads the store has a new configuration sooner than this.
BEHIND_MS = 300

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
        self.leading = False
        self.epoch = 0
        self.board = Board(0, 0, "", {}, {})
        self._node = node
        self._store = store
        self._clock = clock
        self._counters = counters
        self._lock: Stored | None = None
        self._until_ns = 0
        self._renewed_ns = 0
        self._began_ns = 0
        self._heard: dict[str, Heard] = {}
        self._loads: dict[str, list] = {}
        self._beats_ms: dict[str, float] = {}
        self._unheld: dict[str, list[Row]] = {}
        # What targets let go, by service.
        self._released: dict[str, list[tuple[int, int, str]]] = {}
        self._stored: dict[str, Stored] = {}
        self._rest: dict[str, int] = {}
        self._balanced_ns = 0
        self._wake = Event()
        self._history = BoardHistory(self.board)
        self._publishing: set[str] = set()
        # Since when a member's configuration is older than the coordinator's, in ns.
        self._behind_ns: dict[str, int] = {}
        # Version that each member is known to have.
        self._pushed: dict[str, tuple[int, int]] = {}

    def has_authority(self) -> bool:
        """Tell whether the right to coordinate still counts."""
        return self.leading and self._clock.now_ns() < self._until_ns

    def claim(self, found: Stored | None) -> bool:
        """Try to take the right to coordinate; `found` is the object as last read."""
        sent_ns = self._clock.now_ns()
        epoch = int(found.value["epoch"]) + 1 if found else 1
        value = self._describe_term(epoch, 0)
        try:
            lock = self._store.put(
                LEADER_KIND, LEADER_NAME, value, found, WRITE_TIMEOUT_S
            )
            self._stored = self._load_tables(epoch)
        except PlatformError as error:
            log.info("claim failed", epoch=epoch, reason=error.detail)
            return False
        self._lock = lock
        self.epoch = epoch
        self._begin(sent_ns)
        return True

    def resign(self) -> None:
        """Give the right up, so that another node can take it at once."""
        if not self.leading:
            return
        self.leading = False
        value = {**self._describe_term(self.epoch, 0), "released": True}
        try:
            self._store.replace(
                LEADER_KIND, LEADER_NAME, value, self._lock.revision, WRITE_TIMEOUT_S
            )
            log.info("term given up", epoch=self.epoch)
        except PlatformError as error:
            log.warning("term not given up", reason=error.detail)

    def renew(self, request: Renew) -> Renewed:
        """Lease a node its rights and take its report; raises `NO_MAJORITY`."""
        if not self.has_authority():
            raise LinkError(Code.NO_MAJORITY, "not the coordinator")
        now_ns = self._clock.now_ns()
        member = request.member
        name = member.node_id
        self._heard[name] = Heard(now_ns, now_ns + LEASE_MS * NS_PER_MS)
        self._loads[name] = request.loads
        self._beats_ms[name] = now_ns / NS_PER_MS - request.heartbeat_ms
        self._pushed[name] = (request.epoch, request.version)
        rows = self.board.tables.get(member.service, [])
        self._note_unheld(name, rows, request)
        if self.board.members.get(name) != member:
            self._log_member(member)
            self._change(members={**self.board.members, name: member})
        self._help_follow(request)
        change = None
        if self._get_version() > (request.epoch, request.version):
            change = self._history.find_change(request.epoch, request.version)
        return Renewed(self.epoch, LEASE_MS, self.board.coordinator, change)

    def run_term(self) -> None:
        """Renew the right to coordinate until it is lost."""
        number = 0
        while self.leading:
            number += 1
            sent_ns = self._clock.now_ns()
            try:
                self._lock = self._store.replace(
                    LEADER_KIND,
                    LEADER_NAME,
                    self._describe_term(self.epoch, number),
                    self._lock.revision,
                    TERM_RENEW_S,
                )
            except ConflictError as error:
                if self._adopt_own(error.current):
                    continue
                log.warning("term lost", epoch=self.epoch)
                self.leading = False
                return
            except PlatformError as error:
                log.warning("term not renewed", reason=error.detail)
                gevent.sleep(TERM_RETRY_S)
                continue
            self._renewed_ns = sent_ns
            self._until_ns = sent_ns + (TERM_MS - TERM_MARGIN_MS) * NS_PER_MS
            gevent.sleep(TERM_RENEW_S)

    def _adopt_own(self, current: Stored | None) -> bool:
        """Go on from an earlier renewal of this term that took effect late."""
        if current is None or current.value["released"]:
            return False
        holder = (current.value["process"], current.value["epoch"])
        if holder != (self._node.process, self.epoch):
            return False
        self._lock = current
        return True

    def run_plans(self) -> None:
        """Decide on ownership whenever something has changed."""
        while self.leading:
            self._wake.wait(TICK_S)
            self._wake.clear()
            if not self.has_authority():
                continue
            try:
                self._note_silent()
                for service in self._list_services():
                    self._plan(service)
            except PlatformError as error:
                log.warning("table not written", reason=error.detail)

    def _begin(self, sent_ns: int) -> None:
        now_ns = self._clock.now_ns()
        self.leading = True
        self._began_ns = self._renewed_ns = now_ns
        self._until_ns = sent_ns + (TERM_MS - TERM_MARGIN_MS) * NS_PER_MS
        known = self._node.board.members
        lease_until_ns = now_ns + LEASE_MS * NS_PER_MS
        tables = {
            name: [Row(*row) for row in stored.value["rows"]]
            for name, stored in self._stored.items()
        }
        owners = {row.node_id for rows in tables.values() for row in rows}
        self._heard = {n: Heard(now_ns, lease_until_ns) for n in {*known, *owners}}
        self._loads, self._unheld, self._released = {}, {}, {}
        peer = self._node.peer
        self.board = Board(self.epoch, 1, peer, dict(known), tables)
        self._history = BoardHistory(self.board)
        self._pushed = {}
        log.info("elected", epoch=self.epoch, members=len(known))
        self._node.take_board(self.board)
        gevent.spawn(self.run_term)
        gevent.spawn(self.run_plans)
        self._publish()

    def _describe_term(self, epoch: int, number: int) -> dict:
        node = self._node
        return {
            "epoch": epoch,
            "node": node.settings.node_id,
            "process": node.process,
            "peer": node.peer,
            "number": number,
            "released": False,
        }

    def _load_tables(self, epoch: int) -> dict[str, Stored]:
        """Put the epoch into each table, so that a former coordinator's writes fail."""
        found = {}
        for item in self._store.list_kind(TABLE_KIND).items:
            value = {**item.value, "epoch": epoch}
            found[item.name] = self._store.replace(
                TABLE_KIND, item.name, value, item.revision, WRITE_TIMEOUT_S
            )
        return found

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

    def _help_follow(self, request: Renew) -> None:
        """Push the configuration to a node that does not get it from the store."""
        name, now_ns = request.member.node_id, self._clock.now_ns()
        message = self._node.follower.find_news(request)
        if message is None:
            self._behind_ns.pop(name, None)
            return
        since_ns = self._behind_ns.setdefault(name, now_ns)
        if now_ns - since_ns > BEHIND_MS * NS_PER_MS:
            del self._behind_ns[name]
            gevent.spawn(self._push_configuration, request.member, message)

    def _push_configuration(
        self, member: Member, message: PublishConfiguration
    ) -> None:
        try:
            self._node.links.request(member.peer, message, PUBLISH_TIMEOUT_MS)
            log.info("configuration pushed", about=member.node_id)
        except KnapweedrockError as error:
            reason = error.detail
            log.info("configuration not pushed", about=member.node_id, reason=reason)

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
        if now_ns - self._renewed_ns > STORE_DOUBT_MS * NS_PER_MS:
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
        for _ in range(MOVES_AT_ONCE):
            resting = {n for n, until_ns in self._rest.items() if until_ns > now_ns}
            marked = ownership.balance_rows(rows, facts, resting)
            if marked == rows:
                break
            self._note_moves(rows, marked, facts, now_ns)
            rows = marked
        return rows

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
        value = {
            "epoch": self.epoch,
            "rows": [list(row._replace(next_node="")) for row in rows],
        }
        stored = self._stored.get(service)
        try:
            written = self._store.put(
                TABLE_KIND, service, value, stored, WRITE_TIMEOUT_S
            )
        except ConflictError as error:
            self._adopt_late_table(service, error.current)
            raise
        before = self.board.tables.get(service, [])
        for row in rows:
            if row not in before:
                log.info(
                    "keys given",
                    keys=f"{row.start}-{row.end}",
                    about=row.node_id,
                    target=row.target,
                    token=row.token,
                    warm=bool(row.handover),
                )
                self._forget_released(service, row)
        self._stored[service] = written
        self._counters.count("table_writes")
        self._change(tables={**self.board.tables, service: rows})

    def _adopt_late_table(self, service: str, current: Stored | None) -> None:
        """Go on from an earlier write of this term that took effect late.

        What it says was never published, so the next write may replace it.
        """
        if current is not None and current.value["epoch"] == self.epoch:
            self._stored[service] = current
        else:
            log.warning("table lost", service=service, epoch=self.epoch)
            self.leading = False

    def _forget_released(self, service: str, row: Row) -> None:
        self._released[service] = [
            item
            for item in self._released.get(service, [])
            if item[1] < row.start or item[0] > row.end
        ]

    def _change(self, **fields) -> None:
        version = self.board.version + 1
        self.board = self.board._replace(version=version, **fields)
        self._history.add(self.board)
        self._node.take_board(self.board)
        self._publish()
        self._wake.set()

    def _publish(self) -> None:
        for name, member in self.board.members.items():
            if name == self._node.settings.node_id or name in self._publishing:
                continue
            self._publishing.add(name)
            gevent.spawn(self._push, name, member)

    def _push(self, name: str, member: Member) -> None:
        """Push changes to a member until it has the newest board."""
        try:
            while self.leading and self._pushed.get(name) != self._get_version():
                held = self._pushed.get(name, (0, 0))
                change = self._history.find_change(*held)
                answer = self._node.links.request(
                    member.peer, Publish(change), PUBLISH_TIMEOUT_MS
                )
                self._pushed[name] = (answer.epoch, answer.version)
                if answer.epoch > self.epoch:
                    return
        except KnapweedrockError as error:
            # It gets the board with its next lease.
            self._pushed.pop(name, None)
            log.debug("board not pushed", about=name, reason=error.detail)
        finally:
            self._publishing.discard(name)

    def _get_version(self) -> tuple[int, int]:
        return self.board.epoch, self.board.version

    def _log_member(self, member: Member) -> None:
        log.info(
            "member reports",
            about=member.node_id,
            target=member.target,
            state=member.state,
            cold=member.cold,
        )
