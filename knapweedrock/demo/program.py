"""The `demo` command: run a mesh under load, inject losses and print a summary."""

import time

import click
import gevent

from knapweedrock.clock import create_clock
from knapweedrock.codes import Outcome
from knapweedrock.demo.checks import (
    Evidence,
    Summary,
    ZoneOutage,
    create_call,
    format_summary,
    summarize,
)
from knapweedrock.demo.deployments import (
    DEPLOYMENTS,
    HOST,
    REQUEST_TIMEOUT_MS,
    create_host_spec,
    list_vm_specs,
)
from knapweedrock.demo.evidence import (
    OwnedRange,
    list_stale_nodes,
    read_executions,
    read_overloads,
    read_owners,
)
from knapweedrock.emulator.configurations import (
    LIST_PREFIX,
    ORDER_PREFIX,
    READ_PREFIX,
    create_document,
)
from knapweedrock.emulator.local_mesh import LocalMesh
from knapweedrock.load.program import LoadOptions, LoadRun
from knapweedrock.load.samples import Sample
from knapweedrock.status import ExitStatus

KEYED_REQUESTS_PER_S = 16.0
UNKEYED_REQUESTS_PER_S = 8.0
KEYS = 40
ORDER_SHARE = 0.3
VM_LOSS_AT_SHARE = 0.1
ZONE_OUT_AT_SHARE = 0.5
ZONE_BACK_AT_SHARE = 0.8
MOST_REQUESTED_KEY = 1
PROGRESS_INTERVAL_S = 2.0
PROBE_INTERVAL_S = 0.05
CONFIGURATION_TIMEOUT_S = 6.0


class Demo:
    """One run of the demo."""

    def __init__(self, seconds: float, deployment: str, seed: int) -> None:
        self.seconds = seconds
        self.seed = seed
        self.deployment = DEPLOYMENTS[deployment]
        self.mesh = LocalMesh(
            create_document(create_host_spec(self.deployment)),
            list_vm_specs(self.deployment),
        )
        self.clock = create_clock()
        self.keyed_samples: list[Sample] = []
        self.unkeyed_samples: list[Sample] = []
        self.owner_tables: list[list[OwnedRange]] = []
        self.load_runs: list[LoadRun] = []
        self.probes: list[Sample] = []
        self.last_failure_ns: dict[str, int] = {}

    def run(self) -> Summary:
        """Run the load and all losses, and return the summary."""
        click.echo(f"starting {len(self.deployment.zones)} availability zones")
        try:
            self.mesh.start()
            click.echo(f"{len(self.mesh.nodes)} nodes are ready; load starts")
            self._record_ownership()
            zone_outage = self._run_under_load()
            stale_nodes = self._wait_for_configuration()
            return self._summarize(zone_outage, stale_nodes)
        finally:
            self.mesh.stop()

    def _run_under_load(self) -> ZoneOutage:
        self.load_runs = [self._create_load_run(True), self._create_load_run(False)]
        loads = [gevent.spawn(run.run) for run in self.load_runs]
        progress = gevent.spawn(self._report_progress)
        try:
            zone_outage = self._inject_losses()
            gevent.joinall(loads, raise_error=True)
        finally:
            gevent.killall([*loads, progress])
        return zone_outage

    def _inject_losses(self) -> ZoneOutage:
        gevent.sleep(self.seconds * VM_LOSS_AT_SHARE)
        self._lose_vm()
        gevent.sleep(self.seconds * (ZONE_OUT_AT_SHARE - VM_LOSS_AT_SHARE))
        self._record_ownership()
        zone = self.deployment.zones[0]
        self._print_progress(f"taking availability zone {zone} out of service")
        evacuated_ns = self.clock.now_ns()
        self.mesh.evacuate_zone(zone)
        gevent.sleep(self.seconds * (ZONE_BACK_AT_SHARE - ZONE_OUT_AT_SHARE))
        self._record_ownership()
        self._print_progress(f"bringing availability zone {zone} back into service")
        restored_ns = self.clock.now_ns()
        self.mesh.restore_zone(zone)
        gevent.sleep(self.seconds * (1 - ZONE_BACK_AT_SHARE))
        self._record_ownership()
        return ZoneOutage(zone, evacuated_ns, restored_ns)

    def _lose_vm(self) -> None:
        lost = self.mesh.find_owner(MOST_REQUESTED_KEY).settings.node_id
        self._print_progress(
            f"stopping the VM of {lost}, which owns the most requested key"
        )
        self.mesh.lose_vm(lost)
        for run in self.load_runs:
            run.addresses = self._list_callers()

    def _list_callers(self) -> list[str]:
        """List the caller addresses of the running nodes."""
        nodes = self.mesh.nodes.values()
        return ["{}:{}".format(*node.settings.caller) for node in nodes]

    def _record_ownership(self) -> None:
        self.owner_tables.append(read_owners(self.mesh, self.deployment.keyed))

    def _create_load_run(self, keyed: bool) -> LoadRun:
        prefix = READ_PREFIX if keyed else LIST_PREFIX
        options = LoadOptions(
            addresses=tuple(self._list_callers()),
            rate=KEYED_REQUESTS_PER_S if keyed else UNKEYED_REQUESTS_PER_S,
            duration_s=self.seconds,
            read_path=prefix + "{tag}",
            order_path=ORDER_PREFIX + "{tag}",
            host=HOST,
            keyed=keyed,
            keys=KEYS,
            order_share=ORDER_SHARE if keyed else 0.0,
            deadline_ms=REQUEST_TIMEOUT_MS,
            seed=self.seed,
            check_echo=True,
        )
        return LoadRun(
            options, self.record_keyed_sample if keyed else self.unkeyed_samples.append
        )

    def record_keyed_sample(self, sample: Sample) -> None:
        """Record a sample, and probe its key after a failure until a read succeeds."""
        self.keyed_samples.append(sample)
        if sample.outcome == Outcome.DONE.value:
            return
        is_probed = sample.key in self.last_failure_ns
        self.last_failure_ns[sample.key] = sample.intended_ns
        if not is_probed:
            run = self.load_runs[0]
            run.spawn(self._probe, run, sample.key)

    def _probe(self, run: LoadRun, key: str) -> None:
        """Read a key at a steady rate until a read after its last failure succeeds."""
        while key in self.last_failure_ns:
            gevent.sleep(PROBE_INTERVAL_S)
            sample = run.probe(key)
            self.probes.append(sample)
            is_done = sample.outcome == Outcome.DONE.value
            if is_done and sample.intended_ns > self.last_failure_ns[key]:
                del self.last_failure_ns[key]

    def _report_progress(self) -> None:
        while True:
            gevent.sleep(PROGRESS_INTERVAL_S)
            outcomes = [run.tally.outcomes for run in self.load_runs]
            done, refused, maybe = (
                sum(counts[name] for counts in outcomes)
                for name in ("done", "not-run", "may-have-run")
            )
            self._print_progress(
                f"done {done}, not run {refused}, may have run {maybe}"
            )

    def _wait_for_configuration(self) -> list[str]:
        """Wait until no zone is out on any node; return the nodes that time out."""
        end_s = time.monotonic() + CONFIGURATION_TIMEOUT_S
        while (stale_nodes := list_stale_nodes(self.mesh)) and time.monotonic() < end_s:
            gevent.sleep(PROBE_INTERVAL_S)
        return stale_nodes

    def _print_progress(self, text: str) -> None:
        click.echo(f"  {text}")

    def _summarize(self, zone_outage: ZoneOutage, stale_nodes: list[str]) -> Summary:
        calls = [
            create_call(sample, self.deployment.keyed, True)
            for sample in self.keyed_samples + self.probes
        ]
        calls += [
            create_call(sample, self.deployment.unkeyed, False)
            for sample in self.unkeyed_samples
        ]
        targets = [
            place.settings.node_id
            for place in self.mesh.places
            if place.settings.zone == zone_outage.zone
        ]
        return summarize(
            self.keyed_samples + self.unkeyed_samples,
            calls,
            self.owner_tables,
            Evidence(
                read_executions(self.mesh),
                read_overloads(self.mesh),
                zone_outage,
                targets,
                stale_nodes,
            ),
        )


def run_demo(
    seconds: float, *, deployment: str = "kowhai", seed: int = 1
) -> ExitStatus:
    """Run the demo with this duration of load in s and print its summary."""
    summary = Demo(seconds, deployment, seed).run()
    click.echo(format_summary(summary))
    if summary.violations or not summary.done:
        return ExitStatus.PROMISE_BROKEN
    return ExitStatus.SUCCESS
