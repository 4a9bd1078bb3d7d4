"""Decoding of target heartbeats in the platform's format, and encoding of replies."""

import re
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from knapweedrock.codes import Code
from knapweedrock.documents import MAX_COUNT
from knapweedrock.errors import RefusalError
from knapweedrock.json_input import decode_json
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
# Largest reply to a heartbeat that a target accepts.
MAX_REPLY_BYTES = 4096
# Space for the rest of a reply besides its grants, with the longest hold time.
REPLY_OVERHEAD_BYTES = 64
SEPARATOR_BYTES = 1
MAX_REASON_CHARACTERS = 300


class Deregistration(NamedTuple):
    """A target's announcement that it leaves the mesh for good."""

    target: str
    instance: str


def decode_message(path: str, body: bytes) -> Heartbeat | Deregistration:
    """Decode a heartbeat or a deregistration.

    Raises `RefusalError` with `BAD_PATH` or `BAD_ANNOUNCEMENT`.
    """
    match = PATH_PATTERN.fullmatch(path)
    if match is None:
        raise RefusalError(Code.BAD_PATH, f"no such page: {path[:100]}")
    instance, action = match.groups()
    try:
        fields = decode_json(body) if body else {}
        if action == "deregister":
            return Deregistration(format_incarnation(instance, fields), instance)
        return decode_heartbeat(instance, fields)
    except (LookupError, TypeError, ValueError, AttributeError, ArithmeticError) as e:
        reason = f"{type(e).__name__}: {e}"[:MAX_REASON_CHARACTERS]
        raise RefusalError(Code.BAD_ANNOUNCEMENT, reason) from e


def decode_heartbeat(instance: str, fields: dict[str, Any]) -> Heartbeat:
    """Decode a heartbeat; raise `KeyError`, `TypeError` or `ValueError`."""
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
        # The sequence starts again with each restart of the target.
        sequence=decode_count(status["seq"]),
        cold_ms=decode_cold_ms(status.get("coldRemainingMs", 0)),
        held=tuple(
            HeldRange(*decode_held_range(row)) for row in fields.get("holds") or ()
        ),
        released=tuple(decode_released(row) for row in fields.get("freed") or ()),
    )


def format_incarnation(instance: str, fields: dict[str, Any]) -> str:
    """Format the name of a target incarnation, `id@start-time`.

    A restarted target may reuse its id, but not its start time.
    """
    born = fields.get("born", 0)
    return f"{instance}@{decode_count(born)}"


def decode_text(value: Any) -> str:
    """Return the value if it is a string, else raise `TypeError`."""
    if not isinstance(value, str):
        raise TypeError(f"expected a string, found {value!r}")
    return value


def decode_count(value: Any) -> int:
    """Return the value if it is an integer from 0 to `MAX_COUNT`.

    Raises `TypeError` or `ValueError`.
    """
    if type(value) is not int:
        raise TypeError(f"expected an integer, found {value!r}")
    if not 0 <= value <= MAX_COUNT:
        raise ValueError(f"expected an integer from 0 to {MAX_COUNT}, found {value}")
    return value


def decode_held_range(row: Any) -> tuple[int, int, int]:
    """Decode a held range: its first key, last key and fencing token."""
    start, end, token = row
    return decode_key(start), decode_key(end), decode_count(token)


def decode_released(row: Any) -> ReleasedRange:
    """Decode a range of keys that the target released, with its handover."""
    start, end, handover = row
    return ReleasedRange(decode_key(start), decode_key(end), decode_text(handover))


def decode_key(value: Any) -> int:
    """Return the value if it is a shard key; raise `TypeError` or `ValueError`."""
    key = decode_count(value)
    if key > MAX_KEY:
        raise ValueError(f"expected a key of at most {MAX_KEY}, found {key}")
    return key


def count_fitting(grants: Iterable[Grant]) -> int:
    """Count the leading grants that fit into one reply of `MAX_REPLY_BYTES`."""
    remaining_bytes = MAX_REPLY_BYTES - REPLY_OVERHEAD_BYTES
    count = 0
    for grant in grants:
        remaining_bytes -= len(msgspec.json.encode(list(grant))) + SEPARATOR_BYTES
        if remaining_bytes < 0:
            break
        count += 1
    return count


def encode_reply(reply: HeartbeatReply) -> bytes:
    """Encode the reply to a heartbeat."""
    if reply.grants is None:
        return b"{}"
    rows = [list(grant) for grant in reply.grants]
    return msgspec.json.encode({"holds": rows, "holdMs": reply.hold_ms})
