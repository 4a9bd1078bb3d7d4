"""Reports of a mesh: dumps and metrics of its nodes, collected by reads only."""

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
    """The fields of a row that readers of reports use."""

    start: Count
    owner: str


class OverviewDump(TypedDict):
    """The fields of a node's overview that readers of reports use."""

    node_id: str
    process: str
    coordinator: str
    epoch: Count
    version: Count
    configuration_version: Count
    lease_ms: Count
    troubles: list[dict[str, str]]


class NodeDump(TypedDict):
    """The fields of a node's dump that readers use; the file has all fields."""

    overview: OverviewDump
    tables: dict[str, list[RowDump]]
    counters: dict[str, Number]


class NodeReport(TypedDict):
    """Dump and metrics of one node, or the error if it could not be read."""

    error: str
    dump: NodeDump | None
    metrics: dict[str, Number]


class MeshReport(TypedDict):
    """Report of a mesh, with its nodes by operator address."""

    format: str
    version: int
    taken_ms: Count
    nodes: dict[str, NodeReport]


def collect_report(addresses: tuple[Address, ...]) -> MeshReport:
    """Read all nodes concurrently and return their report."""
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
    """Read the dump and metrics of a node.

    Errors are returned in the report, so that one failing node does not hide the
    others.
    """
    try:
        dump = fetch_json(address, "/dump")
        metrics = parse_metrics(fetch_text(address, "/metrics"))
    except KnapweedrockError as error:
        return {"error": str(error), "dump": None, "metrics": {}}
    return {"error": "", "dump": dump, "metrics": metrics}


def parse_metrics(text: str) -> dict[str, float]:
    """Parse the Prometheus text format into finite values by name and labels."""
    values = {}
    for line in text.splitlines():
        match = METRIC_PATTERN.fullmatch(line)
        if match and math.isfinite(value := float(match[2])):
            values[match[1]] = value
    return values


def read_report(path: Path) -> MeshReport:
    """Read a report of a mesh from a file; raises `REPORT_MALFORMED`."""
    return read_document(path, FORMAT, VERSION, MeshReport)


def list_read_errors(report: MeshReport) -> dict[str, str]:
    """Return the error of each node that could not be read, by node address."""
    return {
        name: node["error"] for name, node in report["nodes"].items() if node["error"]
    }
