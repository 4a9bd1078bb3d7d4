"""Client of the platform's store, which keeps objects by kind, name and revision."""

from typing import Any, NamedTuple
from urllib.parse import quote

import gevent
import msgspec
from logbook import Logger

from knapweedrock.clock import NS_PER_S, Clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.documents import Count
from knapweedrock.eras.reader import EraReader
from knapweedrock.errors import PlatformError
from knapweedrock.json_input import InputError, read_members
from knapweedrock.mesh.http import (
    JSON_HEADERS,
    MalformedMessageError,
    Response,
    encode_request,
)
from knapweedrock.mesh.http_connections import Connection, dial
from knapweedrock.mesh.http_parsers import ResponseParser
from knapweedrock.platform.headers import STORE_ERA
from knapweedrock.platform.stored_objects import (
    Change,
    ChangeBatch,
    Listing,
    StoredObject,
    decode_body,
    decode_current,
    decode_elements,
    decode_member,
    decode_object,
    decode_specification,
    get_body,
)

CALL_TIMEOUT_S = 1.0
# On a slow link a page of 1 MB takes longer than CALL_TIMEOUT_S, but its bytes keep
# arriving.
LIST_TIMEOUT_S = 4.0
DIAL_TIMEOUT_S = 0.7
# Time for the response to a watch beyond the wait that the store is asked for.
WATCH_MARGIN_S = 2.0
RETRY_DELAY_S = 0.1
# A connection may fall silent while it is idle, without a sign.
MAX_IDLE_S = 1.0
# Limit of one response: a page has about 1 MB, but a watch may return many objects of
# 1 MB each.
MAX_RESPONSE_BYTES = 16 << 20
MAX_REPORTED_OBJECTS = 1000
MAX_LOGGED_CHARACTERS = 200

log = Logger("store")


class ConflictError(PlatformError):
    """A write whose precondition failed; `current` is the stored object, if any."""

    def __init__(self, current: StoredObject | None) -> None:
        super().__init__(Code.PLATFORM_CONFLICT)
        self.current = current


class RevisionExpiredError(PlatformError):
    """A watch from a revision that is older than the history kept by the store."""

    def __init__(self) -> None:
        super().__init__(
            Code.PLATFORM_NOT_FOUND, "the revision to watch from has expired"
        )


class EraEndedError(PlatformError):
    """A conditional write whose condition was read in an earlier era of the store."""

    def __init__(self, era: int, known_era: int) -> None:
        super().__init__(
            Code.PLATFORM_CONFLICT,
            f"the condition is from era {era} of the store, known is {known_era}",
        )


class Answer(NamedTuple):
    """A response of the store, and the era that it states."""

    response: Response
    era: int


class Store:
    """HTTP client of the platform's store; each call may raise `PlatformError`."""

    def __init__(
        self, address: tuple[str, int], clock: Clock, counters: Counters
    ) -> None:
        self._address = address
        self._clock = clock
        self._counters = counters
        self.eras = EraReader(clock, counters)
        self._idle: list[Connection] = []
        # Latest revision of each unreadable object that was logged, by kind and name.
        self._reported_revisions: dict[tuple[str, str], int] = {}

    def change_address(self, address: tuple[str, int]) -> None:
        """Send all later calls to another address."""
        if address == self._address:
            return
        self._address = address
        self._close_idle()

    def get(
        self, kind: str, name: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> StoredObject | None:
        """Read an object; return None if it does not exist."""
        response, era = self._call(
            "GET", f"/objects/{kind}/{quote_segment(name)}", None, timeout_s
        )
        if response.status == 404:
            return None
        item = decode_object(get_body(response), era)
        if item.error:
            self._report_unreadable(kind, item.name, item.revision, item.error)
        return item

    def list_kind(self, kind: str, timeout_s: float = LIST_TIMEOUT_S) -> Listing:
        """Read all objects of a kind, page by page; the timeout applies to each page.

        A page fails earlier if no bytes arrive for `CALL_TIMEOUT_S`. Raises
        `EraEndedError` if a new era begins between two pages.
        """
        items: list[StoredObject] = []
        query = ""
        while True:
            path = f"/objects/{kind}{query}"
            response, era = self._call("GET", path, None, timeout_s, CALL_TIMEOUT_S)
            if items and items[-1].era != era:
                raise EraEndedError(items[-1].era, era)
            if response.status == 404:
                return Listing([], 0, era)
            page = decode_body(response)
            elements = decode_elements(page, "items")
            items += self._decode_readable(kind, elements, era)
            if not decode_member(page, "hasMore", bool | None, False):
                return Listing(items, decode_member(page, "atRevision", Count), era)
            if not items:
                raise PlatformError(Code.PLATFORM_BAD_ANSWER, "a page without names")
            query = f"?after={quote_segment(items[-1].name)}"

    def watch(self, kind: str, revision: int, wait_s: float) -> ChangeBatch:
        """Wait for changes after a revision; raise `RevisionExpiredError`."""
        path = f"/objects/{kind}?watch={revision}&waitMs={int(wait_s * 1000)}"
        response, era = self._call("GET", path, None, wait_s + WATCH_MARGIN_S)
        if response.status == 410:
            raise RevisionExpiredError
        page = decode_body(response)
        events = decode_elements(page, "events")
        changes = self._decode_readable_changes(kind, events, era)
        return ChangeBatch(changes, decode_member(page, "atRevision", Count), era)

    def _decode_readable(
        self, kind: str, elements: list[bytes], era: int
    ) -> list[StoredObject]:
        """Decode the objects of a page, and leave out those without a readable name."""
        items = []
        for element in elements:
            try:
                item = decode_object(element, era)
            except PlatformError as error:
                self._report_unreadable(kind, "", 0, error.detail)
                continue
            if item.error:
                self._report_unreadable(kind, item.name, item.revision, item.error)
            items.append(item)
        return items

    def _decode_readable_changes(
        self, kind: str, elements: list[bytes], era: int
    ) -> list[Change]:
        """Decode the events of a watch, and leave out those that are not readable."""
        changes = []
        for element in elements:
            try:
                event = read_members(element)
                is_removed = decode_member(event, "removed", bool | None, False)
            except (InputError, PlatformError) as error:
                self._report_unreadable(kind, "", 0, str(error))
                continue
            items = self._decode_readable(kind, [event.get("object", b"")], era)
            changes += [Change(item, bool(is_removed)) for item in items]
        return changes

    def _report_unreadable(
        self, kind: str, name: str, revision: int, reason: str
    ) -> None:
        """Count an unreadable object, and log each revision of it once."""
        self._counters.count("store_objects_unreadable", kind=kind)
        if self._reported_revisions.get((kind, name)) == revision:
            return
        if len(self._reported_revisions) >= MAX_REPORTED_OBJECTS:
            self._reported_revisions.clear()
        self._reported_revisions[kind, name] = revision
        log.warning(
            "stored object not readable",
            kind=kind,
            name=name[:MAX_LOGGED_CHARACTERS],
            revision=revision,
            reason=reason[:MAX_LOGGED_CHARACTERS],
        )

    def create(
        self, kind: str, name: str, value: Any, timeout_s: float
    ) -> StoredObject:
        """Create an object; raise `ConflictError` if the name is taken."""
        body = {"metadata": {"name": name}, "specification": value, "status": None}
        return self._write(
            "POST", f"/objects/{kind}", body, timeout_s, self.eras.get_seen()
        )

    def replace(
        self, kind: str, name: str, value: Any, known: StoredObject, timeout_s: float
    ) -> StoredObject:
        """Replace an object if it is at its known revision, else raise `ConflictError`.

        Raises `EraEndedError` if the known object was read in an earlier era: another
        state of the object may have its revision now.
        """
        body = {
            "metadata": {"name": name, "revision": known.revision},
            "specification": value,
            "status": None,
        }
        path = f"/objects/{kind}/{quote_segment(name)}"
        return self._write("PUT", path, body, timeout_s, known.era)

    def put(
        self,
        kind: str,
        name: str,
        value: Any,
        known: StoredObject | None,
        timeout_s: float,
    ) -> StoredObject:
        """Replace the known version of an object, or create it if none is known."""
        if known is None:
            return self.create(kind, name, value, timeout_s)
        return self.replace(kind, name, value, known, timeout_s)

    def _write(
        self, method: str, path: str, body: Any, timeout_s: float, era: int | None
    ) -> StoredObject:
        """Repeat a conditional write until its result is known.

        A write whose response is lost is sent again with the same precondition, but not
        in a later era than that of the precondition. If the first attempt took effect,
        the store returns this client's own value with the conflict. `era` is None if no
        era was seen before.
        """
        data = msgspec.json.encode(body)
        deadline_ns = self._clock.now_ns() + int(timeout_s * NS_PER_S)
        while True:
            self._check_era(era)
            remaining_s = self._get_remaining_s(deadline_ns)
            try:
                response, answer_era = self._call(
                    method, path, data, min(remaining_s, CALL_TIMEOUT_S)
                )
            except PlatformError:
                if remaining_s < RETRY_DELAY_S * 2:
                    raise
                gevent.sleep(RETRY_DELAY_S)
                continue
            self._check_era(era)
            if response.status != 409:
                return decode_object(get_body(response), answer_era)
            current = decode_current(response, answer_era)
            if current is not None and current.value == decode_specification(data):
                return current
            raise ConflictError(current)

    def _check_era(self, era: int | None) -> None:
        """Raise `EraEndedError` if an era, or None for any, is not the latest one."""
        if era not in (None, self.eras.era):
            raise EraEndedError(era, self.eras.era)

    def _call(
        self,
        method: str,
        path: str,
        data: bytes | None,
        timeout_s: float,
        silence_limit_s: float | None = None,
    ) -> Answer:
        """Make one call; raise `PlatformError` if it fails.

        `silence_limit_s` bounds how long the response may stall.
        """
        self._counters.count("store_calls", method=method)
        headers = [("Host", f"{self._address[0]}:{self._address[1]}")]
        if data is not None:
            headers += JSON_HEADERS
        message = encode_request(method, path, headers, data or b"")
        deadline_ns = self._clock.now_ns() + int(timeout_s * NS_PER_S)
        connection = None
        try:
            connection = self._acquire_connection(min(timeout_s, DIAL_TIMEOUT_S))
            connection.send(message, self._get_remaining_s(deadline_ns))
            parser = ResponseParser(max_body_bytes=MAX_RESPONSE_BYTES)
            response = connection.read(
                parser, self._get_remaining_s(deadline_ns), silence_limit_s
            )
        except (OSError, MalformedMessageError) as error:
            if connection is not None:
                connection.close()
            # What broke or silenced this connection may have done so to all of them.
            self._close_idle()
            self._counters.count("store_calls_failed", reason=type(error).__name__)
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, str(error)) from error
        except BaseException:
            if connection is not None:
                connection.close()
            raise
        self._release_connection(connection, response)
        self._raise_for_status(response)
        return Answer(response, self.eras.accept(response.get_header(STORE_ERA)))

    def _get_remaining_s(self, deadline_ns: int) -> float:
        return (deadline_ns - self._clock.now_ns()) / NS_PER_S

    def _raise_for_status(self, response: Response) -> None:
        if response.status == 429:
            self._counters.count("store_calls_failed", reason="429")
            raise PlatformError(Code.PLATFORM_RATE_LIMITED)
        if response.status >= 500:
            self._counters.count("store_calls_failed", reason=str(response.status))
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, f"status {response.status}")

    def _acquire_connection(self, timeout_s: float) -> Connection:
        while self._idle:
            connection = self._idle.pop()
            idle_ns = self._clock.now_ns() - connection.idle_since_ns
            if idle_ns < MAX_IDLE_S * NS_PER_S and connection.is_reusable():
                return connection
            connection.close()
        return dial(self._address, timeout_s)

    def _close_idle(self) -> None:
        while self._idle:
            self._idle.pop().close()

    def _release_connection(self, connection: Connection, response: Response) -> None:
        if response.reusable:
            connection.idle_since_ns = self._clock.now_ns()
            self._idle.append(connection)
        else:
            connection.close()


def quote_segment(text: str) -> str:
    """Quote text for use in a path or a query."""
    return quote(text, safe="")
