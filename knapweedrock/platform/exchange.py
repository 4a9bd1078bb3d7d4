"""One HTTP request and its answer, sent exactly once.

`geventhttpclient.HTTPClient` sends a PUT again by itself when its answer is lost,
so its connection pool and its response parser are used without it.
"""

import socket
from typing import NamedTuple

from gevent.timeout import Timeout
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from knapweedrock.settings import Address
from knapweedrock.sockets import disable_delay

ANSWER_MAX_BYTES = 64 << 20
BLOCK_BYTES = 64 << 10
POOL_CONNECTIONS = 64


class Answer(NamedTuple):
    """Status and body of an HTTP answer."""

    status: int
    body: bytes


class NotSentError(Exception):
    """No byte of the request was sent."""


class AnswerLostError(Exception):
    """The request may have been handled and no whole answer came."""


class _Pool(ConnectionPool):
    """Connection pool without delay on its connections."""

    def after_connect(self, sock: socket.socket) -> None:
        """Set the options of a new connection."""
        disable_delay(sock)

    def drop_idle(self) -> None:
        """Close all connections that nobody uses now."""
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()


class _Response(HTTPSocketPoolResponse):
    """Response that refuses a second answer to the same request."""

    def _on_message_begin(self) -> None:
        if self.message_complete and self.get_code() >= 200:
            raise HTTPParseError("a second answer followed the first")
        super()._on_message_begin()


class Exchanger:
    """HTTP requests to one address over pooled connections."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = _Pool(
            address.host,
            address.port,
            address.host,
            address.port,
            size=POOL_CONNECTIONS,
            connection_timeout=None,
            network_timeout=None,
        )

    def exchange(
        self, method: str, path: str, headers: str, body: bytes, timeout_s: float
    ) -> Answer:
        """Send a request once and return its answer.

        `headers` are whole lines, each with its line end. Raises `NotSentError`
        or `AnswerLostError`, within the time given.
        """
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n{headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        data = head.encode("latin-1") + body
        sent = False
        timeout = Timeout.start_new(timeout_s)
        try:
            sock = self._pool.get_socket()
            sent = True
            self._send(sock, data)
            return self._receive(sock, method)
        except (OSError, HTTPParseError, Timeout) as error:
            if isinstance(error, Timeout) and error is not timeout:
                raise
            self._pool.drop_idle()
            failure = AnswerLostError if sent else NotSentError
            raise failure(repr(error)) from error
        finally:
            timeout.close()

    def _send(self, sock: socket.socket, data: bytes) -> None:
        try:
            sock.sendall(data)
        except BaseException:
            self._pool.release_socket(sock)
            raise

    def _receive(self, sock: socket.socket, method: str) -> Answer:
        response = _Response(sock, self._pool, block_size=BLOCK_BYTES, method=method)
        try:
            body = response.read(BLOCK_BYTES)
            while not response.message_complete or response._body_buffer:
                body += response.read(BLOCK_BYTES)
                if len(body) > ANSWER_MAX_BYTES:
                    raise HTTPParseError("the answer is too large")
        finally:
            response.release()
        return Answer(response.status_code, body)


def create_exchanger(address: Address) -> Exchanger:
    """Create an exchanger without connections yet."""
    return Exchanger(address)
