"""Stand-in of a backend that holds keys, after PROTOCOL.md."""

import asyncio
import json
import time
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from review.stand_ins_2.http import (
    LOOPBACK,
    Answer,
    HttpConnection,
    HttpServer,
    Message,
)

KEY_COUNT = 65536
HEARTBEAT_TIMEOUT_S = 1.0
RELEASE_INTERVAL_S = 0.05
RETRY_DELAY_S = 0.2
DRAIN_TIMEOUT_S = 2.0
DOWNLOAD_PREFIX = "/cert/"
ODD_STATUS = 700
# A request for this path crashes each backend that begins to run it.
CRASH_PATH = "/stock/crash"
# The mean size of the downloads on the sheet's site.
DOWNLOAD_BYTES = 90_000


class Hold(NamedTuple):
    """Keys from `start` to `end`, both included, held until `until_s`."""

    start: int
    end: int
    fence: int
    until_s: float


class Take(NamedTuple):
    """A grant of keys that the backend did not hold under this fencing token."""

    at_s: float
    start: int
    end: int
    fence: int


class Run(NamedTuple):
    """A request that the backend ran."""

    at_s: float
    attempt: str
    key: int
    fence: int
    crashed: bool = False


class Backend:
    """One life of a backend: it holds and knows nothing of an earlier one."""

    def __init__(
        self,
        instance: str,
        service: str,
        zone: str,
        port: int,
        control: int,
        interval_s: float,
        log,
        work_s: float = 0.02,
        slots: int = 18,
    ) -> None:
        self.instance = instance
        self.service = service
        self.zone = zone
        self.port = port
        self.born = int(time.time() * 1000)
        self.holds: list[Hold] = []
        self.takes: list[Take] = []
        self.runs: list[Run] = []
        self.misdirected = 0
        self.up = False
        self.state = "ready"
        self.acked_draining = asyncio.Event()
        self._control = control
        self._interval_s = interval_s
        self._work_s = work_s
        self._slots = slots
        self._log = log
        self._sequence = 0
        self._freed: list[list] = []
        self._seen = [0] * KEY_COUNT
        self._working: dict[int, int] = {}
        self._running = 0
        # Whether the answer to an attempt gets a status that HTTP does not have.
        self.spoil: Callable[[str], bool] = lambda _attempt: False
        self.spoiled: list[str] = []
        # Called when the backend runs a request for `CRASH_PATH`.
        self.on_crash: Callable[[], None] = lambda: None
        self._server = HttpServer(self._serve, port)
        self._task: asyncio.Task | None = None

    async def start(self, phase_s: float = 0.0) -> None:
        """Open the listener and begin to send heartbeats."""
        await self._server.open()
        self.up = True
        self._task = asyncio.create_task(self._send_heartbeats(phase_s))

    async def stop(self) -> None:
        """End at once."""
        self.up = False
        if self._task is not None:
            self._task.cancel()
        await self._server.close()
        self.holds = []

    async def leave(self) -> None:
        """Drain, serve on for `drainTimeoutMs`, deregister and end."""
        self.state = "draining"
        await asyncio.wait_for(self.acked_draining.wait(), 5)
        await asyncio.sleep(DRAIN_TIMEOUT_S)
        body = json.dumps({"born": self.born}).encode()
        path = f"/instances/{self.instance}/deregister"
        with suppress(OSError):
            await HttpConnection(self._control).request(
                "POST", path, {"Host": "node"}, body, HEARTBEAT_TIMEOUT_S
            )
        await self.stop()

    def find(self, key: int) -> Hold | None:
        """Return the hold of a key."""
        now_s = time.monotonic()
        for hold in self.holds:
            if hold.start <= key <= hold.end and hold.until_s > now_s:
                return hold
        return None

    def list_unexpired(self) -> list[Hold]:
        """Return the holds that have not expired."""
        now_s = time.monotonic()
        return [hold for hold in self.holds if hold.until_s > now_s]

    async def _serve(self, request: Message) -> Answer | None:
        headers = request.headers
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            return Answer(status, self._add_load({"X-Instance-Id": self.instance}))
        attempt = headers.get("x-attempt-id", "")
        key = int(headers.get("x-shard-key", "-1"))
        answer = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
        if headers.get("x-expected-instance", self.instance) != self.instance:
            return Answer(421, answer)
        hold = self.find(key) if key >= 0 else None
        if key >= 0 and hold is None:
            self.misdirected += 1
            return Answer(421, answer)
        if self._running >= self._slots:
            return Answer(503, self._add_load(answer))
        fence = hold.fence if hold else 0
        crashes = request.target == CRASH_PATH
        self.runs.append(Run(time.monotonic(), attempt, key, fence, crashes))
        if crashes:
            self.on_crash()
            return None
        self._working[id(request)] = key
        self._running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
            del self._working[id(request)]
        answer = {"X-Attempt-Id": attempt, "X-Response-Signature": f"s.{attempt}"}
        if self.spoil(attempt):
            self.spoiled.append(attempt)
            return Answer(ODD_STATUS, {"X-Attempt-Id": attempt}, b"odd")
        is_download = request.target.startswith(DOWNLOAD_PREFIX)
        body = attempt.encode() * (DOWNLOAD_BYTES // len(attempt) if is_download else 1)
        return Answer(200, self._add_load(answer), body)

    def _add_load(self, headers: dict[str, str]) -> dict[str, str]:
        return headers | {"X-Server-Load": f"{self._running},0,{self._slots},100"}

    async def _send_heartbeats(self, phase_s: float) -> None:
        await asyncio.sleep(phase_s)
        connection = HttpConnection(self._control)
        while True:
            sent_s = time.monotonic()
            try:
                released = await self._send_heartbeat(connection, sent_s)
            except OSError:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            elapsed_s = time.monotonic() - sent_s
            wait_s = self._interval_s if released else RELEASE_INTERVAL_S
            await asyncio.sleep(max(wait_s - elapsed_s, 0.01))

    async def _send_heartbeat(self, connection: HttpConnection, sent_s: float) -> bool:
        """Send a heartbeat; return whether nothing is left to release."""
        self._sequence += 1
        state = self.state
        body = {
            "address": f"{LOOPBACK}:{self.port}",
            "born": self.born,
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self._slots,
            },
            "status": {"state": state, "seq": self._sequence, "coldRemainingMs": 0},
            "holds": [list(hold[:3]) for hold in self.list_unexpired()],
            "freed": self._freed,
        }
        response = await connection.request(
            "POST",
            f"/instances/{self.instance}/heartbeat",
            {"Host": "node", "Content-Type": "application/json"},
            json.dumps(body).encode(),
            HEARTBEAT_TIMEOUT_S,
        )
        if response.status != 200:
            return True
        self._freed = []
        if state == "draining":
            self.acked_draining.set()
        fields = json.loads(response.body)
        if "holds" not in fields:
            return True
        return self._apply(fields["holds"], sent_s + fields["holdMs"] / 1000)

    def _apply(self, rows: list[list], until_s: float) -> bool:
        """Take the rows of a reply and release the others."""
        now_s = time.monotonic()
        before = self.list_unexpired()
        holds = []
        for start, end, fence, _handover in rows:
            seen = self._seen[start : end + 1]
            if max(seen) > fence:
                self._log(f"{self.instance} refuses [{start},{end}] fence {fence}")
                continue
            if not is_covered(start, end, fence, before):
                self.takes.append(Take(now_s, start, end, fence))
            self._seen[start : end + 1] = [fence] * (end - start + 1)
            holds.append(Hold(start, end, fence, until_s))
        is_done = True
        for hold in before:
            for start, end in subtract(hold, holds):
                if any(start <= key <= end for key in self._working.values()):
                    holds.append(hold._replace(start=start, end=end))
                    is_done = False
                else:
                    self._freed.append([start, end, f"{self.instance}.{start}"])
        self.holds = holds
        return is_done and not self._freed


def is_covered(start: int, end: int, fence: int, holds: list[Hold]) -> bool:
    """Return whether holds with a fencing token contain all of a range."""
    same = sorted(hold for hold in holds if hold.fence == fence)
    for hold in same:
        if hold.start <= start <= hold.end:
            start = hold.end + 1
    return start > end


def subtract(hold: Hold, kept: list[Hold]) -> list[tuple[int, int]]:
    """Return the parts of a hold that no kept hold contains."""
    parts = [(hold.start, hold.end)]
    for other in kept:
        rest = []
        for start, end in parts:
            if other.end < start or end < other.start:
                rest.append((start, end))
                continue
            if start < other.start:
                rest.append((start, other.start - 1))
            if other.end < end:
                rest.append((other.end + 1, end))
        parts = rest
    return parts
