"""Membership of a node: its lease, its reports, and who coordinates."""

from typing import TYPE_CHECKING
from zlib import crc32

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
from knapweedrock.mesh.boards import apply_change
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
from knapweedrock.platform.store import Stored

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

RENEW_S = 0.4
# Pause of each member more between renewals, where there are many: one coordinator
# answers them all.
RENEW_S_A_MEMBER = 0.003
LONGEST_RENEW_S = 0.8
RENEW_TIMEOUT_MS = 400
RENEW_RETRY_S = 0.1
# Time without an answer after which another coordinator is looked for.
LOST_MS = 600
READ_LOCK_MS = 250
READ_LOCK_TIMEOUT_S = 0.6
# Members that look for a coordinator at the same time, the most powerful first; the
# next ones wait this long, and hear of a successor before they have to read.
CANDIDATES = 3
CANDIDATES_APART_MS = 700
LONGEST_WAIT_MS = 1400
# A node that knows no members yet leaves a free right to those that do for so long.
NEWCOMER_MS = 600
# A successor counts a term on its own clock, which may run fast by this factor.
TERM_DRIFT = 1.03
TERM_GRACE_MS = 200
# Nodes that start together don't all claim at once; weak ones leave it to others.
FIRST_READ_SPREAD_S = 0.15
POWERFUL_CORES = 1.0
LOAD_PARTS = 8

# Members of each availability zone that watch the store, beside the coordinator. The
# others hear of changes from it.
WATCHERS_A_ZONE = 2
# Time without a coordinator after which a node watches the store itself.
ALONE_MS = 1500

log = Logger("node")


class Membership:
    """Keeps a node's lease, and elects it where nobody coordinates."""

    def __init__(self, node: "Node") -> None:
        self._node = node
        self._report = Event()
        # Set once the coordinator has answered a report that was made after them.
        self._waiting: list[Event] = []
        self._leader = ""
        self._lock: Stored | None = None
        self._lock_seen_ns = 0
        self._lock_read_ns = 0
        # Revision under which the coordinator last answered, and when that term ends.
        self._term_revision = 0
        self._term_end_ns = 0
        self._renewed_ns = node.clock.now_ns()

    def describe_member(self) -> Member:
        """Describe the node and its target to the mesh."""
        node = self._node
        return node.target.describe(node.settings.node_id, node.process, node.peer)

    def is_watcher(self) -> bool:
        """Tell whether this node is to watch the store itself."""
        node = self._node
        alone_ms = (node.clock.now_ns() - self._renewed_ns) / NS_PER_MS
        if alone_ms > ALONE_MS:
            return True
        zone = [m for m in node.board.members.values() if m.zone == node.settings.zone]
        names = sorted((m.node_id for m in zone), key=rank_name)
        return node.settings.node_id in names[:WATCHERS_A_ZONE]

    def request_renewal(self) -> Event:
        """Report to the coordinator at once; the event is set when it has answered."""
        answered = Event()
        self._waiting.append(answered)
        self._report.set()
        return answered

    def run(self) -> None:
        """Renew the lease for ever."""
        wait_s = FIRST_READ_SPREAD_S * (int(self._node.process, 16) % 100) / 100
        if self._node.settings.cores < POWERFUL_CORES:
            wait_s += FIRST_READ_SPREAD_S
        gevent.sleep(wait_s)
        while True:
            try:
                is_renewed = self._renew()
            except PlatformError as error:
                log.warning("coordinator not found", reason=error.detail)
                is_renewed = False
            self._report.wait(self._find_pause_s() if is_renewed else RENEW_RETRY_S)
            self._report.clear()

    def _find_pause_s(self) -> float:
        pause_s = RENEW_S_A_MEMBER * len(self._node.board.members)
        return min(max(RENEW_S, pause_s), LONGEST_RENEW_S)

    def _renew(self) -> bool:
        """Renew the lease; where no coordinator answers, look for one."""
        sent_ns = self._node.clock.now_ns()
        rows = self._node.get_rows(self._node.settings.service)
        unheld = self._node.holds.give_up_unheld(rows, self._node.target.dead, sent_ns)
        released, self._node.holds.released = self._node.holds.released, []
        waiting, self._waiting = self._waiting, []
        request = Renew(
            self.describe_member(),
            self._node.board.epoch,
            self._node.board.version,
            self._node.config_watcher.version,
            self._node.config_watcher.zones_revision,
            [tuple(item) for item in released],
            [(row.start, row.end, row.token) for row in unheld],
            self._measure_loads(rows),
            self._node.target.get_age_ms(),
        )
        leader = self._leader or self._node.board.coordinator
        try:
            if self._node.coordinator.term.get_max_lease_ms() > 0:
                answer = self._node.coordinator.renew(request)
            else:
                if not leader or leader == self._node.peer:
                    raise RefusalError(Code.NO_COORDINATOR, "no coordinator is known")
                answer = self._node.links.request(leader, request, RENEW_TIMEOUT_MS)
        except KnapweedrockError as error:
            self._node.holds.released = released + self._node.holds.released
            self._waiting = waiting + self._waiting
            is_told = error.code is Code.NO_COORDINATOR and bool(leader)
            self._look_for_leader(error.detail, is_told)
            return False
        if answer.term_ms > 0:
            self._renewed_ns = self._node.clock.now_ns()
        self._note_term(answer)
        self._node.holds.extend_lease(sent_ns, answer.lease_ms)
        if answer.change is not None:
            self._take_change(answer.change)
        for answered in waiting:
            answered.set()
        if answer.term_ms <= 0:
            # The coordinator does not reach the store, which others may reach.
            self._look_for_leader("the coordinator's right has run out")
        return answer.lease_ms > 0

    def _note_term(self, answer: Renewed) -> None:
        """Note until when the coordinator coordinates unless it renews its right."""
        left_ms = answer.term_ms * TERM_DRIFT + TERM_GRACE_MS
        self._term_revision = answer.lock_revision
        self._term_end_ns = self._node.clock.now_ns() + int(left_ms * NS_PER_MS)

    def _look_for_leader(self, reason: str, is_told: bool = False) -> None:
        """Read who coordinates, and claim the right where nobody renews it.

        A node that was told by the last coordinator that it is none waits less.
        """
        now_ns = self._node.clock.now_ns()
        if self._node.closing or self._node.coordinator.term.leading:
            # Its own renewals go on, and find out whether the right is lost.
            return
        if now_ns - self._lock_read_ns < READ_LOCK_MS * NS_PER_MS:
            return
        is_known = bool(self._leader or self._node.board.coordinator)
        patience_ms = find_turn_ms(self._node.settings.node_id, self._node.board)
        patience_ms += 0 if is_told else LOST_MS
        if is_known and now_ns - self._renewed_ns < patience_ms * NS_PER_MS:
            return
        self._lock_read_ns = now_ns
        lock = self._node.store.get(LEADER_KIND, LEADER_NAME, READ_LOCK_TIMEOUT_S)
        if lock is None or self._may_claim(lock):
            log.info("claims coordination", reason=reason)
            if self._node.coordinator.claim(lock):
                self._leader = ""
                return
            lock = self._node.store.get(LEADER_KIND, LEADER_NAME)
        if lock is not None:
            self._leader = lock.value["peer"]

    def _may_claim(self, lock: Stored) -> bool:
        if self._node.coordinator.term.leading:
            # Its own renewals go on, and find out whether the right is lost.
            return False
        now_ns = self._node.clock.now_ns()
        if self._lock is None or lock.revision != self._lock.revision:
            self._lock = lock
            self._lock_seen_ns = now_ns
        seen_ms = (now_ns - self._lock_seen_ns) / NS_PER_MS
        is_newcomer = not self._node.board.members
        if lock.value["released"] or lock.value["node"] == self._node.settings.node_id:
            return not is_newcomer or seen_ms > NEWCOMER_MS
        if lock.revision == self._term_revision and now_ns > self._term_end_ns:
            # Not renewed since its holder told when this term ends.
            return True
        return seen_ms > TERM_MS * TERM_DRIFT + TERM_GRACE_MS

    def _measure_loads(self, rows: list[Row]) -> list[RowLoad]:
        own = self._node.settings.node_id
        gateway = self._node.gateway
        key_ms = gateway.loads.measure()
        scale = gateway.admission.find_load_scale(sum(key_ms.values()) / 1000)
        if scale > 1:
            key_ms = {key: ms * scale for key, ms in key_ms.items()}
        owned = [row for row in rows if row.node_id == own]
        return compute_row_loads(owned, key_ms, LOAD_PARTS)

    def handle_publish(self, _sender: str, message: Publish) -> Published:
        """Take a push of the coordinator."""
        if message.change.epoch >= self._node.board.epoch:
            self._leader = ""
        self._take_change(message.change)
        return Published(self._node.board.epoch, self._node.board.version)

    def _take_change(self, change: BoardChange) -> None:
        try:
            board = apply_change(self._node.board, change)
        except LinkError as error:
            log.error("board not taken", reason=error.detail)
            return
        if board is not None:
            self._node.accept_board(board)


def rank_name(name: str) -> tuple[int, str]:
    """Rank a node's name by a hash, in an order that all nodes agree on."""
    return crc32(name.encode()), name


def find_turn_ms(node_id: str, board: Board) -> int:
    """Find how long a node leaves it to others to look for a coordinator.

    The coordinator that was lost is no candidate. Equal members come in the order of
    a hash, so that the first ones do not share an availability zone.
    """
    names = [n for n, m in board.members.items() if m.peer != board.coordinator]
    names.sort(key=lambda name: (-board.members[name].cores, rank_name(name)))
    if node_id not in names:
        return 0
    group = names.index(node_id) // CANDIDATES
    return min(group * CANDIDATES_APART_MS, LONGEST_WAIT_MS)
