"""Decisions on who owns which keys, as functions of what is known."""

from bisect import bisect_left, bisect_right
from collections.abc import Collection
from typing import NamedTuple

from knapweedrock.mesh.holds import covers, overlaps
from knapweedrock.mesh.messages import Member, Row, RowLoad

KEYS = 65536
# Load of a target's slots above which its keys are moved to others.
BUSY_SHARE = 0.55
# Difference of load, in shares of the slots, that is worth a move.
WORTH_SHARE = 0.25
# Difference of load up to which the receiver with the next heartbeat is preferred.
ALIKE_SHARE = 0.15
# Time from a giver's heartbeat until its keys are free: a second heartbeat, the work
# that is in flight, and the write of the table.
RELEASE_MS = 280.0
# Load of a row below which it is not cut.
CUT_LOAD = 1.5
# Load that stands for all keys of a service where none is measured.
IDLE_LOAD = 1.0
# Moves that may be under way, and that may begin together, whatever the number of
# targets; more of them where there are more targets, as each takes part in one only.
LEAST_MOVES = 4
LEAST_BEGUN = 3
TARGETS_A_MOVE = 6
# Rows of a first table, about: more of them spread neighbours better, and cost the
# coordinator more at each decision.
FIRST_ROWS = 128
# Share of the wanted load that a run of a row's keys must bear to be worth a move.
WORTH_RUN_SHARE = 0.25
# Share of it that a run may bear at most.
MOST_RUN_SHARE = 1.5
# Share of it that a whole row must have to be moved beside others.
WORTH_ROW_SHARE = 0.03
# Load that a move of all keys would have to be worth.
MOVE_COST = 30.0


class Facts(NamedTuple):
    """What the coordinator knows of a service's targets.

    `loads` holds the measured load of rows by node, `unheld` the rows that surely
    nobody holds, and `released` what targets let go, as `(start, end, handover)`.
    """

    members: dict[str, Member]
    zones_out: Collection[str]
    loads: dict[str, list[RowLoad]]
    unheld: Collection[Row]
    released: Collection[tuple[int, int, str]]
    # When each member's target sent a heartbeat, in ms of the coordinator's clock, and
    # the time between two.
    beats_ms: dict[str, float] = {}
    interval_ms: float = 1000.0


def list_fit(facts: Facts) -> list[Member]:
    """List the members whose targets may own keys."""
    return [
        member
        for member in facts.members.values()
        if member.state == "ready" and member.zone not in facts.zones_out
    ]


def create_table(members: list[Member]) -> list[Row]:
    """Divide all keys evenly among some members.

    Members take many small rows in turn: busy keys lie close together, and so have
    several owners before any load is known.
    """
    ordered = sorted(members, key=lambda member: member.node_id)
    count = len(ordered) * max(1, FIRST_ROWS // len(ordered))
    rows = []
    for index in range(count):
        member = ordered[index % len(ordered)]
        start = index * KEYS // count
        end = (index + 1) * KEYS // count - 1
        rows.append(Row(start, end, member.node_id, member.target, 1, "", ""))
    return rows


def find_row(rows: list[Row], key: int) -> Row | None:
    """Find the row of a key."""
    low, high = 0, len(rows)
    while low < high:
        middle = (low + high) // 2
        if rows[middle].end < key:
            low = middle + 1
        else:
            high = middle
    if low < len(rows) and rows[low].start <= key:
        return rows[low]
    return None


def measure_loads(rows: list[Row], facts: Facts) -> dict[str, float]:
    """Measure the load of each fit member, rows on their way to it included."""
    totals = {member.node_id: 0.0 for member in list_fit(facts)}
    for row in rows:
        node_id = row.next_node or row.node_id
        if node_id in totals:
            totals[node_id] += measure_row(row, facts)
    return totals


def measure_row(row: Row, facts: Facts) -> float:
    """Measure the load of a row, or of a part of it, in requests at the target at once.

    The cuts of a measured row divide its load into equal parts.
    """
    load = IDLE_LOAD * (row.end - row.start + 1) / KEYS
    for known in facts.loads.get(row.node_id, ()):
        if not overlaps(row, known):
            continue
        edges = [known.start, *known.cuts, known.end + 1]
        part = known.load / (len(edges) - 1)
        for first, after in zip(edges, edges[1:], strict=False):
            if after <= first:
                # Cuts that fall together: one key bears more than a part.
                load += part if row.start <= first <= row.end else 0
                continue
            common = min(row.end, after - 1) - max(row.start, first) + 1
            load += part * max(common, 0) / (after - first)
    return load


def cut_row(row: Row, facts: Facts) -> list[Row]:
    """Cut a row where its load divides into equal parts.

    A row with little load stays whole: many small rows cost the coordinator more than
    they spread.
    """
    if measure_row(row, facts) < CUT_LOAD:
        return [row]
    pieces = []
    start = row.start
    for known in facts.loads.get(row.node_id, ()):
        for cut in known.cuts:
            if start < cut <= row.end:
                pieces.append(row._replace(start=start, end=cut - 1))
                start = cut
    pieces.append(row._replace(start=start))
    return pieces


def choose_least(totals: dict[str, float], facts: Facts) -> str:
    """Choose the member with the smallest load for its slots."""
    return min(
        totals,
        key=lambda node_id: (
            totals[node_id] / max(facts.members[node_id].slots, 1),
            node_id,
        ),
    )


def empty_unfit(rows: list[Row], facts: Facts) -> list[Row]:
    """Let rows go whose owner leaves or lies in a zone that is out."""
    totals = measure_loads(rows, facts)
    if not totals:
        return rows
    found = []
    for row in rows:
        owner = facts.members.get(row.node_id)
        stays = row.next_node in totals if row.next_node else row.node_id in totals
        if stays or owner is None or owner.state == "absent":
            found.append(row)
            continue
        found += share_out(row, totals, facts)
    return found


def share_out(row: Row, totals: dict[str, float], facts: Facts) -> list[Row]:
    """Mark the parts of a row for the least loaded members, and count them there."""
    marked = []
    for piece in cut_row(row, facts):
        next_node = choose_least(totals, facts)
        totals[next_node] += measure_row(piece, facts)
        marked.append(piece._replace(next_node=next_node))
    return marked


def mark_free(rows: list[Row], facts: Facts) -> list[Row]:
    """Name the next owners of rows that nobody holds any more.

    A row is given away only after its mark is published: a node that has forgotten
    that it gave the row up learns of the mark before it can grant the row again.
    """
    totals = measure_loads(rows, facts)
    if not totals:
        return rows
    found = []
    for row in rows:
        if row.next_node in totals or not is_free(row, facts):
            found.append(row)
            continue
        if row.node_id in totals:
            found.append(row._replace(next_node=row.node_id))
            continue
        found += share_out(row, totals, facts)
    return found


def settle_rows(rows: list[Row], facts: Facts) -> list[Row]:
    """Give marked rows that nobody holds any more to their next owners."""
    fit = {member.node_id: member for member in list_fit(facts)}
    found = []
    for row in rows:
        if row.next_node not in fit or not is_free(row, facts):
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


def is_free(row: Row, facts: Facts) -> bool:
    """Tell whether nobody holds a row any more."""
    return any(
        row.node_id == known.node_id
        and row.target == known.target
        and row.token == known.token
        and covers(known, row)
        for known in facts.unheld
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


def begin_moves(rows: list[Row], facts: Facts, resting: Collection[str]) -> list[Row]:
    """Begin all moves that are worth it and may go on together."""
    busy = set(resting)
    for _ in range(max(LEAST_BEGUN, len(list_fit(facts)) // TARGETS_A_MOVE)):
        known = set(rows)
        marked = balance_rows(rows, facts, busy)
        if marked == rows:
            break
        for row in marked:
            if row.next_node and row not in known:
                busy |= {row.node_id, row.next_node}
        rows = marked
    return rows


def balance_rows(rows: list[Row], facts: Facts, resting: Collection[str]) -> list[Row]:
    """Begin one move from the busiest target to the least busy one, if worth it.

    Members that are `resting` took part in a move a moment ago.
    """
    totals = measure_loads(rows, facts)
    under_way = len({(row.node_id, row.next_node) for row in rows if row.next_node})
    if len(totals) < 2 or under_way >= max(LEAST_MOVES, len(totals) // TARGETS_A_MOVE):
        return rows
    owners = {row.next_node or row.node_id for row in rows}
    idle = [node_id for node_id in totals if node_id not in owners]
    shares = {n: totals[n] / max(facts.members[n].slots, 1) for n in totals}
    giver = max(shares, key=lambda node_id: (shares[node_id], node_id))
    receiver = idle[0] if idle else choose_receiver(giver, shares, facts, resting)
    if giver == receiver or giver in resting or receiver in resting:
        return rows
    is_worth = shares[giver] - shares[receiver] > WORTH_SHARE
    if not idle and (shares[giver] < BUSY_SHARE or not is_worth):
        return rows
    wanted = (totals[giver] - totals[receiver]) / 2
    return move_load(rows, facts, giver, receiver, wanted)


def choose_receiver(
    giver: str, shares: dict[str, float], facts: Facts, resting: Collection[str]
) -> str:
    """Choose among the least busy the one that can be granted keys the soonest."""
    least = min(shares.values())
    alike = [
        node_id
        for node_id, share in shares.items()
        if share <= least + ALIKE_SHARE and node_id != giver
    ]
    rested = [node_id for node_id in alike if node_id not in resting]
    return min(
        rested or alike or [giver],
        key=lambda node_id: (find_gap_ms(giver, node_id, facts), node_id),
    )


def find_gap_ms(giver: str, receiver: str, facts: Facts) -> float:
    """Find how long keys that move between two targets have no holder."""
    beats_ms = facts.beats_ms
    if giver not in beats_ms or receiver not in beats_ms:
        return facts.interval_ms
    apart_ms = beats_ms[receiver] - beats_ms[giver] - RELEASE_MS
    return RELEASE_MS + apart_ms % facts.interval_ms


def move_load(
    rows: list[Row], facts: Facts, giver: str, receiver: str, wanted: float
) -> list[Row]:
    """Mark a run of a giver's keys, or some of its rows, for a receiver.

    Of both, the one is chosen that bears closest to what is wanted with few keys: keys
    on their way are not served for a moment.
    """
    own = [row for row in rows if row.node_id == giver and not row.next_node]
    moves = [[run] for run in list_worth_runs(own, facts, wanted)]
    moves.append(choose_rows(own, facts, wanted))
    moved = min(moves, key=lambda parts: measure_miss(parts, facts, wanted))
    found = []
    for row in rows:
        part = next((part for part in moved if overlaps(row, part)), None)
        found += cut_out(row, part, receiver) if part else [row]
    return found


def measure_miss(moved: list[Row], facts: Facts, wanted: float) -> float:
    """Measure how far a move is from what is wanted, its cost included."""
    load = sum(measure_row(row, facts) for row in moved)
    width = sum(row.end - row.start + 1 for row in moved) / KEYS
    return abs(load - wanted) + MOVE_COST * width


def list_worth_runs(own: list[Row], facts: Facts, wanted: float) -> list[Row]:
    """List the runs of keys of one row that bear enough of what is wanted."""
    least, most = wanted * WORTH_RUN_SHARE, wanted * MOST_RUN_SHARE
    return [
        piece
        for row in own
        if measure_row(row, facts) >= least
        for piece in list_runs(row, facts)
        if least <= measure_row(piece, facts) <= most
    ]


def choose_rows(own: list[Row], facts: Facts, wanted: float) -> list[Row]:
    """Choose whole rows, the ones with the most load first."""
    loads = {row: measure_row(row, facts) for row in own}
    least = wanted * WORTH_ROW_SHARE
    chosen = []
    for row in sorted(loads, key=lambda row: (-loads[row], row.start)):
        if least <= loads[row] <= wanted:
            chosen.append(row)
            wanted -= loads[row]
    return chosen


def cut_out(row: Row, part: Row, receiver: str) -> list[Row]:
    """Cut a part out of its row, or all of it, and mark it for a receiver."""
    found = []
    if row.start < part.start:
        found.append(row._replace(end=part.start - 1))
    found.append(part._replace(next_node=receiver))
    if part.end < row.end:
        found.append(row._replace(start=part.end + 1))
    return found


def list_runs(row: Row, facts: Facts) -> list[Row]:
    """List the runs of parts of a row that can be moved, and the row as a whole."""
    pieces = cut_row(row, facts)
    if len(pieces) == 1 and row.end > row.start:
        middle = (row.start + row.end) // 2
        pieces = [row._replace(end=middle), row._replace(start=middle + 1)]
    return [
        first._replace(end=last.end)
        for index, first in enumerate(pieces)
        for last in pieces[index:]
    ]


def merge_rows(rows: list[Row]) -> list[Row]:
    """Join neighbours that one start of a target owns under one token."""
    found = rows[:1]
    for row in rows[1:]:
        last = found[-1]
        same = last._replace(start=0, end=0) == row._replace(start=0, end=0)
        if same and last.end + 1 == row.start:
            found[-1] = last._replace(end=row.end)
        else:
            found.append(row)
    return found


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
            cuts = find_cuts(spent, total, parts, row.end)
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
