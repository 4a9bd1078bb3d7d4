"""Decisions on who owns which keys, as functions of what is known."""

from collections.abc import Collection

from knapweedrock.mesh.facts import KEYS, Facts, find_crowded, list_fit
from knapweedrock.mesh.holds import covers
from knapweedrock.mesh.measures import cut_row, measure_loads, measure_row
from knapweedrock.mesh.messages import Member, Row

# Rows of a first table, about: more of them spread neighbours better, and cost the
# coordinator more at each decision.
FIRST_ROWS = 2048
# Rows of one target in a first table at most. It is told of all that it holds at each
# heartbeat, in an answer of bounded size, also once it has the rows of many others.
FIRST_ROWS_A_TARGET = 40


def create_table(members: list[Member]) -> list[Row]:
    """Divide all keys evenly among some members.

    Members take many small rows in turn: busy keys lie close together, and so have
    several owners before any load is known.
    """
    ordered = sorted(members, key=lambda member: member.node_id)
    rows_each = min(max(1, FIRST_ROWS // len(ordered)), FIRST_ROWS_A_TARGET)
    count = len(ordered) * rows_each
    rows = []
    for index in range(count):
        member = ordered[index % len(ordered)]
        start = index * KEYS // count
        end = (index + 1) * KEYS // count - 1
        rows.append(Row(start, end, member.node_id, member.target, 1, "", ""))
    return rows


def choose_least(
    totals: dict[str, float], facts: Facts, crowded: Collection[str]
) -> str:
    """Choose the member with the smallest load for its slots.

    Those that are `crowded` take something only where all are.
    """
    return min(
        [name for name in totals if name not in crowded] or totals,
        key=lambda node_id: (
            totals[node_id] / max(facts.members[node_id].slots, 1),
            node_id,
        ),
    )


def empty_unfit(rows: list[Row], facts: Facts) -> list[Row]:
    """Let rows go whose owner leaves or lies in a zone that is out."""
    fit = {member.node_id for member in list_fit(facts)}
    if not fit or all(stays(row, fit, facts) for row in rows):
        return rows
    totals, crowded = measure_loads(rows, facts), find_crowded(rows)
    found = []
    for row in rows:
        if stays(row, fit, facts):
            found.append(row)
        else:
            found += share_out(row, totals, facts, crowded)
    return found


def stays(row: Row, fit: Collection[str], facts: Facts) -> bool:
    """Tell whether a row stays where it is, or goes where it is to go.

    An owner that is absent can't let anything go.
    """
    owner = facts.members.get(row.node_id)
    if owner is None or owner.state == "absent":
        return True
    return (row.next_node or row.node_id) in fit


def share_out(
    row: Row, totals: dict[str, float], facts: Facts, crowded: Collection[str]
) -> list[Row]:
    """Mark the parts of a row for the least loaded members, and count them there."""
    marked = []
    for piece in cut_row(row, facts):
        next_node = choose_least(totals, facts, crowded)
        totals[next_node] += measure_row(piece, facts)
        marked.append(piece._replace(next_node=next_node))
    return marked


def mark_free(rows: list[Row], facts: Facts) -> list[Row]:
    """Name the next owners of rows that nobody holds any more.

    A row is given away only after its mark is published: a node that has forgotten
    that it gave the row up learns of the mark before it can grant the row again.
    """
    if not facts.unheld or not list_fit(facts):
        return rows
    totals, unheld = measure_loads(rows, facts), group_unheld(facts)
    crowded = find_crowded(rows)
    found = []
    for row in rows:
        if row.next_node in totals or not is_free(row, unheld):
            found.append(row)
            continue
        if row.node_id in totals:
            found.append(row._replace(next_node=row.node_id))
            continue
        found += share_out(row, totals, facts, crowded)
    return found


def settle_rows(rows: list[Row], facts: Facts) -> list[Row]:
    """Give marked rows that nobody holds any more to their next owners."""
    if not facts.unheld:
        return rows
    fit = {member.node_id: member for member in list_fit(facts)}
    unheld = group_unheld(facts)
    found = []
    for row in rows:
        if row.next_node not in fit or not is_free(row, unheld):
            found.append(row)
            continue
        for piece in cut_released(row, facts):
            found.append(
                piece._replace(
                    node_id=row.next_node,
                    target=fit[row.next_node].target,
                    token=row.token + 1,
                    next_node="",
                )
            )
    return found


def group_unheld(facts: Facts) -> dict[str, list[Row]]:
    """Group the rows that nobody holds by their owners."""
    found: dict[str, list[Row]] = {}
    for row in facts.unheld:
        found.setdefault(row.node_id, []).append(row)
    return found


def is_free(row: Row, unheld: dict[str, list[Row]]) -> bool:
    """Tell whether nobody holds a row any more; `unheld` is grouped by owners."""
    return any(
        row.target == known.target and row.token == known.token and covers(known, row)
        for known in unheld.get(row.node_id, ())
    )


def cut_released(row: Row, facts: Facts) -> list[Row]:
    """Cut a row into what was let go together, each with its handover."""
    pieces = []
    start = row.start
    for first, last, handover in sorted(facts.released):
        if last < start or first > row.end:
            continue
        if first > start:
            pieces.append(row._replace(start=start, end=first - 1, handover=""))
            start = first
        end = min(last, row.end)
        pieces.append(row._replace(start=start, end=end, handover=handover))
        start = end + 1
    if start <= row.end:
        pieces.append(row._replace(start=start, handover=""))
    return pieces


def merge_rows(rows: list[Row]) -> list[Row]:
    """Join neighbours that one start of a target owns under one token."""
    found = rows[:1]
    for row in rows[1:]:
        last = found[-1]
        if last[2:] == row[2:] and last.end + 1 == row.start:
            found[-1] = last._replace(end=row.end)
        else:
            found.append(row)
    return found
