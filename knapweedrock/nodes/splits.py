"""Splits of ranges around hot keys, and merges once the keys are hot no more."""

from itertools import pairwise

from knapweedrock.clock import NS_PER_S, Clock
from knapweedrock.nodes.assignment import (
    Move,
    find_whole_start,
    is_overloaded,
    is_piece,
    map_homes,
)
from knapweedrock.nodes.roster import Entry
from knapweedrock.nodes.view import HASH_SPACE, Member, Range, Table

HOT_SHARE = 0.2
STILL_HOT_SHARE = 0.1
COOL_AFTER_S = 30
MERGE_BATCH_RANGES = 32


class HotKeys:
    """Hashes of a service that are hot, or were a short while ago."""

    def __init__(self, clock: Clock, service: str) -> None:
        self.clock = clock
        self.service = service
        self.began_ns = clock.now_ns()
        self.heard_ns: dict[int, int] = {}

    def update(self, table: Table, entries: list[Entry]) -> Table:
        """Return the table with hot keys split off and those that cooled merged."""
        fresh = self._follow(entries)
        ranges = [cool_range(e) if self._is_cool(e) else e for e in table["ranges"]]
        changed: Table = {**table, "ranges": ranges}
        for key_hash in fresh:
            split_hot_key(changed, key_hash)
        return merge_pieces(changed, MERGE_BATCH_RANGES)

    def _follow(self, entries: list[Entry]) -> list[int]:
        """Note what members report; return the hashes to be split off."""
        now = self.clock.now_ns()
        mean = sum(entry.load for entry in entries) / max(len(entries), 1)
        fresh = []
        for entry in entries:
            overloaded = is_overloaded(entry.member, entry.load, mean)
            for service, key_hash, share in entry.hot:
                if service != self.service or share < STILL_HOT_SHARE:
                    continue
                self.heard_ns[key_hash] = now
                if overloaded and share >= HOT_SHARE:
                    fresh.append(key_hash)
        self.heard_ns = {
            h: ns for h, ns in self.heard_ns.items() if not self._is_old(ns)
        }
        return fresh

    def _is_cool(self, entry: Range) -> bool:
        heard_ns = self.heard_ns.get(entry["start"], self.began_ns)
        return bool(entry.get("hot")) and self._is_old(heard_ns)

    def _is_old(self, heard_ns: int) -> bool:
        return self.clock.now_ns() - heard_ns > COOL_AFTER_S * NS_PER_S


def split_hot_key(table: Table, key_hash: int) -> bool:
    """Give one hash a range of its own with the same owner; tell whether it changed."""
    ranges = table["ranges"]
    index = max(i for i, entry in enumerate(ranges) if entry["start"] <= key_hash)
    entry = ranges[index]
    if is_held_apart(entry):
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


def cool_range(entry: Range) -> Range:
    """Return a range that is hot no more."""
    cooled: Range = {**entry}
    del cooled["hot"]
    return cooled


def plan_reunions(table: Table, owners: dict[str, Member], limit: int) -> list[Move]:
    """Move pieces to the owner of the range they were part of, about `limit` at most.

    Neighbours move together, also from an owner to itself: they can be merged only
    under one token, which grows only while nothing is in flight.
    """
    homes = map_homes(table)
    moves: dict[int, Move] = {}
    for before, entry in pairwise(table["ranges"]):
        if len(moves) >= limit:
            break
        if not is_piece(entry) or is_held_apart(entry):
            continue
        home = homes[find_whole_start(entry)]
        joined = [entry] if is_held_apart(before) else [before, entry]
        if is_reunited(joined, home) or not {home, *list_owners(joined)} <= set(owners):
            continue
        for part in joined:
            moves[part["start"]] = Move(part["start"], part["owner"], home)
    return list(moves.values())


def is_held_apart(entry: Range) -> bool:
    """Tell whether a range is not to be joined to others: hot, or on the move."""
    return "next" in entry or bool(entry.get("hot"))


def is_reunited(joined: list[Range], home: str) -> bool:
    """Tell whether ranges belong to their home under one token."""
    return list_owners(joined) == {home} and len({r["token"] for r in joined}) == 1


def list_owners(ranges: list[Range]) -> set[str]:
    """List the owners of some ranges."""
    return {entry["owner"] for entry in ranges}


def merge_pieces(table: Table, limit: int) -> Table:
    """Return the table with pieces joined to the range before, `limit` at most.

    The time since which records reach back is the later one, so that it is true for
    every hash.
    """
    ranges = table["ranges"][:1]
    merged = 0
    for entry in table["ranges"][1:]:
        before = ranges[-1]
        if merged == limit or not may_merge(before, entry):
            ranges.append(entry)
            continue
        merged += 1
        since_ms = max(before["since_ms"], entry["since_ms"])
        ranges[-1] = {**before, "since_ms": since_ms}
    return {**table, "ranges": ranges}


def may_merge(before: Range, entry: Range) -> bool:
    """Tell whether a range is a piece that can be joined to the one before it."""
    if not is_piece(entry) or is_held_apart(before) or is_held_apart(entry):
        return False
    names = ("owner", "incarnation", "token")
    return all(before[name] == entry[name] for name in names)
