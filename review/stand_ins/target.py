"""Stand-in of a target that holds the keys which its node grants by heartbeat."""

import asyncio
import json
import time
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from review.stand_ins.wire import Message, call, encode, get_status, read_message

HEARTBEAT_INTERVAL_S = 0.87
HEARTBEAT_TIMEOUT_S = 1.0
RELEASE_INTERVAL_S = 0.1
MAX_REPLY_BYTES = 4096
SLOTS = 18
QUEUE_PLACES = 72
KEY_COUNT = 65536
REASONS = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}


class Hold(NamedTuple):
    """Keys from `start` to `end` under a fencing token, until `until_s`."""

    start: int
    end: int
    token: int
    until_s: float


class Exchange:
    """One connection's state: an extra copy of a response that is still to be sent."""

    def __init__(self) -> None:
        self.late_copy = b""


# Told of each event: its name and its fields.
Recorder = Callable[..., None]


class Target:
    """A target with slots, a short queue, heartbeats and fenced keys."""

    def __init__(
        self,
        service: str,
        zone: str,
        address: tuple[str, int],
        node: tuple[str, int],
        record: Recorder,
        keyed: bool = True,
        work_s: float = 0.06,
    ) -> None:
        self.service, self.zone = service, zone
        self.address, self.node = address, node
        self.keyed, self.work_s = keyed, work_s
        self.record = record
        self.name = f"{service}@{address[1]}"
        self.holds: list[Hold] = []
        # Decides on each response whether the target sheds the request, and whether it
        # later sends the response a second time.
        self.sheds: Callable[[], bool] = lambda: False
        self.repeats: Callable[[], bool] = lambda: False
        self.draining = False
        self.instance = ""
        self.born_ms = 0
        self._sequence = 0
        self._incarnations = 0
        self._freed: list[list] = []
        self._working: dict[int, int] = {}
        self._tasks: list[asyncio.Task] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._busy = 0
        self._queued = 0
        self._slot = asyncio.Semaphore(SLOTS)

    async def start(self) -> None:
        """Start a new incarnation that holds nothing."""
        self._incarnations += 1
        self.instance = f"i-{self.address[1]}-{self._incarnations}"
        self.born_ms = int(time.time() * 1000)
        self._sequence, self.holds, self._freed = 0, [], []
        self._slot, self._busy, self._queued = asyncio.Semaphore(SLOTS), 0, 0
        self._working = {}
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=1 << 20
        )
        self._tasks = [asyncio.create_task(self._send_heartbeats())]

    async def crash(self) -> None:
        """End at once, as a killed process does."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.holds = []

    def find_hold(self, key: int) -> Hold | None:
        """Find the hold of a key that has not expired."""
        now_s = time.monotonic()
        for hold in self.holds:
            if hold.start <= key <= hold.end and hold.until_s > now_s:
                return hold
        return None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        exchange, prefix = Exchange(), b""
        try:
            while True:
                request = await read_message(reader, prefix)
                if exchange.late_copy:
                    # The extra copy arrives where the next response is expected.
                    writer.write(exchange.late_copy)
                    exchange.late_copy = b""
                response, prefix = await self._answer_or_drop(request, reader)
                if response is None:
                    return
                writer.write(response)
                if not request.start_line.startswith("GET /health") and self.repeats():
                    status = response.split()[1].decode()
                    attempt = request.headers.get("x-attempt-id", "")
                    self.record("repeats", id=attempt, status=int(status))
                    exchange.late_copy = response
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_or_drop(
        self, request: Message, reader: asyncio.StreamReader
    ) -> tuple[bytes | None, bytes]:
        """Answer a request; drop it if its connection closes meanwhile."""
        work = asyncio.create_task(self._answer(request))
        peek = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, peek}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            data = b""
            with suppress(OSError):
                data = peek.result()
            if not data:
                work.cancel()
                return None, b""
            return await work, data
        peek.cancel()
        with suppress(asyncio.CancelledError, OSError):
            return work.result(), await peek
        return work.result(), b""

    async def _answer(self, request: Message) -> bytes:
        method, path, _ = request.start_line.split()
        if method == "GET" and path == "/health":
            headers = {"X-Instance-Id": self.instance, "X-Server-Load": self._load()}
            return self._encode(503 if self.draining else 200, headers)
        attempt = request.headers.get("x-attempt-id", "")
        key = int(request.headers.get("x-shard-key", -1))
        self.record("arrives", id=attempt, at=self.name)
        expected = request.headers.get("x-expected-instance", self.instance)
        if expected != self.instance or not self._holds_key(key):
            return self._refuse(421, attempt)
        if self.sheds() or self._queued >= QUEUE_PLACES:
            return self._refuse(503, attempt)
        return await self._run(request, attempt, key)

    async def _run(self, request: Message, attempt: str, key: int) -> bytes:
        self._queued += 1
        try:
            await self._slot.acquire()
        finally:
            self._queued -= 1
        self._busy += 1
        try:
            hold = self.find_hold(key) if self.keyed and key >= 0 else None
            if self.keyed and key >= 0 and hold is None:
                return self._refuse(421, attempt)
            token = hold.token if hold else 0
            self.record("runs", id=attempt, key=key, at=self.name, token=token)
            self._working[id(request)] = key
            try:
                await asyncio.sleep(self.work_s)
            finally:
                del self._working[id(request)]
        finally:
            self._busy -= 1
            self._slot.release()
        headers = {
            "X-Attempt-Id": attempt,
            "X-Response-Signature": f"s.{attempt}",
            "X-Server-Load": self._load(),
        }
        return self._encode(200, headers, f"done {attempt}".encode())

    def _holds_key(self, key: int) -> bool:
        return not self.keyed or key < 0 or self.find_hold(key) is not None

    def _refuse(self, status: int, attempt: str) -> bytes:
        self.record("rejects", id=attempt, at=self.name, status=status)
        headers = {
            "X-Attempt-Id": attempt,
            "X-Not-Executed": "1",
            "X-Instance-Id": self.instance,
            "X-Server-Load": self._load(),
        }
        return self._encode(status, headers)

    def _encode(self, status: int, headers: dict, body: bytes = b"") -> bytes:
        return encode(f"HTTP/1.1 {status} {REASONS[status]}", headers, body)

    def _load(self) -> str:
        return f"{self._busy},{self._queued},{SLOTS},100"

    async def _send_heartbeats(self) -> None:
        while True:
            data, sent_s = self.encode_heartbeat(), time.monotonic()
            reply = await call(self.node, data, HEARTBEAT_TIMEOUT_S)
            is_settled = True
            if reply is not None and self._is_acknowledged(reply):
                is_settled = self._apply_reply(reply, sent_s)
            await asyncio.sleep(
                HEARTBEAT_INTERVAL_S if is_settled else RELEASE_INTERVAL_S
            )

    def _is_acknowledged(self, reply: Message) -> bool:
        return (
            200 <= get_status(reply) < 300
            and len(reply.body) <= MAX_REPLY_BYTES
            and reply.body.startswith(b"{")
        )

    def encode_heartbeat(self) -> bytes:
        """Encode the next heartbeat, with what the target holds and has released."""
        self._sequence += 1
        now_s = time.monotonic()
        held = [list(hold[:3]) for hold in self.holds if hold.until_s > now_s]
        body = {
            "address": "{}:{}".format(*self.address),
            "born": self.born_ms,
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": SLOTS,
            },
            "status": {
                "state": "draining" if self.draining else "ready",
                "seq": self._sequence,
                "coldRemainingMs": 0,
            },
        }
        if self.keyed:
            body |= {"holds": held, "freed": self._freed}
        headers = {"Host": "node", "Content-Type": "application/json"}
        path = f"/instances/{self.instance}/heartbeat"
        return encode(f"POST {path} HTTP/1.1", headers, json.dumps(body).encode())

    def _apply_reply(self, reply: Message, sent_s: float) -> bool:
        """Apply an acknowledgement; return whether nothing remains to be released."""
        self._freed = []
        fields = json.loads(reply.body)
        if "holds" not in fields:
            return True
        until_s = sent_s + fields["holdMs"] / 1000
        granted = [
            Hold(start, end, token, until_s) for start, end, token, _ in fields["holds"]
        ]
        before, now_s = self.holds, time.monotonic()
        is_released = True
        for hold in before:
            if hold.until_s <= now_s:
                continue
            for start, end in subtract(hold, granted):
                if any(start <= key <= end for key in self._working.values()):
                    granted.append(hold._replace(start=start, end=end))
                    is_released = False
                else:
                    handover = f"{hold.token}-{start}-{self.instance}"
                    self._freed.append([start, end, handover])
        self.holds = granted
        rows = sorted(tuple(hold[:3]) for hold in granted)
        if rows != sorted(tuple(hold[:3]) for hold in before):
            keys = sum(end - start + 1 for start, end, _ in rows)
            self.record("holds", at=self.name, rows=len(rows), keys=keys)
        return is_released and not self._freed


def subtract(hold: Hold, others: list[Hold]) -> list[tuple[int, int]]:
    """Return the parts of a hold that none of the other holds covers."""
    parts = [(hold.start, hold.end)]
    for other in others:
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
