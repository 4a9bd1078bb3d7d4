"""Differences between versions of a value made of maps, lists and plain values.

A difference of maps holds what was put, the names removed, and the differences
inside. A difference of lists holds the places that changed where both are as long,
else the one stretch that was replaced. Values are never changed in place: what a
difference leaves alone is shared by both versions.
"""

from collections import OrderedDict
from collections.abc import Hashable
from typing import Any, Generic, NamedTuple, TypedDict, TypeVar

MAX_DROPPED_ITEMS = 8

V = TypeVar("V", bound=Hashable)

Value = Any


class MapDifference(TypedDict):
    """What turns one map into another."""

    put: dict[Any, Value]
    removed: list[Any]
    inner: dict[Any, "Difference"]


class ListDifference(TypedDict):
    """What turns one list into another.

    The first `dropped` items go; `places` holds new items by index; then the items
    from `start` up to `end` are replaced by `items`.
    """

    dropped: int
    places: dict[int, Value]
    start: int
    end: int
    items: list[Value]


Difference = MapDifference | ListDifference


class Change(NamedTuple):
    """A newer value: whole, or as a difference from the version `base`."""

    base: Any
    difference: Difference | None
    whole: Value | None


class History(Generic[V]):
    """The last few versions of a value."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.values: OrderedDict[V, Value] = OrderedDict()

    def add(self, version: V, value: Value) -> None:
        """Keep a version, and drop the oldest above the limit."""
        self.values[version] = value
        while len(self.values) > self.limit:
            self.values.popitem(last=False)

    def find_change(self, base: V, value: Value) -> Change:
        """Find how a value differs from a version; whole where that is unknown."""
        known = self.values.get(base)
        if known is None:
            return Change(base, None, value)
        return Change(base, compare_maps(known, value), None)

    def apply(self, change: Change) -> Value | None:
        """Return the value of a change; None where its base is not known here.

        Raises `ValueError` for a difference that does not fit its base.
        """
        if change.difference is None:
            return change.whole
        known = self.values.get(change.base)
        if known is None:
            return None
        try:
            return apply_difference(known, change.difference)
        except (KeyError, TypeError, IndexError, AttributeError) as error:
            raise ValueError(f"the difference does not fit: {error!r}") from error


def compare_maps(old: dict, new: dict) -> MapDifference:
    """Find what turns one map into another."""
    put: dict[Any, Value] = {}
    inner: dict[Any, Difference] = {}
    for name, value in new.items():
        if name not in old:
            put[name] = value
            continue
        before = old[name]
        if before is value or before == value:
            continue
        if isinstance(before, dict) and isinstance(value, dict):
            inner[name] = compare_maps(before, value)
        elif isinstance(before, list) and isinstance(value, list):
            inner[name] = compare_lists(before, value)
        else:
            put[name] = value
    removed = [name for name in old if name not in new]
    return {"put": put, "removed": removed, "inner": inner}


def compare_lists(old: list, new: list) -> ListDifference:
    """Find what turns one list into another."""
    dropped = count_dropped(old, new)
    rest = old[dropped:]
    found: ListDifference = {
        "dropped": dropped,
        "places": {},
        "start": 0,
        "end": 0,
        "items": [],
    }
    if len(rest) == len(new):
        found["places"] = {i: new[i] for i in range(len(new)) if rest[i] != new[i]}
        return found
    shorter = min(len(rest), len(new))
    start = 0
    while start < shorter and rest[start] == new[start]:
        start += 1
    tail = 0
    while tail < shorter - start and rest[-1 - tail] == new[-1 - tail]:
        tail += 1
    found["start"], found["end"] = start, len(rest) - tail
    found["items"] = new[start : len(new) - tail]
    return found


def count_dropped(old: list, new: list) -> int:
    """Count the items dropped from the front, as of a list of the most recent."""
    if not old or not new or old[0] == new[0]:
        return 0
    counts = range(1, min(MAX_DROPPED_ITEMS + 1, len(old)))
    return next((count for count in counts if old[count] == new[0]), 0)


def apply_difference(old: Value, difference: Difference) -> Value:
    """Return the value that a difference makes of an old one."""
    if "places" in difference:
        return _apply_to_list(old, difference)
    changed = {**old, **difference["put"]}
    for name in difference["removed"]:
        del changed[name]
    for name, inner in difference["inner"].items():
        changed[name] = apply_difference(old[name], inner)
    return changed


def _apply_to_list(old: list, difference: ListDifference) -> list:
    changed = old[difference["dropped"] :]
    for place, value in difference["places"].items():
        changed[place] = value
    changed[difference["start"] : difference["end"]] = difference["items"]
    return changed
