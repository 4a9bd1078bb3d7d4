"""Plans of who should own which ranges: few changes, bounded load."""

from typing import NamedTuple

from knapweedrock.nodes.view import HASH_SPACE, Member, NextOwner, Range, Table

RANGES_PER_TABLE = 256
COLD_SHARE = 0.25
SLACK_RANGES = 2
LOAD_HYSTERESIS_RATIO = 1.25
LOAD_MOVE_SHARE = 0.25
LOAD_SPREADS = 3
HOT_SHARE = 0.2


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
    width = HASH_SPACE // RANGES_PER_TABLE
    ranges: list[Range] = [
        {
            "start": index * width,
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
    """Count the ranges of each owner, hot ranges of one key left out."""
    counts: dict[str, int] = {}
    for entry in table["ranges"]:
        if not entry.get("hot"):
            counts[entry["owner"]] = counts.get(entry["owner"], 0) + 1
    return counts


def is_fixed(entry: Range) -> bool:
    """Tell whether a range is not to be moved for balance: hot, or on the move."""
    return "next" in entry or bool(entry.get("hot"))


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
    moves = []
    # Hot ranges come last, since they count for no share.
    for entry in sorted(table["ranges"], key=lambda entry: entry.get("hot", False)):
        if entry["start"] not in starts:
            continue
        receiver = max(owners, key=lambda name: (room[name], name))
        room[receiver] -= 1
        first = not entry["owner"] and entry["token"] == 0
        moves.append(Move(entry["start"], entry["owner"], receiver, first))
    return moves


def plan_balance(table: Table, owners: dict[str, Member], limit: int) -> list[Move]:
    """Move ranges from members above their share to those below, `limit` at most.

    Counts within a slack of the share stay as they are.
    """
    if len(owners) < 2:
        return []
    counts = count_ranges(table)
    total = sum(counts.values())
    warm: dict[str, Member] = {n: {**m, "cold": False} for n, m in owners.items()}
    shares, limits = plan_limits(total, warm), plan_limits(total, owners)
    surplus = {name: counts.get(name, 0) - shares[name] for name in owners}
    room = {name: limits[name] - counts.get(name, 0) for name in owners}
    moves: list[Move] = []
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
    if not exceeds_chance(known[source], mean) or owners[receiver]["cold"]:
        return []
    own = [
        entry["start"]
        for entry in table["ranges"]
        if entry["owner"] == source and not is_fixed(entry)
    ]
    excess = (known[source] - known[receiver]) / 2 / known[source]
    count = min(limit, int(len(own) * min(excess, LOAD_MOVE_SHARE)))
    return [Move(start, source, receiver) for start in own[:count]]


def split_hot_key(table: Table, key_hash: int) -> bool:
    """Give one hash a range of its own with the same owner; tell whether it changed."""
    ranges = table["ranges"]
    index = max(i for i, entry in enumerate(ranges) if entry["start"] <= key_hash)
    entry = ranges[index]
    if is_fixed(entry):
        return False
    end = ranges[index + 1]["start"] if index + 1 < len(ranges) else HASH_SPACE
    pieces: list[Range] = []
    if entry["start"] < key_hash:
        pieces.append({**entry})
    pieces.append({**entry, "start": key_hash, "hot": True})
    if key_hash + 1 < end:
        pieces.append({**entry, "start": key_hash + 1})
    ranges[index : index + 1] = pieces
    return True


def announce_moves(
    table: Table, moves: list[Move], incarnations: dict[str, str]
) -> Table:
    """Return the table with the next owner of each range and a higher token."""
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
            token += 1
        ranges.append(entry)
    return {**table, "next_token": token, "ranges": ranges}


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
