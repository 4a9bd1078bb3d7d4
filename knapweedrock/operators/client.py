"""HTTP client for the pages of a node for operators."""

from collections.abc import Iterable
from typing import Any

import gevent
import msgspec

from knapweedrock.checker import Address
from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError, LinkError
from knapweedrock.mesh.http import (
    MalformedMessageError,
    ResponseParser,
    dial,
    encode_request,
)

TIMEOUT_S = 5.0
# Of one page; a dump of a large mesh has some MB.
MAX_RESPONSE_BYTES = 16 << 20


def fetch_first(addresses: Iterable[Address], target: str) -> dict[str, Any]:
    """Ask nodes one after the other for a page of JSON until one answers.

    Raises as `fetch_json` where none of them does, by the last one.
    """
    last_error = KnapweedrockError(Code.PEER_UNREACHABLE, "no node was named")
    for address in addresses:
        try:
            return fetch_json(address, target)
        except LinkError as error:
            last_error = error
    raise last_error


def fetch_json(address: Address, target: str) -> dict[str, Any]:
    """Ask a node for a page of JSON.

    Raises the node's own error with its code, and a `LinkError` with
    `PEER_UNREACHABLE` or `PEER_LOST` where no whole answer came in time.
    """
    status, content = fetch(address, target)
    value = decode_response(address, content)
    if status >= 400:
        raise create_error(value)
    return value


def fetch_text(address: Address, target: str) -> str:
    """Ask a node for a page of text; raises as `fetch_json`."""
    status, content = fetch(address, target)
    if status >= 400:
        raise create_error(decode_response(address, content))
    return content.decode(errors="replace")


def fetch(address: Address, target: str) -> tuple[int, bytes]:
    """Send one request once and read the whole answer, or raise by code."""
    try:
        with gevent.Timeout(TIMEOUT_S):
            return send_request(address, target)
    except ConnectionRefusedError as error:
        raise LinkError(Code.PEER_UNREACHABLE, f"{address}: {error}") from None
    except (OSError, MalformedMessageError, gevent.Timeout) as error:
        detail = f"{address}: {error or 'no answer in time'}"
        raise LinkError(Code.PEER_LOST, detail) from None


def send_request(address: Address, target: str) -> tuple[int, bytes]:
    """Send one request on a connection of its own and read the whole answer."""
    connection = dial((address.host, address.port), TIMEOUT_S)
    try:
        headers = [("Host", str(address)), ("Connection", "close")]
        connection.send(encode_request("GET", target, headers, b""), TIMEOUT_S)
        parser = ResponseParser(max_body_bytes=MAX_RESPONSE_BYTES)
        response = connection.read(parser, TIMEOUT_S)
    finally:
        connection.close()
    return response.status, response.body


def decode_response(address: Address, content: bytes) -> dict[str, Any]:
    """Decode an answer's JSON; raises `BAD_FRAME`."""
    try:
        return msgspec.json.decode(content, type=dict[str, Any])
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        detail = f"{address}: the answer is no JSON of a node: {error}"
        raise KnapweedrockError(Code.BAD_FRAME, detail) from None


def create_error(value: dict[str, Any]) -> KnapweedrockError:
    """Create the error that a node described."""
    try:
        return KnapweedrockError(Code(value["code"]), str(value["detail"]))
    except (KeyError, TypeError, ValueError):
        return KnapweedrockError(Code.BAD_FRAME, f"unknown error {value}")
