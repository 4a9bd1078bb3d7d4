"""HTTP stand-in of the platform's object API, with faults on request."""

import errno
import signal
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from typing import Any, TypedDict
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from knapweedrock.emulator.store import (
    NAME_MAX_CHARACTERS,
    VALUE_MAX_BYTES,
    ConflictError,
    Rate,
    Store,
)
from knapweedrock.settings import Address
from knapweedrock.sockets import create_http_server

READS_PER_S = 2000.0
WRITES_PER_S = 400.0
WATCH_MAX_MS = 60_000
OBJECTS_PATH = "/objects"
UNNAMED_CLIENT = "-"

Answer = tuple[int, dict[str, Any]]
Handler = Callable[["PlatformEmulator", "Call"], Answer]

_REASONS = {
    200: "200 OK",
    304: "304 Not Modified",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    413: "413 Content Too Large",
    429: "429 Too Many Requests",
}
_HANDLERS: dict[str, Handler] = {}


class PlatformFaults(TypedDict, total=False):
    """All faults to be in force; one that is left out ends.

    The next `lose_calls` writes are dropped before they are applied; the next
    `lose_answers` lose their answer after it. `cut_clients` lists clients whose
    calls are dropped. Rates that are left out stay as they are.
    """

    outage: bool
    delay_ms: float
    lose_answers: int
    lose_calls: int
    cut_clients: list[str]
    reads_per_s: float
    writes_per_s: float


class Call:
    """One call to the object API."""

    def __init__(self, environ: dict[str, Any]) -> None:
        self._environ = environ
        self.verb: str = environ["REQUEST_METHOD"]
        self.path = _decode_path(environ["PATH_INFO"])
        self.client: str = environ.get("HTTP_CLIENT", UNNAMED_CLIENT)
        self._query = parse_qs(environ["QUERY_STRING"], keep_blank_values=True)
        self.method = self._find_method()

    def _find_method(self) -> str:
        if self.verb == "PUT":
            return "put"
        if self.path == OBJECTS_PATH:
            return "list"
        return "watch" if "after" in self._query else "get"

    @property
    def name(self) -> str:
        """Name of the object; raises `BadCallError` where there is none."""
        name = self.path.removeprefix(f"{OBJECTS_PATH}/")
        if not name or name == self.path or len(name) > NAME_MAX_CHARACTERS:
            raise BadCallError("the name is empty or too long")
        return name

    def read_text(self, field: str) -> str:
        """Read a query field."""
        values = self._query.get(field, [])
        if len(values) != 1:
            raise BadCallError(f"the query needs {field!r} once")
        return values[0]

    def read_number(self, field: str) -> int:
        """Read a query field that holds a whole number."""
        return _parse_number(field, self.read_text(field))

    def read_version(self) -> int:
        """Read the header of a conditional write."""
        return _parse_number("If-Version", self._environ.get("HTTP_IF_VERSION", ""))

    def read_body(self) -> bytes:
        """Read the body, at most one byte above the limit."""
        try:
            return self._environ["wsgi.input"].read(VALUE_MAX_BYTES + 1)
        except OSError as error:
            raise BadCallError("the body breaks off") from error


class BadCallError(Exception):
    """A malformed call."""


class DroppedError(ConnectionResetError):
    """Ends a connection without an answer."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "dropped by a fault")


class PlatformEmulator:
    """The stand-in: usable over HTTP and, through its methods, in process."""

    def __init__(self) -> None:
        self.store = Store()
        self.reads = Rate(READS_PER_S)
        self.writes = Rate(WRITES_PER_S)
        self.outage = False
        self.delay_ms = 0.0
        self.lose_answers = 0
        self.lose_calls = 0
        self.cut_clients: frozenset[str] = frozenset()
        self._broken = Event()
        self._calls: dict[str, Counter[str]] = defaultdict(Counter)
        self._endings: Counter[str] = Counter()
        self._server: WSGIServer | None = None

    def start(self, listen: Address) -> Address:
        """Serve HTTP at the address (port 0: any) and return the bound one."""
        self._server = create_http_server(listen, self.serve)
        self._server.start()
        return Address(listen.host, self._server.server_port)

    def stop(self) -> None:
        """Stop serving HTTP; the objects stay."""
        if self._server is not None:
            self._server.stop(timeout=1)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Bring these faults into force in place of the former ones."""
        self.outage = faults.get("outage", False)
        self.delay_ms = faults.get("delay_ms", 0.0)
        self.lose_answers = faults.get("lose_answers", 0)
        self.lose_calls = faults.get("lose_calls", 0)
        self.cut_clients = frozenset(faults.get("cut_clients", []))
        if "reads_per_s" in faults:
            self.reads = Rate(faults["reads_per_s"])
        if "writes_per_s" in faults:
            self.writes = Rate(faults["writes_per_s"])
        self._broken.set()
        self._broken = Event()

    def stats(self) -> dict[str, Any]:
        """Count calls by client and method, and how they ended."""
        calls = {client: dict(counts) for client, counts in self._calls.items()}
        total: Counter[str] = Counter()
        for counts in self._calls.values():
            total.update(counts)
        return {"calls": calls, "total": dict(total), "endings": dict(self._endings)}

    def serve(self, environ: dict[str, Any], start_response) -> Iterable[bytes]:
        """Serve one HTTP request."""
        try:
            status, body = self._route(environ)
        except (BadCallError, msgspec.DecodeError, RecursionError) as error:
            status, body = 400, {"error": str(error)}
        data = b"" if status == 304 else msgspec.json.encode(body)
        headers = [("Content-Type", "application/json")]
        if status != 304:
            headers.append(("Content-Length", str(len(data))))
        start_response(_REASONS[status], headers)
        return [data] if data else []

    def _route(self, environ: dict[str, Any]) -> Answer:
        call = Call(environ)
        if call.path == "/emulator/faults" and call.verb == "POST":
            self.set_faults(_parse_faults(call.read_body()))
            return 200, {}
        if call.path == "/emulator/stats" and call.verb == "GET":
            return 200, self.stats()
        if call.path != OBJECTS_PATH and not call.path.startswith(f"{OBJECTS_PATH}/"):
            return 404, {"error": "no such page"}
        if call.verb not in ("GET", "PUT"):
            return 400, {"error": "only GET and PUT"}
        return self._handle(call)

    def _handle(self, call: Call) -> Answer:
        self._drop_if_down(call)
        self._calls[call.client][call.method] += 1
        rate = self.writes if call.method == "put" else self.reads
        if not rate.admit():
            self._endings["rate_limited"] += 1
            return 429, {"error": "above the rate"}
        if self.delay_ms:
            gevent.sleep(self.delay_ms / 1000)
            self._drop_if_down(call)
        if call.method == "put" and self.lose_calls > 0:
            self.lose_calls -= 1
            self._endings["lost_calls"] += 1
            raise DroppedError()
        answer = _HANDLERS[call.method](self, call)
        self._drop_if_down(call)
        if call.method == "put" and answer[0] == 200 and self.lose_answers > 0:
            self.lose_answers -= 1
            self._endings["lost_answers"] += 1
            raise DroppedError()
        self._endings[str(answer[0])] += 1
        return answer

    def _drop_if_down(self, call: Call) -> None:
        if self.outage or call.client in self.cut_clients:
            self._endings["dropped"] += 1
            raise DroppedError()

    def watch_unbroken(self, call: Call, wait_ms: int) -> tuple[int, bytes] | None:
        """Wait for a newer version, or until the faults change."""
        waiter = gevent.spawn(
            self.store.watch, call.name, call.read_number("after"), wait_ms
        )
        broken = self._broken
        try:
            gevent.wait([waiter, broken], count=1)
            if broken.is_set():
                self._drop_if_down(call)
            return waiter.get()
        finally:
            waiter.kill(block=False)


def _handles(method: str) -> Callable[[Handler], Handler]:
    def register(handler: Handler) -> Handler:
        _HANDLERS[method] = handler
        return handler

    return register


@_handles("get")
def _get(emulator: PlatformEmulator, call: Call) -> Answer:
    found = emulator.store.get(call.name)
    return (200, _describe(found)) if found else (404, {"error": "no such object"})


@_handles("watch")
def _watch(emulator: PlatformEmulator, call: Call) -> Answer:
    wait_ms = min(call.read_number("wait_ms"), WATCH_MAX_MS)
    found = emulator.watch_unbroken(call, wait_ms)
    return (200, _describe(found)) if found else (304, {})


@_handles("list")
def _list(emulator: PlatformEmulator, call: Call) -> Answer:
    found = emulator.store.list(call.read_text("prefix"))
    return 200, {"objects": {name: _describe(item) for name, item in found.items()}}


@_handles("put")
def _put(emulator: PlatformEmulator, call: Call) -> Answer:
    body = call.read_body()
    if len(body) > VALUE_MAX_BYTES:
        return 413, {"error": f"the value is above {VALUE_MAX_BYTES} bytes"}
    msgspec.json.decode(body)
    try:
        version = emulator.store.put(call.name, body, call.read_version())
    except ConflictError as error:
        return 409, {"version": error.version}
    return 200, {"version": version}


def _describe(found: tuple[int, bytes]) -> dict[str, Any]:
    version, value = found
    return {"version": version, "value": msgspec.Raw(value)}


def _decode_path(path: str) -> str:
    try:
        return path.encode("latin-1").decode()
    except UnicodeError as error:
        raise BadCallError("the path is not UTF-8") from error


def _parse_faults(body: bytes) -> PlatformFaults:
    unknown = set(msgspec.json.decode(body, type=dict)) - set(
        PlatformFaults.__annotations__
    )
    if unknown:
        raise BadCallError(f"unknown faults {sorted(unknown)}")
    return msgspec.json.decode(body, type=PlatformFaults)


def _parse_number(field: str, text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        raise BadCallError(f"{field} needs a whole number, found {text[:40]!r}")
    return int(text)


def create_platform_emulator() -> PlatformEmulator:
    """Create a stand-in that serves once `start` is called."""
    return PlatformEmulator()


def run(listen: Address) -> None:
    """Serve until SIGTERM or SIGINT."""
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    emulator = create_platform_emulator()
    emulator.start(listen)
    stopped.wait()
    emulator.stop()
