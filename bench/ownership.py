"""Ownership: unavailable time at each loss, churn and imbalance."""

import time
from collections.abc import Callable
from typing import NamedTuple

from bench.registry import Plan, experiment
from bench.running import (
    Loads,
    Offer,
    count_platform_calls,
    list_callers,
    started_mesh,
)
from bench.tables import Table, create_spread
from features.support.builders import create_layout
from features.support.mesh import Mesh
from knapweedrock.demo.checks import create_call
from knapweedrock.history import measure_churn, measure_gaps, measure_imbalance

SERVICE = "depot-orders"
TARGETS = 6
KEYS = 48
RATE = 480.0
BEFORE_S = 3.0
AFTER_S = 8.0
RETURN_WAIT_S = 15.0

Loss = Callable[[Mesh], tuple[str, ...]]

LOSSES: dict[str, Loss] = {}


class LossResult(NamedTuple):
    """What one loss cost."""

    lost_gap_ms: float
    lost_total_ms: float
    other_gap_ms: float
    churn: float
    calls_idle: float
    calls_loss: float


def loss(name: str) -> Callable[[Loss], Loss]:
    """Register a kind of loss; it returns the names of the nodes concerned."""

    def register(function: Loss) -> Loss:
        LOSSES[name] = function
        return function

    return register


@loss("none")
def lose_nothing(mesh: Mesh) -> tuple[str, ...]:
    """Lose nothing: the calm run beside the others."""
    return ()


@loss("owner killed")
def kill_owner(mesh: Mesh) -> tuple[str, ...]:
    """Kill a node that is not the coordinator."""
    name = next(name for name in mesh.vms if name != mesh.find_coordinator())
    mesh.vms[name].node.kill()
    return (name,)


@loss("coordinator killed")
def kill_coordinator(mesh: Mesh) -> tuple[str, ...]:
    """Kill the coordinator, which owns keys too."""
    name = mesh.find_coordinator()
    mesh.vms[name].node.kill()
    return (name,)


@loss("coordinator and owner killed")
def kill_both(mesh: Mesh) -> tuple[str, ...]:
    """Kill the coordinator and another owner at once."""
    return kill_coordinator(mesh) + kill_running(mesh)


@loss("planned move (SIGTERM)")
def leave(mesh: Mesh) -> tuple[str, ...]:
    """Let a node that is not the coordinator leave."""
    name = next(name for name in mesh.vms if name != mesh.find_coordinator())
    mesh.vms[name].node.terminate()
    return (name,)


def kill_running(mesh: Mesh) -> tuple[str, ...]:
    """Kill one more node that still runs."""
    name = next(name for name, vm in mesh.vms.items() if vm.node.is_running())
    mesh.vms[name].node.kill()
    return (name,)


@experiment("ownership")
def measure_losses(plan: Plan) -> list[Table]:
    """Measure unavailable time, churn and platform calls at each loss."""
    rows = []
    for name in LOSSES:
        found = [measure_loss(name, seed) for seed in plan.seeds()]
        columns = zip(*found, strict=True)
        rows.append((name, *(create_spread(list(column)) for column in columns)))
    gaps = Table(
        "unavailable time of keys at one loss, 6 targets",
        plan.seed,
        plan.runs,
        (
            "loss",
            "lost keys: longest ms",
            "lost keys: total ms",
            "other keys: longest ms",
            "churn",
            "platform calls/s before",
            "platform calls/s after",
        ),
        rows,
        (
            f"{RATE:g} requests/s over {KEYS} keys, counted from the intended send",
            "fixed ranges without moves: lost keys are away until their node is back",
        ),
    )
    return [gaps, measure_return(plan)]


def measure_loss(name: str, seed: int) -> LossResult:
    """Measure one loss under load."""
    layout = create_layout({SERVICE: TARGETS})
    with started_mesh(layout) as mesh:
        owners = find_owners(mesh)
        before = read_ranges(mesh)
        calls_start = count_platform_calls(mesh)
        offer = Offer(SERVICE, True, RATE, KEYS)
        loads = Loads(list_callers(mesh), [offer], BEFORE_S + AFTER_S, seed)
        loads.start()
        time.sleep(BEFORE_S)
        calls_before = count_platform_calls(mesh)
        lost = run_loss(name, mesh, loads)
        loads.wait()
        calls_after = count_platform_calls(mesh)
        return summarize_loss(
            loads,
            {key for key, owner in owners.items() if owner in lost},
            measure_churn(before, read_ranges(mesh)),
            (calls_before - calls_start) / BEFORE_S,
            (calls_after - calls_before) / AFTER_S,
        )


def run_loss(name: str, mesh: Mesh, loads: Loads) -> tuple[str, ...]:
    """Provoke a loss; callers leave the nodes concerned alone afterwards."""
    lost = LOSSES[name](mesh)
    loads.set_addresses(list_callers(mesh, lost))
    return lost


def summarize_loss(
    loads: Loads,
    lost_keys: set[str],
    churn: float,
    calls_idle: float,
    calls_loss: float,
) -> LossResult:
    """Summarize the gaps of the keys whose owner was lost, and of the others."""
    calls = [create_call(sample, SERVICE, True) for sample in loads.list_samples()]
    gaps = measure_gaps(calls)
    lost = [gap for key, gap in gaps.items() if key in lost_keys]
    other = [gap for key, gap in gaps.items() if key not in lost_keys]
    return LossResult(
        max((gap.longest_ms for gap in lost), default=0.0),
        max((gap.total_ms for gap in lost), default=0.0),
        max((gap.longest_ms for gap in other), default=0.0),
        churn,
        calls_idle,
        calls_loss,
    )


def measure_return(plan: Plan) -> Table:
    """Measure churn and imbalance while one of the targets leaves and returns."""
    found = [measure_one_return(seed) for seed in plan.seeds()]
    leave_churn, return_churn, balance = zip(*found, strict=True)
    share = 1 / TARGETS
    rows = [
        (
            "knapweedrock",
            create_spread(list(leave_churn)),
            create_spread([churn / share for churn in leave_churn]),
            create_spread(list(return_churn)),
            create_spread(list(balance)),
        ),
        ("hash modulo N (computed)", 1 - share, (1 - share) / share, 1 - share, 1.0),
        ("fixed ranges without moves (computed)", 0.0, 0.0, 0.0, 1.0),
    ]
    return Table(
        f"one of {TARGETS} targets leaves and returns",
        plan.seed,
        plan.runs,
        (
            "placement",
            "churn at leave",
            "times its own share",
            "churn at return",
            "imbalance after return",
        ),
        rows,
        ("fixed ranges keep churn at 0 by leaving the keys away until the return",),
    )


def measure_one_return(seed: int) -> tuple[float, float, float]:
    """Let one node and its target leave and return; measure the tables."""
    with started_mesh(create_layout({SERVICE: TARGETS})) as mesh:
        before = read_ranges(mesh)
        (name,) = leave(mesh)
        mesh.vms[name].target.terminate()
        time.sleep(BEFORE_S)
        without = read_ranges(mesh)
        mesh.start_node(name)
        mesh.start_target(name)
        mesh.wait_until_ready()
        time.sleep(RETURN_WAIT_S)
        after = read_ranges(mesh)
        offer = Offer(SERVICE, True, RATE, 2000)
        start_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        loads = Loads(list_callers(mesh), [offer], BEFORE_S, seed)
        loads.start()
        loads.wait()
        runs = [run for run in mesh.fetch_all_executions() if run.start_ns > start_ns]
        return (
            measure_churn(before, without),
            measure_churn(without, after),
            measure_imbalance(runs, mesh.vms),
        )


def read_ranges(mesh: Mesh) -> list[dict]:
    """Read the ranges of the service in the platform."""
    stored = mesh.fetch_object(f"tables/{SERVICE}/{mesh.cell}")
    return stored["value"]["ranges"] if stored else []


def find_owners(mesh: Mesh) -> dict[str, str]:
    """Find the owner of each key that is offered."""
    keys = [f"key-{rank}" for rank in range(1, KEYS + 1)]
    return {key: mesh.find_owner(SERVICE, key) for key in keys}
