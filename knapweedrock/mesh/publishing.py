"""Publishing of boards from the coordinator to the members."""

from collections.abc import Callable, Iterable
from contextlib import nullcontext
from typing import NamedTuple

import gevent
from gevent.lock import BoundedSemaphore
from logbook import Logger

from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError
from knapweedrock.mesh.boards import (
    BoardHistory,
    apply_change,
    diff_boards,
    estimate_size,
)
from knapweedrock.mesh.links import Links
from knapweedrock.mesh.messages import (
    Board,
    BoardChange,
    Member,
    Publish,
    Published,
    ReadBoard,
    Renew,
)
from knapweedrock.mesh.pacing import BYTES_PER_MS_PER_MBPS

PUBLISH_TIMEOUT_MS = 500
# Changes within this time are pushed to a member in one message.
PUSH_BATCH_DELAY_S = 0.015
# Changes above this size are pushed to some members at a time, and never with a lease.
# Sent to all members at once they would fill this VM's link, and leases and calls of
# the store would wait behind them.
LARGE_CHANGE_BYTES = 8192
# The changes on their way at the same time occupy the link for about this time, if they
# have the typical size of a whole board.
MAX_QUEUED_MS = 100.0
TYPICAL_BOARD_BYTES = 32 << 10
MIN_LARGE_PUSHES = 2
# Boards of former coordinators that are fetched in a term, each of which is kept.
MAX_FETCHED_BOARDS = 8

log = Logger("coordinator")


class SentBoards(NamedTuple):
    """Number of whole boards and of changes sent, and the bytes of their tables."""

    whole: int
    changes: int
    table_bytes: int


class MissingChange(NamedTuple):
    """Change that a member lacks; None if it lacks none, or if it follows later."""

    change: BoardChange | None
    follows: bool = False


class Publisher:
    """Publisher of boards; pushes to each member the changes that it lacks."""

    def __init__(
        self,
        node_id: str,
        links: Links,
        counters: Counters,
        is_leading: Callable[[], bool],
        link_mbps: float = 0.0,
    ) -> None:
        """Create a publisher; `link_mbps` is 0 if the rate of the link is unknown."""
        self._node_id = node_id
        self._links = links
        self._counters = counters
        self._is_leading = is_leading
        self._board = Board(0, 0, "", {}, {})
        self._history = BoardHistory(self._board)
        # Epoch and version of the board that each member is known to have.
        self._member_versions: dict[str, tuple[int, int]] = {}
        # Members that a running task pushes to.
        self._publishing: set[str] = set()
        # Members that were told that a change follows, and those whose change did not
        # arrive.
        self._deferred: set[str] = set()
        self._undelivered: set[str] = set()
        self._large_pushes = BoundedSemaphore(compute_large_pushes(link_mbps))
        # Versions of boards that members were asked for, and the running request.
        self._fetched_versions: set[tuple[int, int]] = set()
        self._board_fetch: gevent.Greenlet | None = None
        # What was sent since the last report.
        self._sent = SentBoards(0, 0, 0)

    def start_term(self, board: Board, former: Iterable[Board] = ()) -> None:
        """Publish the first board of a term; `former` are boards of earlier terms.

        Most members have the latest of them, so they are sent what changed since.
        """
        former = list(former)
        self._history = BoardHistory(board, former)
        self._member_versions = {}
        self._deferred.clear()
        self._undelivered.clear()
        self._fetched_versions.clear()
        if former:
            latest_version = (former[-1].epoch, former[-1].version)
            self._member_versions = dict.fromkeys(board.members, latest_version)
        self._board = board
        self._push_all()

    def publish(self, board: Board) -> None:
        """Publish a newer board."""
        self._history.add(board)
        self._board = board
        self._push_all()

    def push_to_unreached(self) -> None:
        """Push the board to all members that no push has reached yet.

        This lets a node that has just started find its coordinator while the store is
        unavailable.
        """
        for name, member in self._board.members.items():
            if name not in self._member_versions:
                self._start_push(name, member)

    def get_missing_change(self, request: Renew) -> MissingChange:
        """Return the board change that a renewing member lacks.

        A large change is pushed when its turn comes, and returned only if such a push
        did not reach the member.
        """
        name = request.member.node_id
        known_version = (request.epoch, request.version)
        self._member_versions[name] = known_version
        if self._get_version() <= known_version:
            return MissingChange(None)
        change = self._history.get_change(*known_version)
        is_large = estimate_size(change) > LARGE_CHANGE_BYTES
        if is_large and name not in self._undelivered:
            if not self._history.has(*known_version):
                self._start_board_fetch(request)
            self._deferred.add(name)
            self._start_push(name, request.member)
            return MissingChange(None, follows=True)
        self._undelivered.discard(name)
        # The answer to the renewal carries the change. If the answer is lost, the next
        # renewal still names the old version.
        self._member_versions[name] = self._get_version()
        self._count_sent(change)
        return MissingChange(change)

    def report_sent(self) -> None:
        """Log what was sent since the last report, if whole boards are among it."""
        sent, self._sent = self._sent, SentBoards(0, 0, 0)
        if sent.whole:
            log.info("boards sent", **sent._asdict())

    def _start_board_fetch(self, request: Renew) -> None:
        """Fetch a board that this node never had from a member, once for each version.

        A coordinator that has just started has no former board, and would send the
        whole board to every member, most of which have the same.
        """
        version = (request.epoch, request.version)
        if not request.version or version in self._fetched_versions:
            return
        if self._board_fetch is not None:
            return
        if len(self._fetched_versions) >= MAX_FETCHED_BOARDS:
            return
        self._fetched_versions.add(version)
        self._board_fetch = gevent.spawn(self._fetch_board, request.member)

    def _fetch_board(self, member: Member) -> None:
        try:
            answer = self._links.request(member.peer, ReadBoard(), PUBLISH_TIMEOUT_MS)
            board = apply_change(Board(0, 0, "", {}, {}), answer.change)
        except KnapweedrockError as error:
            reason = error.detail
            log.info("board not fetched", about=member.node_id, reason=reason)
            return
        finally:
            self._board_fetch = None
        if board is not None:
            log.info("board fetched", about=member.node_id, version=board.version)
            self._history.add_former(board)

    def _wait_for_fetch(self) -> None:
        if self._board_fetch is not None:
            self._board_fetch.join()

    def _push_all(self) -> None:
        for name, member in self._board.members.items():
            self._start_push(name, member)

    def _start_push(self, name: str, member: Member) -> None:
        if name != self._node_id and name not in self._publishing:
            self._publishing.add(name)
            gevent.spawn(self._push, name, member)

    def _push(self, name: str, member: Member) -> None:
        """Push changes to a member until it has the latest board."""
        try:
            while (
                self._is_leading()
                and self._member_versions.get(name) != self._get_version()
            ):
                gevent.sleep(PUSH_BATCH_DELAY_S)
                answer = self._push_in_turn(name, member)
                self._member_versions[name] = (answer.epoch, answer.version)
                self._deferred.discard(name)
                if answer.epoch > self._board.epoch:
                    return
        except KnapweedrockError as error:
            # The member gets the board with its next lease renewal.
            self._member_versions.pop(name, None)
            if name in self._deferred:
                self._deferred.discard(name)
                self._undelivered.add(name)
            log.debug("board not pushed", about=name, reason=error.detail)
        finally:
            self._publishing.discard(name)

    def _push_in_turn(self, name: str, member: Member) -> Published:
        """Push the change that a member lacks; a large one waits for its turn."""
        if self._is_large_for(name):
            self._wait_for_fetch()
        turn = self._large_pushes if self._is_large_for(name) else nullcontext()
        with turn:
            return self._push_change(name, member)

    def _is_large_for(self, name: str) -> bool:
        return estimate_size(self._get_change_for(name)) > LARGE_CHANGE_BYTES

    def _push_change(self, name: str, member: Member) -> Published:
        change = self._get_change_for(name)
        self._count_sent(change)
        return self._links.request(member.peer, Publish(change), PUBLISH_TIMEOUT_MS)

    def _get_change_for(self, name: str) -> BoardChange:
        """Return the change to push to a member.

        A member whose version is unknown may be down, so it gets an empty change first,
        which it answers with its version.
        """
        known_version = self._member_versions.get(name)
        if known_version is None:
            return diff_boards(self._board, self._board)
        return self._history.get_change(*known_version)

    def _count_sent(self, change: BoardChange) -> None:
        is_whole = change.base == 0
        table_bytes = sum(len(data) for data in change.tables.values())
        sent = self._sent
        self._sent = SentBoards(
            sent.whole + is_whole,
            sent.changes + (not is_whole),
            sent.table_bytes + table_bytes,
        )
        self._counters.count("boards_sent", size="whole" if is_whole else "change")
        self._counters.count("board_table_bytes_sent", table_bytes)

    def _get_version(self) -> tuple[int, int]:
        return self._board.epoch, self._board.version


def compute_large_pushes(link_mbps: float) -> int:
    """Compute to how many members large changes are pushed at the same time."""
    queued_bytes = link_mbps * BYTES_PER_MS_PER_MBPS * MAX_QUEUED_MS
    return max(MIN_LARGE_PUSHES, int(queued_bytes / TYPICAL_BOARD_BYTES))
