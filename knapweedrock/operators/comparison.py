"""Comparison of two reports of a mesh: what changed between them."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from knapweedrock.history import count_moves
from knapweedrock.mesh.snapshots import KEY_COUNT
from knapweedrock.operators.reports import MeshReport, NodeDump, list_failed

REQUESTS = "requests{"

Comparer = Callable[[MeshReport, MeshReport], Any]

COMPARERS: dict[str, Comparer] = {}


def comparer(subject: str) -> Callable[[Comparer], Comparer]:
    """Register the comparison of one subject."""

    def register(function: Comparer) -> Comparer:
        COMPARERS[subject] = function
        return function

    return register


def compare_reports(before: MeshReport, after: MeshReport) -> dict[str, Any]:
    """Compare two reports of a mesh by every subject."""
    return {name: compare(before, after) for name, compare in COMPARERS.items()}


@comparer("mesh")
def compare_meshes(before: MeshReport, after: MeshReport) -> dict[str, Any]:
    """Tell the time between, coordinators with their epochs, and troubles."""
    old, new = find_newest(before), find_newest(after)
    return {
        "between_s": (after["taken_ms"] - before["taken_ms"]) / 1000,
        "coordinators": [read_overview(dump, "coordinator", "") for dump in (old, new)],
        "epochs": [read_overview(dump, "epoch", 0) for dump in (old, new)],
        "troubles": [len(read_overview(dump, "troubles", [])) for dump in (old, new)],
    }


@comparer("nodes")
def compare_nodes(before: MeshReport, after: MeshReport) -> dict[str, Any]:
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
    before: MeshReport, after: MeshReport
) -> dict[str, list[int]]:
    """Tell the configuration version in force at each node, before and after."""
    return compare_field(before, after, "configuration_version")


@comparer("leases")
def compare_leases(before: MeshReport, after: MeshReport) -> dict[str, list[int]]:
    """Tell the milliseconds left of each node's lease, before and after."""
    return compare_field(before, after, "lease_ms")


@comparer("owners")
def compare_owners(before: MeshReport, after: MeshReport) -> list[dict[str, Any]]:
    """Tell the share of each service's keys that moved, by its owners."""
    old, new = find_tables(before), find_tables(after)
    return [
        {"service": service, "from": giver, "to": taker, "share": count / KEY_COUNT}
        for service in sorted(old.keys() & new.keys())
        for (giver, taker), count in count_moves(
            old[service], new[service], KEY_COUNT
        ).most_common()
    ]


@comparer("counters")
def compare_counters(before: MeshReport, after: MeshReport) -> dict[str, float]:
    """Tell how far each counter rose over all nodes."""
    rises: Counter[str] = Counter()
    for _, was, now in list_pairs(before, after):
        known = was["counters"] if is_same(was, now) else {}
        for name, value in now["counters"].items():
            rises[name] += value - known.get(name, 0)
    return {name: rise for name, rise in rises.most_common() if rise > 0}


@comparer("requests")
def compare_requests(before: MeshReport, after: MeshReport) -> dict[str, float]:
    """Tell how many requests ended with each code."""
    rises: Counter[str] = Counter()
    for name, rise in compare_counters(before, after).items():
        if name.startswith(REQUESTS):
            code = name.partition('code="')[2].partition('"')[0]
            rises[code] += rise
    return dict(rises.most_common())


def list_pairs(
    before: MeshReport, after: MeshReport
) -> Iterator[tuple[str, NodeDump, NodeDump]]:
    """Yield the dumps of nodes that both reports could read."""
    for name, now in after["nodes"].items():
        was = before["nodes"].get(name)
        if was and was["dump"] and now["dump"]:
            yield name, was["dump"], now["dump"]


def is_same(was: NodeDump, now: NodeDump) -> bool:
    """Tell whether a node is the same process in both reports."""
    return was["overview"]["process"] == now["overview"]["process"]


def compare_field(
    before: MeshReport, after: MeshReport, field: str
) -> dict[str, list[int]]:
    """Tell a field of the overview of each node that both reports could read."""
    return {
        name: [dump["overview"][field] for dump in (was, now)]
        for name, was, now in list_pairs(before, after)
    }


def find_newest(report: MeshReport) -> NodeDump | None:
    """Find the dump with the newest board; None where no node was read."""
    dumps = [node["dump"] for node in report["nodes"].values() if node["dump"]]
    return max(
        dumps,
        key=lambda dump: (dump["overview"]["epoch"], dump["overview"]["version"]),
        default=None,
    )


def read_overview(dump: NodeDump | None, field: str, default: Any) -> Any:
    """Read a field of the overview of a dump, if there is one."""
    return dump["overview"][field] if dump else default


def find_tables(report: MeshReport) -> dict[str, Any]:
    """Find the tables of the newest board that a node holds."""
    newest = find_newest(report)
    return newest["tables"] if newest else {}
