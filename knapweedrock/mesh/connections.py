"""Connections of links: the WebSocket protocol on a gevent socket.

A single task reads from a connection; any task may send on it.
"""

from collections.abc import Callable, Iterator
from contextlib import suppress
from socket import SHUT_RDWR

import gevent
from gevent import socket
from logbook import Logger
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidState, WebSocketException
from websockets.frames import Opcode
from websockets.http11 import Request, Response
from websockets.protocol import OPEN, Event, Protocol
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from knapweedrock.codes import Code
from knapweedrock.errors import LinkError
from knapweedrock.mesh.pacing import Pacer
from knapweedrock.sockets import disable_nagle, receive_next, set_unacked_timeout
from knapweedrock.timers import Timeout

MAX_FRAME_BYTES = 16 << 20
RECEIVE_BYTES = 64 << 10
# Bytes read at a time in the handshake: the websockets library is slow at parsing a
# rejection whose body has many small chunks.
HANDSHAKE_RECEIVE_BYTES = 4 << 10
HANDSHAKE_TIMEOUT_MS = 1000
# Time within which the other end must accept at least some of the pending bytes.
SEND_STALL_TIMEOUT_S = 5.0
CONTROL_FRAMES = frozenset({Opcode.CLOSE, Opcode.PING, Opcode.PONG})

log = Logger("links")

HandshakeCheck = Callable[[ServerProtocol, Request], Response | None]


class Connection:
    """Connection to a peer."""

    def __init__(self, sock: socket.socket, protocol: Protocol) -> None:
        self._sock = sock
        # Bytes received so far, including those of incomplete frames.
        self.received_bytes = 0
        # Bytes that wait for the other end to accept them.
        self.unsent_bytes = 0
        # Shares the VM's network link among its connections; None sends without pacing.
        self.pacer: Pacer | None = None
        self._protocol = protocol
        # True while a task sends data that the kernel did not accept immediately.
        self._draining = False
        # Tasks whose frames wait for their turn on the VM's network link.
        self._paced_sends: set[gevent.Greenlet] = set()
        self._events: list[Event] = []

    def send(self, data: bytes) -> None:
        """Send a frame without waiting for the other end; raises `OSError`.

        A long frame waits for its turn on the VM's network link in a separate task.
        """
        self.unsent_bytes += len(data)
        if self._is_long(data):
            task = gevent.spawn(self._send_paced, data)
            self._paced_sends.add(task)
            task.link(self._paced_sends.discard)
            return
        if self.pacer is not None:
            self.pacer.wait_turn(len(data))
        self._send_now(data)

    def receive(self) -> Iterator[bytes]:
        """Yield the data of each frame until the connection ends.

        Raises `OSError`, and `LinkError` with `BAD_FRAME` for a data frame that is not
        binary or is fragmented.
        """
        is_open = True
        while is_open:
            events, self._events = self._events, []
            for event in events:
                if event.opcode is Opcode.BINARY and event.fin:
                    yield event.data
                elif event.opcode not in CONTROL_FRAMES:
                    raise LinkError(Code.BAD_FRAME, "expected a complete binary frame")
            is_open = self._receive_data()

    def fileno(self) -> int:
        """Return the file descriptor of the socket, or -1 once it is closed."""
        return self._sock.fileno()

    def shut_down(self) -> None:
        """Shut down the connection without waiting for the other end.

        The reading task wakes up and closes the socket. If the socket were closed here,
        the event loop would still watch its descriptor and abort the process.
        """
        for task in list(self._paced_sends):
            task.kill(block=False)
        with suppress(OSError):
            self._sock.shutdown(SHUT_RDWR)

    def close(self) -> None:
        """Close the socket; only the reading task may do so."""
        self.shut_down()
        self._sock.close()

    def open(self, request: Request) -> None:
        """Send the handshake request and check the response."""
        self._protocol.send_request(request)
        self._flush()
        self._receive_handshake()

    def accept(self, check: HandshakeCheck) -> Request:
        """Answer a handshake request, which `check` may reject, and return it."""
        request = self._receive_handshake()
        response = check(self._protocol, request) or self._protocol.accept(request)
        self._protocol.send_response(response)
        self._flush()
        if self._protocol.state is not OPEN:
            raise ConnectionError(
                f"handshake rejected with status {response.status_code}"
            )
        return request

    def _receive_handshake(self) -> Event:
        """Receive the first event, which is the handshake of the other end."""
        while not self._events:
            is_open = self._receive_data(HANDSHAKE_RECEIVE_BYTES)
            if self._protocol.handshake_exc is not None:
                raise self._protocol.handshake_exc
            if not is_open:
                raise ConnectionError("connection closed during the handshake")
        return self._events.pop(0)

    def _receive_data(self, size: int = RECEIVE_BYTES) -> bool:
        """Receive some bytes and return whether more may follow."""
        data = receive_next(self._sock, size)
        if not data:
            return False
        self.received_bytes += len(data)
        protocol = self._protocol
        protocol.receive_data(data)
        self._events += protocol.events_received()
        if protocol.writes:
            self._flush()
        return not protocol.close_expected()

    def _send_now(self, data: bytes) -> None:
        try:
            self._protocol.send_binary(data)
        except InvalidState as error:
            raise ConnectionError(str(error)) from error
        self._flush()

    def _send_paced(self, data: bytes) -> None:
        self.pacer.wait_turn(len(data))
        try:
            self._send_now(data)
        except OSError as error:
            log.debug("connection broken", reason=error)

    def _is_long(self, data: bytes | memoryview) -> bool:
        return self.pacer is not None and self.pacer.is_long(len(data))

    def _flush(self) -> None:
        """Send the protocol's pending data unless a task is already sending it.

        Data that the kernel does not accept immediately is sent by a task, because the
        caller may have less time than the other end needs to read.
        """
        if self._draining:
            return
        while pieces := self._protocol.data_to_send():
            data = b"".join(pieces)
            sent = 0 if self._is_long(data) else self._send_nonblocking(data)
            if sent < len(data):
                self._draining = True
                gevent.spawn(self._drain, memoryview(data)[sent:])
                return

    def _send_nonblocking(self, data: bytes) -> int:
        """Send as much as the kernel accepts now; shut down a broken connection."""
        try:
            sent = self._sock._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            self.shut_down()
            raise
        self._record_sent(sent)
        return sent

    def _drain(self, data: memoryview) -> None:
        """Send the remaining data and all data that is added meanwhile."""
        try:
            while data:
                pieces = (data,) if self.pacer is None else self.pacer.slice_data(data)
                for piece in pieces:
                    self._send_piece(piece)
                data = memoryview(b"".join(self._protocol.data_to_send()))
        except OSError as error:
            log.debug("connection broken", reason=error)
            self.shut_down()
        finally:
            self._draining = False

    def _send_piece(self, piece: memoryview) -> None:
        while piece:
            with Timeout(SEND_STALL_TIMEOUT_S):
                sent = self._sock.send(piece)
            self._record_sent(sent)
            piece = piece[sent:]

    def _record_sent(self, size: int) -> None:
        self.unsent_bytes = max(0, self.unsent_bytes - size)


def dial(address: str, headers: dict[str, str], timeout_ms: float) -> Connection:
    """Open a connection to a peer; raises `OSError`."""
    uri = parse_uri(f"ws://{address}/")
    protocol = ClientProtocol(uri, max_size=MAX_FRAME_BYTES)
    request = protocol.connect()
    request.headers.update(headers)
    with gevent.Timeout(
        timeout_ms / 1000, TimeoutError("no handshake response in time")
    ):
        sock = socket.create_connection((uri.host, uri.port))
        try:
            disable_nagle(sock)
            set_unacked_timeout(sock)
            connection = Connection(sock, protocol)
            connection.open(request)
        except WebSocketException as error:
            sock.close()
            raise ConnectionError(str(error)) from error
        except BaseException:
            sock.close()
            raise
    return connection


def accept(sock: socket.socket, check: HandshakeCheck) -> tuple[Connection, Request]:
    """Accept a connection from a peer; raises `OSError` if the handshake fails."""
    disable_nagle(sock)
    set_unacked_timeout(sock)
    connection = Connection(sock, ServerProtocol(max_size=MAX_FRAME_BYTES))
    timeout = TimeoutError("no handshake request in time")
    try:
        with gevent.Timeout(HANDSHAKE_TIMEOUT_MS / 1000, timeout):
            return connection, connection.accept(check)
    except WebSocketException as error:
        raise ConnectionError(str(error)) from error
