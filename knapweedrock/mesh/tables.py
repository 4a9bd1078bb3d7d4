"""Compact encoding of row tables for links and the store, naming each owner once."""

import zlib
from typing import Annotated, Any, NamedTuple

import msgspec

from knapweedrock.codes import Code
from knapweedrock.documents import MAX_COUNT, Count
from knapweedrock.errors import LinkError
from knapweedrock.json_input import InputError
from knapweedrock.mesh.messages import Row
from knapweedrock.mesh.snapshots import KEY_COUNT
from knapweedrock.platform.stored_objects import StoredObject

# The end of an empty row lies below its start, so both may lie just outside the keys.
KeyBound = Annotated[int, msgspec.Meta(ge=-1, le=KEY_COUNT)]


class PackedRow(NamedTuple):
    """A row whose owner and next owner are indexes into the owners; -1 means none."""

    start: KeyBound
    end: KeyBound
    owner: Count
    token: Count
    handover: str
    next_owner: Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNT)]


class PackedTable(NamedTuple):
    """Rows with their owners as `(node, target)`; next owners have no target."""

    owners: list[tuple[str, str]]
    rows: list[PackedRow]


class StoredTableFields(msgspec.Struct):
    """Fields of a stored table, with their bounds."""

    epoch: Count
    owners: list[tuple[str, str]]
    rows: list[PackedRow]
    era: Count = 0


class StoredTable(NamedTuple):
    """The rows of a service, and the epoch of the coordinator that stored them.

    `era` is the era of the store in which its term began.
    """

    epoch: int
    rows: list[Row]
    era: int = 0


# zlib level for rows on links, where each node that reconnects gets a whole table.
COMPRESSION_LEVEL = 1
TABLE_DECODER = msgspec.msgpack.Decoder(PackedTable)


def pack_rows(rows: list[Row], with_next_owners: bool = False) -> PackedTable:
    """Pack rows; next owners are left out unless `with_next_owners` is set."""
    owner_indexes: dict[tuple[str, str], int] = {}
    packed = []
    for start, end, node_id, target, token, handover, next_node in rows:
        owner = owner_indexes.setdefault((node_id, target), len(owner_indexes))
        next_owner = -1
        if with_next_owners and next_node:
            next_owner = owner_indexes.setdefault((next_node, ""), len(owner_indexes))
        packed.append(PackedRow(start, end, owner, token, handover, next_owner))
    return PackedTable(list(owner_indexes), packed)


def unpack_rows(table: PackedTable) -> list[Row]:
    """Return the rows of a packed table."""
    owners = table.owners
    return [
        Row(
            start,
            end,
            *owners[owner],
            token,
            handover,
            owners[next_owner][0] if next_owner >= 0 else "",
        )
        for start, end, owner, token, handover, next_owner in table.rows
    ]


def encode_rows(rows: list[Row]) -> bytes:
    """Encode rows with their next owners for a link."""
    return zlib.compress(
        msgspec.msgpack.encode(pack_rows(rows, with_next_owners=True)),
        COMPRESSION_LEVEL,
    )


def decode_rows(data: bytes) -> list[Row]:
    """Decode rows received on a link; raises `LinkError` with `BAD_FRAME`."""
    try:
        return unpack_rows(TABLE_DECODER.decode(zlib.decompress(data)))
    except (zlib.error, msgspec.DecodeError, IndexError) as error:
        raise LinkError(Code.BAD_FRAME, f"rows: {error}") from error


def encode_stored_table(epoch: int, rows: list[Row], era: int = 0) -> dict[str, Any]:
    """Return the value to store for the rows of a service."""
    return {"epoch": epoch, **pack_rows(rows)._asdict(), "era": era}


def decode_stored_table(stored: StoredObject) -> StoredTable:
    """Decode the table of a service as a coordinator stores it; raise `InputError`."""
    if stored.error:
        raise InputError(stored.error)
    try:
        fields = msgspec.convert(stored.value, StoredTableFields)
        rows = unpack_rows(PackedTable(fields.owners, fields.rows))
    except (msgspec.ValidationError, IndexError) as error:
        raise InputError(str(error)) from error
    return StoredTable(fields.epoch, rows, fields.era)
