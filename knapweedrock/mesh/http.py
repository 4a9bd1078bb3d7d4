"""HTTP/1.1 on sockets: parsers and encoders of messages, and client connections."""

import socket as system_socket
from contextlib import suppress
from typing import NamedTuple

import gevent
import httptools
from gevent import socket

from knapweedrock.clock import NS_PER_MS, create_clock
from knapweedrock.mesh.sent_attempts import SentAttempts
from knapweedrock.sockets import (
    disable_nagle,
    receive_next,
    receive_nowait,
    send_all,
)
from knapweedrock.timers import Timeout

JSON_HEADERS = [("Content-Type", "application/json")]
RECEIVE_BYTES = 65536
# Size of the final read at a timeout, since more may have arrived than fits into one
# normal read.
FINAL_RECEIVE_BYTES = 1 << 20
# Received bytes are parsed in pieces of this size, without a turn for other tasks until
# the given time has passed.
PARSE_BYTES = 2048
MAX_PARSE_NS = NS_PER_MS
MIN_TIMEOUT_S = 0.001
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
# A header's colon and the CRLF at the end of its line.
HEADER_SEPARATOR_BYTES = 3
BODILESS_STATUSES = frozenset({204, 304})
# Limit of all bytes outside the body of a message. The heads of interim responses count
# as part of the response that follows them.
MAX_HEAD_BYTES = 32 << 10
# Eight times the largest body that targets send; a VM of 200 MB can hold 18 bodies of
# this size at once.
MAX_RESPONSE_BODY_BYTES = 4 << 20
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

Headers = list[tuple[str, str]]

read_now_ns = create_clock().now_ns


class MalformedMessageError(Exception):
    """Received bytes are not a valid HTTP message, or exceed a limit."""


class HeadTooLargeError(MalformedMessageError):
    """A request has more bytes outside its body than a head may have."""


class Response(NamedTuple):
    """A whole response; `reusable` says whether its connection can be used again.

    `head_ns` is the machine's clock at the end of the head.
    """

    status: int
    headers: Headers
    body: bytes
    reusable: bool
    head_ns: int = 0

    def get_header(self, name: str) -> str:
        """Return the value of a header by its lower-case name, or an empty string."""
        for field, value in self.headers:
            if field.lower() == name:
                return value
        return ""


class Request(NamedTuple):
    """A whole request as a caller sent it; header names are in lower case.

    `target` is HTTP's request target: the path with its query.
    """

    method: str
    target: str
    headers: Headers
    fields: dict[str, str]
    body: bytes
    keep_alive: bool


class ResponseParser:
    """Parses the responses on one connection and collects them in `responses`.

    A `bodiless` response ends with its head, whatever length the head states.
    """

    def __init__(
        self, bodiless: bool = False, max_body_bytes: int = MAX_RESPONSE_BODY_BYTES
    ) -> None:
        self._bodiless = bodiless
        self._max_body_bytes = max_body_bytes
        self.responses: list[Response] = []
        self.has_started = False
        # True if bytes arrived that do not belong to the awaited response.
        self.has_extra_data = False
        self._head_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._reset()

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises `MalformedMessageError`."""
        self.has_started = True
        body_bytes = len(self._body)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.responses:
                # An error of a callback below is the context of the parser's error,
                # which says only where it was raised.
                reason = str(error.__context__ or error)
                raise MalformedMessageError(reason) from error
            self.has_extra_data = True
        if len(self._body) > body_bytes:
            self._head_bytes = 0
        elif not self.responses:
            self._count_head(len(data))

    def finish(self) -> None:
        """Complete a response whose body ends with its connection."""
        if self._has_head and not self._is_framed:
            self._append_response(reusable=False)

    def _reset(self) -> None:
        self._headers: Headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._has_head = False
        self._head_ns = 0
        # True once the head states where the body ends.
        self._is_framed = False
        self._is_closing = False

    def _count_head(self, size: int) -> None:
        """Count bytes received outside a body; raises `MalformedMessageError`."""
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise MalformedMessageError("the head of the response is too large")

    def on_message_begin(self) -> None:
        """Start a response."""
        if self.responses:
            self.has_extra_data = True
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header, or a trailer after the body."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEAD_BYTES:
            raise MalformedMessageError("the head of the response is too large")
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        status = self._parser.get_status_code()
        if status < FIRST_STATUS:
            raise MalformedMessageError(f"the status {status:03} is below 100")
        self._has_head = True
        self._head_ns = read_now_ns()
        for name, _ in self._headers:
            if name.lower() in ("content-length", "transfer-encoding"):
                self._is_framed = True
        if self._bodiless and status >= FIRST_FINAL_STATUS:
            # The parser still expects a body, so the connection can't be used again.
            self._append_response(reusable=False)

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""
        if len(self._body) + len(data) > self._max_body_bytes:
            raise MalformedMessageError("the body of the response is too large")
        self._body += data

    def on_message_complete(self) -> None:
        """Handle the end of a response."""
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self._reset()
            return
        if self._bodiless:
            return
        self._append_response(reusable=bool(self._parser.should_keep_alive()))

    def _append_response(self, reusable: bool) -> None:
        status = self._parser.get_status_code()
        body = bytes(self._body)
        self.responses.append(
            Response(status, self._headers, body, reusable, self._head_ns)
        )
        self._head_bytes = 0
        self._has_head = False


class RequestParser:
    """Parses the requests on one caller's connection and collects them in `requests`.

    A head may have up to `max_head_bytes`.
    """

    def __init__(self) -> None:
        self.max_head_bytes = MAX_HEAD_BYTES
        self.requests: list[Request] = []
        self.in_head = False
        self.in_body = False
        self.body_bytes = 0
        self.expects_continue = False
        # Bytes received since the last bytes of a body or the last end of a request.
        self._overhead_bytes = 0
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises `MalformedMessageError`."""
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if isinstance(error.__context__, HeadTooLargeError):
                raise error.__context__ from None
            raise MalformedMessageError(str(error)) from error
        if self._overhead_bytes > self.max_head_bytes:
            raise HeadTooLargeError(
                "the request has more bytes outside its body than its head may have"
            )

    def is_idle(self) -> bool:
        """Return whether no request has begun."""
        return not self.in_head and not self.in_body

    def on_message_begin(self) -> None:
        """Start a request."""
        self.in_head = True
        self.body_bytes = 0
        self.expects_continue = False
        self._head_bytes = 0
        self._target: list[bytes] = []
        self._headers: Headers = []
        self._fields: dict[str, str] = {}
        self._body = bytearray()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.max_head_bytes:
            raise HeadTooLargeError("the head of the request is too large")

    def on_url(self, data: bytes) -> None:
        """Handle a part of the request target."""
        self._count_head(len(data))
        self._target.append(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header, or a trailer after the body."""
        self._count_head(len(name) + len(value) + HEADER_SEPARATOR_BYTES)
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        self._headers.append((key, text))
        self._fields[key] = text

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        self.in_head = False
        self.in_body = True
        self.expects_continue = "100-continue" in self._fields.get("expect", "")

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""
        self.body_bytes += len(data)
        self._overhead_bytes = 0
        self._body += data

    def on_message_complete(self) -> None:
        """Handle the end of a request."""
        self.in_head = False
        self.in_body = False
        self._overhead_bytes = 0
        self.requests.append(
            Request(
                self._parser.get_method().decode("latin-1"),
                b"".join(self._target).decode("latin-1"),
                self._headers,
                self._fields,
                bytes(self._body),
                bool(self._parser.should_keep_alive()),
            )
        )


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


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Encode a request with a body of known length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_response(status: int, headers: Headers, body: bytes, closes: bool) -> bytes:
    """Encode a response with a body of known length."""
    length = None if status in BODILESS_STATUSES else len(body)
    return encode_head(status, headers, length, closes) + body


def encode_head_response(
    status: int, headers: Headers, length: int, closes: bool
) -> bytes:
    """Encode a response to HEAD; `length` is used if the headers state none."""
    has_length = any(name.lower() == "content-length" for name, _ in headers)
    return encode_head(status, headers, None if has_length else length, closes)


def encode_head(
    status: int, headers: Headers, length: int | None, closes: bool
) -> bytes:
    """Encode the status line and headers of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if closes:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
