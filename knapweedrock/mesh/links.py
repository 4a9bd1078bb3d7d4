"""Links to peers: typed requests and answers in CBOR over WebSocket.

Each node dials one link to every peer that it sends requests to; the peer answers
on the same link.
"""

import itertools
from collections.abc import Callable
from typing import Any, NamedTuple, NoReturn

import gevent
from gevent.event import AsyncResult
from gevent.server import StreamServer
from gevent.socket import socket
from logbook import Logger
from websockets.http11 import Request, Response
from websockets.server import ServerProtocol

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError, LinkError
from knapweedrock.mesh.connections import Connection, accept, dial
from knapweedrock.mesh.frames import (
    Frame,
    create_failure,
    decode_frame,
    encode_frame,
)
from knapweedrock.mesh.link import WATCH_INTERVAL_S, Link
from knapweedrock.mesh.messages import Cancel, Done, Probe, Resume
from knapweedrock.mesh.metrics import Histogram
from knapweedrock.mesh.pacing import Pacer
from knapweedrock.mesh.sessions import AnswerCache, Session

DIAL_TIMEOUT_MS = 400
# A redial gets more time, since the VM may only be slow to answer and may still be
# processing requests.
REDIAL_TIMEOUT_MS = 1000
DIAL_BACKOFF_MS = 150
# Event loop lag above which a warning is logged.
LOOP_LAG_WARNING_MS = 200
NODE_HEADER = "Knapweedrock-Node"
LISTEN_BACKLOG = 1024
STOP_POLL_S = 0.02

log = Logger("links")

Handler = Callable[[str, Any], Any]


class Outage(NamedTuple):
    """Start of a peer's outage, and whether its VM refuses connections."""

    since_ns: int
    refused: bool


class Links:
    """All links of a node, both dialled and accepted."""

    def __init__(
        self,
        node_id: str,
        address: tuple[str, int],
        clock: Clock,
        counters: Counters,
        loop_lag_ms: Histogram | None = None,
        link_mbps: float = 0.0,
    ) -> None:
        self.node_id = node_id
        self.address = address
        self.handlers: dict[type, Handler] = {Probe: lambda _sender, _message: Done()}
        self.accepted: set[Connection] = set()
        # Shares the VM's network link among answers to all peers.
        self.pacer = Pacer(link_mbps, clock)
        self._clock = clock
        self._counters = counters
        self._loop_lag_ms = loop_lag_ms or Histogram()
        self._links: dict[str, Link] = {}
        # All links share one counter, so a peer sees each number once and in order.
        self._numbers = itertools.count(1)
        self._aborted = False
        self._answers = AnswerCache(clock)
        self._sessions: dict[str, Session] = {}
        self._dialling: dict[str, AsyncResult] = {}
        self._last_failure_ns: dict[str, int] = {}
        self._outages: dict[str, Outage] = {}
        self._server = StreamServer(address, self._serve, backlog=LISTEN_BACKLOG)

    def start(self) -> None:
        """Open the listener and start watching the links."""
        self._server.start()
        self._watcher = gevent.spawn(self._watch)

    def stop(self, timeout_ms: float = 0) -> None:
        """Close listener and links once the last answers are sent, or on timeout."""
        end_ns = self._clock.now_ns() + int(timeout_ms * NS_PER_MS)
        while self._has_unsent_answers() and self._clock.now_ns() < end_ns:
            gevent.sleep(STOP_POLL_S)
        self._server.close()
        for connection in list(self.accepted):
            connection.shut_down()

    def abort(self) -> None:
        """Close the listener and all links without waiting."""
        self._aborted = True
        self.stop()
        self._watcher.kill(block=False)
        for session in list(self._sessions.values()):
            session.end()
        for link in list(self._links.values()):
            link.close("the node is stopping")

    def is_up(self, peer: str) -> bool:
        """Return whether the link to a peer is usable or may be dialled now."""
        link = self._links.get(peer)
        if link is not None and not link.closed:
            return link.is_usable()
        last_failure_ns = self._last_failure_ns.get(peer)
        if last_failure_ns is None:
            return True
        return self._clock.now_ns() - last_failure_ns > DIAL_BACKOFF_MS * NS_PER_MS

    def is_open(self, peer: str) -> bool:
        """Return whether a connection to the peer is open and not silent."""
        link = self._links.get(peer)
        return link is not None and link.is_usable()

    def count_unsent_bytes(self) -> int:
        """Return the number of answer bytes that peers have not accepted yet."""
        return sum(connection.unsent_bytes for connection in self.accepted)

    def get_outage(self, peer: str) -> Outage | None:
        """Return the current outage of a peer, or None if there is none."""
        return self._outages.get(peer)

    def request(
        self,
        peer: str,
        message: Any,
        timeout_ms: float,
        resumable: bool = False,
        interruptible: bool = False,
    ) -> Any:
        """Send a request to a peer and return its answer.

        Raises `LinkError` with `PEER_UNREACHABLE` if the request was certainly not
        handled, `PEER_LOST` if it may have been, else the code sent by the peer. See
        `Link.request` for `resumable` and `interruptible`.
        """
        end_ns = self._clock.now_ns() + int(timeout_ms * NS_PER_MS)
        link = self._links.get(peer)
        if link is None or not link.is_usable():
            link = self._connect(peer, timeout_ms)
        remaining_ms = (end_ns - self._clock.now_ns()) / NS_PER_MS
        return link.request(message, remaining_ms, resumable, interruptible)

    def _has_unsent_answers(self) -> bool:
        """Return whether any answer is not ready or not completely sent."""
        if any(session.running for session in self._sessions.values()):
            return True
        return self.count_unsent_bytes() > 0

    def _connect(self, peer: str, timeout_ms: float) -> Link:
        if self._aborted:
            raise LinkError(Code.PEER_UNREACHABLE, "the node has stopped")
        link = self._links.get(peer)
        if link is not None and link.silent:
            raise LinkError(Code.PEER_UNREACHABLE, f"{peer} is silent")
        dialling = self._dialling.get(peer)
        if dialling is not None and peer in self._outages:
            raise LinkError(
                Code.PEER_UNREACHABLE, f"{peer} is down; redial in progress"
            )
        if dialling is not None:
            try:
                return dialling.get(timeout=max(timeout_ms, 1) / 1000)
            except gevent.Timeout as error:
                raise LinkError(Code.PEER_UNREACHABLE, "dial timed out") from error
        if not self.is_up(peer):
            raise LinkError(Code.PEER_UNREACHABLE, f"last dial of {peer} just failed")
        result = self._start_dial(peer, DIAL_TIMEOUT_MS)
        try:
            return result.get(timeout=max(timeout_ms, 1) / 1000)
        except gevent.Timeout as error:
            raise LinkError(Code.PEER_UNREACHABLE, "dial timed out") from error

    def _start_dial(self, peer: str, timeout_ms: float) -> AsyncResult:
        result = self._dialling[peer] = AsyncResult()
        gevent.spawn(self._dial, peer, result, timeout_ms)
        return result

    def _dial(self, peer: str, result: AsyncResult, timeout_ms: float) -> None:
        try:
            connection = dial(peer, {NODE_HEADER: self.node_id}, timeout_ms)
        except OSError as error:
            self._record_dial_failure(peer, error)
            refused = LinkError(Code.PEER_UNREACHABLE, f"{peer}: {error}")
            result.set_exception(refused)
        else:
            self._last_failure_ns.pop(peer, None)
            self._outages.pop(peer, None)
            result.set(self._use_connection(peer, connection))
        finally:
            self._dialling.pop(peer, None)

    def _record_dial_failure(self, peer: str, error: OSError) -> None:
        now_ns = self._last_failure_ns[peer] = self._clock.now_ns()
        since_ns = self._outages.get(peer, Outage(now_ns, False)).since_ns
        is_refused = isinstance(error, ConnectionRefusedError)
        self._outages[peer] = Outage(since_ns, is_refused)
        self._counters.count("dials_failed")
        link = self._links.get(peer)
        if is_refused and link is not None:
            link.handle_refused_dial()

    def _use_connection(self, peer: str, connection: Connection) -> Link:
        """Put a new connection to use and return the link to its peer."""
        link = self._links.get(peer)
        if link is None or link.closed:
            link = Link(
                peer,
                connection,
                self._clock,
                self._counters,
                self._numbers,
                self._redial_if_unusable,
            )
            self._links[peer] = link
        elif link.is_usable():
            # The previous connection has received data again meanwhile.
            connection.close()
        else:
            link.resume(connection)
        return link

    def _watch(self) -> None:
        while True:
            self._sleep_and_record_lag()
            for peer, link in list(self._links.items()):
                link.check_silence()
                if link.closed:
                    self._links.pop(peer, None)
                else:
                    self._redial_if_unusable(link)

    def _redial_if_unusable(self, link: Link) -> None:
        """Redial the peer of a link that is disconnected or silent."""
        peer = link.peer
        if link.is_usable():
            self._outages.pop(peer, None)
            return
        last_failure_ns = self._last_failure_ns.get(peer, 0)
        since_failure_ms = (self._clock.now_ns() - last_failure_ns) / NS_PER_MS
        if peer not in self._dialling and since_failure_ms > DIAL_BACKOFF_MS:
            self._start_dial(peer, REDIAL_TIMEOUT_MS)

    def _sleep_and_record_lag(self) -> None:
        """Sleep until the next check of the links, and record the event loop lag."""
        start_ns = self._clock.now_ns()
        gevent.sleep(WATCH_INTERVAL_S)
        slept_ms = (self._clock.now_ns() - start_ns) / NS_PER_MS
        lag_ms = slept_ms - WATCH_INTERVAL_S * 1000
        self._loop_lag_ms.observe(lag_ms)
        if lag_ms > LOOP_LAG_WARNING_MS:
            log.warning("event loop late", ms=round(lag_ms))

    def _check_handshake(
        self, protocol: ServerProtocol, request: Request
    ) -> Response | None:
        if not request.headers.get(NODE_HEADER):
            return protocol.reject(400, f"{int(Code.BAD_FRAME)}\n")
        return None

    def _serve(self, sock: socket, _address: tuple) -> None:
        try:
            connection, request = accept(sock, self._check_handshake)
        except OSError:
            self._counters.count("accepts_failed")
            return
        sender = request.headers[NODE_HEADER]
        self.accepted.add(connection)
        connection.pacer = self.pacer
        try:
            self._read_requests(sender, connection)
        except LinkError as error:
            log.warning("bad frame", sender=sender, reason=error.detail)
        except OSError as error:
            log.debug("link ended", sender=sender, reason=error)
        finally:
            self.accepted.discard(connection)
            connection.close()
            if sender in self._sessions:
                self._sessions[sender].handle_disconnect(
                    connection, self._clock.now_ns()
                )

    def _read_requests(self, sender: str, connection: Connection) -> None:
        """Read requests from a connection until it ends or is replaced."""
        session: Session | None = None
        for data in connection.receive():
            frame = decode_frame(data)
            if session is None:
                session = self._resume_session(sender, connection, frame)
            elif session.connection is connection:
                self._handle_frame(session, connection, frame)
            if session is None or session.connection is not connection:
                return

    def _resume_session(
        self, sender: str, connection: Connection, frame: Frame
    ) -> Session | None:
        """Resume a peer's session; return None if a newer connection has resumed it."""
        if not isinstance(frame.message, Resume):
            raise LinkError(Code.BAD_FRAME, "expected Resume as the first request")
        session = self._get_session(sender)
        if not session.may_resume(frame.number):
            return None
        awaited = frame.message.awaited
        if session.running:
            log.info("link resumed", sender=sender, awaited=len(awaited))
        resumed = session.resume(connection, frame.number, awaited)
        self._send_answer(connection, Frame(frame.number, True, resumed))
        for answer in session.list_answers(awaited):
            self._send_answer(connection, answer)
        return session

    def _get_session(self, sender: str) -> Session:
        """Return the session of a peer's process; delete expired sessions."""
        now_ns = self._clock.now_ns()
        for other, session in list(self._sessions.items()):
            if session.is_expired(now_ns):
                del self._sessions[other]
        return self._sessions.setdefault(sender, Session(sender, self._answers))

    def _handle_frame(
        self, session: Session, connection: Connection, frame: Frame
    ) -> None:
        session.record_request(frame.number)
        message = frame.message
        if isinstance(message, Cancel):
            session.cancel(message.request)
            self._send_answer(connection, Frame(frame.number, True, Done()))
        elif isinstance(message, Probe):
            self._send_answer(connection, Frame(frame.number, True, Done()))
        else:
            task = gevent.spawn(self._run_handler, session, frame)
            session.running[frame.number] = task

    def _run_handler(self, session: Session, frame: Frame) -> None:
        handler = self.handlers.get(type(frame.message), refuse_unknown)
        try:
            answer = handler(session.sender, frame.message)
        except KnapweedrockError as error:
            answer = create_failure(error)
        finally:
            session.running.pop(frame.number, None)
        answered = Frame(frame.number, True, answer)
        self._answers.add(session.sender, answered)
        if session.connection is not None:
            self._send_answer(session.connection, answered)

    def _send_answer(self, connection: Connection, frame: Frame) -> None:
        data = encode_frame(frame)
        self._counters.count("link_bytes_sent", len(data))
        try:
            connection.send(data)
        except OSError:
            self._counters.count("answers_unsent")


def refuse_unknown(_sender: str, _message: Any) -> NoReturn:
    """Refuse a message that has no handler."""
    raise LinkError(Code.BAD_FRAME, "no handler for this type of message")
