"""Decisions on who owns which keys, as functions of what is known."""

from collections.abc import Collection

from knapweedrock.mesh.holds import covers
from knapweedrock.mesh.messages import Member, Row
from knapweedrock.mesh.row_loads import (
    measure_member_loads,
    measure_row_load,
    split_row,
)
from knapweedrock.mesh.snapshots import (
    KEY_COUNT,
    Snapshot,
    list_eligible_members,
    list_members_at_row_limit,
)

# Rows of a first table, about: more of them spread neighbours better, and cost the
# coordinator more at each decision.
INITIAL_ROWS = 2048
# Rows of one target in a first table at most. It is told of all that it holds at each
# heartbeat, in an answer of bounded size, also once it has the rows of many others.
MAX_INITIAL_ROWS_PER_TARGET = 40


def create_initial_table(members: list[Member]) -> list[Row]:
    """Divide all keys evenly among some members.

    Members take many small rows in turn: busy keys lie close together, and so have
    several owners before any load is known.
    """
    ordered = sorted(members, key=lambda member: member.node_id)
    rows_per_member = min(
        max(1, INITIAL_ROWS // len(ordered)), MAX_INITIAL_ROWS_PER_TARGET
    )
    row_count = len(ordered) * rows_per_member
    rows = []
    for index in range(row_count):
        member = ordered[index % len(ordered)]
        start = index * KEY_COUNT // row_count
        end = (index + 1) * KEY_COUNT // row_count - 1
        rows.append(Row(start, end, member.node_id, member.target, 1, "", ""))
    return rows


def choose_least_loaded(
    totals: dict[str, float], snapshot: Snapshot, at_row_limit: Collection[str]
) -> str:
    """Choose the member with the smallest load for its slots.

    Those that are `crowded` take something only where all are.
    """
    return min(
        [name for name in totals if name not in at_row_limit] or totals,
        key=lambda node_id: (
            totals[node_id] / max(snapshot.members[node_id].slots, 1),
            node_id,
        ),
    )


def evacuate_rows(rows: list[Row], snapshot: Snapshot) -> list[Row]:
    """Let rows go whose owner leaves or lies in a zone that is out."""
    eligible = {member.node_id for member in list_eligible_members(snapshot)}
    if not eligible or all(should_stay(row, eligible, snapshot) for row in rows):
        return rows
    totals, at_row_limit = (
        measure_member_loads(rows, snapshot),
        list_members_at_row_limit(rows),
    )
    result = []
    for row in rows:
        if should_stay(row, eligible, snapshot):
            result.append(row)
        else:
            result += distribute_row(row, totals, snapshot, at_row_limit)
    return result


def should_stay(row: Row, eligible: Collection[str], snapshot: Snapshot) -> bool:
    """Tell whether a row stays where it is, or goes where it is to go.

    An owner that is absent can't let anything go.
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
    """Mark the parts of a row for the least loaded members, and count them there."""
    marked = []
    for part in split_row(row, snapshot):
        next_node = choose_least_loaded(totals, snapshot, at_row_limit)
        totals[next_node] += measure_row_load(part, snapshot)
        marked.append(part._replace(next_node=next_node))
    return marked


def mark_unheld_rows(rows: list[Row], snapshot: Snapshot) -> list[Row]:
    """Name the next owners of rows that nobody holds any more.

    A row is given away only after its mark is published: a node that has forgotten
    that it gave the row up learns of the mark before it can grant the row again.
    """
    if not snapshot.unheld or not list_eligible_members(snapshot):
        return rows
    totals, unheld = measure_member_loads(rows, snapshot), group_unheld(snapshot)
    at_row_limit = list_members_at_row_limit(rows)
    result = []
    for row in rows:
        if row.next_node in totals or not is_unheld(row, unheld):
            result.append(row)
            continue
        if row.node_id in totals:
            result.append(row._replace(next_node=row.node_id))
            continue
        result += distribute_row(row, totals, snapshot, at_row_limit)
    return result


def reassign_rows(rows: list[Row], snapshot: Snapshot) -> list[Row]:
    """Give marked rows that nobody holds any more to their next owners."""
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
                    token=row.token + 1,
                    next_node="",
                )
            )
    return result


def group_unheld(snapshot: Snapshot) -> dict[str, list[Row]]:
    """Group the rows that nobody holds by their owners."""
    rows_by_owner: dict[str, list[Row]] = {}
    for row in snapshot.unheld:
        rows_by_owner.setdefault(row.node_id, []).append(row)
    return rows_by_owner


def is_unheld(row: Row, unheld: dict[str, list[Row]]) -> bool:
    """Tell whether nobody holds a row any more; `unheld` is grouped by owners."""
    return any(
        row.target == other.target and row.token == other.token and covers(other, row)
        for other in unheld.get(row.node_id, ())
    )


def split_released(row: Row, snapshot: Snapshot) -> list[Row]:
    """Cut a row into what was let go together, each with its handover."""
    parts = []
    start = row.start
    for released_start, released_end, handover in sorted(snapshot.released):
        if released_end < start or released_start > row.end:
            continue
        if released_start > start:
            parts.append(row._replace(start=start, end=released_start - 1, handover=""))
            start = released_start
        end = min(released_end, row.end)
        parts.append(row._replace(start=start, end=end, handover=handover))
        start = end + 1
    if start <= row.end:
        parts.append(row._replace(start=start, handover=""))
    return parts


def merge_rows(rows: list[Row]) -> list[Row]:
    """Join neighbours that one start of a target owns under one token."""
    merged = rows[:1]
    for row in rows[1:]:
        last = merged[-1]
        if last[2:] == row[2:] and last.end + 1 == row.start:
            merged[-1] = last._replace(end=row.end)
        else:
            merged.append(row)
    return merged
