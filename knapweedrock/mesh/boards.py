"""Boards as differences from the version that a node has."""

from collections import deque

from knapweedrock.mesh.holds import overlaps
from knapweedrock.mesh.messages import Board, BoardChange, Row

KEPT_BOARDS = 64


class BoardHistory:
    """The last boards of a coordinator, from which differences are made."""

    def __init__(self, board: Board) -> None:
        self._boards: deque[Board] = deque([board], maxlen=KEPT_BOARDS)

    def add(self, board: Board) -> None:
        """Keep a newer board."""
        self._boards.append(board)

    def find_change(self, epoch: int, version: int) -> BoardChange:
        """Find how the newest board differs from a version; all of it if unknown."""
        newest = self._boards[-1]
        for board in self._boards:
            if (board.epoch, board.version) == (epoch, version):
                return diff_boards(board, newest)
        return diff_boards(Board(newest.epoch, 0, "", {}, {}), newest)


def diff_boards(old: Board, new: Board) -> BoardChange:
    """Describe how a newer board differs from an older one."""
    members = [
        member
        for name, member in new.members.items()
        if old.members.get(name) != member
    ]
    gone = [name for name in old.members if name not in new.members]
    tables = {}
    for service, rows in new.tables.items():
        known = set(old.tables.get(service, ()))
        changed = [row for row in rows if row not in known]
        if changed:
            tables[service] = changed
    return BoardChange(
        new.epoch, old.version, new.version, new.coordinator, members, gone, tables
    )


def apply_change(board: Board, change: BoardChange) -> Board | None:
    """Return the newer board; None where the change builds on one that is not held.

    A change from version 0 holds everything.
    """
    if change.base == 0:
        board = Board(change.epoch, 0, "", {}, {})
    elif (board.epoch, board.version) != (change.epoch, change.base):
        return None
    members = {n: m for n, m in board.members.items() if n not in change.gone}
    members |= {member.node_id: member for member in change.members}
    tables = dict(board.tables)
    for service, rows in change.tables.items():
        tables[service] = replace_rows(tables.get(service, []), rows)
    return Board(change.epoch, change.version, change.coordinator, members, tables)


def replace_rows(rows: list[Row], changed: list[Row]) -> list[Row]:
    """Put changed rows in the place of those that they overlap."""
    kept = [row for row in rows if not any(overlaps(row, new) for new in changed)]
    return sorted([*kept, *changed])
