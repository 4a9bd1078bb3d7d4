"""Cost of the path: processor time a request and added latency."""

import time
from typing import NamedTuple

from bench.registry import Plan, experiment
from bench.running import Loads, Offer, measure_latency, started_mesh
from bench.tables import Table, create_spread
from features.support.builders import create_layout
from features.support.mesh import Mesh
from knapweedrock.load.keys import ListedKeys

SERVICE = "depot-orders"
RATE = 150.0
IDLE_S = 5.0
RUN_S = 8.0
KEYS = 40
WORK_MS = 1.0


class PathResult(NamedTuple):
    """Latencies in ms, and processor time a request in microseconds."""

    p50_ms: float
    p99_ms: float
    ingress_us: float
    owner_us: float


@experiment("path")
def measure_path(plan: Plan) -> list[Table]:
    """Measure straight to the target, by the owner's node, and by another node."""
    found = [measure_run(seed) for seed in plan.seeds()]
    rows = []
    for way in found[0]:
        columns = zip(*(run[way] for run in found), strict=True)
        rows.append((way, *(create_spread(list(column)) for column in columns)))
    for way in list(found[0])[1:]:
        added = [
            (
                run[way].p50_ms - run["direct"].p50_ms,
                run[way].p99_ms - run["direct"].p99_ms,
            )
            for run in found
        ]
        p50, p99 = zip(*added, strict=True)
        rows.append(
            (
                f"added {way}",
                create_spread(list(p50)),
                create_spread(list(p99)),
                *cost_per_core(found, way),
            )
        )
    return [
        Table(
            f"cost of the path at {RATE:g} requests/s to one target",
            plan.seed,
            plan.runs,
            ("way", "p50 ms", "p99 ms", "ingress CPU us", "owner CPU us"),
            rows,
            (
                "rows of what is added give requests/s on one core in the CPU columns",
                f"the target works {WORK_MS:g} ms; the same process offers the load",
            ),
        )
    ]


def cost_per_core(found: list[dict[str, PathResult]], way: str) -> tuple:
    """Compute requests a second on one core at ingress and at owner."""
    costs = [(run[way].ingress_us, run[way].owner_us) for run in found]
    return tuple(
        create_spread([1e6 / value for value in column if value > 0])
        for column in zip(*costs, strict=True)
    )


def measure_run(seed: int) -> dict[str, PathResult]:
    """Measure the three ways on one mesh of two nodes."""
    layout = create_layout({SERVICE: 2}, ("zone-a", "zone-b"), fenced=False)
    flags = ("--work-ms", f"{WORK_MS:g}", "--cold-s", "0", "--connect-ms", "0")
    with started_mesh(layout, target_flags=flags) as mesh:
        owner, other = mesh.vms["n1"], mesh.vms["n2"]
        idle = measure_idle(mesh)
        for vm in (other, owner):
            measure_way(mesh, vm.caller, "", "n1", seed, idle)
        by_owner = measure_way(mesh, owner.caller, "", "n1", seed, idle)
        by_other = measure_way(mesh, other.caller, "n2", "n1", seed, idle)
        # Last, since nothing but the node keeps a target from taking too much.
        direct = measure_way(mesh, owner.target_address, "", "", seed, idle)
        return {
            "direct": direct,
            "by the owner": by_owner,
            "by another node": by_other,
        }


def measure_idle(mesh: Mesh) -> dict[str, float]:
    """Measure the processor seconds a second that each node takes without load."""
    before = {name: mesh.read_usage(name).cpu_s for name in mesh.vms}
    time.sleep(IDLE_S)
    return {
        name: (mesh.read_usage(name).cpu_s - before[name]) / IDLE_S for name in mesh.vms
    }


def measure_way(
    mesh: Mesh,
    address: str,
    ingress: str,
    owner: str,
    seed: int,
    idle: dict[str, float],
) -> PathResult:
    """Measure one way; an empty name stands for a role that it does not have.

    What the nodes take without load is not counted to the requests.
    """
    names = [name for name in (ingress, owner) if name]
    before = {name: mesh.read_usage(name).cpu_s for name in names}
    loads = Loads([address], [Offer(SERVICE, True, RATE, KEYS)], RUN_S, seed)
    keep_keys_of_owner(mesh, loads)
    start_s = time.monotonic()
    loads.start()
    loads.wait()
    elapsed_s = time.monotonic() - start_s
    count = max(sum(run.offered for run in loads.runs), 1)
    spent = {
        name: mesh.read_usage(name).cpu_s - before[name] - idle[name] * elapsed_s
        for name in names
    }
    latency = measure_latency(loads.list_samples())
    return PathResult(
        latency.p50_ms,
        latency.p99_ms,
        1e6 * spent.get(ingress, 0.0) / count,
        1e6 * spent.get(owner, 0.0) / count,
    )


def keep_keys_of_owner(mesh: Mesh, loads: Loads) -> None:
    """Let the load draw only keys that the first node owns."""
    keys = [f"key-{rank}" for rank in range(1, KEYS + 1)]
    owned = [key for key in keys if mesh.find_owner(SERVICE, key) == "n1"]
    for run in loads.runs:
        run.keys = ListedKeys(owned)
