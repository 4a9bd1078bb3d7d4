"""Identity of writes, stored with each value to settle lost answers.

A stored value carries the writes that led to it, newest first: each with its id and
the version that it replaced. Since a conditional write at version N can succeed only
once, the entry that replaced N tells whose write it was.
"""

from collections import OrderedDict
from enum import Enum
from typing import Any, NamedTuple, TypedDict

import msgspec

HISTORY_WRITES = 16
REMEMBERED_OBJECTS = 1024


class Write(NamedTuple):
    """Id of a write and the version that it replaced."""

    id: str
    replaced: int


class Envelope(TypedDict):
    """A value as it is stored, with the writes that led to it."""

    writes: list[Write]
    value: Any


class Fate(Enum):
    """What became of a write whose answer was lost."""

    APPLIED = "applied"
    NEVER = "never"
    OPEN = "open"


class History:
    """Writes that led to the versions which this client has seen last."""

    def __init__(self) -> None:
        self.seen: OrderedDict[str, tuple[int, list[Write]]] = OrderedDict()

    def remember(self, name: str, version: int, writes: list[Write]) -> None:
        """Keep the writes of an object's version, unless a newer one is known."""
        if self.seen.get(name, (0, []))[0] > version:
            return
        self.seen[name] = (version, writes)
        self.seen.move_to_end(name)
        if len(self.seen) > REMEMBERED_OBJECTS:
            self.seen.popitem(last=False)

    def continue_from(self, name: str, write: Write) -> list[Write]:
        """List the writes to store with a new one."""
        version, writes = self.seen.get(name, (0, []))
        former = writes if version == write.replaced else []
        return [write, *former][:HISTORY_WRITES]


def judge_write(write: Write, version: int, writes: list[Write]) -> Fate:
    """Judge a write by the version and the writes that are stored now."""
    for found in writes:
        if version > write.replaced and found.replaced == write.replaced:
            return Fate.APPLIED if found.id == write.id else Fate.NEVER
    return Fate.OPEN


def find_version(write: Write, version: int, writes: list[Write]) -> int:
    """Find the version that an applied write made, now followed by others."""
    for found in writes:
        if found == write:
            return version
        version = found.replaced
    return version


def open_envelope(stored: Any) -> Envelope:
    """Take a stored value apart; one written without an envelope has no writes."""
    if not isinstance(stored, dict) or set(stored) != {"writes", "value"}:
        return {"writes": [], "value": stored}
    try:
        return msgspec.convert(stored, type=Envelope)
    except msgspec.ValidationError:
        return {"writes": [], "value": stored}
