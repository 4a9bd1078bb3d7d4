"""Heartbeats of targets on the users' platform, and the answers to them."""

import re
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError
from knapweedrock.mesh.definitions import (
    Grant,
    Heartbeat,
    HeartbeatReply,
    HeldRange,
    ReleasedRange,
)
from knapweedrock.platform.reports import decode_cold_ms

PATH = re.compile(r"/instances/([^/?]+)/(heartbeat|deregister)")
STATES = frozenset({"ready", "draining"})
HIGHEST_KEY = 65535
# Longest answer to a heartbeat that a target takes.
MAX_REPLY_BYTES = 4096
# Of an answer without grants, with the longest time of a hold.
REPLY_FRAME_BYTES = 64
SEPARATOR_BYTES = 1


class Leave(NamedTuple):
    """A target's word that it is leaving for good."""

    target: str
    instance: str


def decode_message(path: str, body: bytes) -> Heartbeat | Leave:
    """Decode what a target says of itself; raises `BAD_ANNOUNCEMENT`."""
    found = PATH.fullmatch(path)
    if found is None:
        raise RefusalError(Code.BAD_PATH, f"no such page: {path[:100]}")
    instance, verb = found.groups()
    try:
        fields = msgspec.json.decode(body) if body else {}
        if verb == "deregister":
            return Leave(name_target(instance, fields), instance)
        return decode_heartbeat(instance, fields)
    except (msgspec.DecodeError, UnicodeError, KeyError, TypeError, ValueError) as e:
        raise RefusalError(Code.BAD_ANNOUNCEMENT, f"{type(e).__name__}: {e}") from e


def decode_heartbeat(instance: str, fields: dict[str, Any]) -> Heartbeat:
    """Decode a heartbeat; raises `KeyError`, `TypeError` or `ValueError`."""
    about, status = fields["information"], fields["status"]
    state = status["state"]
    if state not in STATES:
        raise ValueError(f"unknown state {state!r}")
    return Heartbeat(
        target=name_target(instance, fields),
        instance=instance,
        service=read_text(about["service"]),
        zone=read_text(about["zone"]),
        address=read_text(fields["address"]),
        slots=read_count(about["slots"]),
        draining=state == "draining",
        # Starts anew with each start of the target.
        sequence=read_count(status["seq"]),
        cold_ms=decode_cold_ms(status.get("coldRemainingMs", 0)),
        held=tuple(HeldRange(*read_row(row)) for row in fields.get("holds") or ()),
        released=tuple(read_released(row) for row in fields.get("freed") or ()),
    )


def name_target(instance: str, fields: dict[str, Any]) -> str:
    """Name a start of a target: its id can come again, its time of start can't."""
    born = fields.get("born", 0)
    return f"{instance}@{read_count(born)}"


def read_text(value: Any) -> str:
    """Return a string; raises `TypeError`."""
    if not isinstance(value, str):
        raise TypeError(f"expected a string, found {value!r}")
    return value


def read_count(value: Any) -> int:
    """Return a whole number of 0 or more; raises `TypeError` or `ValueError`."""
    if type(value) is not int:
        raise TypeError(f"expected a whole number, found {value!r}")
    if value < 0:
        raise ValueError(f"expected a number of 0 or more, found {value}")
    return value


def read_row(row: Any) -> tuple[int, int, int]:
    """Return first key, last key and token."""
    start, end, token = row
    return read_key(start), read_key(end), read_count(token)


def read_released(row: Any) -> ReleasedRange:
    """Return keys that were let go."""
    start, end, handover = row
    return ReleasedRange(read_key(start), read_key(end), read_text(handover))


def read_key(value: Any) -> int:
    """Return a key; raises `TypeError` or `ValueError`."""
    key = read_count(value)
    if key > HIGHEST_KEY:
        raise ValueError(f"expected a key of at most {HIGHEST_KEY}, found {key}")
    return key


def count_fitting(grants: Iterable[Grant]) -> int:
    """Count the grants, from the first on, that one answer can name."""
    left_bytes = MAX_REPLY_BYTES - REPLY_FRAME_BYTES
    count = 0
    for grant in grants:
        left_bytes -= len(msgspec.json.encode(list(grant))) + SEPARATOR_BYTES
        if left_bytes < 0:
            break
        count += 1
    return count


def encode_reply(reply: HeartbeatReply) -> bytes:
    """Encode the answer to a heartbeat."""
    if reply.grants is None:
        return b"{}"
    rows = [list(grant) for grant in reply.grants]
    return msgspec.json.encode({"holds": rows, "holdMs": reply.hold_ms})
