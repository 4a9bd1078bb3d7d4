"""Moves of keys from busy targets to others."""

from collections.abc import Collection
from math import inf

from knapweedrock.mesh.facts import KEYS, Facts, find_crowded
from knapweedrock.mesh.holds import overlaps
from knapweedrock.mesh.measures import cut_row, measure_loads, measure_row
from knapweedrock.mesh.messages import Row

# Load of a target's slots above which its keys are moved to others.
BUSY_SHARE = 0.55
# Difference of load, in shares of the slots, that is worth a move.
WORTH_SHARE = 0.25
# Difference of load up to which the receiver with the next heartbeat is preferred.
ALIKE_SHARE = 0.15
# Time from a giver's heartbeat until its keys are free: a second heartbeat, the work
# that is in flight, and the write of the table.
RELEASE_MS = 280.0
# Moves that may be under way, and that may begin together, whatever the number of
# targets; more of them where there are more targets, as each takes part in one only.
LEAST_MOVES = 4
LEAST_BEGUN = 3
TARGETS_A_MOVE = 6
# Share of the wanted load that a run of a row's keys must bear to be worth a move.
WORTH_RUN_SHARE = 0.25
# Share of it that a run may bear at most.
MOST_RUN_SHARE = 1.5
# Share of it that a whole row must have to be moved beside others.
WORTH_ROW_SHARE = 0.03
# A target is full above this share of its slots, and this far above the mean of all.
FULL_SHARE = 0.85
FULL_ABOVE = 0.25
# Load beyond that which may be there by chance, in requests.
CHANCE_LOAD = 1.0
# Load that a full target keeps, likewise.
RELIEVED_SHARE = 0.6
RELIEVED_ABOVE = 0.1
# Share of the slots up to which another target takes load over.
ROOM_SHARE = 0.9
# Share of what is too much that a part must bear to be moved, and may bear at most.
WORTH_PART_SHARE = 0.05
MOST_PART_SHARE = 1.5
# Load that a move of all keys would have to be worth.
MOVE_COST = 30.0


def level_loads(rows: list[Row], facts: Facts, resting: Collection[str]) -> list[Row]:
    """Begin all levelling moves that are worth it and may go on together.

    Members that are `resting` took part in a move a moment ago.
    """
    totals = measure_loads(rows, facts)
    under_way = len({(row.node_id, row.next_node) for row in rows if row.next_node})
    most = max(LEAST_MOVES, len(totals) // TARGETS_A_MOVE) - under_way
    most = min(most, max(LEAST_BEGUN, len(totals) // TARGETS_A_MOVE))
    owners = {row.next_node or row.node_id for row in rows}
    busy = set(resting)
    crowded = find_crowded(rows)
    marked: dict[Row, list[Row]] = {}
    for _ in range(most):
        pair = choose_pair(totals, owners, facts, busy, crowded)
        if pair is None:
            break
        giver, receiver = pair
        own = [row for row in rows if row.node_id == giver and not row.next_node]
        wanted = (totals[giver] - totals[receiver]) / 2
        moved = choose_parts(own, facts, wanted)
        if not moved:
            break
        marked |= mark_parts(own, moved, receiver)
        load = sum(measure_row(part, facts) for part in moved)
        totals[giver] -= load
        totals[receiver] += load
        owners.add(receiver)
        busy |= {giver, receiver}
    return [part for row in rows for part in marked.get(row, [row])]


def choose_pair(
    totals: dict[str, float],
    owners: Collection[str],
    facts: Facts,
    resting: Collection[str],
    crowded: Collection[str],
) -> tuple[str, str] | None:
    """Choose the busiest target and one that takes load of it; None if not worth it.

    Members that are `crowded` take nothing.
    """
    if len(totals) < 2:
        return None
    idle = [node_id for node_id in totals if node_id not in owners]
    shares = {n: find_share(n, totals, facts) for n in totals}
    giver = max(shares, key=lambda node_id: (shares[node_id], node_id))
    takers = {n: share for n, share in shares.items() if n not in crowded}
    if not idle and not takers:
        return None
    receiver = idle[0] if idle else choose_receiver(giver, takers, facts, resting)
    if giver == receiver or giver in resting or receiver in resting:
        return None
    is_worth = shares[giver] - shares[receiver] > WORTH_SHARE
    if not idle and (shares[giver] < BUSY_SHARE or not is_worth):
        return None
    return giver, receiver


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


def choose_parts(own: list[Row], facts: Facts, wanted: float) -> list[Row]:
    """Choose a run of a giver's keys, or some of its rows.

    Of both, the one is chosen that bears closest to what is wanted with few keys: keys
    on their way are not served for a moment.
    """
    choices = [[run] for run in list_worth_runs(own, facts, wanted)]
    choices.append(choose_rows(own, facts, wanted))
    return min(choices, key=lambda parts: measure_miss(parts, facts, wanted))


def mark_parts(own: list[Row], moved: list[Row], receiver: str) -> dict[Row, list[Row]]:
    """Mark parts of rows for a receiver; return what each of the rows becomes."""
    found = {}
    for row in own:
        part = next((part for part in moved if overlaps(row, part)), None)
        if part is not None:
            found[row] = cut_out(row, part, receiver)
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


def relieve_full(rows: list[Row], facts: Facts) -> list[Row]:
    """Move what full targets can't serve, to as many others as it takes."""
    totals = measure_loads(rows, facts)
    if len(totals) < 2:
        return rows
    mean = find_mean_share(totals, facts)
    full = [n for n in totals if is_full(n, totals, mean, facts)]
    crowded = find_crowded(rows)
    marked: dict[Row, list[Row]] = {}
    for giver in sorted(full, key=lambda n: (-find_share(n, totals, facts), n)):
        own = [row for row in rows if row.node_id == giver and not row.next_node]
        kept = max(RELIEVED_SHARE, mean + RELIEVED_ABOVE) * facts.members[giver].slots
        excess = totals[giver] - kept
        marked |= relieve(giver, own, excess, totals, facts, crowded)
    if not marked:
        return rows
    return [part for row in rows for part in marked.get(row, [row])]


def find_mean_share(totals: dict[str, float], facts: Facts) -> float:
    """Find the load of all targets together for each of their slots."""
    slots = sum(facts.members[name].slots for name in totals)
    return sum(totals.values()) / max(slots, 1)


def is_full(node_id: str, totals: dict[str, float], mean: float, facts: Facts) -> bool:
    """Tell whether a target is full, and not just by chance.

    Of few slots some are often taken together, and where all targets are nearly full
    nobody is better off for a move.
    """
    slots = max(facts.members[node_id].slots, 1)
    least = max(FULL_SHARE, mean + FULL_ABOVE) * slots + CHANCE_LOAD
    return totals[node_id] > least


def relieve(
    giver: str,
    own: list[Row],
    excess: float,
    totals: dict[str, float],
    facts: Facts,
    crowded: Collection[str],
) -> dict[Row, list[Row]]:
    """Mark parts of a full target's rows for others, and count them there.

    The heaviest parts go first, as few keys as can be; one that no other target has
    room for stays. Returns the parts of each row that is cut or marked.
    """
    least = excess * WORTH_PART_SHARE
    parts = {row: cut_row(row, facts) for row in own}
    loads = {p: measure_row(p, facts) for found in parts.values() for p in found}
    chosen: dict[Row, str] = {}
    for part in sorted(loads, key=lambda part: (-loads[part], part.start)):
        load = loads[part]
        if excess <= 0 or load < least:
            break
        if load > excess * MOST_PART_SHARE:
            continue
        receiver = choose_roomy(giver, load, totals, facts, crowded)
        if receiver:
            chosen[part] = receiver
            totals[receiver] += load
            totals[giver] -= load
            excess -= load
    return {
        row: join_parts(found, chosen)
        for row, found in parts.items()
        if any(part in chosen for part in found)
    }


def choose_roomy(
    giver: str,
    load: float,
    totals: dict[str, float],
    facts: Facts,
    crowded: Collection[str],
) -> str:
    """Choose a target that has room for a load; nothing where none has."""
    shares = {
        n: (totals[n] + load) / max(facts.members[n].slots, 1)
        for n in totals
        if n != giver and n not in crowded
    }
    least = min(shares.values(), default=inf)
    if least > ROOM_SHARE:
        return ""
    alike = [n for n, share in shares.items() if share <= least + ALIKE_SHARE / 2]
    return min(alike, key=lambda n: (find_gap_ms(giver, n, facts), n))


def join_parts(parts: list[Row], chosen: dict[Row, str]) -> list[Row]:
    """Mark parts for their receivers, and join neighbours that stay together."""
    found: list[Row] = []
    for part in parts:
        part = part._replace(next_node=chosen.get(part, ""))
        if found and found[-1].next_node == part.next_node:
            found[-1] = found[-1]._replace(end=part.end)
        else:
            found.append(part)
    return found


def list_begun(before: list[Row], after: list[Row]) -> list[Row]:
    """List the rows that were marked for another owner in between."""
    if after is before:
        return []
    known = set(before)
    return [row for row in after if row.next_node and row not in known]


def find_share(node_id: str, totals: dict[str, float], facts: Facts) -> float:
    """Find the load of a target for each of its slots."""
    return totals[node_id] / max(facts.members[node_id].slots, 1)
