"""Check of what the types of a ticket leave open."""

import re
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from knapweedrock.checker import NAME_PATTERN
from knapweedrock.configuration import Cell, Rule, Service, Zone
from knapweedrock.operators.schema import TOP, Problem, show_value
from knapweedrock.operators.tickets import KINDS, Ticket, list_touched

MAX_NUMBER = (1 << 53) - 1
MAX_REQUEST_MS = 600_000
PATH_PATTERN = re.compile(r"/[!-~]{0,255}")
KEY_NAME_PATTERN = re.compile(r"[!-~]{1,128}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,20}")
DELETE_PATTERN = re.compile(rf"(services|zones|rules|cells)/{NAME_PATTERN.pattern}")
VOTER_PATTERN = re.compile(rf"{NAME_PATTERN.pattern}@[0-9a-fA-F.:\[\]]+:[0-9]{{1,5}}")
NAME_EXPECTED = "1 to 63 letters, digits, '.', '_' or '-', a letter or digit first"

ObjectCheck = Callable[[Any, str], Iterator[Problem]]

OBJECT_CHECKS: dict[str, ObjectCheck] = {}


def object_check(kind: str) -> Callable[[ObjectCheck], ObjectCheck]:
    """Register the check of what an object's types leave open."""

    def register(check: ObjectCheck) -> ObjectCheck:
        OBJECT_CHECKS[kind] = check
        return check

    return register


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
        expected = "services/NAME, zones/NAME, rules/NAME or cells/NAME"
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
        expected = "at least one of services, zones, rules, cells and delete"
        yield Problem(TOP, "no object", expected)
    for path, times in touched.items():
        if times > 1:
            yield Problem(path, f"it {times} times", "each object once")


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


@object_check("cells")
def check_cell(cell: Cell, field: str) -> Iterator[Problem]:
    """Yield the lost voters that name no node at a peer address."""
    for index, voter in enumerate(cell["lost_voters"]):
        name = f"{field}.lost_voters[{index}]"
        yield from check_pattern(voter, name, VOTER_PATTERN, "NODE@IP:PORT")


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
