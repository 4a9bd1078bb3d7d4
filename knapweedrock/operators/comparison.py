"""Comparison of two reports of a mesh."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from knapweedrock.history import count_moves
from knapweedrock.mesh.snapshots import KEY_COUNT
from knapweedrock.operators.reports import MeshReport, NodeDump, list_read_errors

REQUESTS_PREFIX = "requests{"

Comparer = Callable[[MeshReport, MeshReport], Any]

COMPARERS: dict[str, Comparer] = {}


def comparer(subject: str) -> Callable[[Comparer], Comparer]:
    """Register a function that compares one subject."""

    def register(function: Comparer) -> Comparer:
        COMPARERS[subject] = function
        return function

    return register


def compare_reports(before: MeshReport, after: MeshReport) -> dict[str, Any]:
    """Compare two reports of a mesh on every subject."""
    return {name: compare(before, after) for name, compare in COMPARERS.items()}


@comparer("mesh")
def compare_meshes(before: MeshReport, after: MeshReport) -> dict[str, Any]:
    """Compare time, coordinators, epochs and numbers of troubles."""
    old, new = get_newest_dump(before), get_newest_dump(after)
    return {
        "between_s": (after["taken_ms"] - before["taken_ms"]) / 1000,
        "coordinators": [
            get_overview_field(dump, "coordinator", "") for dump in (old, new)
        ],
        "epochs": [get_overview_field(dump, "epoch", 0) for dump in (old, new)],
        "troubles": [
            len(get_overview_field(dump, "troubles", [])) for dump in (old, new)
        ],
    }


@comparer("nodes")
def compare_nodes(before: MeshReport, after: MeshReport) -> dict[str, Any]:
    """List the nodes that joined, left, restarted, or could not be read."""
    old, new = before["nodes"], after["nodes"]
    return {
        "joined": sorted(new.keys() - old.keys()),
        "gone": sorted(old.keys() - new.keys()),
        "restarted": [
            name
            for name, old_dump, new_dump in pair_dumps(before, after)
            if not is_same_process(old_dump, new_dump)
        ],
        "not_read": [list_read_errors(before), list_read_errors(after)],
    }


@comparer("configurations")
def compare_configurations(
    before: MeshReport, after: MeshReport
) -> dict[str, list[int]]:
    """Return the active configuration version of each node, before and after."""
    return compare_field(before, after, "configuration_version")


@comparer("leases")
def compare_leases(before: MeshReport, after: MeshReport) -> dict[str, list[int]]:
    """Return the remaining lease of each node in ms, before and after."""
    return compare_field(before, after, "lease_ms")


@comparer("owners")
def compare_owners(before: MeshReport, after: MeshReport) -> list[dict[str, Any]]:
    """Return the share of each service's keys that moved, by old and new owner."""
    old, new = get_newest_tables(before), get_newest_tables(after)
    return [
        {
            "service": service,
            "from": source,
            "to": destination,
            "share": count / KEY_COUNT,
        }
        for service in sorted(old.keys() & new.keys())
        for (source, destination), count in count_moves(
            old[service], new[service], KEY_COUNT
        ).most_common()
    ]


@comparer("counters")
def compare_counters(before: MeshReport, after: MeshReport) -> dict[str, float]:
    """Return the increase of each counter, summed over all nodes.

    The counters of a restarted node count from 0.
    """
    increases: Counter[str] = Counter()
    for _, old_dump, new_dump in pair_dumps(before, after):
        old_counters = (
            old_dump["counters"] if is_same_process(old_dump, new_dump) else {}
        )
        for name, value in new_dump["counters"].items():
            increases[name] += value - old_counters.get(name, 0)
    return {
        name: increase for name, increase in increases.most_common() if increase > 0
    }


@comparer("requests")
def compare_requests(before: MeshReport, after: MeshReport) -> dict[str, float]:
    """Return the number of requests that ended with each code."""
    increases: Counter[str] = Counter()
    for name, increase in compare_counters(before, after).items():
        if name.startswith(REQUESTS_PREFIX):
            code = name.partition('code="')[2].partition('"')[0]
            increases[code] += increase
    return dict(increases.most_common())


def pair_dumps(
    before: MeshReport, after: MeshReport
) -> Iterator[tuple[str, NodeDump, NodeDump]]:
    """Yield the name and both dumps of each node that both reports could read."""
    for name, new_node in after["nodes"].items():
        old_node = before["nodes"].get(name)
        if old_node and old_node["dump"] and new_node["dump"]:
            yield name, old_node["dump"], new_node["dump"]


def is_same_process(old_dump: NodeDump, new_dump: NodeDump) -> bool:
    """Return whether a node is the same process in both dumps."""
    return old_dump["overview"]["process"] == new_dump["overview"]["process"]


def compare_field(
    before: MeshReport, after: MeshReport, field: str
) -> dict[str, list[int]]:
    """Return an overview field of each node that both reports could read."""
    return {
        name: [dump["overview"][field] for dump in (old_dump, new_dump)]
        for name, old_dump, new_dump in pair_dumps(before, after)
    }


def get_newest_dump(report: MeshReport) -> NodeDump | None:
    """Return the dump with the newest board, or None if no node was read."""
    dumps = [node["dump"] for node in report["nodes"].values() if node["dump"]]
    return max(
        dumps,
        key=lambda dump: (dump["overview"]["epoch"], dump["overview"]["version"]),
        default=None,
    )


def get_overview_field(dump: NodeDump | None, field: str, default: Any) -> Any:
    """Return an overview field of a dump, or the default if there is no dump."""
    return dump["overview"][field] if dump else default


def get_newest_tables(report: MeshReport) -> dict[str, Any]:
    """Return the tables of the newest board in a report."""
    newest = get_newest_dump(report)
    return newest["tables"] if newest else {}
