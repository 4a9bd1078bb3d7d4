"""Control: what a member and a coordinator spend without any load, by cell size."""

import time
from typing import NamedTuple

from bench.registry import Plan, experiment
from bench.running import count_platform_calls, read_metric, started_mesh
from bench.tables import Table, create_spread
from features.support.builders import create_layout
from features.support.mesh import Mesh

SIZES = (2, 4, 8, 16, 32)
SETTLE_S = 8.0
IDLE_S = 10.0
LEASE_RENEWALS_PER_S = 4
BYTES_METRIC = "link_bytes_sent"
MIB_BYTES = 1 << 20


class Cost(NamedTuple):
    """Share of a core in percent, bytes sent a second, and memory in MiB."""

    cpu_percent: float
    bytes_per_s: float
    rss_mib: float


@experiment("control")
def measure_control(plan: Plan) -> list[Table]:
    """Measure control by cell size, idle."""
    rows = [measure_size(size, plan) for size in SIZES]
    return [
        Table(
            "control by cell size, idle",
            plan.seed,
            plan.runs,
            (
                "nodes",
                "member CPU %",
                "member bytes/s",
                "member MiB",
                "coordinator CPU %",
                "coordinator bytes/s",
                "coordinator MiB",
                "platform calls/s",
                "leases in the platform (computed)",
            ),
            rows,
            (
                "CPU of a node includes the announcements of its target, one a second",
                "leases in the platform: one conditional update a renewal, "
                f"{LEASE_RENEWALS_PER_S} a second and node",
            ),
        )
    ]


def measure_size(size: int, plan: Plan) -> tuple:
    """Measure a cell of one size in several runs."""
    members, coordinators, calls = [], [], []
    for _ in plan.seeds():
        member, coordinator, calls_per_s = measure_cell(size)
        members.append(member)
        coordinators.append(coordinator)
        calls.append(calls_per_s)
    return (
        size,
        *(create_spread(list(column)) for column in zip(*members, strict=True)),
        *(create_spread(list(column)) for column in zip(*coordinators, strict=True)),
        create_spread(calls),
        float(size * LEASE_RENEWALS_PER_S),
    )


def measure_cell(size: int) -> tuple[Cost, Cost, float]:
    """Measure one cell: mean of its members, its coordinator, platform calls."""
    with started_mesh(create_layout({"depot-orders": size})) as mesh:
        time.sleep(SETTLE_S)
        coordinator = mesh.find_coordinator()
        usage = {name: mesh.read_usage(name) for name in mesh.vms}
        sent = {name: read_metric(mesh, name, BYTES_METRIC) for name in mesh.vms}
        calls = count_platform_calls(mesh)
        start_s = time.monotonic()
        time.sleep(IDLE_S)
        costs = {
            name: measure_cost(mesh, name, usage[name].cpu_s, sent[name], start_s)
            for name in mesh.vms
        }
        calls_per_s = (count_platform_calls(mesh) - calls) / IDLE_S
        members = [cost for name, cost in costs.items() if name != coordinator]
        mean = Cost(*(sum(part) / len(part) for part in zip(*members, strict=True)))
        return mean, costs[coordinator], calls_per_s


def measure_cost(
    mesh: Mesh, name: str, cpu_s: float, sent: float, start_s: float
) -> Cost:
    """Measure what a node spent since the start."""
    usage = mesh.read_usage(name)
    elapsed_s = time.monotonic() - start_s
    bytes_sent = read_metric(mesh, name, BYTES_METRIC) - sent
    return Cost(
        100 * (usage.cpu_s - cpu_s) / elapsed_s,
        bytes_sent / elapsed_s,
        usage.rss_bytes / MIB_BYTES,
    )
