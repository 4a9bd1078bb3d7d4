"""Report of a mesh: dumps and metrics of its nodes, gathered by reading only."""

import math
import re
import time
from pathlib import Path
from typing import TypedDict

from gevent.pool import Pool

from knapweedrock.checker import Address
from knapweedrock.clock import NS_PER_MS
from knapweedrock.documents import Count, Number, read_document
from knapweedrock.errors import KnapweedrockError
from knapweedrock.operators.client import fetch_json, fetch_text

FORMAT = "knapweedrock mesh report"
VERSION = 2
MAX_CONCURRENT_NODES = 16
METRIC_PATTERN = re.compile(r"([a-zA-Z_:][^\s{]*(?:\{.*\})?) (\S+)")


class RowDump(TypedDict):
    """What a reader needs of a row."""

    start: Count
    owner: str


class OverviewDump(TypedDict):
    """What a reader needs of a node's overview."""

    node_id: str
    process: str
    coordinator: str
    epoch: Count
    version: Count
    configuration_version: Count
    lease_ms: Count
    troubles: list[dict[str, str]]


class NodeDump(TypedDict):
    """What a reader needs of a node's dump; the file holds all of it."""

    overview: OverviewDump
    tables: dict[str, list[RowDump]]
    counters: dict[str, Number]


class NodeReport(TypedDict):
    """One node; without a dump `error` says why it could not be read."""

    error: str
    dump: NodeDump | None
    metrics: dict[str, Number]


class MeshReport(TypedDict):
    """Report of a mesh; nodes stand under their addresses for operators."""

    format: str
    version: int
    taken_ms: Count
    nodes: dict[str, NodeReport]


def collect_report(addresses: tuple[Address, ...]) -> MeshReport:
    """Ask all nodes for their state."""
    taken_ms = time.time_ns() // NS_PER_MS
    nodes = Pool(MAX_CONCURRENT_NODES).map(read_node, addresses)
    names = [str(address) for address in addresses]
    return {
        "format": FORMAT,
        "version": VERSION,
        "taken_ms": taken_ms,
        "nodes": dict(zip(names, nodes, strict=True)),
    }


def read_node(address: Address) -> NodeReport:
    """Read dump and metrics of a node; one that fails does not hide the others."""
    try:
        dump = fetch_json(address, "/dump")
        metrics = parse_metrics(fetch_text(address, "/metrics"))
    except KnapweedrockError as error:
        return {"error": str(error), "dump": None, "metrics": {}}
    return {"error": "", "dump": dump, "metrics": metrics}


def parse_metrics(text: str) -> dict[str, float]:
    """Parse Prometheus text into values by name and labels."""
    values = {}
    for line in text.splitlines():
        match = METRIC_PATTERN.fullmatch(line)
        if match and math.isfinite(value := float(match[2])):
            values[match[1]] = value
    return values


def read_report(path: Path) -> MeshReport:
    """Read a report from a file; raises `REPORT_MALFORMED`."""
    return read_document(path, FORMAT, VERSION, MeshReport)


def list_read_errors(report: MeshReport) -> dict[str, str]:
    """List the nodes that could not be read, and why."""
    return {
        name: node["error"] for name, node in report["nodes"].items() if node["error"]
    }
