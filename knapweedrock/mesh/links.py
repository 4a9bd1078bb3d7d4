"""Links to peers: typed requests and answers over websockets with CBOR.

Each node dials one link to every peer that it sends requests to; the peer answers
on the same link.
"""

import itertools
from collections.abc import Callable
from contextlib import suppress
from typing import Any, NamedTuple

import gevent
from gevent.event import AsyncResult
from gevent.server import StreamServer
from gevent.socket import socket
from logbook import Logger
from websockets.http11 import Request, Response
from websockets.server import ServerProtocol

from knapweedrock.clock import NS_PER_MS, NS_PER_S, Clock
from knapweedrock.codes import Code, find_code
from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError, LinkError
from knapweedrock.mesh.connections import Connection, accept, dial
from knapweedrock.mesh.frames import (
    Frame,
    create_failed,
    decode_frame,
    encode_frame,
)
from knapweedrock.mesh.messages import Cancel, Done, Failed, Probe
from knapweedrock.mesh.pacing import Pacer
from knapweedrock.timers import Alarm

DIAL_TIMEOUT_MS = 400
DIAL_PAUSE_MS = 150
PROBE_AFTER_MS = 300
# With the interval of the watch a silent link ends within a second.
SILENCE_LIMIT_MS = 850
WATCH_INTERVAL_S = 0.1
NODE_HEADER = "Knapweedrock-Node"
BACKLOG = 1024

log = Logger("links")

Handler = Callable[[str, Any], Any]


class Down(NamedTuple):
    """Since when a peer has not been reached, and whether its VM refuses dials."""

    since_ns: int
    refused: bool


class Link:
    """One dialled connection to a peer, shared by all requests to it."""

    def __init__(
        self, peer: str, connection: Connection, clock: Clock, counters: Counters
    ) -> None:
        self.peer = peer
        self.closed = False
        self.received_ns = clock.now_ns()
        self.asked_ns = 0
        self.pending: dict[int, AsyncResult] = {}
        self._connection = connection
        self._received = connection.received
        self._clock = clock
        self._counters = counters
        self._numbers = itertools.count(1)
        gevent.spawn(self._read_answers)

    def request(self, message: Any, timeout_ms: float, cancels: bool) -> Any:
        """Send a request and wait for its answer; raises `LinkError`.

        With `cancels` the peer is told when nobody waits for the answer any more.
        """
        number = next(self._numbers)
        result = AsyncResult()
        if not self.pending:
            self.asked_ns = self._clock.now_ns()
        self.pending[number] = result
        answered = False
        try:
            self.send(Frame(number, False, message))
            with Alarm(max(timeout_ms, 1) / 1000):
                answer = result.get()
            answered = True
        except TimeoutError as error:
            raise LinkError(Code.PEER_LOST, f"no answer of {self.peer}") from error
        finally:
            self.pending.pop(number, None)
            if not answered and cancels and not self.closed:
                gevent.spawn(self._cancel, number)
        if isinstance(answer, Failed):
            raise LinkError(find_code(answer.code), answer.detail)
        return answer

    def send(self, frame: Frame) -> None:
        """Send a frame; raises `LinkError`."""
        data = encode_frame(frame)
        self._counters.count("link_bytes_sent", len(data))
        try:
            self._connection.send(data)
        except OSError as error:
            self.close(str(error))
            raise LinkError(Code.PEER_LOST, str(error)) from error

    def close(self, reason: str) -> None:
        """Drop the connection and fail what was waiting on it."""
        if self.closed:
            return
        self.closed = True
        self._counters.count("links_dropped")
        log.info("link lost", peer=self.peer, reason=reason)
        for result in list(self.pending.values()):
            result.set_exception(LinkError(Code.PEER_LOST, reason))
        self._connection.shut_down()

    def check_silence(self) -> None:
        """Probe a link that owes answers, and drop it if it stays silent."""
        if self._connection.received != self._received:
            # A large answer may come for a while before it is whole.
            self._received = self._connection.received
            looked_ns = self._clock.now_ns() - int(WATCH_INTERVAL_S * NS_PER_S)
            self.received_ns = max(self.received_ns, looked_ns)
        if not self.pending or self.closed:
            return
        since_ns = max(self.received_ns, self.asked_ns)
        silent_ms = (self._clock.now_ns() - since_ns) / NS_PER_MS
        if silent_ms > SILENCE_LIMIT_MS:
            self.close("silent")
        elif silent_ms > PROBE_AFTER_MS:
            with suppress(LinkError):
                self.send(Frame(0, False, Probe()))

    def _cancel(self, number: int) -> None:
        with suppress(LinkError):
            self.send(Frame(next(self._numbers), False, Cancel(number)))

    def _read_answers(self) -> None:
        reason = "closed by the peer"
        try:
            for data in self._connection.receive():
                self.received_ns = self._clock.now_ns()
                frame = decode_frame(data)
                result = self.pending.get(frame.number)
                if result is not None and frame.is_answer:
                    result.set(frame.message)
        except (LinkError, OSError) as error:
            reason = str(error)
        finally:
            self.close(reason)
            self._connection.close()


class Links:
    """All links of a node: those it dialled and those it accepted."""

    def __init__(
        self,
        node_id: str,
        address: tuple[str, int],
        clock: Clock,
        counters: Counters,
        link_mbps: float = 0.0,
    ) -> None:
        self.node_id = node_id
        self.address = address
        self.handlers: dict[type, Handler] = {Probe: lambda _sender, _message: Done()}
        self.accepted: set[Connection] = set()
        # Shares the VM's link among answers to all peers.
        self.pacer = Pacer(link_mbps, clock)
        self._clock = clock
        self._counters = counters
        self._links: dict[str, Link] = {}
        self._dialling: dict[str, AsyncResult] = {}
        self._failed_ns: dict[str, int] = {}
        self._down: dict[str, Down] = {}
        self._server = StreamServer(address, self._serve, backlog=BACKLOG)

    def start(self) -> None:
        """Open the listener and watch the links."""
        self._server.start()
        self._watcher = gevent.spawn(self._watch)

    def stop(self) -> None:
        """Close the listener and all links."""
        self._server.close()
        for connection in list(self.accepted):
            connection.shut_down()

    def abort(self) -> None:
        """Close the listener and all links at once."""
        self.stop()
        self._watcher.kill(block=False)
        for link in list(self._links.values()):
            link.close("the node ends")

    def is_up(self, peer: str) -> bool:
        """Tell whether the peer was not unreachable a moment ago."""
        link = self._links.get(peer)
        if link is not None and not link.closed:
            return True
        failed_ns = self._failed_ns.get(peer)
        if failed_ns is None:
            return True
        return self._clock.now_ns() - failed_ns > DIAL_PAUSE_MS * NS_PER_MS

    def count_unsent(self) -> int:
        """Count the bytes of answers that peers have not taken yet."""
        return sum(connection.unsent for connection in self.accepted)

    def find_down(self, peer: str) -> Down | None:
        """Return since when a peer has not been reached; None where it may be."""
        return self._down.get(peer)

    def request(
        self, peer: str, message: Any, timeout_ms: float, cancels: bool = False
    ) -> Any:
        """Send a request to a peer and return its answer.

        Raises `LinkError`: `PEER_UNREACHABLE` when it was surely not sent,
        `PEER_LOST` when it may have been handled, else the code of the refusal.
        """
        link = self._links.get(peer)
        if link is None or link.closed:
            link = self._connect(peer, timeout_ms)
        return link.request(message, timeout_ms, cancels)

    def _connect(self, peer: str, timeout_ms: float) -> Link:
        dialling = self._dialling.get(peer)
        if dialling is not None and peer in self._down:
            raise LinkError(Code.PEER_UNREACHABLE, f"{peer} is down, and dialled again")
        if dialling is not None:
            try:
                return dialling.get(timeout=max(timeout_ms, 1) / 1000)
            except gevent.Timeout as error:
                raise LinkError(Code.PEER_UNREACHABLE, "dialling") from error
        if not self.is_up(peer):
            raise LinkError(Code.PEER_UNREACHABLE, f"{peer} was just unreachable")
        result = self._dialling[peer] = AsyncResult()
        gevent.spawn(self._dial, peer, result)
        try:
            return result.get(timeout=max(timeout_ms, 1) / 1000)
        except gevent.Timeout as error:
            raise LinkError(Code.PEER_UNREACHABLE, "dialling") from error

    def _dial(self, peer: str, result: AsyncResult) -> None:
        try:
            connection = dial(peer, {NODE_HEADER: self.node_id}, DIAL_TIMEOUT_MS)
        except OSError as error:
            now_ns = self._failed_ns[peer] = self._clock.now_ns()
            since_ns = self._down.get(peer, Down(now_ns, False)).since_ns
            is_refused = isinstance(error, ConnectionRefusedError)
            self._down[peer] = Down(since_ns, is_refused)
            self._counters.count("dials_failed")
            refused = LinkError(Code.PEER_UNREACHABLE, f"{peer}: {error}")
            result.set_exception(refused)
        else:
            self._failed_ns.pop(peer, None)
            self._down.pop(peer, None)
            link = Link(peer, connection, self._clock, self._counters)
            self._links[peer] = link
            result.set(link)
        finally:
            self._dialling.pop(peer, None)

    def _watch(self) -> None:
        while True:
            gevent.sleep(WATCH_INTERVAL_S)
            for peer, link in list(self._links.items()):
                link.check_silence()
                if link.closed:
                    self._links.pop(peer, None)

    def _check(self, protocol: ServerProtocol, request: Request) -> Response | None:
        if not request.headers.get(NODE_HEADER):
            return protocol.reject(400, f"{int(Code.BAD_FRAME)}\n")
        return None

    def _serve(self, sock: socket, _address: tuple) -> None:
        try:
            connection, request = accept(sock, self._check)
        except OSError:
            self._counters.count("accepts_failed")
            return
        sender = request.headers[NODE_HEADER]
        self.accepted.add(connection)
        connection.pacer = self.pacer
        running: dict[int, gevent.Greenlet] = {}
        try:
            for data in connection.receive():
                frame = decode_frame(data)
                if isinstance(frame.message, Cancel):
                    task = running.pop(frame.message.request, None)
                    if task is not None:
                        task.kill(block=False)
                elif isinstance(frame.message, Probe):
                    self._answer(connection, Frame(frame.number, True, Done()))
                else:
                    running[frame.number] = gevent.spawn(
                        self._handle, connection, sender, frame, running
                    )
        except LinkError as error:
            log.warning("bad frame", sender=sender, reason=error.detail)
        except OSError as error:
            log.debug("link ended", sender=sender, reason=error)
        finally:
            self.accepted.discard(connection)
            for task in list(running.values()):
                task.kill(block=False)
            connection.close()

    def _handle(
        self, connection: Connection, sender: str, frame: Frame, running: dict
    ) -> None:
        try:
            answer = self.handlers[type(frame.message)](sender, frame.message)
        except KnapweedrockError as error:
            answer = create_failed(error)
        except KeyError:
            refused = LinkError(Code.BAD_FRAME, "nobody handles this message")
            answer = create_failed(refused)
        finally:
            running.pop(frame.number, None)
        self._answer(connection, Frame(frame.number, True, answer))

    def _answer(self, connection: Connection, frame: Frame) -> None:
        data = encode_frame(frame)
        self._counters.count("link_bytes_sent", len(data))
        try:
            connection.send(data)
        except OSError:
            self._counters.count("answers_unsent")
