"""Raw HTTP of callers, so that broken requests can be sent as well."""

import hashlib
import socket
import time
from typing import NamedTuple

import gevent

from features.support.http import Reply

TIMEOUT_S = 5
READ_BYTES = 65536
MS_PER_S = 1000
ORDER_PREFIX = "01890000-0000-7000-8000-"


class KeyedCall(NamedTuple):
    """A caller's request for a key of its own, with what came back and when."""

    order: bool
    key: str
    path: str
    digest: str
    reply: Reply | None
    taken_ms: float


def read_reply(sock: socket.socket, head_only: bool = False) -> Reply | None:
    """Read one answer; None where the connection closed before its head ended."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(READ_BYTES)
        if not piece:
            return None
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    pairs = [line.split(": ", 1) for line in lines[1:]]
    headers = {name.lower(): value for name, value in pairs}
    length = 0 if head_only else int(headers.get("content-length", "0"))
    while len(body) < length:
        piece = sock.recv(READ_BYTES)
        if not piece:
            raise ConnectionError(f"answer cut at {len(body)} of {length} bytes")
        body += piece
    return Reply(int(lines[0].split()[1]), headers, body)


def build_request(line: str, headers: list[str], body: bytes = b"") -> bytes:
    """Write a request; `line` is method and target."""
    lines = [f"{line} HTTP/1.1", "Host: mesh", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def exchange(address: tuple[str, int], raw: bytes) -> Reply | None:
    """Send bytes on a connection of their own and read the answer."""
    with socket.create_connection(address, TIMEOUT_S) as sock:
        sock.sendall(raw)
        return read_reply(sock, head_only=raw.startswith(b"HEAD"))


def name_order(number: int) -> str:
    """Return the id of a numbered order as a header."""
    return f"Idempotency-Key: {ORDER_PREFIX}{number:012d}"


def send_keyed(
    address: tuple[str, int],
    number: int,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 3000,
) -> KeyedCall:
    """Send a request for the key of a number; all but a GET bear an order id."""
    key = f"key-{number}"
    path = f"/depots/{key}/x?n={number}"
    order = method != "GET"
    headers = [f"Request-Deadline-Ms: {deadline_ms}"]
    headers += [name_order(number)] if order else []
    raw = build_request(f"{method} {path}", headers, body)
    start = time.monotonic()
    reply = exchange(address, raw)
    taken_ms = (time.monotonic() - start) * MS_PER_S
    digest = hashlib.sha256(body).hexdigest()
    return KeyedCall(order, key, path, digest, reply, taken_ms)


def start_calls(
    address: tuple[str, int], orders: int, reads: int, deadline_ms: int = 3000
) -> list[gevent.Greenlet]:
    """Start callers at the same time, each with a key of its own."""
    bodies = [f"body {number} ".encode() * (number % 7 + 1) for number in range(orders)]
    calls = [("POST", body) for body in bodies] + [("GET", b"")] * reads
    return [
        gevent.spawn(send_keyed, address, number, method, body, deadline_ms)
        for number, (method, body) in enumerate(calls)
    ]


def check_own(call: KeyedCall) -> None:
    """Check that an answer is done, whole and its caller's own."""
    assert call.reply is not None, call
    assert call.reply.headers["knapweedrock-outcome"] == "done", call
    said = call.reply.json()
    found = (said["key"], said["path"], said["digest"])
    assert found == (call.key, call.path, call.digest), call
