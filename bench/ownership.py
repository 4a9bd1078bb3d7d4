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
from knapweedrock.load.samples import Sample

SERVICE = "depot-orders"
TARGETS = 6
KEYS = 48
RATE = 480.0
BEFORE_S = 3.0
AFTER_S = 8.0
RETURN_WAIT_S = 15.0

Choice = Callable[[Mesh], tuple[str, ...]]
Action = Callable[[Mesh, str], None]


class Loss(NamedTuple):
    """Which nodes are lost, and how."""

    choose: Choice
    act: Action


LOSSES: dict[str, Loss] = {}


class LossResult(NamedTuple):
    """What one loss cost."""

    lost_gap_ms: float
    lost_total_ms: float
    other_gap_ms: float
    churn: float
    calls_idle: float
    calls_loss: float


def kill(mesh: Mesh, name: str) -> None:
    """Kill a node."""
    mesh.vms[name].node.kill()


def terminate(mesh: Mesh, name: str) -> None:
    """Let a node leave, and wait for its end."""
    mesh.vms[name].node.terminate()


def loss(name: str, act: Action = kill) -> Callable[[Choice], Choice]:
    """Register a kind of loss by the choice of its nodes."""

    def register(choose: Choice) -> Choice:
        LOSSES[name] = Loss(choose, act)
        return choose

    return register


@loss("none")
def choose_nobody(mesh: Mesh) -> tuple[str, ...]:
    """Choose nobody: the calm run beside the others."""
    return ()


@loss("owner killed")
@loss("planned move (SIGTERM)", terminate)
def choose_owner(mesh: Mesh) -> tuple[str, ...]:
    """Choose a node that is not the coordinator."""
    coordinator = mesh.find_coordinator()
    return (next(name for name in mesh.vms if name != coordinator),)


@loss("coordinator killed")
def choose_coordinator(mesh: Mesh) -> tuple[str, ...]:
    """Choose the coordinator, which owns keys too."""
    return (mesh.find_coordinator(),)


@loss("coordinator and owner killed")
def choose_both(mesh: Mesh) -> tuple[str, ...]:
    """Choose the coordinator and another owner."""
    return choose_coordinator(mesh) + choose_owner(mesh)


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
            "gaps of requests that were in flight at the loss or sent after it",
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
        lost_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        lost = run_loss(name, mesh, loads)
        loads.wait()
        calls_after = count_platform_calls(mesh)
        samples = loads.list_samples()
        return summarize_loss(
            [sample for sample in samples if sample.end_ns > lost_ns],
            {key for key, owner in owners.items() if owner in lost},
            measure_churn(before, read_ranges(mesh)),
            (calls_before - calls_start) / BEFORE_S,
            (calls_after - calls_before) / AFTER_S,
        )


def run_loss(name: str, mesh: Mesh, loads: Loads) -> tuple[str, ...]:
    """Provoke a loss; callers leave the nodes concerned alone, as if they retried."""
    lost = LOSSES[name].choose(mesh)
    loads.set_addresses(list_callers(mesh, lost))
    for node in lost:
        LOSSES[name].act(mesh, node)
    return lost


def summarize_loss(
    samples: list[Sample],
    lost_keys: set[str],
    churn: float,
    calls_idle: float,
    calls_loss: float,
) -> LossResult:
    """Summarize the gaps of the keys whose owner was lost, and of the others."""
    calls = [create_call(sample, SERVICE, True) for sample in samples]
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
        (name,) = choose_owner(mesh)
        terminate(mesh, name)
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
