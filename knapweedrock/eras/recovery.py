"""Recovery of keys whose last moves the store and the coordinator may have lost."""

from collections import defaultdict
from collections.abc import Iterable

from knapweedrock.eras.numbers import is_from_earlier_era
from knapweedrock.mesh.holds import covers, find_row
from knapweedrock.mesh.messages import Member, Row


class Recovery:
    """What a term that began without complete memory knows of the holders of keys.

    Until `until_ns` a target that nobody knows of may hold keys by a lease of an
    earlier term. Rows that their owner's target was seen to hold since are known.
    """

    def __init__(self, era: int, until_ns: int) -> None:
        self.until_ns = until_ns
        self._era = era
        self._held: dict[str, list[Row]] = defaultdict(list)
        self._held_rows: set[Row] = set()

    def record_held(self, rows: Iterable[Row]) -> None:
        """Record rows that the targets of their owners hold."""
        for row in rows:
            if not self._is_known(row):
                self._held[row.node_id].append(row)
                self._held_rows.add(strip_mark(row))

    def may_reassign(self, row: Row, now_ns: int) -> bool:
        """Return whether a row that its owner does not hold has no other holder."""
        return now_ns > self.until_ns or self._is_known(row)

    def _is_known(self, row: Row) -> bool:
        if not is_from_earlier_era(row.token, self._era):
            return True
        if strip_mark(row) in self._held_rows:
            return True
        return any(
            held.token == row.token and held.target == row.target and covers(held, row)
            for held in self._held[row.node_id]
        )


class KeptRows:
    """Rows that targets hold under a higher token than the board's, by node."""

    def __init__(self) -> None:
        self._by_node: dict[str, list[Row]] = {}

    def record(self, member: Member, ranges: Iterable[tuple[int, int, int]]) -> None:
        """Record the ranges `(start, end, token)` that a member reports, if any."""
        rows = [
            Row(start, end, member.node_id, member.target, token, "", "")
            for start, end, token in sorted(ranges)
        ]
        self._by_node[member.node_id] = rows
        if not rows:
            del self._by_node[member.node_id]

    def has_any(self, names: Iterable[str]) -> bool:
        """Return whether a target beside one of the nodes holds such rows."""
        return any(name in self._by_node for name in names)

    def adopt(self, rows: list[Row], names: Iterable[str]) -> list[Row]:
        """Return the rows of a service, with those that its nodes' targets hold."""
        for name in names:
            if name in self._by_node:
                rows = merge_by_token(rows, self._by_node[name])
        return rows


def strip_mark(row: Row) -> Row:
    """Return a row without its next owner and its handover."""
    return row._replace(handover="", next_node="")


def merge_by_token(rows: list[Row], others: list[Row]) -> list[Row]:
    """Return the rows, with other rows in place of the parts with a lower token.

    The higher token of a key is that of its latest owner. Both lists are in the order
    of keys; `others` may lack keys, and `rows` too.
    """
    both = (*rows, *others)
    borders = sorted({r.start for r in both} | {r.end + 1 for r in both})
    merged: list[Row] = []
    latest_source: Row | None = None
    for start, end in zip(borders, borders[1:], strict=False):
        found = [find_row(rows, start), find_row(others, start)]
        sources = [row for row in found if row is not None]
        source = max(sources, key=lambda row: row.token, default=None)
        if source is not None and source is latest_source:
            merged[-1] = merged[-1]._replace(end=end - 1)
        elif source is not None:
            merged.append(source._replace(start=start, end=end - 1))
        latest_source = source
    return merged
