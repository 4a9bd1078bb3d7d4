"""Commands that take and compare reports of a mesh, and their formatters."""

from pathlib import Path
from typing import Any

from knapweedrock.documents import write_document
from knapweedrock.operators.comparison import compare_reports
from knapweedrock.operators.formatters import format_table, formatter
from knapweedrock.operators.reports import collect_report, list_read_errors, read_report
from knapweedrock.operators.writers import write_result
from knapweedrock.settings import OperatorSettings
from knapweedrock.status import ExitStatus

MAX_COUNTERS_SHOWN = 20


def take_report(settings: OperatorSettings, path: Path) -> ExitStatus:
    """Write a report of the given nodes, with an error for each unreadable node."""
    report = collect_report(settings.nodes)
    write_document(path, report)
    value = {
        "file": str(path),
        "nodes": len(report["nodes"]),
        "not_read": list_read_errors(report),
    }
    write_result("report", value, settings.as_json)
    return ExitStatus.SUCCESS


def compare_files(before: Path, after: Path, as_json: bool) -> ExitStatus:
    """Show what changed between two reports of a mesh."""
    value = compare_reports(read_report(before), read_report(after))
    write_result("compared", value, as_json)
    return ExitStatus.SUCCESS


@formatter("report")
def format_report(value: dict[str, Any]) -> str:
    """Format how many nodes a report contains, and which could not be read."""
    read = value["nodes"] - len(value["not_read"])
    lines = [f"{value['file']}: {read} of {value['nodes']} nodes"]
    lines += [f"not read: {name}: {why}" for name, why in value["not_read"].items()]
    return "\n".join(lines)


@formatter("compared")
def format_compared(value: dict[str, Any]) -> str:
    """Format the differences between two reports."""
    blocks = [
        format_mesh(value["mesh"]),
        format_nodes(value),
        format_owners(value["owners"]),
        format_increases("REQUESTS BY CODE", value["requests"]),
        format_increases("COUNTER", value["counters"]),
    ]
    return "\n\n".join(block for block in blocks if block)


def format_mesh(value: dict[str, Any]) -> str:
    """Format the changes of the mesh as a whole."""
    return f"{value['between_s']:.1f} s later: " + ", ".join(
        f"{name} {format_change(*value[name])}"
        for name in ("coordinators", "epochs", "troubles")
    )


def format_nodes(value: dict[str, Any]) -> str:
    """Format the changes of each node's process, configuration and lease."""
    nodes = value["nodes"]
    changes = ("gone", "joined", "restarted")
    changes_by_node = {name: change for change in changes for name in nodes[change]}
    unread = nodes["not_read"][0] | nodes["not_read"][1]
    names = sorted(changes_by_node.keys() | unread.keys() | value["leases"].keys())
    rows = [
        (
            name,
            changes_by_node.get(name)
            or ("not read" if name in unread else "unchanged"),
            format_change(*value["configurations"].get(name, ("?", "?"))),
            format_change(*value["leases"].get(name, ("?", "?"))),
        )
        for name in names
    ]
    return format_table(("NODE", "PROCESS", "CONFIGURATION", "LEASE MS"), rows)


def format_owners(moves: list[dict[str, Any]]) -> str:
    """Format the share of keys that moved between owners."""
    rows = [
        (
            move["service"],
            move["from"] or "nobody",
            move["to"] or "nobody",
            f"{move['share']:.2%}",
        )
        for move in moves
    ]
    titles = ("SERVICE", "FORMER OWNER", "OWNER", "SHARE OF KEYS")
    return format_table(titles, rows) if rows else "no owner changed"


def format_increases(title: str, increases: dict[str, float]) -> str:
    """Format the counters with the largest increases."""
    rows = [(name, f"+{increase:g}") for name, increase in increases.items()][
        :MAX_COUNTERS_SHOWN
    ]
    hidden_count = len(increases) - len(rows)
    table = format_table((title, "INCREASE"), rows)
    return (
        table + (f"\nand {hidden_count} more, see --json" if hidden_count else "")
        if rows
        else ""
    )


def format_change(before: Any, after: Any) -> str:
    """Format two values, or one value if nothing changed."""
    texts = ["none" if value == "" else str(value) for value in (before, after)]
    return texts[0] if before == after else " -> ".join(texts)
