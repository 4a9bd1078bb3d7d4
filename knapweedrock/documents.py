"""Report files: JSON documents with a format name and a format version."""

from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec

from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError

MAX_DOCUMENT_BYTES = 256 << 20

# Bounds on numbers in files from any source, so that computing with them is safe.
MAX_COUNT = 1 << 53
MAX_NUMBER = float(MAX_COUNT)

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]

T = TypeVar("T")


def read_document(path: Path, name: str, version: int, kind: type[T]) -> T:
    """Read a report file of one format and version.

    Raises `KnapweedrockError` with `REPORT_MALFORMED`.
    """
    try:
        with path.open("rb") as file:
            body = file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        raise create_malformed_error(path, error.strerror) from None
    if len(body) > MAX_DOCUMENT_BYTES:
        raise create_malformed_error(
            path, f"found more than {MAX_DOCUMENT_BYTES} bytes"
        )
    try:
        value = msgspec.json.decode(body, type=dict[str, Any])
        for field, expected in (("format", name), ("version", version)):
            if value.get(field) != expected:
                found = value.get(field)
                detail = f"{field}: found {found!r}, expected {expected!r}"
                raise create_malformed_error(path, detail)
        return msgspec.convert(value, kind)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise create_malformed_error(path, str(error)) from None


def write_document(path: Path, value: Any) -> None:
    """Write a new report file.

    Raises `KnapweedrockError` with `REPORT_NOT_WRITTEN`, also if the file exists.
    """
    try:
        with path.open("xb") as file:
            file.write(msgspec.json.encode(value))
    except OSError as error:
        detail = f"{path}: {error.strerror}"
        raise KnapweedrockError(Code.REPORT_NOT_WRITTEN, detail) from None


def create_malformed_error(path: Path, detail: str) -> KnapweedrockError:
    """Create the error for a file that is missing, unreadable or malformed."""
    return KnapweedrockError(Code.REPORT_MALFORMED, f"{path.name}: {detail}")
