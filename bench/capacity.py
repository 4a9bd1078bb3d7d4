"""Capacity at the size to design for, worked out from the measured slopes.

Reads the reports of the experiments `control`, `ownership` and `path`.
"""

import json
import statistics
from typing import Any, NamedTuple

import cbor2

from bench.registry import Plan, experiment
from bench.tables import REPORTS, Table
from knapweedrock.configuration import Configuration, create_configuration
from knapweedrock.differences import compare_maps
from knapweedrock.nodes.assignment import (
    RANGES_PER_TABLE,
    Move,
    apply_moves,
    create_table,
)
from knapweedrock.nodes.view import Member, View, create_view
from knapweedrock.operators.reviews import MAX_RECENT_TICKETS

NODES = 2200
CELL_NODES = 32
REQUESTS_PER_S = 9_900_000
CHANGES_PER_DAY = 6100
RESTARTS_PER_DAY = 420
RACK_NODES = 20
ZONES = 4
DAY_S = 86_400
SERVICE = "depot-orders"
FULL_SERVICES = 3000
MOVED_RANGES = 16
DIGEST_CHARACTERS = 64

CPU_BUDGET_PERCENT = 2.1
MEMORY_BUDGET_MIB = 128
BYTES_BUDGET_PER_S = 14_000
PLATFORM_READS_PER_S = 2000
PLATFORM_WRITES_PER_S = 300


class Line(NamedTuple):
    """One figure at the size to design for, beside its budget."""

    role: str
    figure: str
    value: float
    budget: float

    def to_row(self) -> tuple[Any, ...]:
        """Return the table's row; a budget of 0 means that there is none."""
        fits = "-" if not self.budget else str(self.value <= self.budget)
        return (self.role, self.figure, self.value, self.budget or "-", fits)


@experiment("capacity")
def compute_capacity(plan: Plan) -> list[Table]:
    """Compute each role's load at the size to design for."""
    lines = [
        *list_control(read_rows("control")),
        *list_platform(read_rows("control"), read_rows("ownership")),
        *list_distribution(),
        *list_data_path(read_rows("path")),
    ]
    return [
        Table(
            f"capacity at {NODES} nodes in cells of {CELL_NODES}",
            plan.seed,
            plan.runs,
            ("role", "figure", "at that size", "budget", "fits"),
            [line.to_row() for line in lines],
        )
    ]


def read_rows(name: str) -> list[dict[str, Any]]:
    """Read the rows of an experiment's first table."""
    path = REPORTS / f"{name}.json"
    if not path.exists():
        raise FileNotFoundError(f"run `python -m bench {name}` first")
    return json.loads(path.read_text())[0]["rows"]


def count_cells() -> int:
    """Return the number of cells."""
    return -(-NODES // CELL_NODES)


def fit(rows: list[dict[str, Any]], column: str, size: int) -> float:
    """Fit a line through the medians by cell size and read it at a size."""
    sizes = [row["nodes"] for row in rows]
    values = [row[column]["median"] for row in rows]
    slope, start = statistics.linear_regression(sizes, values)
    return start + slope * size


def list_control(rows: list[dict[str, Any]]) -> list[Line]:
    """List what control costs a member and a coordinator."""
    columns = (
        ("CPU %", CPU_BUDGET_PERCENT),
        ("bytes/s", BYTES_BUDGET_PER_S),
        ("MiB", MEMORY_BUDGET_MIB),
    )
    return [
        Line(role, f"{name}, idle", fit(rows, f"{role} {name}", CELL_NODES), budget)
        for role in ("member", "coordinator")
        for name, budget in columns
    ]


def list_platform(
    control: list[dict[str, Any]], losses: list[dict[str, Any]]
) -> list[Line]:
    """List the calls to the platform, idle and while nodes are lost."""
    idle = fit(control, "platform calls/s", CELL_NODES)
    cells = count_cells()
    calls = max(row["platform calls/s after"]["median"] for row in losses)
    zone_cells = cells
    rack_cells = min(RACK_NODES, cells)
    changes = CHANGES_PER_DAY / DAY_S
    return [
        Line("platform", "calls/s idle", cells * idle, PLATFORM_READS_PER_S),
        Line(
            "platform",
            "writes/s by changes and status",
            changes * (1 + cells),
            PLATFORM_WRITES_PER_S,
        ),
        Line(
            "platform",
            "calls/s, a rack lost, each node in a cell of its own",
            rack_cells * calls + (cells - rack_cells) * idle,
            PLATFORM_READS_PER_S,
        ),
        Line(
            "platform",
            "calls/s, a zone lost in every cell",
            zone_cells * calls,
            PLATFORM_READS_PER_S,
        ),
        Line(
            "platform",
            "restarts/s over all cells",
            RESTARTS_PER_DAY / DAY_S,
            0,
        ),
    ]


def list_distribution() -> list[Line]:
    """List the bytes of views and configurations, whole and as differences."""
    view = create_full_view()
    configuration = create_full_configuration(FULL_SERVICES)
    moved = measure_bytes(compare_maps(view, move_ranges(view)))
    ticket = measure_bytes(compare_maps(configuration, apply_ticket(configuration)))
    publishing = moved * CELL_NODES
    changes = CHANGES_PER_DAY / DAY_S
    return [
        Line("view", "bytes whole, one keyed service", measure_bytes(view), 0),
        Line("view", f"bytes of a move of {MOVED_RANGES} ranges", moved, 0),
        Line("coordinator", "bytes to publish that move to its cell", publishing, 0),
        Line(
            "coordinator",
            "such moves/s that the byte budget bears",
            BYTES_BUDGET_PER_S / publishing,
            0,
        ),
        Line(
            "configuration",
            f"bytes whole, {FULL_SERVICES} services with a rule each",
            measure_bytes(configuration),
            0,
        ),
        Line("configuration", "bytes of a ticket for one service", ticket, 0),
        Line("member", "bytes/s by tickets", ticket * changes, BYTES_BUDGET_PER_S),
        Line(
            "coordinator",
            "bytes/s by tickets to its cell",
            ticket * changes * CELL_NODES,
            BYTES_BUDGET_PER_S,
        ),
        Line(
            "coordinator, standby",
            "bytes/s by tickets from the platform, whole values",
            measure_bytes(configuration) * changes,
            BYTES_BUDGET_PER_S,
        ),
    ]


def measure_bytes(value: Any) -> float:
    """Measure a value on the wire."""
    return float(len(cbor2.dumps(value)))


def move_ranges(view: View) -> View:
    """Return the view after a move of some ranges, spread over the table."""
    table = view["tables"][SERVICE]
    spread = table["ranges"][:: RANGES_PER_TABLE // MOVED_RANGES]
    moves = [Move(r["start"], r["owner"], "node-0000", True) for r in spread]
    moved = apply_moves(table, moves, {"node-0000": "0123456789ab"}, 1)
    return {**view, "count": view["count"] + 1, "tables": {SERVICE: moved}}


def apply_ticket(value: Configuration) -> Configuration:
    """Return the configuration after a ticket with the new state of one service."""
    name = next(iter(value["services"]))
    service = {**value["services"][name], "longest_request_ms": 3000}
    record = {"number": 200_001, "digest": "0" * DIGEST_CHARACTERS}
    return {
        **value,
        "services": {**value["services"], name: service},
        "touched": {**value["touched"], f"services/{name}": 200_001},
        "recent": [*value["recent"][1:], record],
    }


def create_full_view() -> View:
    """Create a view of a full cell with one keyed service."""
    view = create_view("cell-01")
    for index in range(CELL_NODES):
        name = f"node-{index:04d}"
        member: Member = {
            "node_id": name,
            "incarnation": "0123456789ab",
            "zone": "nz-north-1",
            "peer": "10.100.100.100:7002",
            "caller": "10.100.100.100:7001",
            "operator": "10.100.100.100:7004",
            "state": "serving",
            "service": SERVICE,
            "slots": 20,
            "connections": 130,
            "fenced": True,
            "cold": False,
        }
        view["members"][name] = member
    table = create_table(SERVICE, "cell-01", 7)
    for index, entry in enumerate(table["ranges"]):
        entry["owner"] = f"node-{index % CELL_NODES:04d}"
        entry["incarnation"] = "0123456789ab"
        entry["token"] = 100_000 + index
        entry["since_ms"] = 1_800_000_000_000
    assert len(table["ranges"]) == RANGES_PER_TABLE
    view["tables"][SERVICE] = table
    return view


def create_full_configuration(services: int) -> Configuration:
    """Create a configuration of this many services with a rule each."""
    value = create_configuration()
    for index in range(services):
        name = f"service-{index:04d}"
        value["services"][name] = {
            "name": name,
            "keyed": True,
            "longest_request_ms": 2000,
        }
        value["rules"][name] = {
            "name": name,
            "path_prefix": f"/{name}",
            "service": name,
            "key": {"kind": "segment", "name": "1"},
        }
        value["touched"][f"services/{name}"] = 100_000 + index
        value["touched"][f"rules/{name}"] = 100_000 + index
    value["recent"] = [
        {"number": 100_000 + index, "digest": f"{index:064x}"}
        for index in range(MAX_RECENT_TICKETS)
    ]
    return value


def list_data_path(rows: list[dict[str, Any]]) -> list[Line]:
    """List the cores that the data path takes at each node."""
    by_way = {row["way"]: row for row in rows}
    forwarded = by_way["by another node"]
    direct = by_way["by the owner"]
    rate = REQUESTS_PER_S / NODES
    ingress_us = forwarded["ingress CPU us"]["median"]
    owner_us = forwarded["owner CPU us"]["median"]
    own_us = direct["owner CPU us"]["median"]
    return [
        Line("data path", "requests/s at a node", rate, 0),
        Line(
            "data path",
            "cores at a node, callers at any node",
            rate * (ingress_us + owner_us) / 1e6,
            1,
        ),
        Line(
            "data path", "cores at a node, callers at the owner", rate * own_us / 1e6, 1
        ),
    ]
