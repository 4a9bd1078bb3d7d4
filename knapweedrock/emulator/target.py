"""Emulator of a target that holds keys which its node grants."""

import itertools
import random
from typing import Any, NamedTuple

import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.emulator.heartbeats import HeartbeatClient
from knapweedrock.errors import KnapweedrockError
from knapweedrock.mesh.callers import CallerServer, Reply
from knapweedrock.mesh.definitions import Limits
from knapweedrock.mesh.http import MalformedMessageError, Request, Response
from knapweedrock.platform.headers import (
    ATTEMPT_ID,
    COLD_MS,
    EXPECTED_INSTANCE,
    INSTANCE_ID,
    LEAVING,
    NOT_EXECUTED,
    RATE_LIMIT,
    SHARD_KEY,
    SIGNATURE,
)

# A request for this path crashes the target that executes it.
CRASH_PATH = "/read/crash"
RESTART_DELAY_S = 0.4
HEARTBEAT_INTERVAL_S = 0.3
RELEASE_INTERVAL_S = 0.05
SLOT_WAIT_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.1


class ExecutedRequest(NamedTuple):
    """A request that the target executed from `began_ns` to `ended_ns`.

    `token` is the fencing token under which the target held the key. `key` is -1 if the
    request has no key; `token` is 0 if the target held no key for the request.
    """

    attempt_id: str
    key: int
    began_ns: int
    ended_ns: int
    target: str
    body: bytes
    method: str
    token: int


class Arrival(NamedTuple):
    """A request that an incarnation of the target received, executed or not."""

    at_ns: int
    attempt_id: str
    target: str


class SlotOverflow(NamedTuple):
    """A time at which a target had more requests in flight than slots."""

    at_ns: int
    in_flight: int
    slots: int


class Hold(NamedTuple):
    """A range of keys, `end` included, that is held under a fencing token."""

    start: int
    end: int
    token: int
    expires_ns: int


class EmulatedTarget:
    """A target that serves the keys it holds and sends heartbeats to its node."""

    def __init__(
        self,
        service: str,
        zone: str,
        address: tuple[str, int],
        heartbeat: tuple[str, int],
        clock: Clock,
        seed: int = 1,
    ) -> None:
        self.service = service
        self.zone = zone
        self.slots = 8
        self.work_ms = 5.0
        # Bytes appended to the body of each response to an executed request.
        self.padding = b""
        self.keyed = True
        self.cold_ms = 0.0
        self.silent_heartbeats = False
        self.heartbeat_interval_s = HEARTBEAT_INTERVAL_S
        self.draining = False
        # One rate limit header is added to each response for each of these values.
        self.limits: tuple[str, ...] = ()
        # Whether each response has the header for leaving and the health check fails.
        # Heartbeats do not report this state.
        self.leaving = False
        self.arrivals: list[Arrival] = []
        self.lost_response_share = 0.0
        # Share of the requests that the target refuses without running them.
        self.shed_share = 0.0
        self.requests: list[Request] = []
        self.runs: list[ExecutedRequest] = []
        self.slot_overflows: list[SlotOverflow] = []
        self.interrupted: list[str] = []
        self.crashes = 0
        self.held: list[Hold] = []
        self.target = ""
        self.instance = ""
        self._clock = self._reference_clock = clock
        self._random = random.Random(seed)
        self._incarnation_numbers = itertools.count(1)
        self._heartbeat_number = 0
        self._released: list[list[Any]] = []
        self._keys_in_progress: dict[int, int] = {}
        self._in_flight = 0
        self._heartbeat = heartbeat
        self._address = address
        self._announced: tuple[str, int] | None = None
        self._server: CallerServer | None = None
        self._slot_semaphore = BoundedSemaphore(self.slots)
        self._heartbeat_task: gevent.Greenlet | None = None

    @property
    def port(self) -> int:
        """Return the port that the target listens on."""
        return self._address[1]

    def start(self) -> None:
        """Start a new incarnation that holds no keys."""
        incarnation_number = next(self._incarnation_numbers)
        self.instance = f"{self.service}-{self.port}-{incarnation_number}"
        self.target = f"{self.instance}@{incarnation_number}"
        self.held, self._released, self._heartbeat_number = [], [], 0
        self.draining, self.leaving, self.limits = False, False, ()
        self._slot_semaphore = BoundedSemaphore(self.slots)
        self._open()
        self._heartbeat_task = gevent.spawn(self._run_heartbeats)

    def crash(self) -> None:
        """Stop abruptly, without deregistration."""
        self._heartbeat_task.kill(block=False)
        self._close()
        self.held = []

    def _open(self) -> None:
        """Open the listener."""
        self._server = CallerServer(self._address, self._serve, Limits)
        self._server.start()
        self._address = (self._address[0], self._server.port)

    def _close(self) -> None:
        """Close the listener and all connections."""
        self._server.abort()

    def _restart(self) -> None:
        self.crash()
        gevent.sleep(RESTART_DELAY_S)
        self.start()

    def warm_up(self) -> None:
        """End the cold start."""
        self.cold_ms = 0.0

    def announce(self, address: tuple[str, int]) -> None:
        """Announce an address in heartbeats that differs from the listening address."""
        self._announced = address

    def set_clock(self, clock: Clock) -> None:
        """Set the clock that measures holds and executions."""
        self._clock = clock

    def set_heartbeat(self, address: tuple[str, int]) -> None:
        """Set the address that heartbeats are sent to."""
        self._heartbeat = address

    def find_hold(self, key: int) -> Hold | None:
        """Find the unexpired hold of a key."""
        now_ns = self._clock.now_ns()
        for hold in self.held:
            if hold.start <= key <= hold.end and hold.expires_ns > now_ns:
                return hold
        return None

    def _serve(self, request: Request, _address: str) -> Reply:
        reply = self._handle_request(request)
        reply.headers += [(RATE_LIMIT, value) for value in self.limits]
        if self.leaving:
            reply.headers.append((LEAVING, "1"))
        return reply

    def _handle_request(self, request: Request) -> Reply:
        if request.target == "/health":
            headers = [(INSTANCE_ID, self.instance), (COLD_MS, str(int(self.cold_ms)))]
            is_leaving = self.draining or self.leaving
            return Reply(503 if is_leaving else 200, headers, b"")
        attempt_id = request.fields.get(ATTEMPT_ID, "")
        now_ns = self._reference_clock.now_ns()
        self.arrivals.append(Arrival(now_ns, attempt_id, self.target))
        expected = request.fields.get(EXPECTED_INSTANCE, self.instance)
        key = int(request.fields.get(SHARD_KEY, -1))
        if expected != self.instance:
            return create_refusal(421, attempt_id)
        if self.keyed and key >= 0 and self.find_hold(key) is None:
            return create_refusal(421, attempt_id)
        return self._wait_for_slot(request, attempt_id, key)

    def _wait_for_slot(self, request: Request, attempt_id: str, key: int) -> Reply:
        """Wait for a free slot and execute the request."""
        if self._random.random() < self.shed_share:
            return create_refusal(503, attempt_id)
        self._in_flight += 1
        if self._in_flight > self.slots:
            self.slot_overflows.append(
                SlotOverflow(self._clock.now_ns(), self._in_flight, self.slots)
            )
        try:
            if not self._slot_semaphore.acquire(timeout=SLOT_WAIT_TIMEOUT_S):
                return create_refusal(503, attempt_id)
            return self._execute(request, attempt_id, key)
        finally:
            self._in_flight -= 1

    def _execute(self, request: Request, attempt_id: str, key: int) -> Reply:
        began_ns = self._clock.now_ns()
        hold = self.find_hold(key) if self.keyed and key >= 0 else None
        if hold is None and self.keyed and key >= 0:
            self._slot_semaphore.release()
            return create_refusal(421, attempt_id)
        self.requests.append(request)
        if request.target == CRASH_PATH:
            self.crashes += 1
            gevent.spawn(self._restart)
            raise ConnectionResetError("emulated target crashes")
        self._keys_in_progress[id(request)] = key
        try:
            status = self._work(request)
        except gevent.GreenletExit:
            self.interrupted.append(attempt_id)
            raise
        finally:
            self._keys_in_progress.pop(id(request))
            self._slot_semaphore.release()
        ended_ns = self._clock.now_ns()
        self.runs.append(
            ExecutedRequest(
                attempt_id,
                key,
                began_ns,
                ended_ns,
                self.target,
                request.body,
                request.method,
                hold.token if hold else 0,
            )
        )
        headers = [(ATTEMPT_ID, attempt_id), (SIGNATURE, f"signed-{attempt_id}")]
        if self._random.random() < self.lost_response_share:
            raise ConnectionResetError("emulated loss of the response")
        return Reply(status, headers, f"{attempt_id} {key}".encode() + self.padding)

    def _work(self, _request: Request) -> int:
        """Do the work of a request and return the status of the response."""
        gevent.sleep(self.work_ms / 1000)
        return 200

    def _run_heartbeats(self) -> None:
        client: HeartbeatClient | None = None
        while True:
            if client is None:
                client = self._create_heartbeat_client()
            if self.silent_heartbeats:
                gevent.sleep(RETRY_DELAY_S)
                continue
            sent_ns = self._clock.now_ns()
            try:
                response = self._send_heartbeat(client)
            except (KnapweedrockError, MalformedMessageError, OSError):
                client = None
                gevent.sleep(RETRY_DELAY_S)
                continue
            is_released = response.status != 200 or self._apply_response(
                response, sent_ns
            )
            gevent.sleep(
                self.heartbeat_interval_s if is_released else RELEASE_INTERVAL_S
            )

    def _create_heartbeat_client(self) -> HeartbeatClient:
        return HeartbeatClient(self._heartbeat)

    def _send_heartbeat(self, client: HeartbeatClient) -> Response:
        self._heartbeat_number += 1
        instance, _, born = self.target.rpartition("@")
        body = {
            "address": "{}:{}".format(*(self._announced or self._address)),
            "born": int(born),
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": "draining" if self.draining else "ready",
                "seq": self._heartbeat_number,
                "coldRemainingMs": int(self.cold_ms),
            },
            "holds": [list(hold[:3]) for hold in self.list_holds()],
            "freed": self._released,
        }
        path = f"/instances/{instance}/heartbeat"
        return client.send(path, msgspec.json.encode(body))

    def list_holds(self) -> list[Hold]:
        """List the holds that have not expired."""
        now_ns = self._clock.now_ns()
        return [hold for hold in self.held if hold.expires_ns > now_ns]

    def _apply_response(self, response: Response, sent_ns: int) -> bool:
        """Apply the grants of a heartbeat response.

        Return whether no withdrawn keys are in use or still have to be reported as
        released.
        """
        self._released = []
        fields = msgspec.json.decode(response.body)
        if "holds" not in fields:
            return True
        expires_ns = sent_ns + fields["holdMs"] * NS_PER_MS
        granted = [
            Hold(start, end, token, expires_ns)
            for start, end, token, _ in fields["holds"]
        ]
        is_released = True
        for hold in self.list_holds():
            kept = [g for g in granted if g.start <= hold.end and hold.start <= g.end]
            for start, end in subtract(hold, kept):
                if any(start <= key <= end for key in self._keys_in_progress.values()):
                    granted.append(hold._replace(start=start, end=end))
                    is_released = False
                    continue
                handover = f"{hold.token}-{start}-{self.instance}"
                self._released.append([start, end, handover])
        self.held = granted
        return is_released and not self._released


def create_refusal(status: int, attempt_id: str) -> Reply:
    """Create the response to a request that was not executed."""
    return Reply(status, [(ATTEMPT_ID, attempt_id), (NOT_EXECUTED, "1")], b"")


def subtract(hold: Hold, kept: list[Hold]) -> list[tuple[int, int]]:
    """Return the parts of a hold that none of the kept holds covers."""
    parts = [(hold.start, hold.end)]
    for other in kept:
        found = []
        for start, end in parts:
            if other.end < start or end < other.start:
                found.append((start, end))
                continue
            if start < other.start:
                found.append((start, other.start - 1))
            if other.end < end:
                found.append((other.end + 1, end))
        parts = found
    return parts
