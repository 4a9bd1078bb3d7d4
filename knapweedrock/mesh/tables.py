"""Tables packed for links and the store: each owner is named once."""

import zlib
from typing import Any, NamedTuple

import msgspec

from knapweedrock.codes import Code
from knapweedrock.errors import LinkError
from knapweedrock.mesh.messages import Row


class PackedRow(NamedTuple):
    """A row whose owner and next owner are numbers in a list of owners; -1 is none."""

    start: int
    end: int
    owner: int
    token: int
    handover: str
    next_owner: int


class PackedTable(NamedTuple):
    """Rows, with the node and the target of each owner; a next owner has no target."""

    owners: list[tuple[str, str]]
    rows: list[PackedRow]


# Compression of rows on links, where a whole table goes to each node that comes back.
COMPRESSION_LEVEL = 1
TABLE_DECODER = msgspec.msgpack.Decoder(PackedTable)


def pack_rows(rows: list[Row], with_next_owners: bool = False) -> PackedTable:
    """Pack rows; marks of moves are left out unless asked for."""
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
    """Unpack rows."""
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
    """Encode rows with their marks for a link."""
    return zlib.compress(
        msgspec.msgpack.encode(pack_rows(rows, with_next_owners=True)),
        COMPRESSION_LEVEL,
    )


def decode_rows(data: bytes) -> list[Row]:
    """Decode rows that came on a link; raises `LinkError` with `BAD_FRAME`."""
    try:
        return unpack_rows(TABLE_DECODER.decode(zlib.decompress(data)))
    except (zlib.error, msgspec.DecodeError, IndexError) as error:
        raise LinkError(Code.BAD_FRAME, f"rows: {error}") from error


def read_stored_table(value: dict[str, Any]) -> PackedTable:
    """Read a table as the store holds it."""
    return PackedTable(value["owners"], value["rows"])
