"""Objects of the platform's store, decoded one by one, with bounds."""

from typing import Annotated, Any, NamedTuple

import msgspec

from knapweedrock.codes import Code
from knapweedrock.documents import Count
from knapweedrock.eras.versions import StoreVersion
from knapweedrock.errors import PlatformError
from knapweedrock.json_input import (
    InputError,
    decode_json,
    read_elements,
    read_members,
)
from knapweedrock.mesh.http import Response


class StoredObject(NamedTuple):
    """An object's name, its value and the revision of its last change.

    `error` says why the value is not readable; the value is then None. `era` is the
    era of the store in which the object was read.
    """

    name: str
    revision: int
    value: Any
    error: str = ""
    era: int = 0

    @property
    def version(self) -> StoreVersion:
        """Return the version of the object's last change."""
        return StoreVersion(self.era, self.revision)


class ObjectMetadata(msgspec.Struct):
    """Metadata that the store gives each object."""

    name: Annotated[str, msgspec.Meta(min_length=1)]
    revision: Count


class Listing(NamedTuple):
    """All objects of a kind at one version of the store."""

    items: list[StoredObject]
    revision: int
    era: int = 0

    @property
    def version(self) -> StoreVersion:
        """Return the version of the store that was listed."""
        return StoreVersion(self.era, self.revision)


class Change(NamedTuple):
    """An object that was created, replaced or removed."""

    item: StoredObject
    removed: bool


class ChangeBatch(NamedTuple):
    """Changes up to a version of the store."""

    changes: list[Change]
    revision: int
    era: int = 0

    @property
    def version(self) -> StoreVersion:
        """Return the version of the store up to which changes are included."""
        return StoreVersion(self.era, self.revision)


def get_body(response: Response) -> bytes:
    """Return the body of a successful response; raise `PlatformError`."""
    if response.status >= 300:
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"status {response.status}")
    return response.body


def decode_body(response: Response) -> dict[str, bytes]:
    """Return the undecoded members of a successful response's body.

    Raises `PlatformError`.
    """
    try:
        return read_members(get_body(response))
    except InputError as error:
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, str(error)) from error


def decode_member(
    members: dict[str, bytes], name: str, kind: Any, default: Any = None
) -> Any:
    """Decode a member of an object; raise `PlatformError`.

    A member with a default other than None may be missing.
    """
    if name not in members and default is not None:
        return default
    try:
        return decode_json(members.get(name, b""), kind)
    except InputError as error:
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"{name}: {error}") from error


def decode_elements(members: dict[str, bytes], name: str) -> list[bytes]:
    """Return the undecoded elements of an array, which may be missing or null.

    Raises `PlatformError`.
    """
    data = members.get(name, b"null")
    if data == b"null":
        return []
    try:
        return read_elements(data)
    except InputError as error:
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, f"{name}: {error}") from error


def decode_object(data: bytes, era: int) -> StoredObject:
    """Decode an object that was read in an era of the store.

    Raises `PlatformError` if its metadata is not readable.
    """
    try:
        members = read_members(data)
    except InputError as error:
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, str(error)) from error
    metadata = decode_member(members, "metadata", ObjectMetadata)
    if "specification" not in members:
        error = "no specification"
        return StoredObject(metadata.name, metadata.revision, None, error, era)
    try:
        value = decode_json(members["specification"])
    except InputError as error:
        return StoredObject(metadata.name, metadata.revision, None, str(error), era)
    return StoredObject(metadata.name, metadata.revision, value, "", era)


def decode_specification(data: bytes) -> Any:
    """Return the value in the body of a write, as the store returns it."""
    return msgspec.json.decode(data)["specification"]


def decode_current(response: Response, era: int) -> StoredObject | None:
    """Decode the stored object from a conflict response, or return None."""
    try:
        return decode_object(response.body, era)
    except PlatformError:
        return None
