"""Membership of a node in the mesh: lease renewal and coordinator election."""

from typing import TYPE_CHECKING
from zlib import crc32

import gevent
from gevent.event import Event
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, NS_PER_S
from knapweedrock.codes import Code
from knapweedrock.eras.versions import NO_VERSION
from knapweedrock.errors import (
    KnapweedrockError,
    LinkError,
    PlatformError,
    RefusalError,
)
from knapweedrock.mesh.boards import apply_change
from knapweedrock.mesh.leader_records import read_leader_record
from knapweedrock.mesh.messages import (
    Board,
    BoardChange,
    Member,
    Publish,
    Published,
    Renew,
    Renewed,
    Row,
    RowLoad,
)
from knapweedrock.mesh.row_loads import compute_row_loads
from knapweedrock.mesh.terms import LEADER_NAME, TERM_MS
from knapweedrock.platform.documents import LEADER_KIND
from knapweedrock.platform.stored_objects import StoredObject

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

RENEW_INTERVAL_S = 0.4
# The interval grows with the number of members, since one coordinator answers all of
# them.
RENEW_INTERVAL_PER_MEMBER_S = 0.003
MAX_RENEW_INTERVAL_S = 0.8
RENEW_TIMEOUT_MS = 400
RENEW_RETRY_DELAY_S = 0.1
# After this time without an answer a node looks for another coordinator.
COORDINATOR_TIMEOUT_MS = 600
LEADER_READ_INTERVAL_MS = 250
LEADER_READ_TIMEOUT_S = 0.6
# Time in which a coordinator renews its term once the store is back: a call that gets
# no response, the read after it, and the next call.
LATE_RENEWAL_MS = 1000
# Members look for a new coordinator in groups of this size, those with the most cores
# first. Each further group waits longer, so that it hears of the successor before it
# has to read the leader record.
ELECTION_GROUP_SIZE = 3
ELECTION_GROUP_DELAY_MS = 700
MAX_ELECTION_DELAY_MS = 1400
# A node that knows no members yet waits for this time before it claims a released
# leadership, so that a node that knows the members can claim it first.
NEW_NODE_CLAIM_DELAY_MS = 600
# A successor measures a term on its own clock, which may run fast by this factor.
MAX_CLOCK_DRIFT = 1.03
TERM_GRACE_MS = 200
# Nodes of a new mesh that start together spread their first claims over this time, so
# that they do not all claim the leadership at once. Nodes with less than one core wait
# for this time in addition, and so leave the leadership to stronger nodes.
STARTUP_SPREAD_S = 0.15
FULL_SPEED_CORES = 1.0
# Number of parts of equal load into which the split keys of a reported row divide it.
LOAD_PARTS_PER_ROW = 8

# Number of members of each availability zone that watch the store, in addition to the
# coordinator, which pushes changes to all other members.
WATCHERS_PER_ZONE = 2
# After this time without a coordinator a node watches the store itself.
ISOLATION_TIMEOUT_MS = 1500

log = Logger("node")


class Membership:
    """Renewal of a node's lease, and search and election of a coordinator."""

    def __init__(self, node: "Node") -> None:
        self._node = node
        self._renewal_requested = Event()
        # Events of `request_renewal`, set once the coordinator answers a later renewal.
        self._renewal_waiters: list[Event] = []
        self._coordinator_peer = ""
        # Leader record as last read, and when its version was first read.
        self._leader_record: StoredObject | None = None
        self._leader_record_since_ns = 0
        self._leader_read_at_ns = 0
        # Whether the last read of the record failed, and when a read succeeded again.
        self._is_store_lost = False
        self._store_regained_ns = 0
        # Version of the leader record under which the coordinator last answered, and
        # the end of that term.
        self._term_version = NO_VERSION
        self._term_end_ns = 0
        self._renewed_at_ns = node.clock.now_ns()
        # Whether the store was read because no coordinator answers.
        self._has_read_in_isolation = False
        # True if the coordinator grants a lease only once it has pushed its board.
        self._awaits_board = False
        # Earliest time of a claim if no node has ever coordinated.
        self._first_claim_ns = 0

    def describe_member(self) -> Member:
        """Return the entry of this node and its target in the board."""
        node = self._node
        return node.target.describe(node.settings.node_id, node.process, node.peer)

    def is_watcher(self) -> bool:
        """Return whether this node has to watch the store itself."""
        node = self._node
        if self._is_isolated():
            return True
        zone = [m for m in node.board.members.values() if m.zone == node.settings.zone]
        watcher_candidates = sorted((m.node_id for m in zone), key=rank_name)
        return node.settings.node_id in watcher_candidates[:WATCHERS_PER_ZONE]

    def _is_isolated(self) -> bool:
        """Return whether no coordinator with a valid term has answered for a while."""
        isolated_ms = (self._node.clock.now_ns() - self._renewed_at_ns) / NS_PER_MS
        return isolated_ms > ISOLATION_TIMEOUT_MS

    def request_renewal(self) -> Event:
        """Renew the lease at once; the event is set once the coordinator answers."""
        renewed = Event()
        self._renewal_waiters.append(renewed)
        self._renewal_requested.set()
        return renewed

    def run(self) -> None:
        """Renew the lease until the task is killed."""
        wait_s = STARTUP_SPREAD_S * (int(self._node.process, 16) % 100) / 100
        if self._node.settings.cores < FULL_SPEED_CORES:
            wait_s += STARTUP_SPREAD_S
        self._first_claim_ns = self._node.clock.now_ns() + int(wait_s * NS_PER_S)
        while True:
            try:
                is_renewed = self._renew()
            except PlatformError as error:
                log.warning("coordinator not found", reason=error.detail)
                is_renewed = False
            self._renewal_requested.wait(
                self._compute_renew_interval_s() if is_renewed else RENEW_RETRY_DELAY_S
            )
            self._renewal_requested.clear()

    def _compute_renew_interval_s(self) -> float:
        interval_s = RENEW_INTERVAL_PER_MEMBER_S * len(self._node.board.members)
        return min(max(RENEW_INTERVAL_S, interval_s), MAX_RENEW_INTERVAL_S)

    def _renew(self) -> bool:
        """Renew the lease, or look for a coordinator when none answers."""
        sent_ns = self._node.clock.now_ns()
        rows = self._node.get_rows(self._node.settings.service)
        unheld = self._node.holds.withdraw_unheld(
            rows, self._node.target.dead_incarnation, sent_ns
        )
        released, self._node.holds.released = self._node.holds.released, []
        waiters, self._renewal_waiters = self._renewal_waiters, []
        request = Renew(
            self.describe_member(),
            self._node.board.epoch,
            self._node.board.version,
            self._node.config_watcher.version,
            self._node.config_watcher.zones_version.revision,
            [tuple(item) for item in released],
            [(row.start, row.end, row.token) for row in unheld],
            self._measure_loads(rows),
            self._node.target.get_heartbeat_age_ms(),
            self._node.config_watcher.zones_version.era,
            self._node.config_watcher.list_kept_zones(),
            [tuple(item) for item in self._node.holds.list_kept(rows)],
        )
        coordinator_peer = self._coordinator_peer or self._node.board.coordinator
        try:
            if self._node.coordinator.term.get_max_lease_ms() > 0:
                answer = self._node.coordinator.renew(request)
            else:
                if not coordinator_peer or coordinator_peer == self._node.peer:
                    raise RefusalError(Code.NO_COORDINATOR, "no coordinator is known")
                answer = self._node.links.request(
                    coordinator_peer, request, RENEW_TIMEOUT_MS
                )
        except KnapweedrockError as error:
            self._node.holds.released = released + self._node.holds.released
            self._renewal_waiters = waiters + self._renewal_waiters
            is_rejected = error.code is Code.NO_COORDINATOR and bool(coordinator_peer)
            self._read_store_if_isolated()
            self._find_coordinator(error.detail, is_rejected)
            return False
        if answer.term_ms > 0:
            self._renewed_at_ns = self._node.clock.now_ns()
            self._has_read_in_isolation = False
        self._record_term(answer)
        if answer.epoch == self._node.board.epoch:
            self._node.quotas.record_renewal()
        self._node.holds.extend_lease(sent_ns, answer.lease_ms)
        if answer.change is not None:
            self._apply_change(answer.change)
        self._awaits_board = answer.change_follows
        for waiter in waiters:
            waiter.set()
        if answer.term_ms <= 0:
            # The coordinator cannot reach the store, but other nodes may.
            self._find_coordinator(
                "the coordinator's term has expired", is_answering=True
            )
        return answer.lease_ms > 0 or answer.change_follows

    def _read_store_if_isolated(self) -> None:
        """Read the store once if the node is isolated: its watches may hear nothing."""
        if self._is_isolated() and not self._has_read_in_isolation:
            self._has_read_in_isolation = True
            self._node.config_watcher.refresh()

    def _record_term(self, answer: Renewed) -> None:
        """Record when the coordinator's term ends unless it is renewed."""
        remaining_ms = answer.term_ms * MAX_CLOCK_DRIFT + TERM_GRACE_MS
        self._term_version = answer.lock_version
        self._term_end_ns = self._node.clock.now_ns() + int(remaining_ms * NS_PER_MS)

    def _read_leader_record(self) -> StoredObject | None:
        """Read the leader record, and record when reads begin to succeed again."""
        was_lost, self._is_store_lost = self._is_store_lost, True
        record = self._node.store.get(LEADER_KIND, LEADER_NAME, LEADER_READ_TIMEOUT_S)
        self._is_store_lost = False
        if was_lost:
            self._store_regained_ns = self._node.clock.now_ns()
        return record

    def _is_turn(self, delay_ms: float, is_answering: bool) -> bool:
        """Return whether the node may claim now, if the store was away for it.

        All members read the store again at the same time. The coordinator, if it still
        answers, renews its term first, then the candidates follow in their order.
        """
        if is_answering:
            delay_ms += LATE_RENEWAL_MS
        elapsed_ms = (self._node.clock.now_ns() - self._store_regained_ns) / NS_PER_MS
        return elapsed_ms >= delay_ms

    def _find_coordinator(
        self, reason: str, is_rejected: bool = False, is_answering: bool = False
    ) -> None:
        """Read the leader record, and claim the leadership if it is not renewed.

        `is_rejected` means that the last known coordinator answered that it no longer
        coordinates; the node then does not wait for `COORDINATOR_TIMEOUT_MS`.
        `is_answering` means that the coordinator answers, but its term has expired.
        """
        now_ns = self._node.clock.now_ns()
        if self._node.closing or self._node.coordinator.term.leading:
            # The task that renews the term detects whether the term is lost.
            return
        delay_ms = compute_election_delay_ms(
            self._node.settings.node_id, self._node.board
        )
        interval_ms = LEADER_READ_INTERVAL_MS + (delay_ms if self._is_store_lost else 0)
        if now_ns - self._leader_read_at_ns < interval_ms * NS_PER_MS:
            return
        is_known = bool(self._coordinator_peer or self._node.board.coordinator)
        timeout_ms = delay_ms + (0 if is_rejected else COORDINATOR_TIMEOUT_MS)
        if is_known and now_ns - self._renewed_at_ns < timeout_ms * NS_PER_MS:
            return
        self._leader_read_at_ns = now_ns
        record = self._read_leader_record()
        if record is None and now_ns < self._first_claim_ns:
            gevent.sleep((self._first_claim_ns - now_ns) / NS_PER_S)
            record = self._node.store.get(
                LEADER_KIND, LEADER_NAME, LEADER_READ_TIMEOUT_S
            )
        if record is None or (
            self._may_claim(record) and self._is_turn(delay_ms, is_answering)
        ):
            log.info("claims coordination", reason=reason)
            if self._node.coordinator.claim(record):
                self._coordinator_peer = ""
                return
            record = self._node.store.get(LEADER_KIND, LEADER_NAME)
        if record is not None:
            self._coordinator_peer = read_leader_record(record).peer

    def _may_claim(self, record: StoredObject) -> bool:
        if self._node.coordinator.term.leading:
            # The task that renews the term detects whether the term is lost.
            return False
        now_ns = self._node.clock.now_ns()
        if self._leader_record is None or record.version != self._leader_record.version:
            self._leader_record = record
            self._leader_record_since_ns = now_ns
        unchanged_ms = (now_ns - self._leader_record_since_ns) / NS_PER_MS
        leader = read_leader_record(record)
        if leader.node == self._node.settings.node_id:
            # The former process has ended, and no other node may claim before its term
            # has expired.
            return True
        is_new_node = not self._node.board.members
        if leader.released:
            return not is_new_node or unchanged_ms > NEW_NODE_CLAIM_DELAY_MS
        if record.version == self._term_version and now_ns > self._term_end_ns:
            # The coordinator announced when its term ends and has not renewed it since.
            return True
        return unchanged_ms > TERM_MS * MAX_CLOCK_DRIFT + TERM_GRACE_MS

    def _measure_loads(self, rows: list[Row]) -> list[RowLoad]:
        own_id = self._node.settings.node_id
        gateway = self._node.gateway
        key_ms = gateway.load_meter.measure()
        scale = gateway.admission.compute_load_scale(sum(key_ms.values()) / 1000)
        if scale > 1:
            key_ms = {key: ms * scale for key, ms in key_ms.items()}
        owned = [row for row in rows if row.node_id == own_id]
        return compute_row_loads(owned, key_ms, LOAD_PARTS_PER_ROW)

    def handle_publish(self, _sender: str, message: Publish) -> Published:
        """Apply a board change that the coordinator pushes, and confirm the version."""
        if message.change.epoch >= self._node.board.epoch:
            self._coordinator_peer = message.change.coordinator
        self._apply_change(message.change)
        if self._awaits_board:
            self._renewal_requested.set()
        return Published(self._node.board.epoch, self._node.board.version)

    def _apply_change(self, change: BoardChange) -> None:
        try:
            board = apply_change(self._node.board, change)
        except LinkError as error:
            log.error("board change rejected", reason=error.detail)
            return
        if board is not None:
            self._node.accept_board(board)


def rank_name(name: str) -> tuple[int, str]:
    """Return a sort key by hash, which gives all nodes the same order of names."""
    return crc32(name.encode()), name


def compute_election_delay_ms(node_id: str, board: Board) -> int:
    """Compute in ms how long a node waits before it looks for a coordinator.

    The lost coordinator is no candidate. Members with the same number of cores are
    ordered by a hash, so that the first group does not share an availability zone.
    """
    names = [n for n, m in board.members.items() if m.peer != board.coordinator]
    names.sort(key=lambda name: (-board.members[name].cores, rank_name(name)))
    if node_id not in names:
        return 0
    group = names.index(node_id) // ELECTION_GROUP_SIZE
    return min(group * ELECTION_GROUP_DELAY_MS, MAX_ELECTION_DELAY_MS)
