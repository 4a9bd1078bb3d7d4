"""Links to peers: typed requests and answers over websockets with CBOR.

Each node dials one link to every peer that it sends requests to; the peer answers
on the same link.
"""

import hmac
import itertools
import random
from typing import TYPE_CHECKING, Any, NamedTuple

import gevent
from gevent.event import AsyncResult
from gevent.lock import RLock
from gevent.server import StreamServer
from gevent.socket import socket
from greenlet import greenlet
from websockets.http11 import Request, Response
from websockets.server import ServerProtocol

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError, LinkError
from knapweedrock.nodes.connections import Connection, accept, dial
from knapweedrock.nodes.frames import (
    Frame,
    create_failed,
    decode_frame,
    encode_frame,
)
from knapweedrock.nodes.handlers import Sender, dispatch
from knapweedrock.nodes.messages import Cancel, Deliver, Failed, Probe
from knapweedrock.timers import Alarm

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

DIAL_TIMEOUT_MS = 400
DIAL_BACKOFF_MIN_MS = 50
DIAL_BACKOFF_MAX_MS = 500
SILENCE_PROBE_MS = 300
SILENCE_LIMIT_MS = 700
WATCH_INTERVAL_MS = 100
NODE_HEADER = "Knapweedrock-Node"
INCARNATION_HEADER = "Knapweedrock-Incarnation"


class Link:
    """One dialled connection to a peer, shared by all requests to it."""

    def __init__(
        self, env: "Environment", node_id: str, connection: Connection
    ) -> None:
        self.env = env
        self.node_id = node_id
        self.connection = connection
        self.closed = False
        self.last_received_ns = env.clock.now_ns()
        self.numbers = itertools.count(1)
        self.pending: dict[int, AsyncResult] = {}
        self.reader = gevent.spawn(self._read_answers)
        self.watcher = gevent.spawn(self._watch_silence)

    def request(self, message: Any, timeout_ms: float) -> Any:
        """Send a request and wait for its answer."""
        number = next(self.numbers)
        result = AsyncResult()
        self.pending[number] = result
        answered = False
        try:
            self._send(Frame(number, False, message))
            with Alarm(max(timeout_ms, 1) / 1000):
                answer = result.get()
            answered = True
        except TimeoutError as error:
            raise LinkError(Code.PEER_LOST, f"no answer of {self.node_id}") from error
        finally:
            self.pending.pop(number, None)
            if not answered and isinstance(message, Deliver) and not self.closed:
                gevent.spawn(self._cancel, number)
        if isinstance(answer, Failed):
            raise LinkError(Code(answer.code), answer.detail)
        return answer

    def close(self, reason: str) -> None:
        """Drop the connection and fail what was waiting on it."""
        if self.closed:
            return
        self.closed = True
        self.env.counters.count("links_dropped")
        for result in list(self.pending.values()):
            result.set_exception(LinkError(Code.PEER_LOST, reason))
        self.connection.shut_down()
        self.watcher.kill(block=False)

    def _cancel(self, number: int) -> None:
        try:
            self._send(Frame(next(self.numbers), False, Cancel(number)))
        except LinkError:
            return

    def _send(self, frame: Frame) -> None:
        if self.env.faults.drops_send(self.node_id):
            return
        data = encode_frame(frame)
        self.env.counters.count("link_bytes_sent", len(data))
        try:
            self.connection.send(data)
        except OSError as error:
            self.close(str(error))
            raise LinkError(Code.PEER_LOST, str(error)) from error

    def _read_answers(self) -> None:
        reason = "the peer closed the link"
        try:
            for data in self.connection.receive():
                if self.env.faults.drops_receive(self.node_id):
                    continue
                self.last_received_ns = self.env.clock.now_ns()
                frame = decode_frame(data)
                result = self.pending.get(frame.number)
                if result is not None and frame.is_answer:
                    result.set(frame.message)
        except LinkError as error:
            self.env.counters.count("bad_frames")
            reason = str(error)
        except OSError as error:
            reason = str(error)
        finally:
            self.close(reason)
            self.connection.close()

    def _watch_silence(self) -> None:
        while not self.closed:
            gevent.sleep(WATCH_INTERVAL_MS / 1000)
            if not self.pending:
                self.last_received_ns = max(
                    self.last_received_ns,
                    self.env.clock.now_ns() - SILENCE_PROBE_MS * NS_PER_MS,
                )
                continue
            silent_ms = (self.env.clock.now_ns() - self.last_received_ns) / NS_PER_MS
            if silent_ms > SILENCE_LIMIT_MS:
                self.env.counters.count("links_silent")
                gevent.spawn(self.close, "the link was silent")
                return
            if silent_ms > SILENCE_PROBE_MS:
                gevent.spawn(self._probe)

    def _probe(self) -> None:
        try:
            self._send(Frame(0, False, Probe()))
        except LinkError:
            return


class Dial(NamedTuple):
    """When a peer may be dialled again, and the last pause."""

    not_before_ns: int
    pause_ms: float


class Links:
    """All links of a node: those it dialled and those it accepted."""

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.links: dict[tuple[str, str], Link] = {}
        self.dials: dict[tuple[str, str], Dial] = {}
        self.locks: dict[tuple[str, str], RLock] = {}
        self.accepted: set[Connection] = set()
        self.server: StreamServer | None = None
        env.dumps["links"] = self

    def start(self) -> None:
        """Open the listener."""
        self.server = StreamServer(tuple(self.env.settings.peer), self._serve_socket)
        self.server.start()

    def stop(self) -> None:
        """Close the listener and all links."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.accepted):
            connection.shut_down()
        for link in list(self.links.values()):
            link.close("the node stops")

    def request(
        self, address: str, node_id: str, message: Any, timeout_ms: float
    ) -> Any:
        """Send a request to a peer and return its answer.

        Raises `LinkError`: `PEER_UNREACHABLE` when it was surely not sent,
        `PEER_LOST` when it may have been handled, else the code of the refusal.
        """
        link = self._get_link(address, node_id, timeout_ms)
        return link.request(message, timeout_ms)

    def dump(self) -> dict[str, object]:
        """Return the state of all links."""
        now = self.env.clock.now_ns()
        return {
            node_id: {
                "address": address,
                "pending": len(link.pending),
                "silent_ms": (now - link.last_received_ns) // NS_PER_MS,
            }
            for (address, node_id), link in self.links.items()
        }

    def _get_link(self, address: str, node_id: str, timeout_ms: float) -> Link:
        peer = (address, node_id)
        link = self.links.get(peer)
        if link is not None and not link.closed:
            return link
        with self.locks.setdefault(peer, RLock()):
            link = self.links.get(peer)
            if link is None or link.closed:
                link = self.links[peer] = self._dial(address, node_id, timeout_ms)
            return link

    def _dial(self, address: str, node_id: str, timeout_ms: float) -> Link:
        peer = (address, node_id)
        now = self.env.clock.now_ns()
        last = self.dials.get(peer, Dial(0, DIAL_BACKOFF_MIN_MS))
        if now < last.not_before_ns:
            raise LinkError(Code.PEER_UNREACHABLE, f"{node_id} was just unreachable")
        try:
            if self.env.faults.drops_send(node_id):
                raise TimeoutError("cut")
            connection = dial(
                address, self._create_headers(), min(timeout_ms, DIAL_TIMEOUT_MS)
            )
        except OSError as error:
            pause_ms = min(last.pause_ms * 2, DIAL_BACKOFF_MAX_MS)
            jittered_ns = int(pause_ms * random.uniform(0.5, 1) * NS_PER_MS)
            self.dials[peer] = Dial(now + jittered_ns, pause_ms)
            self.env.counters.count("dials_failed")
            raise LinkError(Code.PEER_UNREACHABLE, f"{node_id}: {error}") from error
        self.dials.pop(peer, None)
        return Link(self.env, node_id, connection)

    def _create_headers(self) -> dict[str, str]:
        headers = {
            NODE_HEADER: self.env.settings.node_id,
            INCARNATION_HEADER: self.env.incarnation,
        }
        if self.env.settings.secret:
            headers["Authorization"] = f"Bearer {self.env.settings.secret}"
        return headers

    def _check_secret(
        self, protocol: ServerProtocol, request: Request
    ) -> Response | None:
        expected = f"Bearer {self.env.settings.secret}".encode()
        found = request.headers.get("Authorization", "").encode()
        if self.env.settings.secret and not hmac.compare_digest(expected, found):
            self.env.counters.count("peers_refused")
            return protocol.reject(401, f"{int(Code.PEER_UNAUTHENTICATED)}\n")
        if not request.headers.get(NODE_HEADER):
            return protocol.reject(400, f"{int(Code.BAD_FRAME)}\n")
        return None

    def _serve_socket(self, sock: socket, _address: tuple) -> None:
        try:
            connection, request = accept(sock, self._check_secret)
        except OSError:
            return
        headers = request.headers
        sender = Sender(headers[NODE_HEADER], headers.get(INCARNATION_HEADER, ""))
        self.accepted.add(connection)
        running: dict[int, tuple[greenlet, Any]] = {}
        try:
            for data in connection.receive():
                if self.env.faults.drops_receive(sender.node_id):
                    continue
                self._accept_frame(connection, sender, decode_frame(data), running)
        except LinkError as error:
            self.env.counters.count("bad_frames")
            self._answer(connection, sender, Frame(0, True, create_failed(error)))
        except OSError:
            pass
        finally:
            self.accepted.discard(connection)
            for task, message in running.values():
                if isinstance(message, Deliver) and message.idempotent:
                    gevent.kill(task)
            connection.close()

    def _accept_frame(
        self, connection: Connection, sender: Sender, frame: Frame, running: dict
    ) -> None:
        if isinstance(frame.message, Cancel):
            task, _ = running.pop(frame.message.request, (None, None))
            if task is not None:
                gevent.kill(task)
            return
        task = gevent.spawn_raw(self._serve_request, connection, sender, frame, running)
        running[frame.number] = (task, frame.message)

    def _serve_request(
        self, connection: Connection, sender: Sender, frame: Frame, running: dict
    ) -> None:
        try:
            answer = dispatch(self.env, sender, frame.message)
        except KnapweedrockError as error:
            answer = create_failed(error)
        finally:
            running.pop(frame.number, None)
        self._answer(connection, sender, Frame(frame.number, True, answer))

    def _answer(self, connection: Connection, sender: Sender, frame: Frame) -> None:
        if self.env.faults.drops_send(sender.node_id):
            return
        data = encode_frame(frame)
        self.env.counters.count("link_bytes_sent", len(data))
        try:
            connection.send(data)
        except OSError:
            self.env.counters.count("answers_unsent")


def create_links(env: "Environment") -> Links:
    """Create the links of a node."""
    return Links(env)
