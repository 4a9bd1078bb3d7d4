"""Changes between board versions: how they are computed and applied."""

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable

from knapweedrock.mesh.messages import Board, BoardChange, Row
from knapweedrock.mesh.tables import decode_rows, encode_rows

MAX_BOARDS = 64
# Approximate size of a member in a change.
MEMBER_BYTES = 150


class BoardHistory:
    """The latest boards of a coordinator, from which it computes changes.

    `former` are boards of former coordinators, which members may still have.
    """

    def __init__(self, board: Board, former: Iterable[Board] = ()) -> None:
        self._former = {(board.epoch, board.version): board for board in former}
        self._boards: deque[Board] = deque([board], maxlen=MAX_BOARDS)
        # Changes that lead to the latest board, by the epoch and version that they
        # build on. Most members have the same version, so they share one change.
        self._changes: dict[tuple[int, int], BoardChange] = {}

    def add(self, board: Board) -> None:
        """Add a newer board to the history."""
        self._boards.append(board)
        self._changes.clear()

    def add_former(self, board: Board) -> None:
        """Add a board of a former coordinator."""
        self._former[board.epoch, board.version] = board

    def has(self, epoch: int, version: int) -> bool:
        """Return whether the history has the board with a version."""
        return self._find(epoch, version).version > 0

    def get_change(self, epoch: int, version: int) -> BoardChange:
        """Return the change from a version to the latest board.

        A version that is not in the history gets a change with the whole board.
        """
        base = self._find(epoch, version)
        key = (base.epoch, base.version)
        change = self._changes.get(key)
        if change is None:
            change = self._changes[key] = diff_boards(base, self._boards[-1])
        return change

    def _find(self, epoch: int, version: int) -> Board:
        """Return the board with a version, or an empty one if it is not here."""
        for board in self._boards:
            if (board.epoch, board.version) == (epoch, version):
                return board
        former = self._former.get((epoch, version))
        if former is not None:
            return former
        return Board(self._boards[-1].epoch, 0, "", {}, {})


def create_whole_change(board: Board) -> BoardChange:
    """Create the change that contains a whole board."""
    return diff_boards(Board(board.epoch, 0, "", {}, {}), board)


def diff_boards(old: Board, new: Board) -> BoardChange:
    """Compute the change that turns an older board into a newer one."""
    members = [
        member
        for name, member in new.members.items()
        if old.members.get(name) != member
    ]
    removed = [name for name in old.members if name not in new.members]
    tables = {}
    for service, rows in new.tables.items():
        known = set(old.tables.get(service, ()))
        changed = [row for row in rows if row not in known]
        if changed:
            tables[service] = encode_rows(changed)
    return BoardChange(
        new.epoch,
        old.version,
        new.version,
        new.coordinator,
        members,
        removed,
        tables,
        old.epoch,
        new.era,
    )


def estimate_size(change: BoardChange) -> int:
    """Return the approximate size of a change on a link, in bytes."""
    table_bytes = sum(len(data) for data in change.tables.values())
    return table_bytes + MEMBER_BYTES * len(change.members)


def apply_change(board: Board, change: BoardChange) -> Board | None:
    """Return the changed board, or None if the change builds on another version.

    A change with base version 0 contains the whole board.
    """
    if change.base == 0:
        board = Board(change.epoch, 0, "", {}, {})
    elif (board.epoch, board.version) != (
        change.base_epoch or change.epoch,
        change.base,
    ):
        return None
    members = {
        n: m for n, m in board.members.items() if n not in change.removed_members
    }
    members |= {member.node_id: member for member in change.members}
    tables = dict(board.tables)
    for service, data in change.tables.items():
        tables[service] = replace_rows(tables.get(service, []), decode_rows(data))
    return Board(
        change.epoch,
        change.version,
        change.coordinator,
        members,
        tables,
        change.era,
    )


def replace_rows(rows: list[Row], changed: list[Row]) -> list[Row]:
    """Return the rows with each changed row in place of the rows that it overlaps."""
    if not rows:
        return sorted(changed)
    merged = list(rows)
    for new in changed:
        first = bisect_left(merged, new.start, key=lambda row: row.end)
        after = bisect_right(merged, new.end, key=lambda row: row.start)
        merged[first:after] = [new]
    return merged
