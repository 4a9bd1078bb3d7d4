"""Places where a request carries its key, as a registry by kind.

Keys are text. Header values are read as UTF-8; query fields and path segments
are percent-decoded and then read as UTF-8.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote_to_bytes

from knapweedrock.callers.rules import Route
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError

MAX_KEY_BYTES = 1024
MAX_QUERY_FIELDS = 256


class Parts(NamedTuple):
    """Parts of a request that a key can be read from.

    Header names are in lower case; values are text of Latin-1 characters.
    """

    path: str
    query: str
    headers: Mapping[str, str]


KeyReader = Callable[[str, Route, Parts], bytes]

KEY_READERS: dict[str, KeyReader] = {}


def key_reader(kind: str) -> Callable[[KeyReader], KeyReader]:
    """Register a reader under the kind that rules name."""

    def register(reader: KeyReader) -> KeyReader:
        KEY_READERS[kind] = reader
        return reader

    return register


@key_reader("header")
def read_header(name: str, route: Route, parts: Parts) -> bytes:
    """Read the key from a header."""
    return parts.headers.get(name.lower(), "").strip().encode("latin-1")


@key_reader("query")
def read_query(name: str, route: Route, parts: Parts) -> bytes:
    """Read the key from a query field that may stand there only once."""
    fields = parse_qsl(
        parts.query,
        keep_blank_values=True,
        encoding="latin-1",
        max_num_fields=MAX_QUERY_FIELDS,
    )
    values = [value for field, value in fields if field == name]
    if len(values) > 1:
        raise RefusalError(Code.BAD_REQUEST, f"query field {name} stands there twice")
    return values[0].encode("latin-1") if values else b""


@key_reader("segment")
def read_segment(name: str, route: Route, parts: Parts) -> bytes:
    """Read the key from a path segment.

    A number is its place behind the rule's prefix, counted from 1; any other name
    is the segment before it.
    """
    segments = parts.path.split("/")
    if name.isdecimal():
        place = route.prefix.count("/") + int(name)
    elif name in segments:
        place = segments.index(name) + 1
    else:
        return b""
    return unquote_to_bytes(segments[place]) if place < len(segments) else b""


def find_key(route: Route, parts: Parts) -> str:
    """Find the key of a request; empty where the service is not divided by key."""
    if not route.keyed:
        return ""
    if route.key is None:
        raise RefusalError(Code.KEY_MISSING, f"rule {route.name} says no key")
    try:
        raw = KEY_READERS[route.key["kind"]](route.key["name"], route, parts)
        key = raw.decode()
    except ValueError as error:
        raise RefusalError(Code.BAD_REQUEST, f"key can't be read: {error}") from None
    if not key:
        detail = f"rule {route.name} wants {route.key['kind']} {route.key['name']}"
        raise RefusalError(Code.KEY_MISSING, detail)
    if len(raw) > MAX_KEY_BYTES:
        raise RefusalError(Code.BAD_REQUEST, f"key is above {MAX_KEY_BYTES} bytes")
    return key
