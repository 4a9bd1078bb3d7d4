"""Assignment of keys to targets, as pure functions of a snapshot of the service.

A row that is to move is first marked with its next owner and published. It is
reassigned only once no target holds it any more.
"""

from collections.abc import Collection

from knapweedrock.eras.numbers import next_number
from knapweedrock.mesh.holds import covers, overlaps
from knapweedrock.mesh.messages import Member, Row
from knapweedrock.mesh.row_loads import (
    measure_member_loads,
    measure_row_load,
    split_row,
)
from knapweedrock.mesh.snapshots import (
    KEY_COUNT,
    Snapshot,
    list_at_row_limit,
    list_eligible_members,
)

# Approximate number of rows in an initial table. More rows spread neighbouring keys
# better but make each planning round of the coordinator more expensive.
INITIAL_ROWS = 2048
# Maximum number of rows of one target in an initial table. A heartbeat response of
# bounded size lists all rows of a target, even after it took over rows of many others.
MAX_INITIAL_ROWS_PER_TARGET = 40


def create_initial_table(members: list[Member], era: int = 0) -> list[Row]:
    """Divide all keys evenly among members, in small rows assigned round-robin.

    Hot keys tend to be adjacent, so small rows give them several owners before any
    load is measured. `era` is the store's.
    """
    ordered = sorted(members, key=lambda member: member.node_id)
    rows_per_member = min(
        max(1, INITIAL_ROWS // len(ordered)), MAX_INITIAL_ROWS_PER_TARGET
    )
    row_count = len(ordered) * rows_per_member
    token = next_number(0, era)
    rows = []
    for index in range(row_count):
        member = ordered[index % len(ordered)]
        start = index * KEY_COUNT // row_count
        end = (index + 1) * KEY_COUNT // row_count - 1
        rows.append(Row(start, end, member.node_id, member.target, token, "", ""))
    return rows


def create_unowned_rows() -> list[Row]:
    """Divide all keys into rows without an owner."""
    borders = [index * KEY_COUNT // INITIAL_ROWS for index in range(INITIAL_ROWS + 1)]
    return [
        Row(start, after - 1, "", "", 0, "", "")
        for start, after in zip(borders, borders[1:], strict=False)
    ]


def choose_least_loaded(
    totals: dict[str, float], snapshot: Snapshot, at_row_limit: Collection[str]
) -> str:
    """Choose the member with the lowest load per slot.

    Members in `at_row_limit` are chosen only if all members are at the limit.
    """
    return min(
        [name for name in totals if name not in at_row_limit] or totals,
        key=lambda node_id: (
            totals[node_id] / max(snapshot.members[node_id].slots, 1),
            node_id,
        ),
    )


def evacuate_rows(rows: list[Row], snapshot: Snapshot) -> list[Row]:
    """Mark rows for new owners when their owner drains or its zone is out."""
    eligible = {member.node_id for member in list_eligible_members(snapshot)}
    if not eligible or all(should_stay(row, eligible, snapshot) for row in rows):
        return rows
    totals, at_row_limit = measure_member_loads(rows, snapshot), list_at_row_limit(rows)
    result = []
    for row in rows:
        if should_stay(row, eligible, snapshot):
            result.append(row)
        else:
            result += distribute_row(row, totals, snapshot, at_row_limit)
    return result


def should_stay(row: Row, eligible: Collection[str], snapshot: Snapshot) -> bool:
    """Return whether a row keeps its owner, or the next owner it is marked for.

    An absent owner cannot release rows, so its rows are left as they are.
    """
    owner = snapshot.members.get(row.node_id)
    if owner is None or owner.state == "absent":
        return True
    return (row.next_node or row.node_id) in eligible


def distribute_row(
    row: Row,
    totals: dict[str, float],
    snapshot: Snapshot,
    at_row_limit: Collection[str],
) -> list[Row]:
    """Mark the parts of a row for the least loaded members and update `totals`."""
    marked = []
    for part in split_row(row, snapshot):
        next_node = choose_least_loaded(totals, snapshot, at_row_limit)
        totals[next_node] += measure_row_load(part, snapshot)
        marked.append(part._replace(next_node=next_node))
    return marked


def mark_unheld_rows(rows: list[Row], snapshot: Snapshot) -> list[Row]:
    """Mark rows that no target holds any more with their next owners.

    A row is reassigned only after its mark is published. A restarted node no longer
    knows which rows it withdrew, and sees the mark before it can grant the row again.
    """
    if not snapshot.unheld or not list_eligible_members(snapshot):
        return rows
    totals, unheld = measure_member_loads(rows, snapshot), group_unheld(snapshot)
    at_row_limit = list_at_row_limit(rows)
    result = []
    for row in rows:
        if row.next_node in totals or not is_unheld(row, unheld):
            result.append(row)
            continue
        if row.node_id in snapshot.returning:
            # A few targets that are back first could not bear the keys of all.
            result.append(row)
            continue
        if row.node_id in totals:
            result.append(row._replace(next_node=row.node_id))
            continue
        result += distribute_row(row, totals, snapshot, at_row_limit)
    return result


def reassign_rows(rows: list[Row], snapshot: Snapshot) -> list[Row]:
    """Assign marked rows that no target holds any more to their next owners."""
    if not snapshot.unheld:
        return rows
    eligible = {member.node_id: member for member in list_eligible_members(snapshot)}
    unheld = group_unheld(snapshot)
    result = []
    for row in rows:
        if row.next_node not in eligible or not is_unheld(row, unheld):
            result.append(row)
            continue
        for part in split_released(row, snapshot):
            result.append(
                part._replace(
                    node_id=row.next_node,
                    target=eligible[row.next_node].target,
                    token=next_number(row.token, snapshot.era),
                    next_node="",
                )
            )
    return result


def split_unheld(rows: list[Row], snapshot: Snapshot) -> list[Row]:
    """Split rows of which only a part is held, so that the rest can be reassigned."""
    if not snapshot.unheld:
        return rows
    unheld = group_unheld(snapshot)
    result = []
    for row in rows:
        parts = [
            other
            for other in unheld.get(row.node_id, ())
            if (row.target, row.token) == (other.target, other.token)
            and overlaps(row, other)
            and not covers(other, row)
        ]
        result += split_at_borders(row, parts)
    return result


def split_at_borders(row: Row, parts: list[Row]) -> list[Row]:
    """Split a row wherever one of the parts begins or ends."""
    starts = {row.start, *(p.start for p in parts), *(p.end + 1 for p in parts)}
    starts = sorted(start for start in starts if row.start <= start <= row.end)
    ends = [start - 1 for start in starts[1:]] + [row.end]
    return [
        row._replace(start=start, end=end)
        for start, end in zip(starts, ends, strict=True)
    ]


def group_unheld(snapshot: Snapshot) -> dict[str, list[Row]]:
    """Group the rows that no target holds by their owners."""
    rows_by_owner: dict[str, list[Row]] = {}
    for row in snapshot.unheld:
        rows_by_owner.setdefault(row.node_id, []).append(row)
    return rows_by_owner


def is_unheld(row: Row, unheld: dict[str, list[Row]]) -> bool:
    """Return whether no target holds a row; `unheld` is grouped by owners."""
    return any(
        row.target == other.target and row.token == other.token and covers(other, row)
        for other in unheld.get(row.node_id, ())
    )


def split_released(row: Row, snapshot: Snapshot) -> list[Row]:
    """Split a row into the ranges that were released together, with their handovers."""
    parts = []
    # First key that no part contains yet.
    start = row.start
    for released_start, released_end, handover in sorted(snapshot.released):
        end = min(released_end, row.end)
        # Releases may overlap: an earlier one may have covered all of this one.
        if end < start or released_start > row.end:
            continue
        if released_start > start:
            parts.append(row._replace(start=start, end=released_start - 1, handover=""))
            start = released_start
        parts.append(row._replace(start=start, end=end, handover=handover))
        start = end + 1
    if start <= row.end:
        parts.append(row._replace(start=start, handover=""))
    return parts


def merge_rows(rows: list[Row]) -> list[Row]:
    """Merge adjacent rows that differ only in their key ranges."""
    merged = rows[:1]
    for row in rows[1:]:
        last = merged[-1]
        if last[2:] == row[2:] and last.end + 1 == row.start:
            merged[-1] = last._replace(end=row.end)
        else:
            merged.append(row)
    return merged
