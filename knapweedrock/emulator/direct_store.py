"""Client of an emulated store in the same process, with delays and outages."""

from collections.abc import Callable
from typing import Any

import gevent

from knapweedrock.codes import Code
from knapweedrock.emulator.store import CallRejectedError, ObjectStore
from knapweedrock.errors import PlatformError
from knapweedrock.platform.store import (
    CALL_TIMEOUT_S,
    LIST_TIMEOUT_S,
    ConflictError,
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

    `carry` waits until a number of bytes has left the client's VM.
    """

    def __init__(
        self, objects: ObjectStore, carry: Callable[[int], None] = lambda _size: None
    ) -> None:
        self.delay_factor = 1.0
        self.silent = False
        self.call_count = 0
        self._carry = carry
        self._objects = objects

    def change_address(self, address: tuple[str, int]) -> None:
        """Do nothing: there is only one store."""

    def get(
        self, kind: str, name: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> StoredObject | None:
        """Read an object; return None if it does not exist."""
        self._wait(timeout_s)
        try:
            return create_object(self._objects.get(kind, name))
        except CallRejectedError:
            return None

    def list_kind(self, kind: str, timeout_s: float = LIST_TIMEOUT_S) -> Listing:
        """Read all objects of a kind."""
        self._wait(timeout_s)
        page = self._objects.list_kind(kind, "")
        items = [create_object(item) for item in page["items"]]
        return Listing(items, page["atRevision"])

    def watch(self, kind: str, revision: int, wait_s: float) -> ChangeBatch:
        """Wait for changes after a revision; raise `RevisionExpiredError`."""
        self._wait(CALL_TIMEOUT_S)
        try:
            page = self._objects.watch(kind, revision, wait_s)
        except CallRejectedError as error:
            raise RevisionExpiredError from error
        if self.silent:
            # What the watch would have reported is lost with its connection.
            self._wait(wait_s)
        changes = [
            Change(create_object(event["object"]), event["removed"])
            for event in page["events"]
        ]
        return ChangeBatch(changes, page["atRevision"])

    def create(
        self, kind: str, name: str, value: Any, timeout_s: float
    ) -> StoredObject:
        """Create an object; raise `ConflictError` if the name is taken."""
        self._wait(timeout_s)
        body = {"metadata": {"name": name}, "specification": value}
        return self._write(self._objects.create, kind, body)

    def replace(
        self, kind: str, name: str, value: Any, revision: int, timeout_s: float
    ) -> StoredObject:
        """Replace an object if it is at a revision, else raise `ConflictError`."""
        self._wait(timeout_s)
        metadata = {"name": name, "revision": revision}
        body = {"metadata": metadata, "specification": value}
        return self._write(self._objects.replace, kind, name, body)

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
        return self.replace(kind, name, value, known.revision, timeout_s)

    def _write(self, write: Any, *args: Any) -> StoredObject:
        try:
            return create_object(write(*args))
        except CallRejectedError as error:
            current = create_object(error.current) if error.current else None
            raise ConflictError(current) from error

    def _wait(self, timeout_s: float) -> None:
        """Wait for the store's response; raise `PlatformError` if none comes."""
        self.call_count += 1
        delay_s = CALL_MS * self.delay_factor / 1000
        try:
            with Timeout(timeout_s):
                self._carry(CALL_BYTES)
                gevent.sleep(timeout_s if self.silent else delay_s)
        except TimeoutError as error:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "no response") from error
        if self.silent:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "no response")


def create_object(fields: dict[str, Any]) -> StoredObject:
    """Create the object that a client decodes from the store's fields."""
    metadata = fields["metadata"]
    return StoredObject(metadata["name"], metadata["revision"], fields["specification"])
