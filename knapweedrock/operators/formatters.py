"""Formatters of command results, for people and for programs."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from knapweedrock.mesh.overview import Overview
from knapweedrock.mesh.owners import Owner

Formatter = Callable[[Any], str]

FORMATTERS: dict[str, Formatter] = {}


def formatter(subject: str) -> Callable[[Formatter], Formatter]:
    """Register a function that formats a subject for people."""

    def register(function: Formatter) -> Formatter:
        FORMATTERS[subject] = function
        return function

    return register


def format_json(value: Any) -> str:
    """Format a result as indented JSON, for programs."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def format_table(titles: tuple[str, ...], rows: Iterable[Iterable[object]]) -> str:
    """Format rows as a table with aligned columns."""
    lines = [titles, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


@formatter("owner")
def format_owner(value: Owner) -> str:
    """Format the owner of a key."""
    if not value["keyed"]:
        return f"nobody owns keys of {value['service']}; served by " + (
            ", ".join(value["targets"]) or "nobody"
        )
    head = f"{value['service']} {value['key']}: "
    if not value["node_id"]:
        return head + "nobody owns the key now"
    moving = f", moving to {value['next_node']}" if value["next_node"] else ""
    return (
        f"{head}owned by {value['node_id']} in {value['zone'] or 'an unknown zone'}, "
        f"target {value['target']}, token {value['token']}, "
        f"board {value['epoch']}.{value['version']}{moving}"
    )


@formatter("status")
def format_status(value: Overview) -> str:
    """Format the overview of a mesh."""
    blocks = [
        f"node {value['node_id']}, lease {value['lease_ms']} ms: "
        f"coordinator {value['coordinator'] or 'unknown'}, board {value['epoch']}."
        f"{value['version']}, configuration {value['configuration_version']}",
        format_members(value),
        format_tables(value),
        format_troubles(value),
    ]
    return "\n\n".join(block for block in blocks if block)


def format_members(value: Overview) -> str:
    """Format the members of the mesh."""
    rows = [
        (
            name,
            member["zone"] + (" (out)" if member["zone"] in value["zones_out"] else ""),
            member["service"] or "-",
            member["state"] + (", cold" if member["cold"] else ""),
            member["slots"],
            member["peer"],
        )
        for name, member in value["members"].items()
    ]
    return format_table(("NODE", "ZONE", "SERVICE", "TARGET", "SLOTS", "PEER"), rows)


def format_tables(value: Overview) -> str:
    """Format the share of each service's keys by owner."""
    rows = [
        (name, owner, f"{share:.1%}", table["rows"], table["moving"])
        for name, table in value["tables"].items()
        for owner, share in {
            **table["shares"],
            **({"nobody": table["unowned_share"]} if table["unowned_share"] else {}),
        }.items()
    ]
    titles = ("SERVICE", "OWNER", "SHARE", "ROWS", "MOVING")
    return format_table(titles, rows) if rows else ""


def format_troubles(value: Overview) -> str:
    """Format the problems of the mesh and their remedies."""
    if not value["troubles"]:
        return "no problems found"
    return "\n".join(
        f"problem: {item['trouble']}\n  to fix: {item['action']}"
        for item in value["troubles"]
    )
