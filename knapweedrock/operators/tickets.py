"""Tickets: their type, their file formats and the check of one by itself."""

import hashlib
import re
import tomllib
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NotRequired, TypedDict

import msgspec

from knapweedrock.checker import NAME_PATTERN
from knapweedrock.codes import Code
from knapweedrock.configuration import Rule, Service, Zone
from knapweedrock.errors import TicketError
from knapweedrock.operators.schema import TOP, Problem, check_type, show_value

MAX_TICKET_BYTES = 262_144
MAX_NUMBER = (1 << 53) - 1
MAX_REQUEST_MS = 600_000
MAX_PROBLEMS = 100
PATH_PATTERN = re.compile(r"/[!-~]{0,255}")
KEY_NAME_PATTERN = re.compile(r"[!-~]{1,128}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,20}")
DELETE_PATTERN = re.compile(rf"(services|zones|rules)/{NAME_PATTERN.pattern}")
NAME_EXPECTED = "1 to 63 letters, digits, '.', '_' or '-', a letter or digit first"
KINDS = ("services", "zones", "rules")


class Ticket(TypedDict):
    """A numbered change with the whole new state of each object that it touches.

    `delete` lists objects as `services/NAME`, `zones/NAME` or `rules/NAME`.
    """

    number: int
    services: NotRequired[list[Service]]
    zones: NotRequired[list[Zone]]
    rules: NotRequired[list[Rule]]
    delete: NotRequired[list[str]]


Decoder = Callable[[bytes], Any]
ObjectCheck = Callable[[Any, str], Iterator[Problem]]

DECODERS: dict[str, Decoder] = {}
OBJECT_CHECKS: dict[str, ObjectCheck] = {}


def ticket_format(suffix: str) -> Callable[[Decoder], Decoder]:
    """Register the decoder of files with this suffix; it raises ValueError."""

    def register(decoder: Decoder) -> Decoder:
        DECODERS[suffix] = decoder
        return decoder

    return register


def object_check(kind: str) -> Callable[[ObjectCheck], ObjectCheck]:
    """Register the check of what an object's types leave open."""

    def register(check: ObjectCheck) -> ObjectCheck:
        OBJECT_CHECKS[kind] = check
        return check

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


def group_errors(errors: list[TicketError]) -> ExceptionGroup:
    """Group the errors of one ticket."""
    return ExceptionGroup("the ticket is refused", errors)


def check_content(value: dict[str, Any], unsound: set[str]) -> Iterator[Problem]:
    """Yield what the types leave open in each field that is not unsound already."""
    if "number" in value and "number" not in unsound:
        yield from check_number(value["number"], "number", 1, MAX_NUMBER)
    for kind in KINDS:
        for field, item in list_items(value, kind, unsound):
            name = f"{field}.name"
            yield from check_pattern(item["name"], name, NAME_PATTERN, NAME_EXPECTED)
            yield from OBJECT_CHECKS[kind](item, field)
    for field, path in list_items(value, "delete", unsound):
        expected = "services/NAME, zones/NAME or rules/NAME"
        yield from check_pattern(path, field, DELETE_PATTERN, expected)


def list_items(
    value: dict[str, Any], kind: str, unsound: set[str]
) -> Iterator[tuple[str, Any]]:
    """Yield the sound items of a list in a ticket, each with its field."""
    if kind in unsound:
        return
    for index, item in enumerate(value.get(kind, [])):
        field = f"{kind}[{index}]"
        if field not in unsound:
            yield field, item


def check_whole(ticket: Ticket) -> Iterator[Problem]:
    """Yield what is wrong with the objects of a ticket taken together."""
    touched = Counter(list_touched(ticket))
    if not touched:
        expected = "at least one of services, zones, rules and delete"
        yield Problem(TOP, "no object", expected)
    for path, times in touched.items():
        if times > 1:
            yield Problem(path, f"it {times} times", "each object once")


def list_touched(ticket: Ticket) -> list[str]:
    """List the objects that a ticket sets or deletes."""
    touched = [
        f"{kind}/{item['name']}" for kind in KINDS for item in ticket.get(kind, [])
    ]
    return touched + ticket.get("delete", [])


def check_pattern(
    value: str, field: str, pattern: re.Pattern[str], expected: str
) -> Iterator[Problem]:
    """Yield the problem of a text that does not match."""
    if not pattern.fullmatch(value):
        yield Problem(field, show_value(value), expected)


def check_number(value: int, field: str, low: int, high: int) -> Iterator[Problem]:
    """Yield the problem of a number out of bounds."""
    if not low <= value <= high:
        yield Problem(field, show_value(value), f"{low} to {high}")


@object_check("services")
def check_service(service: Service, field: str) -> Iterator[Problem]:
    """Yield what is wrong with the bounds of a service."""
    longest_ms = service["longest_request_ms"]
    yield from check_number(
        longest_ms, f"{field}.longest_request_ms", 1, MAX_REQUEST_MS
    )
    default_ms = service.get("default_deadline_ms", longest_ms)
    if default_ms != longest_ms:
        name = f"{field}.default_deadline_ms"
        yield from check_number(default_ms, name, 1, longest_ms)


@object_check("zones")
def check_zone(zone: Zone, field: str) -> Iterator[Problem]:
    """Yield what is wrong with a zone's region."""
    yield from check_pattern(
        zone["region"], f"{field}.region", NAME_PATTERN, NAME_EXPECTED
    )


@object_check("rules")
def check_rule(rule: Rule, field: str) -> Iterator[Problem]:
    """Yield what is wrong with a rule's path, key and methods."""
    expected = "a path of at most 256 printable ASCII characters without '?' or '#'"
    prefix = rule["path_prefix"]
    if not PATH_PATTERN.fullmatch(prefix) or "?" in prefix or "#" in prefix:
        yield Problem(f"{field}.path_prefix", show_value(prefix), expected)
    if "key" in rule:
        expected = "1 to 128 printable ASCII characters"
        name = rule["key"]["name"]
        yield from check_pattern(name, f"{field}.key.name", KEY_NAME_PATTERN, expected)
    for index, method in enumerate(rule.get("idempotent", [])):
        expected = "an HTTP method in capitals"
        name = f"{field}.idempotent[{index}]"
        yield from check_pattern(method, name, METHOD_PATTERN, expected)


def create_digest(ticket: Ticket) -> str:
    """Compute a digest that is equal for tickets with the same effect."""
    ordered: dict[str, Any] = {
        kind: sorted(ticket.get(kind, []), key=lambda item: item["name"])
        for kind in KINDS
    }
    ordered["delete"] = sorted(ticket.get("delete", []))
    ordered["number"] = ticket["number"]
    body = msgspec.json.encode(ordered, order="sorted")
    return hashlib.sha256(body).hexdigest()
