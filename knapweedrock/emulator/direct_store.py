"""Client of an emulated store in the same process, with delays and outages."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent

from knapweedrock.clock import Clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.emulator.store import CallRejectedError, ObjectStore
from knapweedrock.eras.reader import EraReader
from knapweedrock.errors import PlatformError
from knapweedrock.platform.store import (
    CALL_TIMEOUT_S,
    LIST_TIMEOUT_S,
    ConflictError,
    EraEndedError,
    RevisionExpiredError,
)
from knapweedrock.platform.stored_objects import (
    Change,
    ChangeBatch,
    Listing,
    StoredObject,
)
from knapweedrock.timers import Timeout

CALL_MS = 4.0
# Size of a call without a large value.
CALL_BYTES = 400


class DirectStore:
    """A client with the interface of `platform.store.Store`, without a network.

    - `delay_factor` multiplies the time of each call.
    - `silent`: calls get no response.
    - `refusing`: calls fail at once.
    - `late_write_s`: if above 0, writes get no response and take effect this late.

    `carry` waits until a number of bytes has left the client's VM.
    """

    def __init__(
        self,
        objects: ObjectStore,
        clock: Clock,
        carry: Callable[[int], None] = lambda _size: None,
    ) -> None:
        self._clock = clock
        self.forget_era()
        self.delay_factor = 1.0
        self.silent = False
        self.refusing = False
        self.late_write_s = 0.0
        self.call_count = 0
        self._carry = carry
        self._objects = objects

    def forget_era(self) -> None:
        """Forget what eras were seen and who listens, as a new process does."""
        self.eras = EraReader(self._clock, Counters())

    def change_address(self, address: tuple[str, int]) -> None:
        """Do nothing: there is only one store."""

    def get(
        self, kind: str, name: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> StoredObject | None:
        """Read an object; return None if it does not exist."""
        era = self._wait(timeout_s)
        try:
            return create_object(self._objects.get(kind, name), era)
        except CallRejectedError:
            return None

    def list_kind(self, kind: str, timeout_s: float = LIST_TIMEOUT_S) -> Listing:
        """Read all objects of a kind."""
        era = self._wait(timeout_s)
        page = self._objects.list_kind(kind, "")
        items = [create_object(item, era) for item in page["items"]]
        return Listing(items, page["atRevision"], era)

    def watch(self, kind: str, revision: int, wait_s: float) -> ChangeBatch:
        """Wait for changes after a revision; raise `RevisionExpiredError`."""
        self._wait(CALL_TIMEOUT_S)
        try:
            page = self._objects.watch(kind, revision, wait_s)
        except CallRejectedError as error:
            raise RevisionExpiredError from error
        if self.refusing:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "connection reset")
        if self.silent:
            # What the watch would have reported is lost with its connection.
            self._wait(wait_s)
        era = self._accept_era()
        changes = [
            Change(create_object(event["object"], era), event["removed"])
            for event in page["events"]
        ]
        return ChangeBatch(changes, page["atRevision"], era)

    def create(
        self, kind: str, name: str, value: Any, timeout_s: float
    ) -> StoredObject:
        """Create an object; raise `ConflictError` if the name is taken."""
        era = self.eras.get_seen()
        answer_era = self._wait(timeout_s)
        body = {"metadata": {"name": name}, "specification": value}
        return self._write(
            answer_era if era is None else era, self._objects.create, kind, body
        )

    def replace(
        self, kind: str, name: str, value: Any, known: StoredObject, timeout_s: float
    ) -> StoredObject:
        """Replace an object if it is at its known revision, else raise `ConflictError`.

        Raises `EraEndedError` if the known object was read in an earlier era.
        """
        self._check_era(known.era)
        self._wait(timeout_s)
        metadata = {"name": name, "revision": known.revision}
        body = {"metadata": metadata, "specification": value}
        return self._write(known.era, self._objects.replace, kind, name, body)

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

    def _write(self, era: int, write: Any, *args: Any) -> StoredObject:
        """Write as decided in an era; the write itself does not depend on the era."""
        if self.late_write_s:
            gevent.spawn_later(self.late_write_s, execute_late, write, *args)
            gevent.sleep(CALL_TIMEOUT_S)
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "no response")
        try:
            written = create_object(write(*args), era)
        except CallRejectedError as error:
            self._check_era(era)
            if error.status == 404:
                detail = f"status {error.status}"
                raise PlatformError(Code.PLATFORM_BAD_ANSWER, detail) from error
            current = create_object(error.current, era) if error.current else None
            raise ConflictError(current) from error
        self._check_era(era)
        return written

    def _check_era(self, era: int) -> None:
        """Raise `EraEndedError` if an era is not the latest one."""
        if era != self.eras.era:
            raise EraEndedError(era, self.eras.era)

    def _accept_era(self) -> int:
        era = self._objects.era
        return self.eras.accept(str(era) if era else "")

    def _wait(self, timeout_s: float) -> int:
        """Wait for the store's response, and return the era that it states.

        Raises `PlatformError` if none comes.
        """
        self.call_count += 1
        if self.refusing:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "connection refused")
        delay_s = CALL_MS * self.delay_factor / 1000
        try:
            with Timeout(timeout_s):
                self._carry(CALL_BYTES)
                gevent.sleep(timeout_s if self.silent else delay_s)
        except TimeoutError as error:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "no response") from error
        if self.silent:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "no response")
        return self._accept_era()


def execute_late(write: Any, *args: Any) -> None:
    """Execute a write if its condition still holds."""
    with suppress(CallRejectedError):
        write(*args)


def create_object(fields: dict[str, Any], era: int) -> StoredObject:
    """Create the object that a client decodes from the store's fields."""
    metadata = fields["metadata"]
    value = fields["specification"]
    return StoredObject(metadata["name"], metadata["revision"], value, "", era)
