"""Load of key ranges, measured as the number of concurrent requests at a target."""

from bisect import bisect_left, bisect_right
from operator import attrgetter

from knapweedrock.mesh.messages import Row, RowLoad
from knapweedrock.mesh.snapshots import (
    KEY_COUNT,
    CompletedMove,
    Snapshot,
    list_eligible_members,
)

# Load below which a row is not split.
MIN_SPLIT_LOAD = 1.5
# Load assumed for all keys of a service together when no load is measured.
IDLE_SERVICE_LOAD = 1.0

get_end = attrgetter("end")


def measure_member_loads(rows: list[Row], snapshot: Snapshot) -> dict[str, float]:
    """Return the load of each eligible member, including rows that move to it."""
    totals = {member.node_id: 0.0 for member in list_eligible_members(snapshot)}
    for row in rows:
        node_id = row.next_node or row.node_id
        if node_id in totals:
            totals[node_id] += measure_row_load(row, snapshot)
    return totals


def measure_row_load(row: Row, snapshot: Snapshot) -> float:
    """Return the load of a row or of a part of it.

    Keys that moved recently count at least with the load measured before the move.
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
    """Return the part of a measured load that lies within a row.

    The split keys of a measured row divide its load into equal parts.
    """
    if row.start <= measured.start and measured.end <= row.end:
        return measured.load
    edges = [measured.start, *measured.split_keys, measured.end + 1]
    part_load = measured.load / (len(edges) - 1)
    load = 0.0
    for part_start, next_start in zip(edges, edges[1:], strict=False):
        if next_start <= part_start:
            # A repeated split key means that the key alone has more load than one part.
            load += part_load if row.start <= part_start <= row.end else 0
            continue
        common = min(row.end, next_start - 1) - max(row.start, part_start) + 1
        load += part_load * max(common, 0) / (next_start - part_start)
    return load


def list_overlapping_loads(row: Row, snapshot: Snapshot) -> list[RowLoad]:
    """List the measured loads of a row's node that overlap the row."""
    node_loads = snapshot.loads.get(row.node_id, [])
    first = after = bisect_left(node_loads, row.start, key=get_end)
    while after < len(node_loads) and node_loads[after].start <= row.end:
        after += 1
    return node_loads[first:after]


def count_common_keys(row: Row, other: CompletedMove) -> int:
    """Return the number of keys that two ranges share."""
    return max(0, min(row.end, other.end) - max(row.start, other.start) + 1)


def split_row(row: Row, snapshot: Snapshot) -> list[Row]:
    """Split a row at the keys that divide its load into equal parts.

    A row with little load stays whole: many small rows cost the coordinator more than
    they improve the distribution.
    """
    if measure_row_load(row, snapshot) < MIN_SPLIT_LOAD:
        return [row]
    parts = []
    start = row.start
    for measured in list_overlapping_loads(row, snapshot):
        for split_key in measured.split_keys:
            if start < split_key <= row.end:
                parts.append(row._replace(start=start, end=split_key - 1))
                start = split_key
    parts.append(row._replace(start=start))
    return parts


def compute_row_loads(
    rows: list[Row], key_ms: dict[int, float], part_count: int
) -> list[RowLoad]:
    """Compute the loads and split keys of rows from the time spent on each key.

    `key_ms` is the time in ms spent on each key per second. Rows without load are
    left out.
    """
    keys = sorted(key_ms)
    row_loads = []
    for row in rows:
        row_keys = keys[bisect_left(keys, row.start) : bisect_right(keys, row.end)]
        key_times = [(key, key_ms[key]) for key in row_keys]
        total_ms = sum(ms for _, ms in key_times)
        if total_ms > 0:
            is_split = total_ms / 1000 >= MIN_SPLIT_LOAD
            split_keys = (
                compute_split_keys(key_times, total_ms, part_count, row.end)
                if is_split
                else ()
            )
            row_loads.append(
                RowLoad(row.start, row.end, round(total_ms / 1000, 2), split_keys)
            )
    return row_loads


def compute_split_keys(
    key_times: list[tuple[int, float]], total_ms: float, part_count: int, row_end: int
) -> tuple[int, ...]:
    """Return the keys that divide a load into `part_count` equal parts.

    `key_times` lists the keys in order with the time in ms spent on each; `total_ms`
    is the sum of these times and `row_end` the last key of the row.
    """
    splits: list[int] = []
    sum_ms = 0.0
    for key, ms in key_times:
        sum_ms += ms
        crossed = min(int(sum_ms * part_count / total_ms), part_count - 1) - len(splits)
        if crossed > 1 and key < row_end:
            # The key alone has more load than one part, so the row is split before and
            # after it.
            splits += [key] * (crossed - 1) + [key + 1]
        else:
            splits += [key] * crossed
    return tuple(splits)
