"""HTTP server for callers: each connection's requests are served one at a time."""

import socket as system_socket
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial

import gevent
from gevent import socket
from gevent.pool import Group
from gevent.server import StreamServer
from logbook import Logger

from knapweedrock.clock import create_clock
from knapweedrock.codes import CODE_HEADER, INFO, Code
from knapweedrock.memory.budget import (
    BODY_COPIES,
    CONNECTION_BYTES,
    Holding,
    MemoryBudget,
    MemoryTerms,
    Stage,
)
from knapweedrock.mesh.definitions import Limits
from knapweedrock.mesh.disconnects import CallerDisconnectedError, DisconnectWatcher
from knapweedrock.mesh.http import (
    Headers,
    HeadTooLargeError,
    MalformedMessageError,
    Request,
    encode_head_response,
    encode_response,
)
from knapweedrock.mesh.http_connections import MIN_TIMEOUT_S
from knapweedrock.mesh.http_parsers import RequestParser
from knapweedrock.sockets import (
    disable_nagle,
    receive_next,
    receive_nowait,
    send_all,
)
from knapweedrock.timers import Timeout

BACKLOG = 2048
# One read of this size may hold hundreds of requests, which are parsed without yielding
# to other greenlets.
RECEIVE_BYTES = 16 << 10
SEND_TIMEOUT_S = 10.0
# Limit for a whole request with its body; 64 MiB take this long at 9 Mbit/s.
REQUEST_TIMEOUT_S = 60.0
# Time in which a caller may read the last response before its connection is closed.
LINGER_TIMEOUT_S = 1.0
# Time in which pending connections are accepted before the listener is closed.
ACCEPT_WAIT_S = 0.01
MEMORY_RETRY_AFTER_MS = 500
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

log = Logger("callers")


class Reply:
    """A response to a caller; with `closes` its connection is closed afterwards."""

    __slots__ = ("body", "closes", "headers", "status")

    def __init__(
        self, status: int, headers: Headers, body: bytes, closes: bool = False
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.closes = closes


class NodeShutdownError(gevent.GreenletExit):
    """Ends the work on a request because its node shuts down."""


# Returns the reply to a request; the second argument is the caller's IP address.
RequestHandler = Callable[[Request, str], Reply]


class CallerServer:
    """Accepts callers' connections and serves their requests."""

    def __init__(
        self,
        address: tuple[str, int],
        handler: RequestHandler,
        get_limits: Callable[[], Limits],
        budget: MemoryBudget | None = None,
    ) -> None:
        """Create a server; without a budget it holds whatever its callers send."""
        self.closing = False
        # True once the listener and idle connections are closed.
        self.stopped = False
        self.in_flight = 0
        self._handler = handler
        self._get_limits = get_limits
        self._budget = budget or MemoryBudget(create_clock(), MemoryTerms())
        self._connections = Group()
        self._server = StreamServer(
            address,
            self._handle_connection,
            backlog=BACKLOG,
            spawn=self._connections.spawn,
        )
        self._idle_sockets: set[socket.socket] = set()
        self._serving_tasks: set[gevent.Greenlet] = set()

    def start(self) -> None:
        """Open the listener."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and all idle connections.

        Connections that callers have already opened are accepted first.
        """
        gevent.sleep(ACCEPT_WAIT_S)
        self.stopped = True
        self._server.close()
        for sock in list(self._idle_sockets):
            if not has_unread_bytes(sock):
                with suppress(OSError):
                    sock.shutdown(system_socket.SHUT_RDWR)

    def has_requests(self) -> bool:
        """Return whether requests are being read or served; valid after `stop`."""
        return len(self._connections) > 0

    def fail_requests(self) -> None:
        """Answer all requests in flight with a refusal that says they may have run."""
        for task in list(self._serving_tasks):
            task.kill(NodeShutdownError, block=False)

    def abort(self) -> None:
        """Close the listener and all connections, even with requests in flight."""
        self._server.close()
        self.drop_connections()

    def drop_connections(self) -> None:
        """Close all connections, even with requests in flight."""
        self._connections.kill(block=False)

    @property
    def port(self) -> int:
        """Return the port of the listener."""
        return self._server.server_port

    def _handle_connection(self, sock: socket.socket, address: tuple) -> None:
        disable_nagle(sock)
        holding = self._budget.open(partial(shut_down_at_once, sock))
        if holding is None:
            sock.close()
            return
        watch = DisconnectWatcher(sock)
        try:
            self._serve_requests(sock, watch, address[0], holding)
        except (OSError, CallerDisconnectedError) as error:
            log.debug("caller disconnected", reason=error)
        finally:
            self._budget.release(holding)
            watch.close()
            sock.close()

    def _serve_requests(
        self,
        sock: socket.socket,
        watch: DisconnectWatcher,
        address: str,
        holding: Holding,
    ) -> None:
        parser = RequestParser()
        while True:
            request = self._read_request(sock, parser, holding)
            if request is None:
                return
            self._budget.record_progress(holding, Stage.SERVING)
            self.in_flight += 1
            try:
                reply = self._handle_request(request, address, watch)
                closes = reply.closes or not request.keep_alive or self.closing
                self._send_reply(sock, request, reply, closes, holding)
            finally:
                self.in_flight -= 1
            if closes:
                shut_down_sending(sock)
                return
            del request, reply
            self._budget.record_progress(holding, Stage.IDLE)
            self._budget.hold(holding, CONNECTION_BYTES + parser.measure())

    def _send_reply(
        self,
        sock: socket.socket,
        request: Request,
        reply: Reply,
        closes: bool,
        holding: Holding,
    ) -> None:
        """Send a reply, or close the connection if there is no room to hold it."""
        self._budget.record_progress(holding, Stage.SENDING)
        size = holding.size + len(reply.body) * BODY_COPIES
        if not self._budget.hold(holding, size):
            raise ConnectionAbortedError("no memory for the response")
        data = encode_reply(request, reply, closes)
        send_all(sock, data, SEND_TIMEOUT_S)

    def _handle_request(
        self, request: Request, address: str, watch: DisconnectWatcher
    ) -> Reply:
        task = gevent.getcurrent()
        self._serving_tasks.add(task)
        try:
            with watch:
                return self._handler(request, address)
        except NodeShutdownError:
            log.info("request aborted by the shutdown", path=request.target)
            reply = create_refusal(Code.PEER_LOST, 0)
            reply.closes = True
            return reply
        finally:
            self._serving_tasks.discard(task)

    def _read_request(
        self, sock: socket.socket, parser: RequestParser, holding: Holding
    ) -> Request | None:
        """Read the next request; return None if the connection is to be closed."""
        if parser.requests:
            # Yield to other greenlets between requests that arrived together.
            gevent.sleep(0)
        limits = self._get_limits()
        parser.max_head_bytes = limits.max_header_bytes
        start_s = time.monotonic()
        while not parser.requests:
            was_idle = parser.is_idle()
            wait_s = compute_wait_s(parser, limits, start_s)
            data = self._receive(sock, was_idle, wait_s)
            if data == b"" or (data is None and was_idle):
                return None
            if was_idle:
                start_s = time.monotonic()
            status = feed_parser(parser, data, limits)
            self._budget.record_progress(holding, Stage.READING)
            if not status and wait_s <= 0 and not parser.requests:
                status = 408
            size = CONNECTION_BYTES + parser.measure()
            if not status and not self._budget.hold(holding, size):
                status = 503
            if status:
                self._send_refusal(sock, status)
                return None
            if parser.in_body and parser.expects_continue:
                parser.expects_continue = False
                send_all(sock, CONTINUE_RESPONSE, SEND_TIMEOUT_S)
        return parser.requests.pop(0)

    def _receive(
        self, sock: socket.socket, is_idle: bool, wait_s: float
    ) -> bytes | None:
        """Receive bytes; return `b""` at the end of the stream, None at a timeout."""
        if is_idle:
            self._idle_sockets.add(sock)
        try:
            with Timeout(max(wait_s, MIN_TIMEOUT_S)):
                return receive_next(sock, RECEIVE_BYTES)
        except TimeoutError:
            # Bytes may have arrived while other greenlets ran; they still count.
            return receive_nowait(sock, RECEIVE_BYTES)
        finally:
            self._idle_sockets.discard(sock)

    def _send_refusal(self, sock: socket.socket, status: int) -> None:
        headers: Headers = []
        if status == 503:
            headers = create_refusal(Code.MEMORY_SHORT, MEMORY_RETRY_AFTER_MS).headers
        send_all(sock, encode_response(status, headers, b"", True), SEND_TIMEOUT_S)
        shut_down_sending(sock)


def compute_wait_s(parser: RequestParser, limits: Limits, start_s: float) -> float:
    """Return how long to wait for more bytes of a request that began at `start_s`.

    A pause within a body may last as long as a whole head.
    """
    if parser.is_idle():
        return limits.idle_timeout_ms / 1000
    header_s = limits.header_timeout_ms / 1000
    elapsed_s = time.monotonic() - start_s
    if parser.in_head:
        return header_s - elapsed_s
    return min(header_s, REQUEST_TIMEOUT_S - elapsed_s)


def feed_parser(parser: RequestParser, data: bytes | None, limits: Limits) -> int:
    """Parse received bytes, or None after a timeout.

    Return the status of the refusal, or 0 if the request may go on.
    """
    if data is None:
        return 408
    try:
        parser.feed(data)
    except HeadTooLargeError:
        return 431
    except MalformedMessageError as error:
        log.info("malformed request", reason=error)
        return 400
    return 413 if parser.body_bytes > limits.max_body_bytes else 0


def encode_reply(request: Request, reply: Reply, closes: bool) -> bytes:
    """Encode the reply to a request, without its body if the method is HEAD."""
    status, headers, body = reply.status, reply.headers, reply.body
    if request.method == "HEAD":
        return encode_head_response(status, headers, len(body), closes)
    return encode_response(status, headers, body, closes)


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether bytes have arrived that were not read yet."""
    try:
        return bool(sock._sock.recv(1, system_socket.MSG_PEEK))
    except OSError:
        return False


def shut_down_at_once(sock: socket.socket) -> None:
    """Shut down a connection, which wakes up the task that reads or sends on it."""
    with suppress(OSError):
        sock.shutdown(system_socket.SHUT_RDWR)


def shut_down_sending(sock: socket.socket) -> None:
    """Shut down sending, and wait for the caller to read everything and close."""
    with suppress(OSError):
        sock.shutdown(system_socket.SHUT_WR)
        with Timeout(LINGER_TIMEOUT_S):
            while receive_next(sock, RECEIVE_BYTES):
                pass


def create_refusal(code: Code, retry_after_ms: float) -> Reply:
    """Create the reply that refuses a request; 0 ms gives no Retry-After."""
    info = INFO[code]
    status = info.http_status
    if code is Code.QUARANTINED:
        status = 503
    headers = [(CODE_HEADER, str(int(code)))]
    if retry_after_ms > 0 and status in (429, 503):
        headers.append(("Retry-After", f"{retry_after_ms / 1000:.3f}"))
    if status == 401:
        headers.append(("WWW-Authenticate", "ApiKey"))
    return Reply(status, headers, b"")
