"""Measuring of the load that keys bring to their targets.

Load is the number of requests that are at a target at the same time.
"""

from bisect import bisect_left, bisect_right
from operator import attrgetter

from knapweedrock.mesh.messages import Row, RowLoad
from knapweedrock.mesh.snapshots import (
    KEY_COUNT,
    CompletedMove,
    Snapshot,
    list_eligible_members,
)

# Load of a row below which it is not cut.
MIN_SPLIT_LOAD = 1.5
# Load that stands for all keys of a service where none is measured.
IDLE_SERVICE_LOAD = 1.0

get_end = attrgetter("end")


def measure_member_loads(rows: list[Row], snapshot: Snapshot) -> dict[str, float]:
    """Measure the load of each fit member, rows on their way to it included."""
    totals = {member.node_id: 0.0 for member in list_eligible_members(snapshot)}
    for row in rows:
        node_id = row.next_node or row.node_id
        if node_id in totals:
            totals[node_id] += measure_row_load(row, snapshot)
    return totals


def measure_row_load(row: Row, snapshot: Snapshot) -> float:
    """Measure the load of a row, or of a part of it.

    Keys that were given a moment ago count with the load that they brought before.
    """
    load = IDLE_SERVICE_LOAD * (row.end - row.start + 1) / KEY_COUNT
    for measured in list_overlapping_loads(row, snapshot):
        load += compute_overlap_load(row, measured)
    moved_load = 0.0
    for move in snapshot.completed_moves.get(row.node_id, ()):
        width = move.end - move.start + 1
        moved_load += move.load * count_common_keys(row, move) / width
    return max(load, moved_load)


def compute_overlap_load(row: Row, measured: RowLoad) -> float:
    """Measure what a row has of a measured load.

    The cuts of a measured row divide its load into equal parts.
    """
    if row.start <= measured.start and measured.end <= row.end:
        return measured.load
    edges = [measured.start, *measured.split_keys, measured.end + 1]
    part_load = measured.load / (len(edges) - 1)
    load = 0.0
    for part_start, next_start in zip(edges, edges[1:], strict=False):
        if next_start <= part_start:
            # Cuts that fall together: one key bears more than a part.
            load += part_load if row.start <= part_start <= row.end else 0
            continue
        common = min(row.end, next_start - 1) - max(row.start, part_start) + 1
        load += part_load * max(common, 0) / (next_start - part_start)
    return load


def list_overlapping_loads(row: Row, snapshot: Snapshot) -> list[RowLoad]:
    """List the measured loads of a row's node that lie at the row's keys."""
    node_loads = snapshot.loads.get(row.node_id, [])
    first = after = bisect_left(node_loads, row.start, key=get_end)
    while after < len(node_loads) and node_loads[after].start <= row.end:
        after += 1
    return node_loads[first:after]


def count_common_keys(row: Row, other: CompletedMove) -> int:
    """Count the keys that two ranges share."""
    return max(0, min(row.end, other.end) - max(row.start, other.start) + 1)


def split_row(row: Row, snapshot: Snapshot) -> list[Row]:
    """Cut a row where its load divides into equal parts.

    A row with little load stays whole: many small rows cost the coordinator more than
    they spread.
    """
    if measure_row_load(row, snapshot) < MIN_SPLIT_LOAD:
        return [row]
    parts = []
    start = row.start
    for measured in list_overlapping_loads(row, snapshot):
        for cut in measured.split_keys:
            if start < cut <= row.end:
                parts.append(row._replace(start=start, end=cut - 1))
                start = cut
    parts.append(row._replace(start=start))
    return parts


def compute_row_loads(
    rows: list[Row], key_ms: dict[int, float], part_count: int
) -> list[RowLoad]:
    """Measure the load of rows from the time spent on each key, and where it lies.

    `key_ms` is the time in ms that the keys took during the last second. Rows without
    load are left out.
    """
    keys = sorted(key_ms)
    row_loads = []
    for row in rows:
        row_keys = keys[bisect_left(keys, row.start) : bisect_right(keys, row.end)]
        key_times = [(key, key_ms[key]) for key in row_keys]
        total_ms = sum(ms for _, ms in key_times)
        if total_ms > 0:
            is_split = total_ms / 1000 >= MIN_SPLIT_LOAD
            cuts = (
                compute_cuts(key_times, total_ms, part_count, row.end)
                if is_split
                else ()
            )
            row_loads.append(
                RowLoad(row.start, row.end, round(total_ms / 1000, 2), cuts)
            )
    return row_loads


def compute_cuts(
    key_times: list[tuple[int, float]], total_ms: float, part_count: int, row_end: int
) -> tuple[int, ...]:
    """Find the keys that divide a load into equal parts; `end` is the row's last key.

    `spent` lists the keys with the time spent on each, which is `total` together.
    """
    cuts: list[int] = []
    cumulative_ms = 0.0
    for key, ms in key_times:
        cumulative_ms += ms
        crossed = min(int(cumulative_ms * part_count / total_ms), part_count - 1) - len(
            cuts
        )
        if crossed > 1 and key < row_end:
            # The key bears more than a part: it is cut off on both sides.
            cuts += [key] * (crossed - 1) + [key + 1]
        else:
            cuts += [key] * crossed
    return tuple(cuts)
