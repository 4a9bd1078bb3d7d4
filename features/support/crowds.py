"""Clients that send what they may and stop just short of the end."""

from collections.abc import Callable, Iterable
from contextlib import suppress

import gevent
from gevent import socket

from features.support.mesh_processes import ProcessMesh, ProcessNode, format_settings

CONNECT_TIMEOUT_S = 5.0
SEND_TIMEOUT_S = 10.0
HEAD = b"POST /list/1 HTTP/1.1\r\nHost: mesh.example\r\nX-Attempt-Id: crowd\r\n"
READ_HEAD = b"GET /list/1 HTTP/1.1\r\nHost: mesh.example\r\nX-Attempt-Id: crowd\r\n\r\n"
ODD_LINE = b"!#$%&'*+-.^_`|~:\t\x80\xff \x80\r\n"
SHORT_LINE = b"a:\r\n"
KIB = 1024


class CrowdMesh(ProcessMesh):
    """Mesh of node processes whose settings state limits of memory and descriptors."""

    def __init__(self, count: int, memory_mb: int, descriptors: int) -> None:
        super().__init__(1, unkeyed=count - 1)
        self.extra_settings = {
            "memory_mb": str(memory_mb),
            "descriptors": str(descriptors),
        }

    def format_settings(self, settings) -> str:
        """Format settings with the limits."""
        return format_settings(settings, self.extra_settings)


class Crowd:
    """Connections of a crowd, which stay open until it leaves."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._sockets: list[socket.socket] = []

    def send(self, count: int, create_pieces: Callable[[], Iterable[bytes]]) -> None:
        """Connect clients that each send some pieces in turn with the others."""
        tasks = [gevent.spawn(self._send, create_pieces()) for _ in range(count)]
        gevent.joinall(tasks, raise_error=True)

    def leave(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()

    def _send(self, pieces: Iterable[bytes]) -> None:
        """Send pieces until the node closes the connection or reads no more."""
        with suppress(OSError):
            sock = socket.create_connection(self._address, CONNECT_TIMEOUT_S)
            self._sockets.append(sock)
            sock.settimeout(SEND_TIMEOUT_S)
            for piece in pieces:
                sock.sendall(piece)


def create_lines(line: bytes, size: int) -> list[bytes]:
    """Create a head of equal lines that lacks its end, in pieces of 4 KiB."""
    lines = line * ((size - len(HEAD) - 16) // len(line))
    return [HEAD, *(lines[n : n + 4 * KIB] for n in range(0, len(lines), 4 * KIB))]


def create_body(size: int, piece_size: int) -> list[bytes]:
    """Create a request with a length that lacks the last byte of its body."""
    head = HEAD + b"Content-Length: %d\r\n\r\n" % size
    count, rest = divmod(size - 1, piece_size)
    return [head, *([bytes(piece_size)] * count), bytes(rest)]


def create_chunks(size: int, chunk_size: int) -> list[bytes]:
    """Create a chunked request that lacks its last chunk."""
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%b\r\n" % (chunk_size, bytes(chunk_size))
    per_piece = max(64 * KIB // len(chunk), 1)
    return [head, *([chunk * per_piece] * (size // chunk_size // per_piece))]


def read_peak_mb(node: ProcessNode) -> float:
    """Read the peak of a process's resident memory, in MB."""
    with open(f"/proc/{node.process.pid}/status") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / KIB
    raise AssertionError("the process has no peak of memory")
