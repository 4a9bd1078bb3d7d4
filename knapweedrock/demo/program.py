"""The `demo` command: start a mesh, load it, break it, and tell how it went."""

import time

import click
import gevent

from knapweedrock.clock import create_clock
from knapweedrock.codes import Outcome
from knapweedrock.demo.checks import (
    Evidence,
    Summary,
    ZoneOut,
    create_call,
    format_summary,
    summarize,
)
from knapweedrock.demo.deployments import (
    DEPLOYMENTS,
    HOST,
    LONGEST_REQUEST_MS,
    create_offer,
    list_spots,
)
from knapweedrock.demo.evidence import (
    Range,
    list_behind,
    read_excess,
    read_executions,
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

KEYED_RATE = 16.0
UNKEYED_RATE = 8.0
KEYS = 40
ORDER_SHARE = 0.3
LOSE_VM_AT = 0.1
ZONE_OUT_AT = 0.5
ZONE_BACK_AT = 0.8
BUSIEST_KEY = 1
PROGRESS_PERIOD_S = 2.0
PROBE_PERIOD_S = 0.05
IN_FORCE_LIMIT_S = 6.0


class Demo:
    """One run of the demo."""

    def __init__(self, seconds: float, deployment: str, seed: int) -> None:
        self.seconds = seconds
        self.seed = seed
        self.deployment = DEPLOYMENTS[deployment]
        self.mesh = LocalMesh(
            create_document(create_offer(self.deployment)), list_spots(self.deployment)
        )
        self.clock = create_clock()
        self.keyed: list[Sample] = []
        self.unkeyed: list[Sample] = []
        self.owners: list[list[Range]] = []
        self.runs: list[LoadRun] = []
        self.probes: list[Sample] = []
        self.unserved: dict[str, int] = {}

    def run(self) -> Summary:
        """Run the whole schedule and return its summary."""
        click.echo(f"starting {len(self.deployment.zones)} availability zones")
        try:
            self.mesh.start()
            click.echo(f"{len(self.mesh.nodes)} nodes serve; load starts")
            self._note_owners()
            zone_out = self._run_under_load()
            behind = self._wait_in_force()
            return self._summarize(zone_out, behind)
        finally:
            self.mesh.stop()

    def _run_under_load(self) -> ZoneOut:
        self.runs = [self._create_run(True), self._create_run(False)]
        loads = [gevent.spawn(run.run) for run in self.runs]
        progress = gevent.spawn(self._show_progress)
        try:
            zone_out = self._break_things()
            gevent.joinall(loads, raise_error=True)
        finally:
            gevent.killall([*loads, progress])
        return zone_out

    def _break_things(self) -> ZoneOut:
        gevent.sleep(self.seconds * LOSE_VM_AT)
        self._lose_owner()
        gevent.sleep(self.seconds * (ZONE_OUT_AT - LOSE_VM_AT))
        self._note_owners()
        zone = self.deployment.zones[0]
        self._say(f"taking availability zone {zone} out")
        out_ns = self.clock.now_ns()
        self.mesh.evacuate_zone(zone)
        gevent.sleep(self.seconds * (ZONE_BACK_AT - ZONE_OUT_AT))
        self._note_owners()
        self._say(f"bringing availability zone {zone} back")
        back_ns = self.clock.now_ns()
        self.mesh.restore_zone(zone)
        gevent.sleep(self.seconds * (1 - ZONE_BACK_AT))
        self._note_owners()
        return ZoneOut(zone, out_ns, back_ns)

    def _lose_owner(self) -> None:
        lost = self.mesh.find_owner(BUSIEST_KEY).settings.node_id
        self._say(f"losing the VM of {lost}, which owns the busiest key")
        self.mesh.lose_vm(lost)
        for run in self.runs:
            run.addresses = self._list_callers()

    def _list_callers(self) -> list[str]:
        """List the caller addresses of the nodes that run."""
        nodes = self.mesh.nodes.values()
        return ["{}:{}".format(*node.settings.caller) for node in nodes]

    def _note_owners(self) -> None:
        self.owners.append(read_owners(self.mesh, self.deployment.keyed))

    def _create_run(self, keyed: bool) -> LoadRun:
        prefix = READ_PREFIX if keyed else LIST_PREFIX
        options = LoadOptions(
            addresses=tuple(self._list_callers()),
            rate=KEYED_RATE if keyed else UNKEYED_RATE,
            duration_s=self.seconds,
            read_path=prefix + "{tag}",
            order_path=ORDER_PREFIX + "{tag}",
            host=HOST,
            keyed=keyed,
            keys=KEYS,
            order_share=ORDER_SHARE if keyed else 0.0,
            deadline_ms=LONGEST_REQUEST_MS,
            seed=self.seed,
            check_echo=True,
        )
        return LoadRun(options, self.take_keyed if keyed else self.unkeyed.append)

    def take_keyed(self, sample: Sample) -> None:
        """Take a sample; a key that was not served is probed until it is."""
        self.keyed.append(sample)
        if sample.outcome == Outcome.DONE.value:
            return
        is_probed = sample.key in self.unserved
        self.unserved[sample.key] = sample.intended_ns
        if not is_probed:
            run = self.runs[0]
            run.spawn(self._probe, run, sample.key)

    def _probe(self, run: LoadRun, key: str) -> None:
        """Read a key at a steady rate until a read after its last failure is done."""
        while key in self.unserved:
            gevent.sleep(PROBE_PERIOD_S)
            sample = run.probe(key)
            self.probes.append(sample)
            is_done = sample.outcome == Outcome.DONE.value
            if is_done and sample.intended_ns > self.unserved[key]:
                del self.unserved[key]

    def _show_progress(self) -> None:
        while True:
            gevent.sleep(PROGRESS_PERIOD_S)
            outcomes = [run.tally.outcomes for run in self.runs]
            done, refused, maybe = (
                sum(found[name] for found in outcomes)
                for name in ("done", "not-run", "may-have-run")
            )
            self._say(f"done {done}, not run {refused}, may have run {maybe}")

    def _wait_in_force(self) -> list[str]:
        """Wait until no zone is out for any node; return where one still is."""
        end_s = time.monotonic() + IN_FORCE_LIMIT_S
        while (behind := list_behind(self.mesh)) and time.monotonic() < end_s:
            gevent.sleep(PROBE_PERIOD_S)
        return behind

    def _say(self, text: str) -> None:
        click.echo(f"  {text}")

    def _summarize(self, zone_out: ZoneOut, behind: list[str]) -> Summary:
        calls = [
            create_call(found, self.deployment.keyed, True)
            for found in self.keyed + self.probes
        ]
        calls += [
            create_call(found, self.deployment.unkeyed, False) for found in self.unkeyed
        ]
        targets = [
            place.settings.node_id
            for place in self.mesh.places
            if place.settings.zone == zone_out.zone
        ]
        return summarize(
            self.keyed + self.unkeyed,
            calls,
            self.owners,
            Evidence(
                read_executions(self.mesh),
                read_excess(self.mesh),
                zone_out,
                targets,
                behind,
            ),
        )


def run_demo(
    seconds: float, *, deployment: str = "kowhai", seed: int = 1
) -> ExitStatus:
    """Run the demo for this many seconds of load and print its table."""
    summary = Demo(seconds, deployment, seed).run()
    click.echo(format_summary(summary))
    if summary.violations or not summary.done:
        return ExitStatus.PROMISE_BROKEN
    return ExitStatus.SUCCESS
