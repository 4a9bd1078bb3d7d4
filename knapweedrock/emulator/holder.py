"""Stand-in for a target of the users' platform that holds keys by grants."""

import itertools
import random
from typing import Any, NamedTuple

import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError
from knapweedrock.mesh.callers import CallerServer, Reply
from knapweedrock.mesh.definitions import Limits
from knapweedrock.mesh.http import JSON_HEADERS, Request, Response
from knapweedrock.mesh.http_client import HttpClient
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

# A request for this path crashes the target that begins to run it.
CRASH_PATH = "/read/crash"
CRASHED_S = 0.4
BEAT_S = 0.3
FREED_BEAT_S = 0.05
BEAT_TIMEOUT_S = 1.0
SLOT_TIMEOUT_S = 5.0
RETRY_S = 0.1


class Run(NamedTuple):
    """One run of a request; `began_ns` and `ended_ns` are its begin and end.

    `token` is the one under which the target held the key; the key is -1 and the token
    0 where there is none.
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
    """A request that came to a start of the target, whether it was run or not."""

    at_ns: int
    attempt_id: str
    target: str


class Crowd(NamedTuple):
    """A moment in ns at which a target was given more requests than it has slots."""

    at_ns: int
    given: int
    slots: int


class Held(NamedTuple):
    """Keys that are held under a token until a time in ns."""

    start: int
    end: int
    token: int
    until_ns: int


class Holder:
    """A target: it serves the keys it holds and sends heartbeats to its node."""

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
        # Bytes that each answer has beside what it tells.
        self.padding = b""
        self.keyed = True
        self.cold_ms = 0.0
        self.silent_heartbeats = False
        self.beat_s = BEAT_S
        self.draining = False
        # Values of the headers by which the target names its limit in its answers.
        self.limits: tuple[str, ...] = ()
        # Whether it says in its answers, and nowhere else, that it leaves.
        self.leaving = False
        self.arrivals: list[Arrival] = []
        self.lost_share = 0.0
        self.requests: list[Request] = []
        self.runs: list[Run] = []
        self.crowds: list[Crowd] = []
        self.cut: list[str] = []
        self.crashes = 0
        self.held: list[Held] = []
        self.target = ""
        self.instance = ""
        self._clock = self._true_clock = clock
        self._random = random.Random(seed)
        self._births = itertools.count(1)
        self._sequence = 0
        self._freed: list[list[Any]] = []
        self._working: dict[int, int] = {}
        self._given = 0
        self._heartbeat = heartbeat
        self._address = address
        self._announced: tuple[str, int] | None = None
        self._server: CallerServer | None = None
        self._slots = BoundedSemaphore(self.slots)
        self._beating: gevent.Greenlet | None = None

    @property
    def port(self) -> int:
        """Return the port that it listens on."""
        return self._address[1]

    def start(self) -> None:
        """Start a new incarnation that holds nothing."""
        birth = next(self._births)
        self.instance = f"{self.service}-{self.port}-{birth}"
        self.target = f"{self.instance}@{birth}"
        self.held, self._freed, self._sequence = [], [], 0
        self.draining, self.leaving, self.limits = False, False, ()
        self._slots = BoundedSemaphore(self.slots)
        self._server = CallerServer(self._address, self._serve, Limits)
        self._server.start()
        self._address = (self._address[0], self._server.port)
        self._beating = gevent.spawn(self._beat)

    def crash(self) -> None:
        """End without a word."""
        self._beating.kill(block=False)
        self._server.abort()
        self.held = []

    def _restart(self) -> None:
        self.crash()
        gevent.sleep(CRASHED_S)
        self.start()

    def warm_up(self) -> None:
        """Stop being cold."""
        self.cold_ms = 0.0

    def announce(self, address: tuple[str, int]) -> None:
        """Announce another address than the one that it listens on."""
        self._announced = address

    def set_clock(self, clock: Clock) -> None:
        """Measure its holds by another clock."""
        self._clock = clock

    def set_heartbeat(self, address: tuple[str, int]) -> None:
        """Point the heartbeats at a node."""
        self._heartbeat = address

    def find_held(self, key: int) -> Held | None:
        """Find the hold of a key that still runs."""
        now_ns = self._clock.now_ns()
        for held in self.held:
            if held.start <= key <= held.end and held.until_ns > now_ns:
                return held
        return None

    def _serve(self, request: Request, _address: str) -> Reply:
        reply = self._answer(request)
        reply.headers += [(RATE_LIMIT, value) for value in self.limits]
        if self.leaving:
            reply.headers.append((LEAVING, "1"))
        return reply

    def _answer(self, request: Request) -> Reply:
        if request.target == "/health":
            headers = [(INSTANCE_ID, self.instance), (COLD_MS, str(int(self.cold_ms)))]
            leaves = self.draining or self.leaving
            return Reply(503 if leaves else 200, headers, b"")
        attempt_id = request.fields.get(ATTEMPT_ID, "")
        now_ns = self._true_clock.now_ns()
        self.arrivals.append(Arrival(now_ns, attempt_id, self.target))
        expected = request.fields.get(EXPECTED_INSTANCE, self.instance)
        key = int(request.fields.get(SHARD_KEY, -1))
        if expected != self.instance:
            return refuse(421, attempt_id)
        if self.keyed and key >= 0 and self.find_held(key) is None:
            return refuse(421, attempt_id)
        return self._queue(request, attempt_id, key)

    def _queue(self, request: Request, attempt_id: str, key: int) -> Reply:
        """Wait for a slot and run the request."""
        self._given += 1
        if self._given > self.slots:
            self.crowds.append(Crowd(self._clock.now_ns(), self._given, self.slots))
        try:
            if not self._slots.acquire(timeout=SLOT_TIMEOUT_S):
                return refuse(503, attempt_id)
            return self._run(request, attempt_id, key)
        finally:
            self._given -= 1

    def _run(self, request: Request, attempt_id: str, key: int) -> Reply:
        began_ns = self._clock.now_ns()
        held = self.find_held(key) if self.keyed and key >= 0 else None
        if held is None and self.keyed and key >= 0:
            self._slots.release()
            return refuse(421, attempt_id)
        self.requests.append(request)
        if request.target == CRASH_PATH:
            self.crashes += 1
            gevent.spawn(self._restart)
            raise ConnectionResetError("the target crashes")
        self._working[id(request)] = key
        try:
            gevent.sleep(self.work_ms / 1000)
        except gevent.GreenletExit:
            self.cut.append(attempt_id)
            raise
        finally:
            self._working.pop(id(request))
            self._slots.release()
        ended_ns = self._clock.now_ns()
        self.runs.append(
            Run(
                attempt_id,
                key,
                began_ns,
                ended_ns,
                self.target,
                request.body,
                request.method,
                held.token if held else 0,
            )
        )
        headers = [(ATTEMPT_ID, attempt_id), (SIGNATURE, f"signed-{attempt_id}")]
        if self._random.random() < self.lost_share:
            raise ConnectionResetError("the answer is lost")
        return Reply(200, headers, f"{attempt_id} {key}".encode() + self.padding)

    def _beat(self) -> None:
        exchanges: HttpClient | None = None
        while True:
            if exchanges is None:
                exchanges = create_exchanges(self._heartbeat, self._clock)
            if self.silent_heartbeats:
                gevent.sleep(RETRY_S)
                continue
            sent_ns = self._clock.now_ns()
            try:
                answer = self._send_beat(exchanges)
            except (KnapweedrockError, OSError):
                exchanges = None
                gevent.sleep(RETRY_S)
                continue
            is_settled = answer.status != 200 or self._take_answer(answer, sent_ns)
            gevent.sleep(self.beat_s if is_settled else FREED_BEAT_S)

    def _send_beat(self, exchanges: HttpClient) -> Response:
        self._sequence += 1
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
                "seq": self._sequence,
                "coldRemainingMs": int(self.cold_ms),
            },
            "holds": [list(held[:3]) for held in self._list_held()],
            "freed": self._freed,
        }
        path = f"/instances/{instance}/heartbeat"
        data = msgspec.json.encode(body)
        headers = [("Host", "node"), *JSON_HEADERS]
        return exchanges.request("POST", path, headers, data, "", BEAT_TIMEOUT_S)

    def _list_held(self) -> list[Held]:
        now_ns = self._clock.now_ns()
        return [held for held in self.held if held.until_ns > now_ns]

    def _take_answer(self, answer: Response, sent_ns: int) -> bool:
        """Take the grants of an answer; tell whether all that is left out is free."""
        self._freed = []
        fields = msgspec.json.decode(answer.body)
        if "holds" not in fields:
            return True
        until_ns = sent_ns + fields["holdMs"] * NS_PER_MS
        granted = [
            Held(start, end, token, until_ns)
            for start, end, token, _ in fields["holds"]
        ]
        is_settled = True
        for held in self._list_held():
            kept = [g for g in granted if g.start <= held.end and held.start <= g.end]
            for start, end in subtract(held, kept):
                if any(start <= key <= end for key in self._working.values()):
                    granted.append(held._replace(start=start, end=end))
                    is_settled = False
                    continue
                handover = f"{held.token}-{start}-{self.instance}"
                self._freed.append([start, end, handover])
        self.held = granted
        return is_settled and not self._freed


def refuse(status: int, attempt_id: str) -> Reply:
    """Create the answer to a request that was not run."""
    return Reply(status, [(ATTEMPT_ID, attempt_id), (NOT_EXECUTED, "1")], b"")


def subtract(held: Held, kept: list[Held]) -> list[tuple[int, int]]:
    """Return the parts of a range that no kept range covers."""
    parts = [(held.start, held.end)]
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


def create_exchanges(address: tuple[str, int], clock: Clock) -> HttpClient:
    """Create the connections on which heartbeats are sent."""
    return HttpClient(address, clock, Counters())
