"""A link to one peer: typed requests and answers in CBOR over WebSocket."""

import itertools
from collections.abc import Callable, Iterator
from typing import Any

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, NS_PER_S, Clock
from knapweedrock.codes import Code, parse_code
from knapweedrock.counters import Counters
from knapweedrock.errors import LinkError
from knapweedrock.mesh.calls import Call
from knapweedrock.mesh.connections import Connection
from knapweedrock.mesh.frames import Frame, decode_frame, encode_frame
from knapweedrock.mesh.messages import Cancel, Failed, Probe, Resume, Resumed
from knapweedrock.mesh.sessions import RESUME_TIMEOUT_MS

PROBE_AFTER_MS = 300
SILENCE_LIMIT_MS = 750
# Silence after which callers are interrupted. Until then a new connection may replace
# the silent one. Including the interval of the watch, the interruption comes within a
# second.
INTERRUPT_AFTER_MS = 900
WATCH_INTERVAL_S = 0.1
# Time after which requests on a silent connection are given up.
SILENT_LINK_TIMEOUT_MS = 3500
# Time within which the peer must confirm that a request is cancelled.
CANCEL_TIMEOUT_MS = 3000

log = Logger("links")


class Link:
    """All requests to one peer, which share one connection at a time.

    If the connection is lost or silent, resumable requests wait for the next one.
    """

    def __init__(
        self,
        peer: str,
        connection: Connection,
        clock: Clock,
        counters: Counters,
        numbers: Iterator[int] | None = None,
        redial: Callable[["Link"], None] = lambda _link: None,
    ) -> None:
        """Create a link; `numbers` numbers requests, `redial` reconnects the link."""
        self.peer = peer
        self.closed = False
        self.silent = False
        self.pending: dict[int, Call] = {}
        self.last_received_ns = self.awaiting_since_ns = self._lost_ns = 0
        self._connection: Connection | None = None
        self._received_bytes = 0
        self._clock = clock
        self._counters = counters
        self._numbers = numbers or itertools.count(1)
        self._redial = redial
        self.resume(connection)

    def is_usable(self) -> bool:
        """Return whether requests can be sent now."""
        return self._connection is not None and not self.silent and not self.closed

    def request(
        self,
        message: Any,
        timeout_ms: float,
        resumable: bool,
        interruptible: bool = False,
    ) -> Any:
        """Send a request and wait for its answer; raises `LinkError`.

        A `resumable` request survives the loss of its connection, and is cancelled at
        the peer when the caller stops waiting. An `interruptible` request raises
        `SilentLinkError` if the link falls silent.
        """
        if not self.is_usable():
            raise LinkError(
                Code.PEER_UNREACHABLE, f"connection to {self.peer} was just lost"
            )
        call = Call(next(self._numbers), resumable, interruptible, self._finish)
        if not self.pending:
            self.awaiting_since_ns = self._clock.now_ns()
        self.pending[call.number] = call
        self._send(Frame(call.number, False, message))
        return call.wait(timeout_ms)

    def resume(self, connection: Connection) -> None:
        """Continue on a new connection and ask the peer to resume pending requests."""
        previous, self._connection = self._connection, connection
        if previous is not None:
            previous.shut_down()
        self.silent = False
        self.last_received_ns = self.awaiting_since_ns = self._clock.now_ns()
        self._received_bytes = connection.received_bytes
        self._send(Frame(next(self._numbers), False, Resume(list(self.pending))))
        gevent.spawn(self._read_answers, connection)

    def handle_refused_dial(self) -> None:
        """Close a disconnected link after a refused dial.

        An open connection is kept, as answers sent earlier may still arrive on it.
        """
        if self._connection is None:
            self.close("connection refused")

    def close(self, reason: str) -> None:
        """Close the link for good and fail its pending requests."""
        if self.closed:
            return
        self._log_lost(reason)
        self.closed = True
        for call in list(self.pending.values()):
            call.fail(Code.PEER_LOST, reason)
        if self._connection is not None:
            self._connection.shut_down()

    def check_silence(self) -> None:
        """Probe a peer that falls silent while requests are pending, then handle it."""
        self._record_received_bytes()
        if self.closed:
            return
        if not self.is_usable():
            self._handle_unusable()
            return
        if not self.pending:
            return
        silent_ms = self.get_silent_ms()
        if silent_ms > SILENCE_LIMIT_MS:
            self._handle_silence()
        elif silent_ms > PROBE_AFTER_MS:
            self._send(Frame(0, False, Probe()))

    def get_silent_ms(self) -> float:
        """Return for how long the peer has sent nothing while requests were pending."""
        since_ns = max(self.last_received_ns, self.awaiting_since_ns)
        return (self._clock.now_ns() - since_ns) / NS_PER_MS

    def _record_received_bytes(self) -> None:
        """Record that bytes were received, also those of an incomplete answer."""
        connection = self._connection
        if connection is None or connection.received_bytes == self._received_bytes:
            return
        self._received_bytes = connection.received_bytes
        last_check_ns = self._clock.now_ns() - int(WATCH_INTERVAL_S * NS_PER_S)
        self.last_received_ns = max(self.last_received_ns, last_check_ns)
        if self.silent:
            log.info("link heard again", peer=self.peer)
            self.silent = False

    def _handle_silence(self) -> None:
        self._fail_unresumable("silent")
        if not self._has_resumable():
            self.close("silent")
            return
        self._log_lost("silent")
        self.silent = True
        self._lost_ns = self._clock.now_ns()
        self._redial(self)

    def _handle_disconnect(self, connection: Connection, reason: str) -> None:
        """Redial after the loss of a connection, or close the link."""
        if self.closed or connection is not self._connection:
            return
        self._connection = None
        self._fail_unresumable(reason)
        if not self._has_resumable():
            self.close(reason)
            return
        self._log_lost(reason)
        self._lost_ns = self._clock.now_ns()
        self._redial(self)

    def _handle_unusable(self) -> None:
        """Interrupt callers that may try another peer; close the link on timeout."""
        if self.get_silent_ms() > INTERRUPT_AFTER_MS:
            for call in list(self.pending.values()):
                call.interrupt()
        lost_ms = (self._clock.now_ns() - self._lost_ns) / NS_PER_MS
        # The peer notices a lost connection too, and cancels its requests by then.
        timeout_ms = (
            RESUME_TIMEOUT_MS if self._connection is None else SILENT_LINK_TIMEOUT_MS
        )
        if not self.pending or lost_ms > timeout_ms:
            self.close("peer not reconnected in time")

    def _fail_unresumable(self, reason: str) -> None:
        """Fail all pending requests that are not resumable."""
        for call in list(self.pending.values()):
            if not call.resumable:
                call.fail(Code.PEER_LOST, reason)

    def _has_resumable(self) -> bool:
        return any(call.resumable for call in self.pending.values())

    def _log_lost(self, reason: str) -> None:
        self._counters.count("links_dropped")
        connection = self._connection
        log.info(
            "link lost",
            peer=self.peer,
            reason=reason,
            pending=len(self.pending),
            silent_ms=round(self.get_silent_ms()),
            unsent=connection.unsent_bytes if connection else 0,
        )

    def _send(self, frame: Frame) -> None:
        """Send a frame; treat an error as the loss of the connection."""
        connection = self._connection
        if connection is None:
            return
        data = encode_frame(frame)
        self._counters.count("link_bytes_sent", len(data))
        try:
            connection.send(data)
        except OSError as error:
            self._handle_disconnect(connection, str(error))

    def _finish(self, call: Call, answered: bool) -> None:
        """Remove a request, and cancel it at the peer if it is still unanswered."""
        if self.pending.pop(call.number, None) is None:
            return
        if call.resumable and not answered and not self.closed:
            gevent.spawn(self._cancel, call.number)

    def _cancel(self, number: int) -> None:
        """Cancel a request at the peer, also after a reconnect."""
        call = Call(next(self._numbers), resumable=True)
        self.pending[call.number] = call
        self._send(Frame(call.number, False, Cancel(number)))
        try:
            call.wait(CANCEL_TIMEOUT_MS)
        except LinkError as error:
            log.debug("cancellation not confirmed", reason=error.detail)
        finally:
            self.pending.pop(call.number, None)

    def _handle_resumed(self, resumed: Resumed) -> None:
        """Fail the requests that the peer will not answer."""
        for number in resumed.never_received:
            self._fail(number, Code.PEER_UNREACHABLE, "the peer never received it")
        for number in resumed.unknown:
            self._fail(number, Code.PEER_LOST, "the peer has no record of it")

    def _fail(self, number: int, code: Code, reason: str) -> None:
        call = self.pending.get(number)
        if call is not None:
            call.fail(code, reason)

    def _read_answers(self, connection: Connection) -> None:
        reason = "closed by the peer"
        try:
            for data in connection.receive():
                self._handle_frame(connection, decode_frame(data))
        except (LinkError, OSError) as error:
            reason = str(error)
        finally:
            self._handle_disconnect(connection, reason)
            connection.close()

    def _handle_frame(self, connection: Connection, frame: Frame) -> None:
        if connection is self._connection:
            self.last_received_ns = self._clock.now_ns()
        if isinstance(frame.message, Resumed):
            self._handle_resumed(frame.message)
            return
        call = self.pending.get(frame.number)
        if call is None or not frame.is_answer:
            return
        if isinstance(frame.message, Failed):
            call.fail(parse_code(frame.message.code), frame.message.detail)
        else:
            call.complete(frame.message)
