"""HTTP client for the operator endpoints of a node."""

from collections.abc import Iterable
from typing import Any

import gevent
import msgspec

from knapweedrock.checker import Address
from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError, LinkError
from knapweedrock.mesh.http import MalformedMessageError, encode_request
from knapweedrock.mesh.http_connections import dial
from knapweedrock.mesh.http_parsers import ResponseParser

TIMEOUT_S = 5.0
# A dump of a large mesh takes some MB.
MAX_RESPONSE_BYTES = 16 << 20


def fetch_first(addresses: Iterable[Address], target: str) -> dict[str, Any]:
    """Fetch JSON from the first node that responds, asking one after the other.

    If none responds, raises the error that `fetch_json` raised for the last node.
    """
    last_error = KnapweedrockError(Code.PEER_UNREACHABLE, "no node address was given")
    for address in addresses:
        try:
            return fetch_json(address, target)
        except LinkError as error:
            last_error = error
    raise last_error


def fetch_json(address: Address, target: str) -> dict[str, Any]:
    """Fetch JSON from an operator endpoint of a node.

    Raises the error that the node reports, with its code, or a `LinkError` with
    `PEER_UNREACHABLE` or `PEER_LOST` if no complete response arrives in time.
    """
    status, content = fetch(address, target)
    value = decode_response(address, content)
    if status >= 400:
        raise create_error(value)
    return value


def fetch_text(address: Address, target: str) -> str:
    """Fetch text from an operator endpoint of a node; raises as `fetch_json`."""
    status, content = fetch(address, target)
    if status >= 400:
        raise create_error(decode_response(address, content))
    return content.decode(errors="replace")


def fetch(address: Address, target: str) -> tuple[int, bytes]:
    """Send a request once, without retries, and return the status and the body.

    Raises a `LinkError` with `PEER_UNREACHABLE` or `PEER_LOST`.
    """
    try:
        with gevent.Timeout(TIMEOUT_S):
            return send_request(address, target)
    except ConnectionRefusedError as error:
        raise LinkError(Code.PEER_UNREACHABLE, f"{address}: {error}") from None
    except (OSError, MalformedMessageError, gevent.Timeout) as error:
        detail = f"{address}: {error or 'no response in time'}"
        raise LinkError(Code.PEER_LOST, detail) from None


def send_request(address: Address, target: str) -> tuple[int, bytes]:
    """Send a request on a new connection and return the status and the body."""
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
    """Decode the JSON of a response; raises `BAD_FRAME`."""
    try:
        return msgspec.json.decode(content, type=dict[str, Any])
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        detail = f"{address}: response is not a valid JSON object: {error}"
        raise KnapweedrockError(Code.BAD_FRAME, detail) from None


def create_error(value: dict[str, Any]) -> KnapweedrockError:
    """Create the error that a node describes in its response."""
    try:
        return KnapweedrockError(Code(value["code"]), str(value["detail"]))
    except (KeyError, TypeError, ValueError):
        return KnapweedrockError(Code.BAD_FRAME, f"unknown error {value}")
