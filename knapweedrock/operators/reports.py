"""Report of a cell: dumps and metrics of all its nodes, gathered by reading only."""

import math
import re
import time
from pathlib import Path
from typing import Any, TypedDict

from gevent.pool import Pool

from knapweedrock.checker import Address, parse_address
from knapweedrock.documents import Count, Number, read_document
from knapweedrock.errors import KnapweedrockError
from knapweedrock.operators.client import fetch_json, fetch_text

FORMAT = "knapweedrock cell report"
VERSION = 1
MAX_NODES_AT_ONCE = 16
NODE_TIMEOUT_MS = 5000
METRIC_PATTERN = re.compile(r"([a-zA-Z_:][^\s{]*(?:\{.*\})?) (\S+)")


class RangeDump(TypedDict):
    """What a reader needs of a range."""

    start: int
    owner: str


class TableDump(TypedDict):
    """What a reader needs of a table."""

    ranges: list[RangeDump]


class ViewDump(TypedDict):
    """What a reader needs of a view."""

    epoch: int
    count: int
    tables: dict[str, TableDump]


class NodeDump(TypedDict):
    """What a reader needs of a node's dump; the file holds all of it."""

    incarnation: str
    counters: dict[str, Count]
    view: ViewDump


class NodeReport(TypedDict):
    """One node; without a dump `error` says why it could not be read."""

    operator: str
    error: str
    dump: NodeDump | None
    metrics: dict[str, Number]


class Overview(TypedDict):
    """What a reader needs of the status; the file holds all of it."""

    coordinator: str
    epoch: Count
    troubles: list[Any]


class CellReport(TypedDict):
    """A cell at about one moment; `taken_ms` is the wall time of its start."""

    format: str
    version: int
    taken_ms: Count
    cell: str
    asked: str
    overview: Overview
    nodes: dict[str, NodeReport]


def gather_report(address: Address, secret: str) -> CellReport:
    """Ask a node for its cell, and every node of the cell for its state."""
    taken_ms = time.time_ns() // 1_000_000
    overview = fetch_json(address, "GET", "/status", secret=secret)
    operators = {
        name: member.get("operator", "") for name, member in overview["members"].items()
    }
    operators[overview["node_id"]] = str(address)
    names = sorted(operators)
    pool = Pool(MAX_NODES_AT_ONCE)
    nodes = pool.map(lambda name: read_node(operators[name], secret), names)
    return {
        "format": FORMAT,
        "version": VERSION,
        "taken_ms": taken_ms,
        "cell": overview["cell"],
        "asked": str(address),
        "overview": overview,
        "nodes": dict(zip(names, nodes, strict=True)),
    }


def read_node(operator: str, secret: str) -> NodeReport:
    """Read dump and metrics of a node; one that fails does not hide the others."""
    more = {"secret": secret, "timeout_ms": NODE_TIMEOUT_MS}
    try:
        address = parse_address(operator)
        dump = fetch_json(address, "GET", "/dump", **more)
        metrics = parse_metrics(fetch_text(address, "/metrics", **more))
    except (KnapweedrockError, ValueError) as error:
        return {"operator": operator, "error": str(error), "dump": None, "metrics": {}}
    return {"operator": operator, "error": "", "dump": dump, "metrics": metrics}


def parse_metrics(text: str) -> dict[str, float]:
    """Parse Prometheus text into values by name and labels."""
    found = {}
    for line in text.splitlines():
        match = METRIC_PATTERN.fullmatch(line)
        if match and math.isfinite(value := float(match[2])):
            found[match[1]] = value
    return found


def read_report(path: Path) -> CellReport:
    """Read a report from a file; raises `REPORT_MALFORMED`."""
    return read_document(path, FORMAT, VERSION, CellReport)


def list_failed(report: CellReport) -> dict[str, str]:
    """List the nodes that could not be read, and why."""
    return {
        name: node["error"] for name, node in report["nodes"].items() if node["error"]
    }
