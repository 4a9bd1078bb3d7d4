"""JSON from other writers: decoding with a bound on its nesting, and splitting.

Decoders recurse, so a value that is nested deeply enough makes them fail wherever it
stands. Splitting does not recurse: it separates such a value from the ones beside it.
"""

import re
from itertools import accumulate
from typing import Any

import gevent
import msgspec

MAX_NESTING = 64
# Sizes of the blocks in which the end of an array or object is searched.
MAX_BLOCK_BYTES = 1 << 16
MIN_BLOCK_BYTES = 1 << 8
BLOCK_DIVISOR = 4
# Strings that are masked before other greenlets run, for a few ms.
STRINGS_PER_TURN = 10_000
# A string that does not end extends to the end of the data.
STRING_PATTERN = re.compile(rb'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
TOKEN_PATTERN = re.compile(rb"[\[\]{},:]")
BRACKET_PATTERN = re.compile(rb"[\[\]{}]")
NO_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
NESTING_CHANGES = {ord("["): 1, ord("{"): 1, ord("]"): -1, ord("}"): -1}


class InputError(ValueError):
    """Input that is not readable; the text says why."""


def decode_json(data: bytes, kind: Any = Any) -> Any:
    """Decode a JSON value of a type; raise `InputError`."""
    if is_nested_deeply(data):
        raise InputError(f"nested more than {MAX_NESTING} levels deep")
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        raise InputError(str(error)) from error


def read_members(data: bytes) -> dict[str, bytes]:
    """Return the members of a JSON object undecoded; raise `InputError`."""
    if not is_nested_deeply(data):
        members = decode_json(data, dict[str, msgspec.Raw])
        return {name: bytes(value) for name, value in members.items()}
    if not is_object(data):
        raise InputError("expected an object")
    parts = split_parts(data)
    return {
        decode_json(name, str): value
        for name, value in zip(parts[::2], parts[1::2], strict=False)
    }


def read_elements(data: bytes) -> list[bytes]:
    """Return the elements of a JSON array undecoded; raise `InputError`."""
    if not is_nested_deeply(data):
        return [bytes(value) for value in decode_json(data, list[msgspec.Raw])]
    if not data.lstrip().startswith(b"["):
        raise InputError("expected an array")
    return split_parts(data)


def is_nested_deeply(data: bytes) -> bool:
    """Return whether arrays and objects are nested more than `MAX_NESTING` deep."""
    if data.count(b"[") + data.count(b"{") <= MAX_NESTING:
        return False
    brackets = STRING_PATTERN.sub(b"", data).translate(None, NO_BRACKETS)
    depths = accumulate(map(NESTING_CHANGES.__getitem__, brackets))
    return any(map(MAX_NESTING.__lt__, depths))


def split_parts(data: bytes) -> list[bytes]:
    """Split the outermost array or object at its separators; raise `InputError`.

    An object gives its names and values by turns. The parts are not checked.
    """
    masked = mask_strings(data)
    parts = []
    start = position = masked.index(b"{" if is_object(data) else b"[") + 1
    while token := TOKEN_PATTERN.search(masked, position):
        if token[0] in b"[{":
            position = skip_container(masked, token.start())
            continue
        position = token.end()
        parts.append(data[start : token.start()].strip())
        start = position
        if token[0] in b"]}":
            return parts if any(parts) else []
    raise InputError("the outermost array or object does not end")


def is_object(data: bytes) -> bool:
    """Return whether JSON data is an object, if it is an array or an object."""
    return data.lstrip().startswith(b"{")


def mask_strings(data: bytes) -> bytes:
    """Return data of the same length, with blanks in place of its strings."""
    masked = bytearray(data)
    for number, match in enumerate(STRING_PATTERN.finditer(data), 1):
        masked[match.start() : match.end()] = b" " * len(match[0])
        if number % STRINGS_PER_TURN == 0:
            gevent.sleep(0)
    return bytes(masked)


def skip_container(masked: bytes, position: int) -> int:
    """Return the position after the array or object that begins at a position.

    `masked` has no strings. Raises `InputError` if there is no end.
    """
    depth = 0
    while position < len(masked):
        end = position + find_inner_block(masked, position, depth)
        if end > position:
            depth += count_nesting(masked, position, end)
            position = end
            continue
        end = position + MIN_BLOCK_BYTES
        for bracket in BRACKET_PATTERN.finditer(masked, position, end):
            depth += NESTING_CHANGES[masked[bracket.start()]]
            if depth == 0:
                return bracket.end()
        position = end
        gevent.sleep(0)
    raise InputError("an array or object does not end")


def find_inner_block(masked: bytes, position: int, depth: int) -> int:
    """Return the size of a block that can't close a container, or 0 for none.

    The container is open at `depth` before the block.
    """
    size = MAX_BLOCK_BYTES
    while size > MIN_BLOCK_BYTES:
        end = position + size
        if (
            masked.count(b"]", position, end) + masked.count(b"}", position, end)
            < depth
        ):
            return size
        size //= BLOCK_DIVISOR
    return 0


def count_nesting(masked: bytes, start: int, end: int) -> int:
    """Return by how much the nesting grows from one position to another."""
    opened = masked.count(b"[", start, end) + masked.count(b"{", start, end)
    return opened - masked.count(b"]", start, end) - masked.count(b"}", start, end)
