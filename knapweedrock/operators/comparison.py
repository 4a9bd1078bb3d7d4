"""Comparison of two reports of a cell: what changed between them."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.history import find_owner
from knapweedrock.nodes.view import HASH_SPACE
from knapweedrock.operators.reports import CellReport, NodeReport, list_failed

LEASE_METRIC = "knapweedrock_lease_remaining_ms"
VERSION_METRIC = "knapweedrock_configuration_version"
REFUSALS = "caller_refusals{"

Comparer = Callable[[CellReport, CellReport], Any]

COMPARERS: dict[str, Comparer] = {}


def comparer(subject: str) -> Callable[[Comparer], Comparer]:
    """Register the comparison of one subject."""

    def register(function: Comparer) -> Comparer:
        COMPARERS[subject] = function
        return function

    return register


def compare_reports(before: CellReport, after: CellReport) -> dict[str, Any]:
    """Compare two reports of a cell by every subject."""
    if before["cell"] != after["cell"]:
        detail = f"found cell {after['cell']!r}, expected {before['cell']!r}"
        raise KnapweedrockError(Code.REPORT_MALFORMED, detail)
    return {name: compare(before, after) for name, compare in COMPARERS.items()}


@comparer("cell")
def compare_cells(before: CellReport, after: CellReport) -> dict[str, Any]:
    """Tell the times, and coordinators with their epochs."""
    old, new = before["overview"], after["overview"]
    return {
        "cell": after["cell"],
        "between_s": (after["taken_ms"] - before["taken_ms"]) / 1000,
        "coordinators": [old["coordinator"], new["coordinator"]],
        "epochs": [old["epoch"], new["epoch"]],
        "troubles": [len(old["troubles"]), len(new["troubles"])],
    }


@comparer("nodes")
def compare_nodes(before: CellReport, after: CellReport) -> dict[str, Any]:
    """Tell nodes that came, went, or run as another process, and unread ones."""
    old, new = before["nodes"], after["nodes"]
    return {
        "joined": sorted(new.keys() - old.keys()),
        "gone": sorted(old.keys() - new.keys()),
        "restarted": [
            name
            for name, was, now in list_pairs(before, after)
            if not is_same(was, now)
        ],
        "not_read": [list_failed(before), list_failed(after)],
    }


@comparer("configurations")
def compare_configurations(
    before: CellReport, after: CellReport
) -> dict[str, list[int]]:
    """Tell the configuration version in force at each node, before and after."""
    return compare_metric(before, after, VERSION_METRIC)


@comparer("leases")
def compare_leases(before: CellReport, after: CellReport) -> dict[str, list[int]]:
    """Tell the milliseconds left of each node's lease, before and after."""
    return compare_metric(before, after, LEASE_METRIC)


@comparer("owners")
def compare_owners(before: CellReport, after: CellReport) -> list[dict[str, Any]]:
    """Tell the share of each service's key space that moved, by its owners."""
    old, new = find_tables(before), find_tables(after)
    return [
        {"service": service, "from": giver, "to": taker, "share": share}
        for service in sorted(old.keys() & new.keys())
        for (giver, taker), share in measure_moves(
            old[service]["ranges"], new[service]["ranges"]
        ).most_common()
    ]


@comparer("counters")
def compare_counters(before: CellReport, after: CellReport) -> dict[str, int]:
    """Tell how far each counter rose over all nodes."""
    rises: Counter[str] = Counter()
    for _, was, now in list_pairs(before, after):
        known = was["dump"]["counters"] if is_same(was, now) else {}
        for name, value in now["dump"]["counters"].items():
            rises[name] += value - known.get(name, 0)
    return {name: rise for name, rise in rises.most_common() if rise > 0}


@comparer("refusals")
def compare_refusals(before: CellReport, after: CellReport) -> dict[str, int]:
    """Tell how many callers were refused by each code."""
    return {
        name.partition('code="')[2].partition('"')[0]: rise
        for name, rise in compare_counters(before, after).items()
        if name.startswith(REFUSALS)
    }


def list_pairs(
    before: CellReport, after: CellReport
) -> Iterator[tuple[str, NodeReport, NodeReport]]:
    """Yield the nodes that both reports could read."""
    for name, now in after["nodes"].items():
        was = before["nodes"].get(name)
        if was and was["dump"] and now["dump"]:
            yield name, was, now


def is_same(was: NodeReport, now: NodeReport) -> bool:
    """Tell whether a node is the same process in both reports."""
    return was["dump"]["incarnation"] == now["dump"]["incarnation"]


def compare_metric(
    before: CellReport, after: CellReport, metric: str
) -> dict[str, list[int]]:
    """Tell a metric, rounded, of each node that both reports could read."""
    return {
        name: [round(node["metrics"].get(metric, 0)) for node in (was, now)]
        for name, was, now in list_pairs(before, after)
    }


def find_tables(report: CellReport) -> dict[str, Any]:
    """Find the tables of the newest view that a node holds."""
    views = [node["dump"]["view"] for node in report["nodes"].values() if node["dump"]]
    newest = max(views, key=lambda view: (view["epoch"], view["count"]), default=None)
    return newest["tables"] if newest else {}


def measure_moves(before: list[dict], after: list[dict]) -> Counter:
    """Measure the share of the key space that went from one owner to another."""
    moved: Counter = Counter()
    edges = sorted({row["start"] for row in before} | {row["start"] for row in after})
    for start, end in zip(edges, [*edges[1:], HASH_SPACE], strict=False):
        giver, taker = find_owner(before, start), find_owner(after, start)
        if giver != taker:
            moved[giver, taker] += (end - start) / HASH_SPACE
    return moved
