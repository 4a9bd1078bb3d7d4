"""Raw HTTP of callers, so that broken requests can be sent as well."""

import socket
from typing import NamedTuple

TIMEOUT_S = 5
READ_BYTES = 65536


class Reply(NamedTuple):
    """An answer as read from the socket; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


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
