"""Heads of HTTP requests: request line and headers, read strictly.

A head that two readers could understand differently is refused.
"""

import re
from typing import NamedTuple

from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError

MAX_LINE_BYTES = 8192
MAX_HEAD_BYTES = 64 * 1024
MAX_HEADERS = 100
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"

REQUEST_LINE = re.compile(r"([A-Z][A-Z-]{0,31}) ([\x21-\x7e]+) HTTP/1\.([01])\r\n")
FIELD = re.compile(
    r"^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*?)[ \t]*\r\n",
    re.MULTILINE,
)
ORIGIN = re.compile(r"https?://[^/?]*", re.IGNORECASE)
LENGTH = re.compile(r"[0-9]{1,15}")
SINGLE = frozenset(
    {"content-length", "host", "transfer-encoding", "idempotency-key"}
    | {"request-deadline-ms"}
)


class Head(NamedTuple):
    """A request's head; `fields` maps lower-case names to values of Latin-1 text."""

    method: str
    target: str
    minor: int
    headers: list[tuple[str, str]]
    fields: dict[str, str]
    length: int
    chunked: bool


def refuse(detail: str) -> RefusalError:
    """Create the refusal of a malformed head."""
    return RefusalError(Code.BAD_REQUEST, detail)


def read_block(rfile) -> str:
    """Read the header lines up to the empty line, which is left out."""
    buffered = rfile.peek()
    end = buffered.find(HEAD_END)
    if end >= 0 and not buffered.startswith(LINE_END):
        return rfile.read(end + len(HEAD_END))[: -len(LINE_END)].decode("latin-1")
    lines, size = [], 0
    while (line := rfile.readline(MAX_LINE_BYTES)) != LINE_END:
        size += len(line)
        if not line.endswith(LINE_END) or size > MAX_HEAD_BYTES:
            raise refuse("a header line is cut off, or the head is too long")
        lines.append(line)
    return b"".join(lines).decode("latin-1")


def read_headers(rfile) -> tuple[list[tuple[str, str]], dict[str, str]]:
    """Read and check the headers."""
    block = read_block(rfile)
    headers = FIELD.findall(block)
    if len(headers) != block.count("\n"):
        raise refuse("a header line is malformed")
    if len(headers) > MAX_HEADERS:
        raise refuse(f"more than {MAX_HEADERS} headers")
    fields: dict[str, str] = {}
    for name, value in headers:
        lower = name.lower()
        if lower not in fields:
            fields[lower] = value
        elif lower in SINGLE:
            raise refuse(f"header {lower} stands there twice")
        else:
            fields[lower] = f"{fields[lower]},{value}"
    return headers, fields


def read_length(fields: dict[str, str]) -> int:
    """Read the declared length of the body in bytes."""
    given = fields.get("content-length", "0")
    if not LENGTH.fullmatch(given):
        raise refuse("Content-Length: expected a whole number")
    return int(given)


def read_chunked(fields: dict[str, str], minor: int) -> bool:
    """Tell whether the body is chunked."""
    encoding = fields.get("transfer-encoding")
    if encoding is None:
        return False
    if encoding.lower() != "chunked" or minor == 0 or "content-length" in fields:
        raise refuse("the body's length is ambiguous")
    return True


def read_head(line: str, rfile) -> Head:
    """Read the headers that follow a request line and check the whole head."""
    match = REQUEST_LINE.fullmatch(line)
    if match is None:
        raise refuse("the request line is malformed")
    method, target, minor = match[1], match[2], int(match[3])
    headers, fields = read_headers(rfile)
    chunked = read_chunked(fields, minor)
    length = read_length(fields)
    target = ORIGIN.sub("", target, count=1) if target[0] != "/" else target
    return Head(method, target, minor, headers, fields, length, chunked)
