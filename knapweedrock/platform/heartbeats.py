"""Decoding of target heartbeats in the platform's format, and encoding of replies."""

import re
from collections.abc import Iterable
from typing import Annotated, Literal, NamedTuple

import msgspec

from knapweedrock.codes import Code
from knapweedrock.documents import Count
from knapweedrock.errors import RefusalError
from knapweedrock.json_input import InputError, decode_json
from knapweedrock.mesh.definitions import (
    Grant,
    Heartbeat,
    HeartbeatReply,
    HeldRange,
    ReleasedRange,
)
from knapweedrock.platform.reports import MAX_COLD_MS

PATH_PATTERN = re.compile(r"/instances/([^/?]+)/(heartbeat|deregister)")
MAX_KEY = 65535
# Largest reply to a heartbeat that a target accepts.
MAX_REPLY_BYTES = 4096
# Space for the rest of a reply besides its grants, with the longest hold time.
REPLY_OVERHEAD_BYTES = 64
SEPARATOR_BYTES = 1
MAX_TEXT_CHARACTERS = 1000

Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARACTERS)]
Key = Annotated[int, msgspec.Meta(ge=0, le=MAX_KEY)]
ColdTime = Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]


class Information(msgspec.Struct):
    """What a heartbeat says about the target that does not change while it runs."""

    service: Text
    version: Text | int
    zone: Text
    slots: Count


class Status(msgspec.Struct):
    """What a heartbeat says about the target's present state."""

    state: Literal["ready", "draining"]
    sequence: Count = msgspec.field(name="seq")
    cold_ms: ColdTime = msgspec.field(name="coldRemainingMs")


class HeartbeatFields(msgspec.Struct):
    """The body of a heartbeat; targets of services without keys list no keys."""

    address: Text
    information: Information
    status: Status
    born: Count = 0
    held: list[tuple[Key, Key, Count]] | None = msgspec.field(
        name="holds", default=None
    )
    released: list[tuple[Key, Key, Text]] | None = msgspec.field(
        name="freed", default=None
    )


class DeregistrationFields(msgspec.Struct):
    """The body of a deregistration."""

    born: Count = 0


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
        if action == "deregister":
            return decode_deregistration(instance, body)
        return decode_heartbeat(instance, body)
    except InputError as error:
        raise RefusalError(Code.BAD_ANNOUNCEMENT, str(error)) from error


def decode_deregistration(instance: str, body: bytes) -> Deregistration:
    """Decode a deregistration, whose body may be empty; raise `InputError`."""
    fields = decode_json(body or b"{}", DeregistrationFields)
    return Deregistration(format_incarnation(instance, fields.born), instance)


def decode_heartbeat(instance: str, body: bytes) -> Heartbeat:
    """Decode a heartbeat; raise `InputError`."""
    fields = decode_json(body, HeartbeatFields)
    information, status = fields.information, fields.status
    return Heartbeat(
        target=format_incarnation(instance, fields.born),
        instance=instance,
        service=information.service,
        zone=information.zone,
        address=fields.address,
        slots=information.slots,
        draining=status.state == "draining",
        # The sequence starts again with each restart of the target.
        sequence=status.sequence,
        cold_ms=status.cold_ms,
        held=tuple(HeldRange(*row) for row in fields.held or ()),
        released=tuple(ReleasedRange(*row) for row in fields.released or ()),
        lists_keys=fields.held is not None and fields.released is not None,
    )


def format_incarnation(instance: str, born: int) -> str:
    """Format the name of a target incarnation, `id@start-time`.

    A restarted target may reuse its id, but not its start time.
    """
    return f"{instance}@{born}"


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
