"""Check of plain data against TypedDict types, naming every problem found."""

from collections.abc import Callable, Iterator
from typing import (
    Any,
    Literal,
    NamedTuple,
    get_args,
    get_origin,
    get_type_hints,
    is_typeddict,
)

import msgspec

SHOWN_CHARACTERS = 60
TOP = "ticket"


class Problem(NamedTuple):
    """A field whose value is not what its type expects."""

    field: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.field}: found {self.found}, expected {self.expected}"


TypeChecker = Callable[[Any, Any, str], Iterator[Problem]]

CHECKERS: dict[Any, TypeChecker] = {}

NAMES = {bool: "true or false", int: "a whole number", str: "text"}


def type_checker(origin: Any) -> Callable[[TypeChecker], TypeChecker]:
    """Register the checker of generic types with this origin."""

    def register(checker: TypeChecker) -> TypeChecker:
        CHECKERS[origin] = checker
        return checker

    return register


def check_type(hint: Any, value: Any, field: str) -> Iterator[Problem]:
    """Yield every problem of a value against a type."""
    if is_typeddict(hint):
        yield from check_table(hint, value, field)
        return
    checker = CHECKERS.get(get_origin(hint), check_plain)
    yield from checker(hint, value, field)


def check_table(hint: Any, value: Any, field: str) -> Iterator[Problem]:
    """Yield the problems of a value that should be a TypedDict."""
    hints = get_type_hints(hint)
    if not isinstance(value, dict):
        expected = "a table with " + ", ".join(sorted(hint.__required_keys__))
        yield Problem(field, show_value(value), expected)
        return
    for name in sorted(hint.__required_keys__ - value.keys()):
        yield Problem(join(field, name), "nothing", describe(hints[name]))
    for name in sorted(value.keys() - hints.keys()):
        expected = "one of the fields " + ", ".join(hints)
        yield Problem(join(field, name), "an unknown field", expected)
    for name, inner in hints.items():
        if name in value:
            yield from check_type(inner, value[name], join(field, name))


@type_checker(list)
def check_list(hint: Any, value: Any, field: str) -> Iterator[Problem]:
    """Yield the problems of a value that should be a list."""
    if not isinstance(value, list):
        yield Problem(field, show_value(value), describe(hint))
        return
    for index, item in enumerate(value):
        yield from check_type(get_args(hint)[0], item, f"{field}[{index}]")


def check_plain(hint: Any, value: Any, field: str) -> Iterator[Problem]:
    """Yield the problem of a value that should be of a simple type."""
    try:
        msgspec.convert(value, hint)
    except (msgspec.ValidationError, OverflowError):
        yield Problem(field, show_value(value), describe(hint))


def describe(hint: Any) -> str:
    """Describe a type in words."""
    if get_origin(hint) is Literal:
        return " or ".join(repr(choice) for choice in get_args(hint))
    if get_origin(hint) is list:
        return "a list"
    return NAMES.get(hint, "a table")


def show_value(value: Any) -> str:
    """Show a value shortly, whatever it holds."""
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        text = f"a {type(value).__name__}"
    text = text.encode("ascii", "backslashreplace").decode()
    if len(text) <= SHOWN_CHARACTERS:
        return text
    return text[:SHOWN_CHARACTERS] + "..."


def join(field: str, name: str) -> str:
    """Join a field's path with the name of a field below it."""
    shown = name if name.isidentifier() and name.isascii() else show_value(name)
    return f"{field}.{shown}" if field != TOP else shown
