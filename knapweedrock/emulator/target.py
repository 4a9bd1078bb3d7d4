"""Stand-in of a target: slots, cold starts, stragglers, faults, and a true log."""

import contextlib
import random
import signal
import socket
from typing import Any

import gevent
import msgspec
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from geventhttpclient import HTTPClient

from knapweedrock.clock import NS_PER_MS, create_clock
from knapweedrock.emulator.behaviour import Behaviour, BehaviourHolder
from knapweedrock.emulator.capacity import Capacity
from knapweedrock.emulator.fencing import Fence
from knapweedrock.emulator.handler import (
    SOCKET_KEY,
    BrokenConnectionError,
    TargetHandler,
    reset_socket,
)
from knapweedrock.emulator.requests import (
    WorkAnswer,
    WorkRequest,
    create_answer,
    create_echo,
    create_refusal,
    create_unfinished,
    encode_answer,
    read_request,
)
from knapweedrock.emulator.worklog import Entry, WorkLog
from knapweedrock.settings import TargetSettings
from knapweedrock.sockets import create_http_server

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
COLLAPSE_CHECK_INTERVAL_S = 0.05
LOAD_SAMPLE_INTERVAL_S = 0.1
LOAD_SAMPLES = 600


class TargetEmulator:
    """One stand-in with its server, its capacity and its log."""

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings
        self.clock = create_clock()
        self.random = random.Random(settings.seed)
        self.log = WorkLog()
        self.behaviour = BehaviourHolder(Behaviour(work_ms=settings.work_ms))
        self.slow_since_ns = 0
        self.capacity = Capacity(settings, self.clock, self.log)
        self.fence = Fence(self.clock)
        self.slots = BoundedSemaphore(settings.slots)
        self.accepting = BoundedSemaphore(1)
        self.connections: dict[gevent.Greenlet, socket.socket] = {}
        self.running: dict[str, Event] = {}
        self.samples: list[tuple[int, int]] = []
        self.last_answer: WorkAnswer | None = None
        self.draining = False
        self.restarting = False
        self.server = None

    def start(self) -> None:
        """Open the listener of a new incarnation and announce it."""
        self.capacity.start()
        self.slots = BoundedSemaphore(self.settings.slots)
        self.running = {}
        self.fence = Fence(self.clock)
        self.server = create_http_server(self.settings.listen, self.answer)
        self.server.handler_class = type(
            "BoundTargetHandler", (TargetHandler,), {"emulator": self}
        )
        self.server.start()
        self.restarting = False
        if self.behaviour.value.announces_restart:
            gevent.spawn(self.announce)

    def add_connection(self, sock: socket.socket) -> bool:
        """Count a connection; tell whether there is room for it."""
        if self.restarting or len(self.connections) >= self.settings.connections:
            self.log.refused_connections += 1
            return False
        self.connections[gevent.getcurrent()] = sock
        peak = max(self.log.peak_connections, len(self.connections))
        self.log.peak_connections = peak
        return True

    def crash(self) -> None:
        """Reset every connection, lose all work, and start again after a while."""
        if self.restarting:
            return
        self.restarting = True
        self.log.events.append(
            {
                "at_ns": self.clock.now_ns(),
                "kind": "crash",
                "incarnation": self.capacity.incarnation,
            }
        )
        gevent.spawn(self._restart)

    def _restart(self) -> None:
        self.server.close()
        for greenlet, sock in list(self.connections.items()):
            reset_socket(sock)
            greenlet.kill(block=False)
        gevent.sleep(self.behaviour.value.restart_ms / 1000)
        self.connections = {}
        self.start()

    def answer(self, environ: dict[str, Any], start_response) -> list[bytes]:
        """Answer one request (WSGI)."""
        path = environ.get("PATH_INFO", "/")
        try:
            control = self._find_control(environ["REQUEST_METHOD"], path)
            if control:
                body = environ["wsgi.input"].read()
                answer = control(msgspec.json.decode(body) if body else {})
            else:
                answer = self._serve(read_request(environ), environ)
        except (ValueError, KeyError, TypeError) as error:
            answer = create_answer("400 Bad Request", {"error": str(error)})
        if answer is None:
            raise BrokenConnectionError
        start_response(answer.status, answer.headers)
        return [answer.body]

    def _find_control(self, method: str, path: str):
        if method == "POST" and path.startswith("/cancel/"):
            request_id = path.removeprefix("/cancel/")
            return lambda _value: self._cancel(request_id)
        return {
            ("GET", "/health"): self._report_health,
            ("GET", "/load"): self._report_load,
            ("PUT", "/grants"): self._take_grants,
            ("POST", "/drain"): self._drain,
            ("GET", "/emulator/log"): self._show_log,
            ("POST", "/emulator/behaviour"): self._change_behaviour,
        }.get((method, path))

    def _report_health(self, _value: dict[str, Any]) -> WorkAnswer:
        if not self.behaviour.value.healthy:
            return create_answer("503 Service Unavailable", {"state": "failing"})
        state = "leaving" if self.draining else "serving"
        value = {"state": state, "incarnation": self.capacity.incarnation}
        return create_answer("200 OK", value)

    def _report_load(self, _value: dict[str, Any]) -> WorkAnswer:
        at_ns = self.clock.now_ns() - self.behaviour.value.load_lag_ms * NS_PER_MS
        known = [given for sampled_ns, given in self.samples if sampled_ns <= at_ns]
        given = known[-1] if known else 0
        shown = given * self.behaviour.value.load_factor
        return create_answer(
            "200 OK", {"in_flight": shown, "slots": self.settings.slots}
        )

    def _take_grants(self, value: dict[str, Any]) -> WorkAnswer:
        self.fence.grant(value)
        return create_answer("200 OK", {})

    def _drain(self, _value: dict[str, Any]) -> WorkAnswer:
        self.draining = True
        return create_answer("200 OK", {"in_flight": self.capacity.given})

    def _cancel(self, request_id: str) -> WorkAnswer:
        event = self.running.get(request_id)
        if event:
            self.log.cancelled += 1
            event.set()
        return create_answer("200 OK", {"found": event is not None})

    def _show_log(self, _value: dict[str, Any]) -> WorkAnswer:
        return create_answer("200 OK", self.log.to_plain())

    def _change_behaviour(self, value: dict[str, Any]) -> WorkAnswer:
        if value.pop("cold", False):
            self.capacity.turn_cold()
        if value.pop("crash", False):
            self.crash()
        if value.pop("leave", False):
            self.draining = True
            gevent.spawn(self._call_node, "/leave")
        self.behaviour.update(value)
        self.slow_since_ns = self.clock.now_ns()
        return create_answer("200 OK", {"behaviour": self.behaviour.value._asdict()})

    def _serve(
        self, request: WorkRequest, environ: dict[str, Any]
    ) -> WorkAnswer | None:
        sock = environ[SOCKET_KEY]
        if self.behaviour.take("silent_next"):
            gevent.sleep(3600)
        if self.behaviour.take("reset_before_next"):
            reset_socket(sock)
            return None
        if self.behaviour.value.shedding:
            return create_refusal("503 Service Unavailable", "shedding")
        if self.settings.fenced and not self.fence.admits(
            request.key, request.token, request.lease_until_ns
        ):
            self.log.fenced += 1
            return create_refusal("412 Precondition Failed", "fenced")
        if not self._run(request):
            return create_unfinished(request)
        answer = create_echo(request, self.capacity.incarnation)
        return self._spoil(answer, sock)

    def _run(self, request: WorkRequest) -> bool:
        """Run a request to its end; tell whether it got there."""
        entry: Entry = {
            "request_id": request.request_id,
            "order_id": request.order_id,
            "key": request.key,
            "path": request.path,
            "token": request.token,
            "start_ns": self.clock.now_ns(),
            "end_ns": 0,
            "finished": False,
            "incarnation": self.capacity.incarnation,
        }
        self.log.entries.append(entry)
        capacity, slots = self.capacity, self.slots
        incarnation = capacity.incarnation
        factor = capacity.enter()
        cancelled = self.running[request.request_id] = Event()
        try:
            with slots:
                if request.crashes:
                    self.crash()
                work_ms = self._draw_work_ms(request) * factor
                wait_ms = min(work_ms, request.deadline_ms)
                stopped = cancelled.wait(wait_ms / 1000) or wait_ms < work_ms
            entry["finished"] = not stopped
            return not stopped
        finally:
            entry["end_ns"] = self.clock.now_ns()
            self.running.pop(request.request_id, None)
            if incarnation == capacity.incarnation:
                capacity.leave()

    def _draw_work_ms(self, request: WorkRequest) -> float:
        if request.crashes:
            return 1000.0
        behaviour = self.behaviour.value
        base_ms = request.work_ms
        if base_ms < 0:
            base_ms = behaviour.work_ms * self.random.uniform(0.5, 1.5)
        slow_ns = self.clock.now_ns() - self.slow_since_ns
        if behaviour.slow_for_ms and slow_ns > behaviour.slow_for_ms * NS_PER_MS:
            return base_ms
        return base_ms * behaviour.slowdown

    def _spoil(self, answer: WorkAnswer, sock: socket.socket) -> WorkAnswer | None:
        """Send the answer on, or break it where the behaviour says so."""
        if self.behaviour.take("late_next"):
            gevent.sleep(self.behaviour.value.late_ms / 1000)
        if self.behaviour.take("lose_answer_next"):
            gevent.sleep(3600)
        if self.behaviour.take("reset_next"):
            reset_socket(sock)
            return None
        if self.behaviour.take("truncate_next"):
            sock.sendall(encode_answer(answer)[: -len(answer.body) // 2])
            return None
        if self.behaviour.take("unframed_next"):
            sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + answer.body[:-1])
            return None
        if self.behaviour.take("double_next") and self.last_answer:
            stale = encode_answer(self.last_answer)
            gevent.spawn_later(0.001, send_quietly, sock, stale)
        self.last_answer = answer
        return answer

    def announce(self) -> None:
        """Announce this incarnation once to the node beside it."""
        value = {
            "service": self.settings.service,
            "address": str(self.settings.listen),
            "zone": self.settings.zone,
            "slots": self.settings.slots,
            "connections": self.settings.connections,
            "fenced": self.settings.fenced,
            "incarnation": self.capacity.incarnation,
        }
        if self.behaviour.value.announces_cold:
            value["cold_slots"] = self.settings.cold_slots
            value["cold_s"] = self.settings.cold_s
        self._call_node("/announce", value)

    def _call_node(self, path: str, value: dict[str, Any] | None = None) -> None:
        client = HTTPClient(
            self.settings.node.host,
            self.settings.node.port,
            connection_timeout=ANNOUNCE_TIMEOUT_S,
            network_timeout=ANNOUNCE_TIMEOUT_S,
        )
        with contextlib.suppress(OSError, ValueError, Exception):
            client.post(path, msgspec.json.encode(value or {})).read()
        client.close()

    def run_announcements(self) -> None:
        """Announce the target once a second."""
        while True:
            gevent.sleep(ANNOUNCE_INTERVAL_S)
            if self.behaviour.value.announcing and not self.restarting:
                self.announce()

    def run_sampling(self) -> None:
        """Sample the load for the load report."""
        while True:
            gevent.sleep(LOAD_SAMPLE_INTERVAL_S)
            self.samples.append((self.clock.now_ns(), self.capacity.given))
            del self.samples[:-LOAD_SAMPLES]

    def run_collapse(self) -> None:
        """Crash when overload in a cold start lasted too long."""
        while True:
            gevent.sleep(COLLAPSE_CHECK_INTERVAL_S)
            if not self.restarting and self.capacity.has_collapsed():
                self.crash()


def send_quietly(sock: socket.socket, data: bytes) -> None:
    """Send bytes on a socket that may be closed."""
    with contextlib.suppress(OSError):
        sock.sendall(data)


def create_emulator(settings: TargetSettings) -> TargetEmulator:
    """Create a stand-in."""
    return TargetEmulator(settings)


def run(settings: TargetSettings) -> None:
    """Run a stand-in until the process is told to end."""
    emulator = create_emulator(settings)
    emulator.start()
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    gevent.spawn(emulator.run_announcements)
    gevent.spawn(emulator.run_sampling)
    gevent.spawn(emulator.run_collapse)
    stopped.wait()
    emulator.server.close()
