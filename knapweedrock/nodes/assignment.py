"""Plans of who should own which ranges: few changes, bounded load."""

from typing import NamedTuple

from knapweedrock.nodes.view import HASH_SPACE, Member, Range, Table

RANGES_PER_TABLE = 256
COLD_WEIGHT_SHARE = 0.25
REBALANCE_SLACK_RANGES = 2
LOAD_HYSTERESIS_RATIO = 1.25
LOAD_MOVE_SHARE = 0.25
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


def weigh_member(member: Member) -> float:
    """Weigh what a member can bear beside others."""
    weight = float(max(member["slots"], 1))
    return weight * COLD_WEIGHT_SHARE if member["cold"] else weight


def count_ranges(table: Table) -> dict[str, int]:
    """Count the ranges of each owner, hot ranges of one key left out."""
    counts: dict[str, int] = {}
    for entry in table["ranges"]:
        if not entry.get("hot"):
            counts[entry["owner"]] = counts.get(entry["owner"], 0) + 1
    return counts


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
    """Give each of the ranges to the member furthest below its share.

    `owners` are the members that may take ranges.
    """
    if not owners or not starts:
        return []
    weights = {name: weigh_member(member) for name, member in owners.items()}
    shares = plan_shares(len(table["ranges"]), weights)
    counts = count_ranges(table)
    moves = []
    for entry in table["ranges"]:
        if entry["start"] not in starts:
            continue
        receiver = max(
            owners,
            key=lambda name: (
                (shares[name] - counts.get(name, 0)) / weights[name],
                name,
            ),
        )
        counts[receiver] = counts.get(receiver, 0) + 1
        first = not entry["owner"] and entry["token"] == 0
        moves.append(Move(entry["start"], entry["owner"], receiver, first))
    return moves


def plan_balance(table: Table, owners: dict[str, Member], limit: int) -> list[Move]:
    """Move ranges from members above their share to those below, `limit` at most.

    Counts within a slack of the share stay as they are.
    """
    if len(owners) < 2:
        return []
    weights = {name: weigh_member(member) for name, member in owners.items()}
    counts = count_ranges(table)
    shares = plan_shares(sum(counts.values()), weights)
    surplus = {name: counts.get(name, 0) - shares[name] for name in owners}
    moves: list[Move] = []
    for entry in table["ranges"]:
        owner = entry["owner"]
        if len(moves) >= limit:
            break
        if entry.get("hot") or surplus.get(owner, 0) <= 0:
            continue
        receiver = min(surplus, key=lambda name: (surplus[name], name))
        gap = surplus[owner] - surplus[receiver]
        if surplus[receiver] >= 0 or gap <= REBALANCE_SLACK_RANGES:
            continue
        surplus[owner] -= 1
        surplus[receiver] += 1
        moves.append(Move(entry["start"], owner, receiver))
    return moves


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
    if known[source] < mean * LOAD_HYSTERESIS_RATIO or owners[receiver]["cold"]:
        return []
    own = [
        entry["start"]
        for entry in table["ranges"]
        if entry["owner"] == source and not entry.get("hot")
    ]
    excess = (known[source] - known[receiver]) / 2 / known[source]
    count = min(limit, int(len(own) * min(excess, LOAD_MOVE_SHARE)))
    return [Move(start, source, receiver) for start in own[:count]]


def split_hot_key(table: Table, key_hash: int) -> bool:
    """Give one hash a range of its own with the same owner; tell whether it changed."""
    ranges = table["ranges"]
    index = max(i for i, entry in enumerate(ranges) if entry["start"] <= key_hash)
    entry = ranges[index]
    if entry.get("hot"):
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


def apply_moves(
    table: Table,
    moves: list[Move],
    incarnations: dict[str, str],
    since_ms: int,
) -> Table:
    """Return the table after the moves, each range with a higher fencing token."""
    by_start = {move.start: move for move in moves}
    token = table["next_token"]
    ranges: list[Range] = []
    for entry in table["ranges"]:
        move = by_start.get(entry["start"])
        if move is None:
            ranges.append(entry)
            continue
        moved: Range = {
            **entry,
            "owner": move.receiver,
            "incarnation": incarnations[move.receiver],
            "token": token,
            "since_ms": entry["since_ms"] if move.complete else since_ms,
        }
        ranges.append(moved)
        token += 1
    return {**table, "next_token": token, "ranges": ranges}
