"""Connections of callers: time limits, bounds and numbered answers to bad HTTP."""

import socket
import time

import gevent
from gevent.pywsgi import Input, WSGIServer

from knapweedrock.callers.answers import Answer, create_refusal, encode_answer
from knapweedrock.callers.departures import DepartureWatch
from knapweedrock.callers.heads import Head, read_head
from knapweedrock.codes import Code
from knapweedrock.environment import Environment
from knapweedrock.errors import RefusalError
from knapweedrock.sockets import NoDelayHandler, send_whole

IDLE_S = 60
HEADERS_S = 5
SEND_S = 30
SWEEP_S = 1
LINGER_S = 1
LINGER_BYTES = 32 * 1024 * 1024
READ_BYTES = 64 * 1024
MAX_CONNECTIONS = 4096
DRAIN_PAUSE_S = 0.01
MS_PER_S = 1000


class CallerHandler(NoDelayHandler):
    """Handler of one caller's connection.

    `since_s` and `limit_s` say for how long it may stay as it is; a limit of 0 is
    none, since the request's deadline bounds it.
    """

    since_s = 0.0
    limit_s = 0.0
    head: Head
    departure: DepartureWatch
    busy = False
    abandoned = False
    refusal: RefusalError | None = None

    def handle(self) -> None:
        """Serve the connection, or refuse it when there are too many."""
        server = self.server
        if len(server.handlers) >= MAX_CONNECTIONS:
            self._send_error(Code.OVERLOADED, "too many connections")
            self.socket.close()
            return
        server.handlers.add(self)
        self.departure = DepartureWatch(self.socket)
        try:
            super().handle()
        finally:
            self.departure.close()
            server.handlers.discard(self)

    def handle_one_request(self):
        """Serve one request; what can't be read gets a numbered answer."""
        self.busy = False
        self.abandoned = False
        self.refusal = None
        self.since_s, self.limit_s = time.monotonic(), IDLE_S
        self.socket.settimeout(None)
        result = super().handle_one_request()
        if isinstance(result, tuple):
            error = self.refusal or RefusalError(Code.BAD_REQUEST, "line too long")
            self._send_error(error.code, error.detail)
            self._linger()
            return None
        if self.abandoned:
            self._linger()
            return None
        return result

    def read_request(self, raw_requestline: str) -> bool:
        """Read the head within its time."""
        self.busy = True
        self.since_s, self.limit_s = time.monotonic(), HEADERS_S + SWEEP_S
        self.socket.settimeout(HEADERS_S)
        self.head = head = read_head(raw_requestline, self.rfile)
        self.limit_s = 0
        self.command = head.method
        self.request_version = f"HTTP/1.{head.minor}"
        asked = head.fields.get("connection", "").lower()
        self.close_connection = asked == "close" or (
            head.minor == 0 and asked != "keep-alive"
        )
        return True

    def get_environ(self) -> dict:
        """Create what the application reads: this handler and the body's stream."""
        head = self.head
        expects = head.fields.get("expect", "").lower() == "100-continue"
        self.wsgi_input = Input(
            self.rfile,
            head.length,
            socket=self.socket if expects else None,
            chunked_input=head.chunked,
        )
        return {"knapweedrock.handler": self, "wsgi.input": self.wsgi_input}

    def has_unread_body(self) -> bool:
        """Tell whether the caller may still send parts of a body."""
        stream = self.wsgi_input
        if stream.chunked_input:
            return stream.chunk_length != 0
        return stream.position < (stream.content_length or 0)

    def abandon_body(self) -> None:
        """Leave the rest of the body unread and close after the answer."""
        self.abandoned = True
        self.close_connection = True
        self.wsgi_input._chunked_input_error = True

    def start_response(self, status: str, headers: list, exc_info=None):
        """Keep the head of the answer until its body is there."""
        self.status = status
        self.code = int(status[:3])
        self.response_headers = headers
        return self.write

    def process_result(self) -> None:
        """Send the answer's head and body in one write."""
        answer = Answer(self.status, self.response_headers, b"".join(self.result))
        data = encode_answer(answer, self.close_connection)
        self.response_length += len(data)
        send_whole(self.socket, data, SEND_S)

    def log_request(self) -> None:
        """Write no line for a request."""

    def log_error(self, msg: str, *args: object) -> None:
        """Write no line for bad input; it is counted."""

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if isinstance(ex, RefusalError):
            self.refusal = ex
        else:
            self.refusal = RefusalError(Code.BAD_REQUEST, str(ex))
        return ("400", b"")

    def _send_error_response_if_possible(self, error_code: int) -> None:
        self.close_connection = True
        self.abandoned = True
        if not self.response_length:
            code = Code.BAD_REQUEST if error_code < 500 else Code.INTERNAL
            self._send_error(code, "")

    def _send_error(self, code: Code, detail: str) -> None:
        self.server.env.counters.count("caller_refusals", code=code.name)
        try:
            self.socket.sendall(encode_answer(create_refusal(code, detail), True))
        except OSError:
            self.close_connection = True

    def _linger(self) -> None:
        """Take in what the caller still sends, so that it can read the answer."""
        read = 0
        try:
            self.socket.shutdown(socket.SHUT_WR)
            with gevent.Timeout(LINGER_S, False):
                while read < LINGER_BYTES:
                    piece = self.socket.recv(READ_BYTES)
                    if not piece:
                        return
                    read += len(piece)
        except OSError:
            return


class CallerServer(WSGIServer):
    """HTTP server for callers that finishes what is in flight when stopped."""

    def __init__(self, env: Environment, application) -> None:
        super().__init__(
            tuple(env.settings.caller),
            application,
            handler_class=CallerHandler,
            log=None,
            error_log=None,
        )
        self.env = env
        self.handlers: set[CallerHandler] = set()
        self.draining = False
        self._sweeper: gevent.Greenlet | None = None

    def count_busy(self) -> int:
        """Count the connections with a request in flight."""
        return sum(1 for handler in self.handlers if handler.busy)

    def start(self) -> None:
        """Open the listener."""
        super().start()
        self._sweeper = gevent.spawn(self._sweep)

    def stop(self, timeout: float | None = None) -> None:
        """Take no new connection, finish the requests in flight, then close."""
        wait_s = self.env.settings.drain_ms / MS_PER_S if timeout is None else timeout
        self.draining = True
        self.close()
        with gevent.Timeout(wait_s, False):
            while self.count_busy():
                gevent.sleep(DRAIN_PAUSE_S)
        for handler in list(self.handlers):
            close_quietly(handler.socket)
        if self._sweeper is not None:
            self._sweeper.kill(block=False)
        super().stop(0)

    def _sweep(self) -> None:
        """Close the connections that are idle or slow beyond their limit.

        One task for all costs less than a timer for each request.
        """
        while True:
            gevent.sleep(SWEEP_S)
            now_s = time.monotonic()
            for handler in list(self.handlers):
                if handler.limit_s and now_s - handler.since_s > handler.limit_s:
                    self.env.counters.count("caller_connections_swept")
                    close_quietly(handler.socket)


def close_quietly(sock: socket.socket) -> None:
    """Shut a socket down, whatever its state."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
