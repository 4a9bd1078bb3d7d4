"""Reading of tickets from files and requests, in formats that a registry holds."""

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from knapweedrock.codes import Code
from knapweedrock.errors import TicketError
from knapweedrock.operators.contents import check_content, check_whole
from knapweedrock.operators.schema import TOP, check_type
from knapweedrock.operators.tickets import MAX_TICKET_BYTES, Ticket, group_errors

MAX_PROBLEMS = 100

Decoder = Callable[[bytes], Any]

DECODERS: dict[str, Decoder] = {}


def ticket_format(suffix: str) -> Callable[[Decoder], Decoder]:
    """Register the decoder of files with this suffix; it raises ValueError."""

    def register(decoder: Decoder) -> Decoder:
        DECODERS[suffix] = decoder
        return decoder

    return register


@ticket_format(".toml")
def decode_toml(body: bytes) -> Any:
    """Decode TOML."""
    return tomllib.loads(body.decode())


@ticket_format(".json")
def decode_json(body: bytes) -> Any:
    """Decode JSON."""
    return msgspec.json.decode(body)


def read_ticket_file(path: Path) -> Ticket:
    """Read and check a ticket file; raise an ExceptionGroup of TicketError."""
    with path.open("rb") as file:
        body = file.read(MAX_TICKET_BYTES + 1)
    return read_ticket(body, path.name, path.suffix)


def read_ticket(body: bytes, name: str, suffix: str) -> Ticket:
    """Decode and check a ticket; raise an ExceptionGroup of TicketError."""
    if len(body) > MAX_TICKET_BYTES:
        detail = f"{name}: found more than {MAX_TICKET_BYTES} bytes"
        raise group_errors([TicketError(Code.TICKET_TOO_LARGE, detail)])
    decoder = DECODERS.get(suffix.lower())
    if decoder is None:
        detail = f"{name}: found suffix {suffix!r}, expected " + " or ".join(DECODERS)
        raise group_errors([TicketError(Code.TICKET_MALFORMED, detail)])
    try:
        value = decoder(body)
    except (ValueError, RecursionError) as error:
        detail = f"{name}: {show_reason(error)}, expected {suffix[1:].upper()}"
        raise group_errors([TicketError(Code.TICKET_MALFORMED, detail)]) from None
    return check_ticket(value, name)


def show_reason(error: Exception) -> str:
    """Show why a file can't be decoded."""
    if isinstance(error, RecursionError):
        return "found too many nested levels"
    return str(error).encode("ascii", "backslashreplace").decode()


def check_ticket(value: Any, name: str) -> Ticket:
    """Check decoded data as a ticket; raise an ExceptionGroup of TicketError."""
    problems = list(check_type(Ticket, value, TOP))
    unsound = {problem.field.partition(".")[0] for problem in problems}
    if isinstance(value, dict):
        problems += check_content(value, unsound)
    if not problems:
        problems = list(check_whole(value))
    if not problems:
        return value
    errors = [
        TicketError(Code.TICKET_MALFORMED, f"{name}: {problem}")
        for problem in problems[:MAX_PROBLEMS]
    ]
    raise group_errors(errors)
