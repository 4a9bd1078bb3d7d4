"""Random plays of a store that comes back from copies, in the model of the mesh.

Targets and operators are the only witnesses: what targets hold and under which token,
and which zones operators have taken out of service.
"""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
from logbook import NullHandler

from features.support.hold_monitor import HoldMonitor, list_unheld_keys
from knapweedrock.clock import NS_PER_S
from knapweedrock.emulator.store import StoreCopy
from knapweedrock.emulator.target import EmulatedTarget
from knapweedrock.model.mesh import ZONES, ModelMesh
from knapweedrock.model.patterns import Kind, Pattern, ServiceSpec
from knapweedrock.model.virtual_time import VirtualLoop, run_in_virtual_time
from knapweedrock.platform.documents import EVACUATION_KIND

KEYED_TARGETS = 5
UNKEYED_TARGETS = 3
SAMPLE_INTERVAL_S = 0.01
COPY_INTERVAL_S = 0.1
MAX_COPIES = 100
COPY_AGE_RANGE_S = (0.2, 6.0)
AWAY_RANGE_S = (0.0, 4.0)
REWRITE_DELAY_RANGE_S = (0.0, 4.0)
# Time in which all requests of a drill must have got through, and bounds of the rules.
EVACUATION_S = 5.0
STABLE_WINDOW_S = 3.0
SETTLING_TIMEOUT_S = 20.0

# Events by name; each takes the play.
EVENTS: dict[str, Callable[["DrillPlay"], None]] = {}


def register_event(inject: Callable) -> Callable:
    """Register an event under the name of its function."""
    EVENTS[inject.__name__] = inject
    return inject


class TakenCopy(NamedTuple):
    """A copy of the store, and when it was taken."""

    at_ns: int
    copy: StoreCopy


class DrillPlay:
    """A mesh of the model with the events of one seed, and what its targets show."""

    def __init__(self, loop: VirtualLoop, seed: int, names: str = "") -> None:
        """Create the mesh; `names` selects events, empty for all."""
        self.violations: list[str] = []
        self.events: list[str] = []
        self._random = random.Random(seed)
        self._loop = loop
        self.mesh = ModelMesh(create_drill_pattern(), loop, seed)
        self._names = names.split() or list(EVENTS)
        self._copies: list[TakenCopy] = []
        self._monitor = HoldMonitor()
        # Zones out as the operator knows them, with the time of the acknowledgement.
        self._zones_out: dict[str, int] = {}
        self._disturbed_ns = 0
        self._arrivals_checked: dict[str, int] = {}
        self._is_drilling = False

    def run(self, seconds: float) -> None:
        """Run load and events, then wait until all keys are held again."""
        gevent.spawn(self._run_samples)
        gevent.spawn(self._run_copies)
        self.mesh.start()
        load = gevent.spawn(self.mesh.run_load)
        end_ns = self._loop.now_ns() + int(seconds * NS_PER_S)
        while self._loop.now_ns() < end_ns:
            gevent.sleep(self._random.uniform(0.1, 2.5))
            self.inject(self._random.choice(self._names))
        while self._is_drilling:
            gevent.sleep(0.1)
        for zone in list(self._zones_out):
            self.restore_zone(zone)
        self._wait_until_settled()
        load.kill()

    def inject(self, name: str) -> None:
        """Let an event begin, while others may go on."""
        self.events.append(f"{self._loop.now():.2f} {name}")
        EVENTS[name](self)

    def disturb(self) -> None:
        """Remember that machines are out of touch from now on for a while."""
        self._disturbed_ns = self._loop.now_ns()

    @register_event
    def drill(self) -> None:
        """Let the store go away and come back from a copy."""
        if self._is_drilling or not self._copies:
            return
        away_s = self._random.uniform(*AWAY_RANGE_S)
        gevent.spawn(self.run_drill, away_s, self._random.uniform(*COPY_AGE_RANGE_S))

    def run_drill(self, away_s: float, age_s: float) -> None:
        """Run one drill; the copy has an age when the store goes away."""
        self._is_drilling = True
        before_ns = self._loop.now_ns() - int(age_s * NS_PER_S)
        older = [taken for taken in self._copies if taken.at_ns <= before_ns]
        taken = older[-1] if older else self._copies[0]
        is_silent = self._random.random() < 0.5
        set_away = (
            self.mesh.set_store_silent if is_silent else self.mesh.set_store_refusing
        )
        set_away(True)
        gevent.sleep(away_s)
        self.mesh.objects.restore(taken.copy)
        self._copies.clear()
        set_away(False)
        self.disturb()
        self.events.append(f"{self._loop.now():.2f} back, {age_s:.1f} s older")
        self._is_drilling = False
        for zone in ZONES:
            delay_s = self._random.uniform(*REWRITE_DELAY_RANGE_S)
            gevent.spawn_later(delay_s, self._write_again, zone)

    def _write_again(self, zone: str) -> None:
        """Write what the operator last wrote of a zone, if the store has lost it."""
        is_listed = zone in self.mesh.objects.kinds.get(EVACUATION_KIND, {})
        if not self._is_drilling and is_listed != (zone in self._zones_out):
            self._write(zone)

    @register_event
    def kill_coordinator(self) -> None:
        """Kill the coordinator's node and start it again."""
        name = self.mesh.find_coordinator()
        if name:
            self._restart([name])

    @register_event
    def kill_node(self) -> None:
        """Kill a node and start it again."""
        if self.mesh.nodes:
            self._restart([self._random.choice(list(self.mesh.nodes))])

    @register_event
    def kill_all_nodes(self) -> None:
        """Kill all nodes and start them again."""
        self._restart(list(self.mesh.nodes))

    def _restart(self, names: list[str]) -> None:
        for name in names:
            self.mesh.kill_node(name)
            gevent.spawn_later(self._random.uniform(0.1, 2.0), self._start_node, name)
        self.disturb()

    def _start_node(self, name: str) -> None:
        self.mesh.start_node(name)
        self.disturb()

    @register_event
    def crash_target(self) -> None:
        """Crash a target; a new incarnation starts later."""
        vm = self._random.choice(list(self.mesh.vms.values()))
        if vm.target.is_up():
            vm.target.crash()
            gevent.spawn_later(self._random.uniform(0.2, 3.0), vm.target.start)

    @register_event
    def replace_target(self) -> None:
        """Let a target drain, end, and start again as another incarnation."""
        vm = self._random.choice(list(self.mesh.vms.values()))
        if vm.target.is_up():
            vm.target.draining = True
            gevent.spawn_later(self._random.uniform(1.0, 3.0), self._renew_target, vm)

    def _renew_target(self, vm: Any) -> None:
        if vm.target.is_up():
            vm.target.crash()
            gevent.sleep(self._random.uniform(0.1, 3.0))
            vm.target.start()

    @register_event
    def cut_node(self) -> None:
        """Cut a node off from the store and from all others."""
        if not self.mesh.nodes or self._is_drilling:
            return
        name = self._random.choice(list(self.mesh.nodes))
        self.mesh.set_cut(name, True)
        self.disturb()
        gevent.spawn_later(self._random.uniform(0.5, 12.0), self._reconnect, name)

    def _reconnect(self, name: str) -> None:
        self.mesh.set_cut(name, False)
        self.disturb()

    @register_event
    def delay_writes(self) -> None:
        """Let the writes of a VM take effect late, without a response."""
        vm = self._random.choice(list(self.mesh.vms.values()))
        vm.store.late_write_s = self._random.uniform(0.2, 5.0)
        gevent.spawn_later(self._random.uniform(0.3, 3.0), self._end_late_writes, vm)
        self.disturb()

    def _end_late_writes(self, vm: Any) -> None:
        vm.store.late_write_s = 0.0
        self.disturb()

    @register_event
    def evacuate(self) -> None:
        """Take a zone out of service, or bring one back."""
        if self._is_drilling:
            return
        if self._zones_out:
            self.restore_zone(self._random.choice(list(self._zones_out)))
        else:
            self.evacuate_zone(self._random.choice(ZONES))

    def evacuate_zone(self, zone: str) -> None:
        """Take a zone out of service as the operator."""
        self._zones_out[zone] = self._loop.now_ns()
        self._write(zone)

    def restore_zone(self, zone: str) -> None:
        """Bring a zone back into service as the operator."""
        del self._zones_out[zone]
        self._write(zone)

    def _write(self, zone: str) -> None:
        objects = self.mesh.objects
        if zone in self._zones_out:
            objects.write(EVACUATION_KIND, zone, {})
        elif zone in objects.kinds.get(EVACUATION_KIND, {}):
            objects.remove(EVACUATION_KIND, zone)

    def _run_copies(self) -> None:
        while True:
            now_ns = self._loop.now_ns()
            self._copies.append(TakenCopy(now_ns, self.mesh.objects.copy()))
            del self._copies[:-MAX_COPIES]
            gevent.sleep(COPY_INTERVAL_S)

    def _run_samples(self) -> None:
        while True:
            self._monitor.check(self._list_keyed_targets())
            self._check_zones()
            gevent.sleep(SAMPLE_INTERVAL_S)

    def _list_keyed_targets(self) -> list[EmulatedTarget]:
        targets = [vm.target for vm in self.mesh.vms.values()]
        return [target for target in targets if target.keyed]

    def list_violations(self) -> list[str]:
        """List the rules that were broken."""
        return self._monitor.violations + self.violations

    def _check_zones(self) -> None:
        """Check that nothing reaches a zone that is out, once all know of it."""
        stable_ns = self._disturbed_ns + int(STABLE_WINDOW_S * NS_PER_S)
        for name, vm in self.mesh.vms.items():
            arrivals = vm.target.arrivals
            first = self._arrivals_checked.get(name, 0)
            self._arrivals_checked[name] = len(arrivals)
            out_ns = self._zones_out.get(vm.settings.zone)
            if out_ns is None:
                continue
            bound_ns = max(out_ns + int(EVACUATION_S * NS_PER_S), stable_ns)
            late = [a for a in arrivals[first:] if a.at_ns > bound_ns]
            if late:
                self._report(f"{vm.settings.zone} is out, and {name} gets a request")

    def _report(self, text: str) -> None:
        if len(self.violations) < 5:
            self.violations.append(f"{self._loop.now():.2f} {text}")

    def _wait_until_settled(self) -> None:
        end_ns = self._loop.now_ns() + int(SETTLING_TIMEOUT_S * NS_PER_S)
        while self._loop.now_ns() < end_ns:
            gevent.sleep(0.5)
            if not list_unheld_keys(self._list_keyed_targets()):
                return
        unheld = list_unheld_keys(self._list_keyed_targets())
        self._report(f"not held at the end: {len(unheld)} keys")


def create_drill_pattern() -> Pattern:
    """Create a light load on a service with keys and one without."""
    return Pattern(
        services=(
            ServiceSpec("orders", True, KEYED_TARGETS, 8),
            ServiceSpec("catalogue", False, UNKEYED_TARGETS, 8),
        ),
        kinds=(
            Kind("order", "orders", 20.0, 20.0, 400.0, 1000.0, idempotent=False),
            Kind("read", "catalogue", 10.0, 20.0, 400.0, 1000.0),
        ),
        length_s=1e9,
    )


def play_drills(seed: int, seconds: float, names: str = "") -> DrillPlay:
    """Play the events of a seed in virtual time."""

    def run(loop: VirtualLoop) -> DrillPlay:
        random.seed(seed)
        play = DrillPlay(loop, seed, names)
        with NullHandler().threadbound():
            play.run(seconds)
        return play

    return run_in_virtual_time(run)
