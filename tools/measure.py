"""Measure the costs of requests, losses and idle control in an in-process mesh.

Usage: `python tools/measure.py [EXPERIMENT...]`; without names, runs all experiments.
Emulated targets and the store run in the same process, so their cost is included.
"""

from gevent import monkey

monkey.patch_all()

import resource  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable, Iterator  # noqa: E402
from contextlib import contextmanager  # noqa: E402

import gevent  # noqa: E402
from logbook import NullHandler  # noqa: E402

from knapweedrock.demo.checks import create_call  # noqa: E402
from knapweedrock.demo.deployments import (  # noqa: E402
    DEPLOYMENTS,
    HOST,
    create_host_spec,
    list_vm_specs,
)
from knapweedrock.emulator.configurations import READ_PREFIX, create_document  # noqa: E402
from knapweedrock.emulator.local_mesh import LocalMesh, Place  # noqa: E402
from knapweedrock.history import compute_key_gap  # noqa: E402
from knapweedrock.load.program import LoadOptions, LoadRun  # noqa: E402
from knapweedrock.load.samples import Sample  # noqa: E402
from knapweedrock.operators.formatters import format_table  # noqa: E402

DEPLOYMENT = DEPLOYMENTS["hedelmaverkko"]
PATH_RATE_PER_S = 150.0
PATH_DURATION_S = 8.0
LOSS_RATE_PER_S = 50.0
LOSS_DURATION_S = 12.0
LOSS_OFFSET_S = 1.0
IDLE_DURATION_S = 10.0
MESH_SIZES = (4, 8, 16, 32)

Row = tuple[object, ...]
Experiment = Callable[[], list[Row]]

EXPERIMENTS: dict[str, Experiment] = {}


def experiment(function: Experiment) -> Experiment:
    """Register an experiment that returns a row of titles and rows of results."""
    EXPERIMENTS[function.__name__.removeprefix("measure_")] = function
    return function


@contextmanager
def run_mesh(targets: int) -> Iterator[LocalMesh]:
    """Run a mesh whose targets all serve the keyed service."""
    spots = list_vm_specs(DEPLOYMENT._replace(keyed_targets=targets, unkeyed_targets=0))
    mesh = LocalMesh(create_document(create_host_spec(DEPLOYMENT)), spots)
    mesh.start()
    try:
        yield mesh
    finally:
        mesh.stop()


def read_cpu_s() -> float:
    """Return the CPU time that this process has used, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def create_run(
    place: Place, rate: float, seconds: float, observe: Callable[[Sample], None]
) -> LoadRun:
    """Create a load run that reads one key through one node."""
    options = LoadOptions(
        addresses=("{}:{}".format(*place.settings.caller),),
        rate=rate,
        duration_s=seconds,
        read_path=READ_PREFIX + "{tag}",
        host=HOST,
        keys=1,
        deadline_ms=2000,
    )
    return LoadRun(options, observe)


@experiment
def measure_path() -> list[Row]:
    """Measure the latency and CPU time of reads, directly and through another node."""
    rows: list[Row] = [("route", "done", "p50 ms", "p99 ms", "CPU us per request")]
    with run_mesh(3) as mesh:
        owner = mesh.find_owner(1)
        others = [place for place in mesh.places if place is not owner]
        for route, place in (
            ("through the owner", owner),
            ("through another node", others[0]),
        ):
            start_cpu_s = read_cpu_s()
            report = create_run(
                place, PATH_RATE_PER_S, PATH_DURATION_S, lambda _: None
            ).run()
            cpu_us = (read_cpu_s() - start_cpu_s) / max(report.offered, 1) * 1e6
            latency = report.latency["all"]
            rows.append(
                (route, report.done, latency.p50_ms, latency.p99_ms, round(cpu_us))
            )
    return rows


@experiment
def measure_losses() -> list[Row]:
    """Measure how long a key is not served after each kind of loss."""
    rows: list[Row] = [("loss", "longest gap ms", "done", "not run", "may have run")]
    losses: dict[str, Callable[[LocalMesh, Place], None]] = {
        "target crashes, node stays up": lambda _mesh, place: place.holder.crash(),
        "VM is lost": lambda mesh, place: mesh.lose_vm(place.settings.node_id),
        "node restarted in place": restart_node,
        "coordinator is killed": lambda mesh, _place: mesh.kill_node(
            mesh.find_coordinator()
        ),
    }
    for name, lose in losses.items():
        rows.append((name, *measure_loss(lose)))
    return rows


def restart_node(mesh: LocalMesh, place: Place) -> None:
    """Kill the node of a place and start it again."""
    mesh.kill_node(place.settings.node_id)
    mesh.start_node(place)


def measure_loss(lose: Callable[[LocalMesh, Place], None]) -> Row:
    """Measure a loss while the lost owner's key is read through another node."""
    samples: list[Sample] = []
    with run_mesh(4) as mesh:
        owner = mesh.find_owner(1)
        coordinator = mesh.find_coordinator()
        entry = next(
            place
            for place in mesh.places
            if place is not owner and place.settings.node_id != coordinator
        )
        run = create_run(entry, LOSS_RATE_PER_S, LOSS_DURATION_S, samples.append)
        gevent.spawn_later(LOSS_OFFSET_S, lose, mesh, owner)
        report = run.run()
    gap = compute_key_gap(
        "1", [create_call(sample, DEPLOYMENT.keyed, True) for sample in samples]
    )
    return (
        round(gap.longest_ms),
        report.done,
        report.not_run,
        report.may_have_run,
    )


@experiment
def measure_control() -> list[Row]:
    """Measure the cost of control traffic in idle meshes of several sizes."""
    rows: list[Row] = [
        ("nodes", "CPU % per node", "bytes/s per node", "store calls/s in total")
    ]
    for size in MESH_SIZES:
        with run_mesh(size) as mesh:
            gevent.sleep(1)
            start_s, start_cpu_s = time.monotonic(), read_cpu_s()
            start_bytes, start_calls = (
                sum_counter(mesh, "link_bytes_sent"),
                sum_counter(mesh, "store_calls"),
            )
            gevent.sleep(IDLE_DURATION_S)
            elapsed_s = time.monotonic() - start_s
            cpu_share = (read_cpu_s() - start_cpu_s) / elapsed_s / size
            bytes_per_s = (
                (sum_counter(mesh, "link_bytes_sent") - start_bytes) / elapsed_s / size
            )
            calls_per_s = (sum_counter(mesh, "store_calls") - start_calls) / elapsed_s
            rows.append(
                (
                    size,
                    round(cpu_share * 100, 2),
                    round(bytes_per_s),
                    round(calls_per_s, 1),
                )
            )
    return rows


def sum_counter(mesh: LocalMesh, name: str) -> int:
    """Return the sum of a counter over all nodes."""
    return sum(node.counters.get_total(name) for node in mesh.nodes.values())


def main(names: list[str]) -> int:
    """Run the named experiments and print a table for each."""
    unknown = [name for name in names if name not in EXPERIMENTS]
    if unknown:
        print(f"unknown experiments: {unknown}, expected some of {sorted(EXPERIMENTS)}")
        return 2
    for name in names or EXPERIMENTS:
        with NullHandler().applicationbound():
            titles, *rows = EXPERIMENTS[name]()
        print(f"{name}\n{format_table(titles, rows)}\n", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
