"""Emulator of the platform's store: objects, revisions, watches, eras and faults."""

import random
from copy import deepcopy
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

import gevent
import msgspec
from gevent.event import Event

from knapweedrock.mesh.callers import CallerServer, Reply
from knapweedrock.mesh.definitions import Limits
from knapweedrock.mesh.http import JSON_HEADERS, Headers, Request
from knapweedrock.platform.headers import STORE_ERA

MAX_PAGE_ITEMS = 500
MAX_WAIT_S = 30.0
NO_RESPONSE_S = 3600.0


class CallRejectedError(Exception):
    """A call that is rejected with a status, and the current object if there is one."""

    def __init__(self, status: int, current: Any = None) -> None:
        super().__init__(status)
        self.status = status
        self.current = current


class StoreCopy(NamedTuple):
    """All that a store contains at one revision."""

    revision: int
    kinds: dict[str, dict[str, dict[str, Any]]]
    history: list[tuple[int, str, dict[str, Any]]]
    first_watch_revision: int


class ObjectStore:
    """The objects of a store with their revision counter and change history."""

    def __init__(self, era: int = 0) -> None:
        """Create an empty store; one of era 0 states no era in its responses."""
        self.era = era
        self.revision = 1
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any]]] = []
        self.first_watch_revision = 1
        self._changed = Event()

    def list_kind(self, kind: str, after: str) -> dict[str, Any]:
        """Return one page of the objects of a kind, sorted by name.

        The page starts after the name `after`.
        """
        names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
        page = [self.kinds[kind][name] for name in names[:MAX_PAGE_ITEMS]]
        return {
            "items": deepcopy(page),
            "hasMore": len(names) > MAX_PAGE_ITEMS,
            "atRevision": self.revision,
        }

    def get(self, kind: str, name: str) -> dict[str, Any]:
        """Return an object; raise `CallRejectedError` with 404 if there is none."""
        try:
            return deepcopy(self.kinds[kind][name])
        except KeyError:
            raise CallRejectedError(404) from None

    def watch(self, kind: str, revision: int, wait_s: float) -> dict[str, Any]:
        """Wait for events after a revision.

        Raises `CallRejectedError` with 410 if the history does not reach back that far.
        """
        era = self.era
        with gevent.Timeout(min(wait_s, MAX_WAIT_S), False):
            while not self._list_events(kind, revision):
                self._changed.wait()
                if self.era != era:
                    raise CallRejectedError(410)
        events = self._list_events(kind, revision)
        return {"events": deepcopy(events), "atRevision": self.revision}

    def create(self, kind: str, body: dict[str, Any]) -> dict[str, Any]:
        """Create an object; raise `CallRejectedError` with 409 if it exists."""
        name = body["metadata"]["name"]
        if name in self.kinds.get(kind, {}):
            raise CallRejectedError(409, self.get(kind, name))
        return self._put(kind, name, body.get("specification"))

    def replace(self, kind: str, name: str, body: dict[str, Any]) -> dict[str, Any]:
        """Replace an object.

        Raises `CallRejectedError` with 404 if there is none, or with 409 if its
        revision is not the expected one.
        """
        current = self.get(kind, name)
        expected = body["metadata"].get("revision")
        if expected is not None and expected != current["metadata"]["revision"]:
            raise CallRejectedError(409, current)
        if body.get("specification") == current["specification"]:
            return current
        return self._put(kind, name, body.get("specification"))

    def remove(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an object; raise `CallRejectedError` with 404 if there is none."""
        current = self.get(kind, name)
        del self.kinds[kind][name]
        self._record_event(kind, {"object": current, "removed": True})
        return current

    def write(self, kind: str, name: str, value: Any) -> None:
        """Write an object regardless of its revision, as operators do."""
        self._put(kind, name, value)

    def write_raw(self, kind: str, name: str, item: Any) -> None:
        """Write an object as it is, whatever its fields; `name` orders the listing."""
        self.kinds.setdefault(kind, {})[name] = deepcopy(item)
        self._record_event(kind, {"object": deepcopy(item), "removed": False})

    def forget_history(self) -> None:
        """Drop the history, so that watches from older revisions are rejected."""
        self.history.clear()
        self.first_watch_revision = self.revision + 1
        self.revision += 1
        self._notify_watchers()

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(
            self.revision,
            deepcopy(self.kinds),
            deepcopy(self.history),
            self.first_watch_revision,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Begin a new era with the contents of a copy.

        Whatever was written since is lost, and its revisions are given out again.
        """
        self.revision = copy.revision
        self.kinds, self.history = deepcopy(copy.kinds), deepcopy(copy.history)
        self.first_watch_revision = copy.first_watch_revision
        self.era += 1
        self._notify_watchers()

    def _put(self, kind: str, name: str, value: Any) -> dict[str, Any]:
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision, "finalizers": []},
            "specification": value,
            "status": None,
        }
        self.kinds.setdefault(kind, {})[name] = deepcopy(item)
        self.revision -= 1
        self._record_event(kind, {"object": item, "removed": False})
        return item

    def _record_event(self, kind: str, event: dict[str, Any]) -> None:
        self.revision += 1
        self.history.append((self.revision, kind, event))
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def _list_events(self, kind: str, revision: int) -> list[dict[str, Any]]:
        is_forgotten = revision + 1 < self.first_watch_revision
        if is_forgotten or revision > self.revision:
            raise CallRejectedError(410)
        return [
            event
            for event_revision, event_kind, event in self.history
            if event_kind == kind and event_revision > revision
        ]


class StoreEndpoint:
    """One address of the store, with its own faults.

    - `status`: HTTP status that every call gets, 0 for none.
    - `silent`: no call gets a response.
    - `response_delay_s`: delay of each response.
    - `lost_write_share`: share of the writes that take effect without a response.
    - `late_write_share`: share of the writes that get no response and take effect
      `late_write_delay_s` after the request.
    """

    def __init__(
        self, objects: ObjectStore, address: tuple[str, int], seed: int
    ) -> None:
        self.status = 0
        self.silent = False
        self.response_delay_s = 0.0
        self.lost_write_share = 0.0
        self.late_write_share = 0.0
        self.late_write_delay_s = 0.5
        self.calls = 0
        self.address = address
        self._objects = objects
        self._random = random.Random(seed)
        self._server = CallerServer(address, self._serve, Limits)

    def start(self) -> None:
        """Open the listener."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.abort()

    def drop_watches(self) -> None:
        """Close all open connections, and with them all watches."""
        self._server.drop_connections()

    def _serve(self, request: Request, _address: str) -> Reply:
        self.calls += 1
        if self.silent:
            gevent.sleep(NO_RESPONSE_S)
        if self.response_delay_s:
            gevent.sleep(self.response_delay_s)
        if self.status:
            return Reply(self.status, self._create_headers(), b"")
        if request.method in ("POST", "PUT"):
            if self._random.random() < self.late_write_share:
                gevent.spawn_later(self.late_write_delay_s, self._execute, request)
                gevent.sleep(NO_RESPONSE_S)
            if self._random.random() < self.lost_write_share:
                self._execute(request)
                gevent.sleep(NO_RESPONSE_S)
        return self._execute(request)

    def _execute(self, request: Request) -> Reply:
        try:
            result = self._route_call(request)
        except CallRejectedError as error:
            body = msgspec.json.encode(error.current) if error.current else b""
            return Reply(error.status, self._create_headers(), body)
        return Reply(200, self._create_headers(), msgspec.json.encode(result))

    def _create_headers(self) -> Headers:
        headers = list(JSON_HEADERS)
        if self._objects.era:
            headers.append((STORE_ERA, str(self._objects.era)))
        return headers

    def _route_call(self, request: Request) -> dict[str, Any]:
        parts = urlsplit(request.target)
        segments = [unquote(segment) for segment in parts.path.split("/")[2:]]
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = msgspec.json.decode(request.body) if request.body else {}
        objects = self._objects
        match request.method, segments:
            case "GET", [kind]:
                if "watch" in query:
                    wait_s = int(query.get("waitMs", 0)) / 1000
                    return objects.watch(kind, int(query["watch"]), wait_s)
                return objects.list_kind(kind, query.get("after", ""))
            case "GET", [kind, name]:
                return objects.get(kind, name)
            case "POST", [kind]:
                return objects.create(kind, body)
            case "PUT", [kind, name]:
                return objects.replace(kind, name, body)
            case "DELETE", [kind, name]:
                return objects.remove(kind, name)
        raise CallRejectedError(404)


def create_endpoint(
    objects: ObjectStore, address: tuple[str, int], seed: int = 1
) -> StoreEndpoint:
    """Create an endpoint of the store that listens once it is started."""
    return StoreEndpoint(objects, address, seed)
