"""Plans of who should own which ranges: few changes, bounded load."""

from typing import NamedTuple

from knapweedrock.nodes.view import HASH_SPACE, Member, NextOwner, Range, Table

RANGES_PER_TABLE = 256
RANGE_WIDTH = HASH_SPACE // RANGES_PER_TABLE
COLD_SHARE = 0.25
SLACK_RANGES = 2
LOAD_HYSTERESIS_RATIO = 1.25
LOAD_MOVE_SHARE = 0.25
LOAD_SPREADS = 3
LEAST_LOAD_PER_SLOT_S = 2


class Move(NamedTuple):
    """Change of a range's owner; an empty source means that it had none.

    With `complete` the receiver knows all orders of the range that ever ran, so the
    time since which the records reach back is kept.
    """

    start: int
    source: str
    receiver: str
    complete: bool = False


def create_table(service: str, cell: str, epoch: int) -> Table:
    """Create a table of equal ranges that nobody owns."""
    ranges: list[Range] = [
        {
            "start": index * RANGE_WIDTH,
            "owner": "",
            "incarnation": "",
            "token": 0,
            "since_ms": 0,
        }
        for index in range(RANGES_PER_TABLE)
    ]
    return {
        "service": service,
        "cell": cell,
        "epoch": epoch,
        "next_token": 1,
        "ranges": ranges,
    }


def plan_limits(total: int, owners: dict[str, Member]) -> dict[str, int]:
    """Plan up to how many ranges each member is given.

    A cold target is given a part of its share while there are warm ones; what it has
    already it keeps.
    """
    weights = {name: float(max(m["slots"], 1)) for name, m in owners.items()}
    shares = plan_shares(total, weights)
    if all(member["cold"] for member in owners.values()):
        return shares
    return {
        name: int(share * COLD_SHARE) if owners[name]["cold"] else share
        for name, share in shares.items()
    }


def count_ranges(table: Table) -> dict[str, int]:
    """Count the ranges of each owner; what splits have cut off counts for nothing."""
    counts: dict[str, int] = {}
    for entry in table["ranges"]:
        if not is_piece(entry):
            counts[entry["owner"]] = counts.get(entry["owner"], 0) + 1
    return counts


def is_piece(entry: Range) -> bool:
    """Tell whether a split has cut the range off from the one before it."""
    return entry["start"] % RANGE_WIDTH != 0


def find_whole_start(entry: Range) -> int:
    """Find the start of the range that an entry was part of before any split."""
    return entry["start"] - entry["start"] % RANGE_WIDTH


def map_homes(table: Table) -> dict[int, str]:
    """Map the start of each range that is no piece to its owner."""
    return {e["start"]: e["owner"] for e in table["ranges"] if not is_piece(e)}


def is_fixed(entry: Range) -> bool:
    """Tell whether a range is not to be moved for balance."""
    return "next" in entry or bool(entry.get("hot")) or is_piece(entry)


def plan_shares(total: int, weights: dict[str, float]) -> dict[str, int]:
    """Divide a number of ranges by weight, rounded so that the sum stays."""
    whole = sum(weights.values())
    exact = {name: total * weight / whole for name, weight in weights.items()}
    shares = {name: int(value) for name, value in exact.items()}
    by_rest = sorted(exact, key=lambda name: shares[name] - exact[name])
    for name in by_rest[: total - sum(shares.values())]:
        shares[name] += 1
    return shares


def plan_orphans(
    table: Table, starts: set[int], owners: dict[str, Member]
) -> list[Move]:
    """Give each of the ranges to the member with the most room.

    `owners` are the members that may take ranges.
    """
    if not owners or not starts:
        return []
    counts = count_ranges(table)
    limits = plan_limits(sum(counts.values()), owners)
    room = {name: limits[name] - counts.get(name, 0) for name in owners}
    homes = map_homes(table)
    moves = []
    # Pieces come last: they count for no share and follow the range they were part of.
    for entry in sorted(table["ranges"], key=is_piece):
        if entry["start"] not in starts:
            continue
        receiver = max(owners, key=lambda name: (room[name], name))
        home = homes[find_whole_start(entry)]
        if is_piece(entry) and not entry.get("hot") and home in owners:
            receiver = home
        homes[entry["start"]] = receiver
        room[receiver] -= 1
        first = not entry["owner"] and entry["token"] == 0
        moves.append(Move(entry["start"], entry["owner"], receiver, first))
    return moves


def plan_balance(
    table: Table, owners: dict[str, Member], loads: dict[str, float], limit: int
) -> list[Move]:
    """Move ranges from members above their share to those below, `limit` at most.

    Counts within a slack of the share stay as they are, and a member that has its
    share of the load is given none, so that ranges moved for load are not moved back.
    """
    if len(owners) < 2:
        return []
    counts = count_ranges(table)
    total = sum(counts.values())
    warm: dict[str, Member] = {n: {**m, "cold": False} for n, m in owners.items()}
    shares, limits = plan_limits(total, warm), plan_limits(total, owners)
    surplus = {name: counts.get(name, 0) - shares[name] for name in owners}
    loaded = find_loaded(owners, loads, shares)
    room = {n: limits[n] - counts.get(n, 0) for n in owners if n not in loaded}
    moves: list[Move] = []
    if not room or max(surplus.values()) + max(room.values()) <= SLACK_RANGES:
        return moves
    for entry in table["ranges"]:
        owner = entry["owner"]
        if len(moves) >= limit:
            break
        if is_fixed(entry) or surplus.get(owner, 0) <= 0:
            continue
        receiver = max(room, key=lambda name: (room[name], name))
        if room[receiver] <= 0 or surplus[owner] + room[receiver] <= SLACK_RANGES:
            continue
        surplus[owner] -= 1
        room[receiver] -= 1
        moves.append(Move(entry["start"], owner, receiver))
    return moves


def find_loaded(
    owners: dict[str, Member], loads: dict[str, float], shares: dict[str, int]
) -> set[str]:
    """Find the members whose load is not clearly below their share, nor trifling."""
    whole = sum(loads.values()) / max(sum(shares.values()), 1)
    return {
        name
        for name, load in loads.items()
        if load >= owners[name]["slots"] * LEAST_LOAD_PER_SLOT_S
        and not exceeds_chance(whole * shares[name], load)
    }


def is_overloaded(member: Member, load: float, mean: float) -> bool:
    """Tell whether a load is above the mean by more than chance, and not trifling."""
    least = member["slots"] * LEAST_LOAD_PER_SLOT_S
    return load >= least and exceeds_chance(load, mean)


def exceeds_chance(load: float, mean: float) -> bool:
    """Tell whether a load is above the mean by the ratio and by more than chance."""
    spread = LOAD_SPREADS * mean**0.5
    return load >= mean * LOAD_HYSTERESIS_RATIO and load - mean >= spread


def plan_load(
    table: Table, owners: dict[str, Member], loads: dict[str, float], limit: int
) -> list[Move]:
    """Move ranges from the member with the highest load to the lowest.

    Acts only when the highest is above the mean by the hysteresis ratio. A hot
    range of one key stays where it is and the others leave it.
    """
    known = {name: loads[name] for name in owners if name in loads}
    if len(known) < 2 or not any(known.values()):
        return []
    mean = sum(known.values()) / len(known)
    source = max(known, key=lambda name: known[name])
    receiver = min(known, key=lambda name: known[name])
    if owners[receiver]["cold"]:
        return []
    if not is_overloaded(owners[source], known[source], mean):
        return []
    own = [
        entry["start"]
        for entry in table["ranges"]
        if entry["owner"] == source and not is_fixed(entry)
    ]
    excess = (known[source] - known[receiver]) / 2 / known[source]
    count = min(limit, int(len(own) * min(excess, LOAD_MOVE_SHARE)))
    return [Move(start, source, receiver) for start in own[:count]]


def announce_moves(
    table: Table, moves: list[Move], incarnations: dict[str, str]
) -> Table:
    """Return the table with the next owner of each range and one higher token."""
    receivers = {move.start: move.receiver for move in moves}
    token = table["next_token"]
    ranges: list[Range] = []
    for entry in table["ranges"]:
        receiver = receivers.get(entry["start"])
        if receiver is not None:
            following: NextOwner = {
                "owner": receiver,
                "incarnation": incarnations[receiver],
                "token": token,
            }
            entry = {**entry, "next": following}
        ranges.append(entry)
    return {**table, "next_token": token + 1, "ranges": ranges}


def settle_moves(
    table: Table, moves: list[Move], starts: set[int], since_ms: int
) -> Table:
    """Return the table after announced moves: those done have their next owner.

    Ranges of `starts` whose move was not done keep their owner.
    """
    done = {move.start: move for move in moves}
    ranges = [
        settle_range(entry, done.get(entry["start"]), since_ms)
        if entry["start"] in starts
        else entry
        for entry in table["ranges"]
    ]
    return {**table, "ranges": ranges}


def settle_range(entry: Range, move: Move | None, since_ms: int) -> Range:
    """Return a range after its announced move, or without it."""
    settled: Range = {**entry}
    following = settled.pop("next")
    if move is None:
        return settled
    if not move.complete:
        settled["since_ms"] = since_ms
    settled.update(following)
    return settled


def apply_moves(
    table: Table, moves: list[Move], incarnations: dict[str, str], since_ms: int
) -> Table:
    """Return the table after takeovers, each range with a higher fencing token."""
    starts = {move.start for move in moves}
    announced = announce_moves(table, moves, incarnations)
    return settle_moves(announced, moves, starts, since_ms)
