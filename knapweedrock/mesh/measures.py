"""Measuring of the load that keys bring to their targets.

Load is the number of requests that are at a target at the same time.
"""

from bisect import bisect_left, bisect_right
from operator import attrgetter

from knapweedrock.mesh.facts import KEYS, Facts, Given, list_fit
from knapweedrock.mesh.messages import Row, RowLoad

# Load of a row below which it is not cut.
CUT_LOAD = 1.5
# Load that stands for all keys of a service where none is measured.
IDLE_LOAD = 1.0

get_end = attrgetter("end")


def measure_loads(rows: list[Row], facts: Facts) -> dict[str, float]:
    """Measure the load of each fit member, rows on their way to it included."""
    totals = {member.node_id: 0.0 for member in list_fit(facts)}
    for row in rows:
        node_id = row.next_node or row.node_id
        if node_id in totals:
            totals[node_id] += measure_row(row, facts)
    return totals


def measure_row(row: Row, facts: Facts) -> float:
    """Measure the load of a row, or of a part of it.

    Keys that were given a moment ago count with the load that they brought before.
    """
    load = IDLE_LOAD * (row.end - row.start + 1) / KEYS
    for known in list_overlapping(row, facts):
        load += measure_part(row, known)
    expected = 0.0
    for given in facts.given.get(row.node_id, ()):
        width = given.end - given.start + 1
        expected += given.load * count_common(row, given) / width
    return max(load, expected)


def measure_part(row: Row, known: RowLoad) -> float:
    """Measure what a row has of a measured load.

    The cuts of a measured row divide its load into equal parts.
    """
    if row.start <= known.start and known.end <= row.end:
        return known.load
    edges = [known.start, *known.cuts, known.end + 1]
    part = known.load / (len(edges) - 1)
    load = 0.0
    for first, after in zip(edges, edges[1:], strict=False):
        if after <= first:
            # Cuts that fall together: one key bears more than a part.
            load += part if row.start <= first <= row.end else 0
            continue
        common = min(row.end, after - 1) - max(row.start, first) + 1
        load += part * max(common, 0) / (after - first)
    return load


def list_overlapping(row: Row, facts: Facts) -> list[RowLoad]:
    """List the measured loads of a row's node that lie at the row's keys."""
    known = facts.loads.get(row.node_id, [])
    first = after = bisect_left(known, row.start, key=get_end)
    while after < len(known) and known[after].start <= row.end:
        after += 1
    return known[first:after]


def count_common(row: Row, other: Given) -> int:
    """Count the keys that two ranges share."""
    return max(0, min(row.end, other.end) - max(row.start, other.start) + 1)


def cut_row(row: Row, facts: Facts) -> list[Row]:
    """Cut a row where its load divides into equal parts.

    A row with little load stays whole: many small rows cost the coordinator more than
    they spread.
    """
    if measure_row(row, facts) < CUT_LOAD:
        return [row]
    pieces = []
    start = row.start
    for known in list_overlapping(row, facts):
        for cut in known.cuts:
            if start < cut <= row.end:
                pieces.append(row._replace(start=start, end=cut - 1))
                start = cut
    pieces.append(row._replace(start=start))
    return pieces


def measure_keys(
    rows: list[Row], key_ms: dict[int, float], parts: int
) -> list[RowLoad]:
    """Measure the load of rows from the time spent on each key, and where it lies.

    `key_ms` is the time in ms that the keys took during the last second. Rows without
    load are left out.
    """
    keys = sorted(key_ms)
    found = []
    for row in rows:
        own = keys[bisect_left(keys, row.start) : bisect_right(keys, row.end)]
        spent = [(key, key_ms[key]) for key in own]
        total = sum(ms for _, ms in spent)
        if total > 0:
            is_cut = total / 1000 >= CUT_LOAD
            cuts = find_cuts(spent, total, parts, row.end) if is_cut else ()
            found.append(RowLoad(row.start, row.end, round(total / 1000, 2), cuts))
    return found


def find_cuts(
    spent: list[tuple[int, float]], total: float, parts: int, end: int
) -> tuple[int, ...]:
    """Find the keys that divide a load into equal parts; `end` is the row's last key.

    `spent` lists the keys with the time spent on each, which is `total` together.
    """
    cuts: list[int] = []
    reached = 0.0
    for key, ms in spent:
        reached += ms
        crossed = min(int(reached * parts / total), parts - 1) - len(cuts)
        if crossed > 1 and key < end:
            # The key bears more than a part: it is cut off on both sides.
            cuts += [key] * (crossed - 1) + [key + 1]
        else:
            cuts += [key] * crossed
    return tuple(cuts)
