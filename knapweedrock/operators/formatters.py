"""Formatters of what operators' commands show, for people and for programs."""

import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

MS_PER_S = 1000

Formatter = Callable[[Any], str]

FORMATTERS: dict[str, Formatter] = {}


def formatter(subject: str) -> Callable[[Formatter], Formatter]:
    """Register the formatter of a subject for people."""

    def register(function: Formatter) -> Formatter:
        FORMATTERS[subject] = function
        return function

    return register


def format_json(value: Any) -> str:
    """Format any subject for programs."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def format_table(titles: tuple[str, ...], rows: Iterable[Iterable[object]]) -> str:
    """Format rows in columns of equal width."""
    lines = [titles, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_time(since_ms: int) -> str:
    """Format a wall time in UTC; 0 is that of a table's first owners."""
    if not since_ms:
        return "the service began"
    moment = time.gmtime(since_ms / MS_PER_S)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", moment)


@formatter("checked")
def format_checked(value: dict[str, Any]) -> str:
    """Format the result of a check."""
    against = " and fits the configuration" if value["compared"] else ""
    return f"ticket {value['number']} is well formed{against}; it touches " + ", ".join(
        value["touches"]
    )


@formatter("applied")
def format_applied(value: dict[str, Any]) -> str:
    """Format the result of an application."""
    lines = [f"ticket {value['number']} is accepted in version {value['version']}"]
    if value["repeated"]:
        lines = [
            f"ticket {value['number']} was accepted before; the configuration "
            f"stands at version {value['version']}"
        ]
    if value["in_force"]:
        lines.append(f"in force everywhere after {value['waited_s']:.1f} s")
    for lag in value["lags"]:
        lines.append(f"not in force at {lag['place']}: {lag['reason']}")
    return "\n".join(lines)


@formatter("ticket")
def format_ticket(value: dict[str, Any]) -> str:
    """Format what is known of one ticket."""
    lines = [f"ticket {value['number']}, digest {value['digest'] or 'forgotten'}"]
    lines += [f"  {path}: {state}" for path, state in value["objects"].items()]
    if not value["objects"]:
        lines.append("  later tickets touched all its objects again")
    return "\n".join(lines)


@formatter("tickets")
def format_tickets(value: dict[str, Any]) -> str:
    """Format the list of tickets."""
    rows = [
        (item["number"], item["digest"][:12], " ".join(item["objects"]) or "-")
        for item in value["tickets"]
    ]
    table = format_table(("NUMBER", "DIGEST", "LAST TO TOUCH"), rows)
    return f"configuration version {value['version']}\n{table}"


@formatter("owner")
def format_owner(value: dict[str, Any]) -> str:
    """Format the owner of a key."""
    if not value["keyed"]:
        return f"{value['service']} is not divided by key; served by " + (
            ", ".join(value["targets"]) or "nobody"
        )
    if not value["owner"]:
        return f"{value['service']} {value['key']}: nobody owns the key now"
    marks = [name for name in ("hot", "moving") if value[name]]
    return (
        f"{value['service']} {value['key']}: owned by {value['owner']} in "
        f"{value['zone'] or 'an unknown zone'} at {value['caller'] or 'no address'} "
        f"since {format_time(value['since_ms'])}, token {value['token']}, "
        f"view {value['epoch']}.{value['count']}"
        + "".join(f", {mark}" for mark in marks)
    )


@formatter("status")
def format_status(value: dict[str, Any]) -> str:
    """Format the overview of a cell."""
    blocks = [
        f"cell {value['cell']}: coordinator {value['coordinator'] or 'none'}, "
        f"standby {value['standby'] or 'none'}, view {value['epoch']}."
        f"{value['count']}, configuration {value['configuration_version']}",
        format_zones(value),
        format_members(value),
        format_tables(value),
        format_troubles(value),
    ]
    return "\n\n".join(block for block in blocks if block)


def format_zones(value: dict[str, Any]) -> str:
    """Format the zones of the configuration."""
    return format_table(("ZONE", "STATE"), value["zones"].items())


def format_members(value: dict[str, Any]) -> str:
    """Format the members of the cell."""
    rows = [
        (
            name,
            member.get("zone", "?"),
            member.get("service") or "-",
            member.get("state", "?") + (", cold" if member.get("cold") else ""),
            member.get("config_version", "?"),
            member.get("last_heard_ms", "?"),
        )
        for name, member in value["members"].items()
    ]
    titles = ("NODE", "ZONE", "SERVICE", "STATE", "CONFIGURATION", "HEARD MS AGO")
    return format_table(titles, rows)


def format_tables(value: dict[str, Any]) -> str:
    """Format who owns which share of each keyed service."""
    rows = [
        (name, owner, f"{share:.1%}", table["ranges"], table["moving"], table["hot"])
        for name, table in value["tables"].items()
        for owner, share in {
            **table["shares"],
            **({"nobody": table["unowned_share"]} if table["unowned_share"] else {}),
        }.items()
    ]
    titles = ("SERVICE", "OWNER", "SHARE", "RANGES", "MOVING", "HOT")
    return format_table(titles, rows) if rows else ""


def format_troubles(value: dict[str, Any]) -> str:
    """Format what is not right and what mends it."""
    if not value["troubles"]:
        return "nothing is wrong"
    return "\n".join(
        f"not right: {item['trouble']}\n  to mend: {item['action']}"
        for item in value["troubles"]
    )
