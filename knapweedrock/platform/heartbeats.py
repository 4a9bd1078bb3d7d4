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

PATH_PATTERN = re.compile(r"/instances/([^/?]+)/(heartbeat|deregister)")
STATES = frozenset({"ready", "draining"})
MAX_KEY = 65535
# Longest answer to a heartbeat that a target takes.
MAX_REPLY_BYTES = 4096
# Of an answer without grants, with the longest time of a hold.
REPLY_OVERHEAD_BYTES = 64
SEPARATOR_BYTES = 1


class Deregistration(NamedTuple):
    """A target's word that it is leaving for good."""

    target: str
    instance: str


def decode_message(path: str, body: bytes) -> Heartbeat | Deregistration:
    """Decode what a target says of itself; raises `BAD_ANNOUNCEMENT`."""
    match = PATH_PATTERN.fullmatch(path)
    if match is None:
        raise RefusalError(Code.BAD_PATH, f"no such page: {path[:100]}")
    instance, action = match.groups()
    try:
        fields = msgspec.json.decode(body) if body else {}
        if action == "deregister":
            return Deregistration(format_incarnation(instance, fields), instance)
        return decode_heartbeat(instance, fields)
    except (msgspec.DecodeError, UnicodeError, KeyError, TypeError, ValueError) as e:
        raise RefusalError(Code.BAD_ANNOUNCEMENT, f"{type(e).__name__}: {e}") from e


def decode_heartbeat(instance: str, fields: dict[str, Any]) -> Heartbeat:
    """Decode a heartbeat; raises `KeyError`, `TypeError` or `ValueError`."""
    information, status = fields["information"], fields["status"]
    state = status["state"]
    if state not in STATES:
        raise ValueError(f"unknown state {state!r}")
    return Heartbeat(
        target=format_incarnation(instance, fields),
        instance=instance,
        service=decode_text(information["service"]),
        zone=decode_text(information["zone"]),
        address=decode_text(fields["address"]),
        slots=decode_count(information["slots"]),
        draining=state == "draining",
        # Starts anew with each start of the target.
        sequence=decode_count(status["seq"]),
        cold_ms=decode_cold_ms(status.get("coldRemainingMs", 0)),
        held=tuple(HeldRange(*decode_row(row)) for row in fields.get("holds") or ()),
        released=tuple(decode_released(row) for row in fields.get("freed") or ()),
    )


def format_incarnation(instance: str, fields: dict[str, Any]) -> str:
    """Name a start of a target: its id can come again, its time of start can't."""
    born = fields.get("born", 0)
    return f"{instance}@{decode_count(born)}"


def decode_text(value: Any) -> str:
    """Return a string; raises `TypeError`."""
    if not isinstance(value, str):
        raise TypeError(f"expected a string, found {value!r}")
    return value


def decode_count(value: Any) -> int:
    """Return a whole number of 0 or more; raises `TypeError` or `ValueError`."""
    if type(value) is not int:
        raise TypeError(f"expected a whole number, found {value!r}")
    if value < 0:
        raise ValueError(f"expected a number of 0 or more, found {value}")
    return value


def decode_row(row: Any) -> tuple[int, int, int]:
    """Return first key, last key and token."""
    start, end, token = row
    return decode_key(start), decode_key(end), decode_count(token)


def decode_released(row: Any) -> ReleasedRange:
    """Return keys that were let go."""
    start, end, handover = row
    return ReleasedRange(decode_key(start), decode_key(end), decode_text(handover))


def decode_key(value: Any) -> int:
    """Return a key; raises `TypeError` or `ValueError`."""
    key = decode_count(value)
    if key > MAX_KEY:
        raise ValueError(f"expected a key of at most {MAX_KEY}, found {key}")
    return key


def count_fitting(grants: Iterable[Grant]) -> int:
    """Count the grants, from the first on, that one answer can name."""
    remaining_bytes = MAX_REPLY_BYTES - REPLY_OVERHEAD_BYTES
    count = 0
    for grant in grants:
        remaining_bytes -= len(msgspec.json.encode(list(grant))) + SEPARATOR_BYTES
        if remaining_bytes < 0:
            break
        count += 1
    return count


def encode_reply(reply: HeartbeatReply) -> bytes:
    """Encode the answer to a heartbeat."""
    if reply.grants is None:
        return b"{}"
    rows = [list(grant) for grant in reply.grants]
    return msgspec.json.encode({"holds": rows, "holdMs": reply.hold_ms})
