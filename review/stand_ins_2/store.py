"""Stand-in of the platform's store, with a drill that restores an older copy.

It follows PROTOCOL.md, "The platform's metadata store", and the eighth letter: in a
drill the store is away for a moment and comes back from a copy some seconds old, its
revisions go back, a watch from a revision that it doesn't have gets 410, what the
operator wrote is written again, and `Store-Era` rises by one.
"""

import asyncio
import json
import time
from copy import deepcopy
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from review.stand_ins_2.http import Answer, HttpServer, Message

ANSWER_DELAY_S = 0.004
MAX_WAIT_S = 30.0
COPY_INTERVAL_S = 0.1
MAX_COPIES = 100
JSON = {"Content-Type": "application/json"}


class Event(NamedTuple):
    """A change of one object."""

    revision: int
    kind: str
    item: dict[str, Any]
    removed: bool


class Copy(NamedTuple):
    """The whole state of the store at a time."""

    at_s: float
    revision: int
    kinds: dict[str, dict[str, dict[str, Any]]]
    events: list[Event]


class OperatorWrite(NamedTuple):
    """A write of the operator; a value of None removes the object."""

    at_s: float
    kind: str
    name: str
    value: Any


class StoreError(Exception):
    """A call that is answered with a status, and an object where there is one."""

    def __init__(self, status: int, item: Any = None) -> None:
        super().__init__(status)
        self.status = status
        self.item = item


class Store:
    """Objects by kind and name, with one revision counter."""

    def __init__(self, port: int, log) -> None:
        self.era = 1
        self.revision = 1
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[Event] = []
        self.copies: list[Copy] = []
        self.writes: list[tuple[float, str, str, int]] = []
        self._operator_writes: list[OperatorWrite] = []
        self._changed = asyncio.Event()
        self._log = log
        self.server = HttpServer(self._serve, port)
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Open the listener and begin to keep copies."""
        await self.server.open()
        self._task = asyncio.create_task(self._keep_copies())

    async def stop(self) -> None:
        """Close the listener."""
        if self._task is not None:
            self._task.cancel()
        await self.server.close()

    def write(self, kind: str, name: str, value: Any) -> int:
        """Write an object as the operator; return the revision."""
        now_s = time.monotonic()
        self._operator_writes.append(OperatorWrite(now_s, kind, name, value))
        return self._apply(kind, name, value)

    def remove(self, kind: str, name: str) -> int:
        """Remove an object as the operator; return the revision."""
        return self.write(kind, name, None)

    def find_copy(self, before_s: float) -> Copy:
        """Return the latest copy made before a time."""
        return [copy for copy in self.copies if copy.at_s <= before_s][-1]

    async def drill(self, copy: Copy, away_s: float) -> None:
        """Go away for a moment, and come back from a copy."""
        before = self.revision
        await self.server.close()
        await asyncio.sleep(away_s)
        self.kinds = deepcopy(copy.kinds)
        self.events = list(copy.events)
        self.revision = copy.revision
        self.era += 1
        age_s = time.monotonic() - copy.at_s
        for lost in [w for w in self._operator_writes if w.at_s > copy.at_s]:
            self._apply(lost.kind, lost.name, lost.value)
        await self.server.open()
        self._log(
            f"store back from a copy {age_s:.2f} s old, away for {away_s} s:"
            f" revision {before} -> {copy.revision}, era {self.era}"
        )

    def _apply(self, kind: str, name: str, value: Any) -> int:
        if value is None:
            item = self.kinds.get(kind, {}).pop(name, None)
            if item is not None:
                self._record(kind, item, True)
            return self.revision
        self._put(kind, name, value, None)
        return self.revision

    async def _keep_copies(self) -> None:
        while True:
            self.copies.append(
                Copy(
                    time.monotonic(),
                    self.revision,
                    deepcopy(self.kinds),
                    list(self.events),
                )
            )
            del self.copies[:-MAX_COPIES]
            await asyncio.sleep(COPY_INTERVAL_S)

    async def _serve(self, request: Message) -> Answer:
        era = self.era
        await asyncio.sleep(ANSWER_DELAY_S)
        try:
            result = await self._call(request)
            status = 200
        except StoreError as error:
            status, result = error.status, error.item
        if era != self.era:
            raise ConnectionError("the store went away")
        body = json.dumps(result).encode() if result is not None else b""
        return Answer(status, {**JSON, "Store-Era": str(self.era)}, body)

    async def _call(self, request: Message) -> Any:
        parts = urlsplit(request.target)
        segments = [unquote(part) for part in parts.path.split("/")[2:]]
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = json.loads(request.body) if request.body else {}
        match request.method, segments:
            case "GET", [kind] if "watch" in query:
                wait_s = int(query.get("waitMs", "0")) / 1000
                return await self._watch(kind, int(query["watch"]), wait_s)
            case "GET", [kind]:
                names = sorted(self.kinds.get(kind, {}))
                names = [name for name in names if name > query.get("after", "")]
                items = [deepcopy(self.kinds[kind][name]) for name in names]
                return {"items": items, "hasMore": False, "atRevision": self.revision}
            case "GET", [kind, name]:
                return deepcopy(self._find(kind, name))
            case "POST", [kind]:
                name = body["metadata"]["name"]
                if name in self.kinds.get(kind, {}):
                    raise StoreError(409, deepcopy(self.kinds[kind][name]))
                return self._write(kind, name, body)
            case "PUT", [kind, name]:
                current = self._find(kind, name)
                expected = body["metadata"].get("revision")
                if expected not in (None, current["metadata"]["revision"]):
                    raise StoreError(409, deepcopy(current))
                if body.get("specification") == current["specification"]:
                    return deepcopy(current)
                return self._write(kind, name, body)
        raise StoreError(404)

    def _find(self, kind: str, name: str) -> dict[str, Any]:
        item = self.kinds.get(kind, {}).get(name)
        if item is None:
            raise StoreError(404)
        return item

    def _write(self, kind: str, name: str, body: dict[str, Any]) -> dict[str, Any]:
        item = self._put(kind, name, body.get("specification"), body.get("status"))
        self.writes.append((time.monotonic(), kind, name, self.revision))
        return deepcopy(item)

    def _put(self, kind: str, name: str, value: Any, status: Any) -> dict[str, Any]:
        metadata = {"name": name, "revision": self.revision + 1, "finalizers": []}
        item = {"metadata": metadata, "specification": value, "status": status}
        self.kinds.setdefault(kind, {})[name] = item
        self._record(kind, item, False)
        return item

    def _record(self, kind: str, item: dict[str, Any], removed: bool) -> None:
        self.revision += 1
        self.events.append(Event(self.revision, kind, deepcopy(item), removed))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _watch(self, kind: str, revision: int, wait_s: float) -> Any:
        if revision > self.revision:
            raise StoreError(410)
        end_s = time.monotonic() + min(wait_s, MAX_WAIT_S)
        while True:
            events = [
                e for e in self.events if e.kind == kind and e.revision > revision
            ]
            remaining_s = end_s - time.monotonic()
            if events or remaining_s <= 0:
                break
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return {
            "events": [{"object": e.item, "removed": e.removed} for e in events],
            "atRevision": self.revision,
        }
