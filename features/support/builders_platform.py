"""Builders of platform clients and of the bytes that a broken platform sends."""

from knapweedrock.counters import Counters
from knapweedrock.faults import Faults
from knapweedrock.platform.http import HttpPlatform, create_client
from knapweedrock.platform.rates import Limits
from knapweedrock.settings import parse_address

UNLIMITED = Limits(1e6, 1_000_000, 1e6, 1_000_000)


def create_test_client(
    address: str,
    name: str = "n1",
    faults: Faults | None = None,
    limits: Limits = UNLIMITED,
    counters: Counters | None = None,
) -> HttpPlatform:
    """Create a client of the platform at `host:port`."""
    return create_client(
        parse_address(address), name, counters or Counters(), faults, limits=limits
    )


def create_answer(status: int, body: bytes, length: int | None = None) -> bytes:
    """Create the bytes of an HTTP answer, with a wrong length on request."""
    size = len(body) if length is None else length
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, size) + body


BROKEN_ANSWERS = {
    "no HTTP at all": b"\x00\xff\x17garbage\r\n\r\n",
    "no JSON": create_answer(200, b"<html>"),
    "no version": create_answer(200, b'{"value": 1}'),
    "a version of text": create_answer(200, b'{"version": "7", "value": 1}'),
    "a negative version": create_answer(200, b'{"version": -1, "value": 1}'),
    "deep nesting": create_answer(200, b"[" * 100_000),
    "no UTF-8": create_answer(200, b'{"version": 1, "value": "\xff"}'),
    "a truncated body": create_answer(200, b'{"version": 1,', 500),
    "a second answer": create_answer(200, b'{"version": 1, "value": 1}')
    + create_answer(404, b""),
    "an unknown status": create_answer(418, b"{}"),
    "an endless header": b"HTTP/1.1 200 X\r\nA: " + b"a" * 1_000_000,
    "nothing": b"",
}
