"""Client connections of HTTP/1.1, on which one response at a time is awaited."""

import socket as system_socket
from contextlib import suppress

import gevent
from gevent import socket

from knapweedrock.clock import NS_PER_MS, create_clock
from knapweedrock.mesh.http import Response
from knapweedrock.mesh.http_parsers import ResponseParser
from knapweedrock.mesh.sent_attempts import SentAttempts
from knapweedrock.sockets import (
    disable_nagle,
    receive_next,
    receive_nowait,
    send_all,
)
from knapweedrock.timers import Timeout

RECEIVE_BYTES = 65536
# Size of the final read at a timeout, since more may have arrived than fits into one
# normal read.
FINAL_RECEIVE_BYTES = 1 << 20
# Received bytes are parsed in pieces of this size, without a turn for other tasks until
# the given time has passed.
PARSE_BYTES = 2048
MAX_PARSE_NS = NS_PER_MS
MIN_TIMEOUT_S = 0.001
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

read_now_ns = create_clock().now_ns


class Connection:
    """A client connection with at most one response outstanding."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.idle_since_ns = 0
        self.idle_limit_ns = 0
        self.attempts = SentAttempts()

    def send(self, data: bytes, timeout_s: float) -> None:
        """Send the bytes of a request; raises `OSError`, also at a timeout."""
        send_all(self.sock, data, max(timeout_s, MIN_TIMEOUT_S))

    def read(
        self,
        parser: ResponseParser,
        timeout_s: float,
        silence_limit_s: float | None = None,
    ) -> Response:
        """Read until the parser has a response; raises `OSError`.

        `timeout_s` is for the whole response; `silence_limit_s` limits each wait for
        more bytes.
        """
        timeout_s = max(timeout_s, MIN_TIMEOUT_S)
        if not parser.responses:
            self._read_within(parser, timeout_s, silence_limit_s or timeout_s)
        return parser.responses.pop(0)

    def _read_within(
        self, parser: ResponseParser, timeout_s: float, silence_limit_s: float
    ) -> None:
        try:
            with Timeout(timeout_s):
                while not parser.responses:
                    feed_parser(parser, self._receive(timeout_s, silence_limit_s))
        except TimeoutError:
            # Bytes may have arrived while other greenlets ran; they still count.
            data = receive_nowait(self.sock, FINAL_RECEIVE_BYTES)
            if data is not None:
                feed_parser(parser, data)
            if not parser.responses:
                raise

    def _receive(self, timeout_s: float, silence_limit_s: float) -> bytes:
        """Receive bytes within the silence limit if that is below the whole timeout."""
        if silence_limit_s >= timeout_s:
            return receive_next(self.sock, RECEIVE_BYTES)
        with Timeout(silence_limit_s):
            return receive_next(self.sock, RECEIVE_BYTES)

    def is_reusable(self) -> bool:
        """Return whether the idle connection is open and has received nothing."""
        try:
            self.sock._sock.recv(1, system_socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the socket and wake up a greenlet that reads from it."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def feed_parser(parser: ResponseParser, data: bytes) -> None:
    """Parse received bytes, which are empty at the end of the connection.

    Bytes with many small parts are slow to parse, so other tasks get turns meanwhile.
    Raises `MalformedMessageError`, and `ConnectionError` at an end without a response.
    """
    if not data:
        parser.finish()
        if not parser.responses:
            raise ConnectionError("the connection was closed before the response")
        return
    start_ns = read_now_ns()
    for offset in range(0, len(data), PARSE_BYTES):
        if read_now_ns() - start_ns > MAX_PARSE_NS:
            gevent.sleep(0)
            start_ns = read_now_ns()
        parser.feed(data[offset : offset + PARSE_BYTES])


def dial(address: tuple[str, int], timeout_s: float) -> Connection:
    """Open a connection with TCP keep-alive; raises `OSError`."""
    sock = socket.create_connection(address, timeout=max(timeout_s, MIN_TIMEOUT_S))
    disable_nagle(sock)
    enable_keepalive(sock)
    return Connection(sock)


def enable_keepalive(sock: socket.socket) -> None:
    """Let the kernel detect by TCP keep-alive that the peer is gone."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
