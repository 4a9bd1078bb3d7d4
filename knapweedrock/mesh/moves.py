"""Selection of keys to move from busy targets to others.

Utilization is the load of a target divided by its slots.
"""

from collections.abc import Collection
from math import inf

from knapweedrock.mesh.holds import overlaps
from knapweedrock.mesh.messages import Row
from knapweedrock.mesh.row_loads import (
    measure_member_loads,
    measure_row_load,
    split_row,
)
from knapweedrock.mesh.snapshots import KEY_COUNT, Snapshot, list_at_row_limit

# Utilization above which rebalancing moves keys away from a target.
MIN_SOURCE_UTILIZATION = 0.55
# Difference in utilization above which a move is worthwhile.
MIN_UTILIZATION_GAP = 0.25
# Difference in utilization up to which the destination with the next heartbeat is
# preferred to the least utilized one.
SIMILAR_UTILIZATION_GAP = 0.15
# Time from a source's heartbeat until its keys can be reassigned: a second heartbeat,
# requests in flight, and the write of the table.
RELEASE_DELAY_MS = 280.0
# Lower bounds of the limits on moves in progress and on moves that start in one round.
# The limits grow with the number of targets, each of which takes part in one move only.
MIN_ACTIVE_LIMIT = 4
MIN_START_LIMIT = 3
TARGETS_PER_MOVE = 6
# Smallest share of the wanted load for which a run of a row's keys is moved.
MIN_RUN_SHARE = 0.25
# Largest share of the wanted load for which a run is moved.
MAX_RUN_SHARE = 1.5
# Smallest share of the wanted load for which a whole row is moved together with others.
MIN_ROW_SHARE = 0.03
# A target is overloaded above the larger of `OVERLOAD_UTILIZATION` and the mean
# utilization plus `OVERLOAD_ABOVE_MEAN`.
OVERLOAD_UTILIZATION = 0.85
OVERLOAD_ABOVE_MEAN = 0.25
# Load above the overload threshold that random variation may cause, in requests.
RANDOM_LOAD_ALLOWANCE = 1.0
# An overloaded target keeps the larger of `RELIEVED_UTILIZATION` and the mean
# utilization plus `RELIEVED_ABOVE_MEAN`.
RELIEVED_UTILIZATION = 0.6
RELIEVED_ABOVE_MEAN = 0.1
# Utilization up to which a destination takes over load of an overloaded target.
MAX_DESTINATION_UTILIZATION = 0.9
# Smallest and largest share of the excess load for which a part of a row is moved.
MIN_PART_SHARE = 0.05
MAX_PART_SHARE = 1.5
# Penalty for moving all keys, in units of load; a part of the keys costs its share.
FULL_MOVE_COST = 30.0


def rebalance(
    rows: list[Row], snapshot: Snapshot, cooling_down: Collection[str]
) -> list[Row]:
    """Mark rows for all worthwhile moves that may run at the same time.

    Members in `cooling_down` took part in a recent move and are left out.
    """
    totals = measure_member_loads(rows, snapshot)
    active_moves = len({(row.node_id, row.next_node) for row in rows if row.next_node})
    max_starts = max(MIN_ACTIVE_LIMIT, len(totals) // TARGETS_PER_MOVE) - active_moves
    max_starts = min(max_starts, max(MIN_START_LIMIT, len(totals) // TARGETS_PER_MOVE))
    owners = {row.next_node or row.node_id for row in rows}
    excluded = set(cooling_down)
    at_row_limit = list_at_row_limit(rows)
    replacements: dict[Row, list[Row]] = {}
    for _ in range(max_starts):
        pair = choose_pair(totals, owners, snapshot, excluded, at_row_limit)
        if pair is None:
            break
        source, destination = pair
        movable = [row for row in rows if row.node_id == source and not row.next_node]
        wanted_load = (totals[source] - totals[destination]) / 2
        moved_parts = choose_parts(movable, snapshot, wanted_load)
        if not moved_parts:
            break
        replacements |= mark_parts(movable, moved_parts, destination)
        load = sum(measure_row_load(part, snapshot) for part in moved_parts)
        totals[source] -= load
        totals[destination] += load
        owners.add(destination)
        excluded |= {source, destination}
    return [part for row in rows for part in replacements.get(row, [row])]


def choose_pair(
    totals: dict[str, float],
    owners: Collection[str],
    snapshot: Snapshot,
    excluded: Collection[str],
    at_row_limit: Collection[str],
) -> tuple[str, str] | None:
    """Choose the most utilized target and a destination; None if no move is worthwhile.

    Members in `at_row_limit` are never chosen as destinations.
    """
    if len(totals) < 2:
        return None
    rowless = [node_id for node_id in totals if node_id not in owners]
    utilizations = {n: compute_utilization(n, totals, snapshot) for n in totals}
    source = max(utilizations, key=lambda node_id: (utilizations[node_id], node_id))
    candidates = {
        n: utilization
        for n, utilization in utilizations.items()
        if n not in at_row_limit
    }
    if not rowless and not candidates:
        return None
    destination = (
        rowless[0]
        if rowless
        else choose_destination(source, candidates, snapshot, excluded)
    )
    if source == destination or source in excluded or destination in excluded:
        return None
    is_gap_large = (
        utilizations[source] - utilizations[destination] > MIN_UTILIZATION_GAP
    )
    if not rowless and (
        utilizations[source] < MIN_SOURCE_UTILIZATION or not is_gap_large
    ):
        return None
    return source, destination


def choose_destination(
    source: str,
    utilizations: dict[str, float],
    snapshot: Snapshot,
    excluded: Collection[str],
) -> str:
    """Choose among the least utilized targets the one that gets the keys soonest."""
    lowest = min(utilizations.values())
    similar = [
        node_id
        for node_id, utilization in utilizations.items()
        if utilization <= lowest + SIMILAR_UTILIZATION_GAP and node_id != source
    ]
    available = [node_id for node_id in similar if node_id not in excluded]
    return min(
        available or similar or [source],
        key=lambda node_id: (compute_unheld_ms(source, node_id, snapshot), node_id),
    )


def compute_unheld_ms(source: str, destination: str, snapshot: Snapshot) -> float:
    """Compute for how many ms no target holds keys that move between two targets."""
    heartbeat_at_ms = snapshot.heartbeat_at_ms
    if source not in heartbeat_at_ms or destination not in heartbeat_at_ms:
        return snapshot.heartbeat_interval_ms
    offset_ms = (
        heartbeat_at_ms[destination] - heartbeat_at_ms[source] - RELEASE_DELAY_MS
    )
    return RELEASE_DELAY_MS + offset_ms % snapshot.heartbeat_interval_ms


def choose_parts(
    movable: list[Row], snapshot: Snapshot, wanted_load: float
) -> list[Row]:
    """Choose a run of keys within one row, or several whole rows, to move.

    The choice comes closest to the wanted load with few keys, because keys cannot be
    served while they move.
    """
    choices = [[run] for run in list_candidate_runs(movable, snapshot, wanted_load)]
    choices.append(choose_whole_rows(movable, snapshot, wanted_load))
    return min(
        choices, key=lambda parts: compute_move_penalty(parts, snapshot, wanted_load)
    )


def mark_parts(
    movable: list[Row], moved_parts: list[Row], destination: str
) -> dict[Row, list[Row]]:
    """Mark parts of rows for a destination; return the replacements of each row."""
    replacements = {}
    for row in movable:
        part = next((part for part in moved_parts if overlaps(row, part)), None)
        if part is not None:
            replacements[row] = split_out(row, part, destination)
    return replacements


def compute_move_penalty(
    moved_parts: list[Row], snapshot: Snapshot, wanted_load: float
) -> float:
    """Return the deviation of a move from the wanted load, plus its cost."""
    load = sum(measure_row_load(row, snapshot) for row in moved_parts)
    key_share = sum(row.end - row.start + 1 for row in moved_parts) / KEY_COUNT
    return abs(load - wanted_load) + FULL_MOVE_COST * key_share


def list_candidate_runs(
    movable: list[Row], snapshot: Snapshot, wanted_load: float
) -> list[Row]:
    """List the runs of keys within one row whose load suits the wanted load."""
    min_load, max_load = wanted_load * MIN_RUN_SHARE, wanted_load * MAX_RUN_SHARE
    return [
        run
        for row in movable
        if measure_row_load(row, snapshot) >= min_load
        for run in list_runs(row, snapshot)
        if min_load <= measure_row_load(run, snapshot) <= max_load
    ]


def choose_whole_rows(
    movable: list[Row], snapshot: Snapshot, wanted_load: float
) -> list[Row]:
    """Choose whole rows up to the wanted load, those with the most load first."""
    loads = {row: measure_row_load(row, snapshot) for row in movable}
    min_load = wanted_load * MIN_ROW_SHARE
    chosen = []
    for row in sorted(loads, key=lambda row: (-loads[row], row.start)):
        if min_load <= loads[row] <= wanted_load:
            chosen.append(row)
            wanted_load -= loads[row]
    return chosen


def split_out(row: Row, part: Row, destination: str) -> list[Row]:
    """Split a part off its row and mark the part for a destination."""
    parts = []
    if row.start < part.start:
        parts.append(row._replace(end=part.start - 1))
    parts.append(part._replace(next_node=destination))
    if part.end < row.end:
        parts.append(row._replace(start=part.end + 1))
    return parts


def list_runs(row: Row, snapshot: Snapshot) -> list[Row]:
    """List all runs of consecutive parts of a row, including the whole row."""
    parts = split_row(row, snapshot)
    if len(parts) == 1 and row.end > row.start:
        middle = (row.start + row.end) // 2
        parts = [row._replace(end=middle), row._replace(start=middle + 1)]
    return [
        first._replace(end=last.end)
        for index, first in enumerate(parts)
        for last in parts[index:]
    ]


def relieve_overloaded(rows: list[Row], snapshot: Snapshot) -> list[Row]:
    """Mark the excess load of overloaded targets for as many others as necessary."""
    totals = measure_member_loads(rows, snapshot)
    if len(totals) < 2:
        return rows
    mean_utilization = compute_mean_utilization(totals, snapshot)
    overloaded = [
        n for n in totals if is_overloaded(n, totals, mean_utilization, snapshot)
    ]
    at_row_limit = list_at_row_limit(rows)
    replacements: dict[Row, list[Row]] = {}
    for source in sorted(
        overloaded, key=lambda n: (-compute_utilization(n, totals, snapshot), n)
    ):
        movable = [row for row in rows if row.node_id == source and not row.next_node]
        kept_load = (
            max(RELIEVED_UTILIZATION, mean_utilization + RELIEVED_ABOVE_MEAN)
            * snapshot.members[source].slots
        )
        excess_load = totals[source] - kept_load
        replacements |= mark_excess(
            source, movable, excess_load, totals, snapshot, at_row_limit
        )
    if not replacements:
        return rows
    return [part for row in rows for part in replacements.get(row, [row])]


def compute_mean_utilization(totals: dict[str, float], snapshot: Snapshot) -> float:
    """Return the total load of all targets divided by their slots."""
    slots = sum(snapshot.members[name].slots for name in totals)
    return sum(totals.values()) / max(slots, 1)


def is_overloaded(
    node_id: str,
    totals: dict[str, float],
    mean_utilization: float,
    snapshot: Snapshot,
) -> bool:
    """Return whether a target is overloaded beyond random variation.

    A target with few slots is often fully used for a moment. When all targets are
    nearly full, a move does not help.
    """
    slots = max(snapshot.members[node_id].slots, 1)
    threshold = (
        max(OVERLOAD_UTILIZATION, mean_utilization + OVERLOAD_ABOVE_MEAN) * slots
        + RANDOM_LOAD_ALLOWANCE
    )
    return totals[node_id] > threshold


def mark_excess(
    source: str,
    movable: list[Row],
    excess_load: float,
    totals: dict[str, float],
    snapshot: Snapshot,
    at_row_limit: Collection[str],
) -> dict[Row, list[Row]]:
    """Mark parts of an overloaded target's rows for others and update `totals`.

    Parts with the most load move first, so that few keys move. A part stays if no
    other target has room for it. Returns the replacements of each changed row.
    """
    min_load = excess_load * MIN_PART_SHARE
    parts_by_row = {row: split_row(row, snapshot) for row in movable}
    loads = {
        p: measure_row_load(p, snapshot)
        for row_parts in parts_by_row.values()
        for p in row_parts
    }
    destinations: dict[Row, str] = {}
    for part in sorted(loads, key=lambda part: (-loads[part], part.start)):
        load = loads[part]
        if excess_load <= 0 or load < min_load:
            break
        if load > excess_load * MAX_PART_SHARE:
            continue
        destination = choose_destination_with_room(
            source, load, totals, snapshot, at_row_limit
        )
        if destination:
            destinations[part] = destination
            totals[destination] += load
            totals[source] -= load
            excess_load -= load
    return {
        row: merge_parts(row_parts, destinations)
        for row, row_parts in parts_by_row.items()
        if any(part in destinations for part in row_parts)
    }


def choose_destination_with_room(
    source: str,
    load: float,
    totals: dict[str, float],
    snapshot: Snapshot,
    at_row_limit: Collection[str],
) -> str:
    """Choose a target with room for a load; return an empty string if none has room."""
    utilizations = {
        n: (totals[n] + load) / max(snapshot.members[n].slots, 1)
        for n in totals
        if n != source and n not in at_row_limit
    }
    lowest = min(utilizations.values(), default=inf)
    if lowest > MAX_DESTINATION_UTILIZATION:
        return ""
    similar = [
        n
        for n, utilization in utilizations.items()
        if utilization <= lowest + SIMILAR_UTILIZATION_GAP / 2
    ]
    return min(similar, key=lambda n: (compute_unheld_ms(source, n, snapshot), n))


def merge_parts(parts: list[Row], destinations: dict[Row, str]) -> list[Row]:
    """Mark parts for their destinations and merge neighbours with the same one."""
    merged: list[Row] = []
    for part in parts:
        part = part._replace(next_node=destinations.get(part, ""))
        if merged and merged[-1].next_node == part.next_node:
            merged[-1] = merged[-1]._replace(end=part.end)
        else:
            merged.append(part)
    return merged


def list_started_moves(before: list[Row], after: list[Row]) -> list[Row]:
    """List the rows in `after` that are marked for a next owner and not in `before`."""
    if after is before:
        return []
    known = set(before)
    return [row for row in after if row.next_node and row not in known]


def compute_utilization(
    node_id: str, totals: dict[str, float], snapshot: Snapshot
) -> float:
    """Return the load of a target divided by its slots."""
    return totals[node_id] / max(snapshot.members[node_id].slots, 1)
