"""A mesh of the product's own nodes under a load, in virtual time.

Nodes run their own routing, admission, membership and planning; only sockets, the
store's server and the targets are replaced. A run is repeatable for a seed.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

import gevent
from logbook import NullHandler

from knapweedrock.codes import NOT_RUN_STATUSES
from knapweedrock.emulator.configurations import create_kinds_document
from knapweedrock.emulator.direct_store import DirectStore
from knapweedrock.emulator.store import ObjectStore
from knapweedrock.mesh.definitions import NodeSettings
from knapweedrock.mesh.endpoints import Endpoints
from knapweedrock.mesh.http import Request
from knapweedrock.mesh.node import Node
from knapweedrock.mesh.snapshots import KEY_COUNT
from knapweedrock.model.links import ModelLinks, ModelNetwork
from knapweedrock.model.outcomes import Outcome, Outcomes
from knapweedrock.model.patterns import Kind, Pattern, ServiceSpec
from knapweedrock.model.target import ModelTarget, create_headers
from knapweedrock.model.uplinks import Uplink
from knapweedrock.model.virtual_time import VirtualLoop, run_in_virtual_time
from knapweedrock.platform.documents import CONFIGURATION_KIND, CONFIGURATION_NAME
from knapweedrock.platform.headers import SHARD_KEY
from knapweedrock.timers import Timeout

HOST = "model.example"
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
HEARTBEAT_INTERVAL_MS = 870
MAX_HOLD_MS = 10_000
SHUTDOWN_MS = 6000
CORES = 0.86
# Strong VMs have more processor time, and links that are faster by this factor.
STRONG_CORES = 2.15
STRONG_LINK_FACTOR = 10.0
# Time from the start of the nodes until callers begin, longer than the window of the
# retry budgets.
LEAD_S = 10.5
# Time after the last request, in which all requests end.
TAIL_S = 2.0
# Number of different keys in use; some of them are used more often than others.
KEY_POOL_SIZE = 3000
KEY_SKEW = 2.3
CLIENT_MS = 8.0
# Time for which a target is cold after a loss of power.
COLD_S = 3.0
START_SPREAD_S = 0.3
MAX_SENDS = 2
# A caller that finds no node tries another one after this time.
RECONNECT_MS = 50.0
# Longest time that a caller waits as told, as a share of its remaining time.
MAX_WAIT_SHARE = 1 / 3


class Vm(NamedTuple):
    """A VM: its node's settings, its target, its client of the store, and its link."""

    settings: NodeSettings
    target: ModelTarget
    store: DirectStore
    uplink: Uplink


class HotKeys(NamedTuple):
    """Neighbouring keys that get a share of the requests."""

    share: float
    first_key: int
    key_count: int


class ModelMesh:
    """Nodes, targets and callers of one pattern."""

    def __init__(self, pattern: Pattern, loop: VirtualLoop, seed: int) -> None:
        self.outcomes = Outcomes()
        self.nodes: dict[str, Node] = {}
        self._pattern = pattern
        self._loop = loop
        self._random = random.Random(seed)
        self._network = ModelNetwork(loop)
        self.objects = ObjectStore(era=1)
        self._kinds = {kind.name: kind for kind in pattern.kinds}
        self._keys = [self._random.randrange(KEY_COUNT) for _ in range(KEY_POOL_SIZE)]
        self._hot_keys = HotKeys(0.0, 0, 1)
        self._started_s = 0.0
        self._request_count = 0
        self.configure(1)
        self.vms: dict[str, Vm] = {}
        for spec in pattern.services:
            for number in range(spec.target_count):
                self._add_vm(spec, number)

    def run(self) -> Outcomes:
        """Run the whole pattern and return the outcomes of all requests."""
        self.start()
        self._started_s = self._loop.now()
        for event in self._pattern.events:
            gevent.spawn_later(event.at_s, event.disturb, self)
        self.run_load()
        gevent.sleep(TAIL_S)
        for vm in self.vms.values():
            arrivals = len(vm.target.arrivals)
            self.outcomes.delivered_by_service[vm.settings.service] += arrivals
        return self.outcomes

    def run_load(self) -> None:
        """Send the requests of all kinds until the pattern ends."""
        callers = [
            gevent.spawn(self._run_callers, kind) for kind in self._kinds.values()
        ]
        try:
            gevent.joinall(callers)
        finally:
            gevent.killall(callers, block=False)

    def start(self) -> None:
        """Start all nodes and targets, and wait until every key has an owner."""
        for name, vm in self.vms.items():
            self.start_node(name)
            gevent.spawn_later(self._random.random(), vm.target.start)
        gevent.sleep(LEAD_S)

    def configure(self, version: int) -> None:
        """Write a version of the configuration to the store, as operators do."""
        pattern = self._pattern
        document = create_kinds_document(HOST, pattern.services, pattern.kinds, version)
        self.objects.write(CONFIGURATION_KIND, CONFIGURATION_NAME, document)

    def start_node(self, name: str) -> None:
        """Start the node of a VM, without state of an earlier process."""
        vm = self.vms[name]
        vm.store.forget_era()
        process = f"{self._random.getrandbits(48):012x}"
        peer = "{}:{}".format(*vm.settings.peer)
        links = ModelLinks(self._network, peer, f"{name}/{process}", vm.uplink)
        node = Node(vm.settings, self._loop, links, vm.store, process)
        node.gateway.http_client.request = vm.target.request
        links.start()
        node.start_tasks()
        self.nodes[name] = node
        vm.target.heartbeat_handler = Endpoints(node).handle_target
        vm.target.send_call = self._create_call_sender(name)

    def kill_node(self, name: str) -> None:
        """End the node of a VM at once."""
        self.vms[name].target.heartbeat_handler = None
        node = self.nodes.pop(name)
        node.abort()

    def restart_nodes(self, names: list[str], after_s: float) -> None:
        """Kill nodes at once and start them again after some time, in s."""
        for name in names:
            self.kill_node(name)
            gevent.spawn_later(after_s, self.start_node, name)

    def cut_power(self, after_s: float) -> None:
        """End all nodes and targets at once, and start them again cold after a time.

        Processes start within `START_SPREAD_S`, in any order.
        """
        for name, vm in self.vms.items():
            self.kill_node(name)
            vm.target.crash()
            vm.target.cold_ms = COLD_S * 1000
            spread_s = self._random.random() * START_SPREAD_S
            gevent.spawn_later(after_s + spread_s, self.start_node, name)
            gevent.spawn_later(after_s + spread_s, vm.target.start)
            gevent.spawn_later(after_s + COLD_S, vm.target.warm_up)

    def lose_vms(self, service: str, count: int) -> None:
        """End nodes and targets of a service for good, but not the coordinator's."""
        names = [n for n, vm in self.vms.items() if vm.settings.service == service]
        names = [name for name in names if name != self.find_coordinator()]
        for name in names[:count]:
            self.kill_node(name)
            self.vms.pop(name).target.crash()

    def find_coordinator(self) -> str:
        """Return the name of the coordinating node; empty if there is none."""
        leaders = (n for n, node in self.nodes.items() if node.coordinator.term.leading)
        return next(leaders, "")

    def set_shed_share(self, service: str, share: float) -> None:
        """Let the targets of a service refuse a share of the requests."""
        for vm in self.vms.values():
            if vm.settings.service == service:
                vm.target.shed_share = share

    def set_store_delay(self, factor: float) -> None:
        """Multiply the time of all calls of the store."""
        for vm in self.vms.values():
            vm.store.delay_factor = factor

    def set_store_silent(self, silent: bool) -> None:
        """Let the store answer no call of any VM, or all calls again."""
        for vm in self.vms.values():
            vm.store.silent = silent

    def set_store_refusing(self, refusing: bool) -> None:
        """Let the store refuse the calls of all VMs, or serve them again."""
        for vm in self.vms.values():
            vm.store.refusing = refusing

    def set_cut(self, name: str, is_cut: bool) -> None:
        """Cut a node off from all others and from the store, or reconnect it."""
        self.vms[name].store.silent = is_cut
        if name in self.nodes:
            self.nodes[name].links.is_cut = is_cut

    def set_hot_keys(self, share: float, key_count: int) -> None:
        """Let a share of the requests be for neighbouring keys, anywhere."""
        first_key = self._random.randrange(KEY_COUNT - key_count)
        self._hot_keys = HotKeys(share, first_key, key_count)

    def _add_vm(self, spec: ServiceSpec, number: int) -> None:
        index = len(self.vms)
        name, zone = f"{spec.name}-{number}", ZONES[index % len(ZONES)]
        target = ModelTarget(spec, zone, index, self._loop, index)
        target.kinds = self._kinds
        target.heartbeat_interval_s = HEARTBEAT_INTERVAL_MS / 1000
        is_strong = index < self._pattern.strong_vms
        link_mbps = self._pattern.link_mbps * (STRONG_LINK_FACTOR if is_strong else 1)
        settings = NodeSettings(
            node_id=name,
            zone=zone,
            service=spec.name,
            target=("127.0.0.1", index + 1),
            caller=("127.0.0.1", 0),
            heartbeat=("127.0.0.1", 0),
            ready=("127.0.0.1", 0),
            peer=("127.0.0.1", 10_000 + index),
            metrics=("127.0.0.1", 0),
            store=("127.0.0.1", 0),
            heartbeat_interval_ms=HEARTBEAT_INTERVAL_MS,
            max_hold_ms=MAX_HOLD_MS,
            shutdown_ms=SHUTDOWN_MS,
            retry_ratio=self._pattern.retry_ratio,
            retry_slack=self._pattern.retry_slack,
            cores=STRONG_CORES if is_strong else CORES,
            link_mbps=link_mbps,
        )
        uplink = Uplink(link_mbps, self._loop)
        store = DirectStore(self.objects, self._loop, uplink.carry)
        self.vms[name] = Vm(settings, target, store, uplink)

    def _run_callers(self, kind: Kind) -> None:
        """Send the requests of a kind at random times."""
        if not kind.rate_per_s:
            return
        end_s = self._started_s + self._pattern.length_s
        while True:
            gevent.sleep(self._random.expovariate(kind.rate_per_s))
            if self._loop.now() >= end_s:
                return
            gevent.spawn(self._call_until_final, kind, self._choose_key(kind))

    def _call_until_final(self, kind: Kind, key: int) -> None:
        """Send a request, once more after a refusal, and record its outcome."""
        sent_s = self._loop.now()
        deadline_s = sent_s + kind.deadline_ms / 1000
        outcome = Outcome.FAILED
        for number in range(MAX_SENDS):
            remaining_ms = (deadline_s - self._loop.now()) * 1000
            if remaining_ms <= 0:
                break
            outcome, wait_ms = self._send(kind, key, remaining_ms)
            if outcome is Outcome.IN_TIME:
                elapsed_ms = (self._loop.now() - sent_s) * 1000
                if elapsed_ms > kind.objective_ms:
                    outcome = Outcome.LATE
                break
            may_repeat = outcome is Outcome.REFUSED or kind.idempotent
            if not may_repeat or number + 1 == MAX_SENDS:
                break
            remaining_ms = (deadline_s - self._loop.now()) * 1000
            gevent.sleep(max(min(wait_ms, remaining_ms * MAX_WAIT_SHARE), 0) / 1000)
        self.outcomes.record(kind.name, sent_s - self._started_s, outcome)

    def _send(self, kind: Kind, key: int, remaining_ms: float) -> tuple[Outcome, float]:
        """Send a request to some node; return its outcome and the told wait in ms."""
        name = self._random.choice(list(self.vms))
        if name not in self.nodes:
            return Outcome.FAILED, RECONNECT_MS
        node = self.nodes[name]
        gevent.sleep(CLIENT_MS / 1000)
        status, wait_ms = self._serve(node, kind, key, remaining_ms - 2 * CLIENT_MS)
        gevent.sleep(CLIENT_MS / 1000)
        if status == 200:
            return Outcome.IN_TIME, 0.0
        if status in NOT_RUN_STATUSES:
            self.outcomes.refusals += 1
            return Outcome.REFUSED, wait_ms
        return Outcome.FAILED, wait_ms

    def _serve(
        self, node: Node, kind: Kind, key: int, remaining_ms: float
    ) -> tuple[int, float]:
        """Let a node serve a request; return the status and the told wait in ms."""
        self._request_count += 1
        self.outcomes.sent_by_service[kind.service] += 1
        headers = create_headers(f"r{self._request_count}", remaining_ms)
        headers += [("host", HOST)]
        if key >= 0:
            headers.append((SHARD_KEY, str(key)))
        path = f"/{kind.name}/{key}"
        request = Request("GET", path, headers, dict(headers), b"", True)
        try:
            with Timeout(remaining_ms / 1000):
                reply = node.router.serve(request, "")
        except TimeoutError:
            return 0, 0.0
        waits = [float(v) for name, v in reply.headers if name.lower() == "retry-after"]
        return reply.status, waits[0] * 1000 if waits else 0.0

    def _create_call_sender(self, name: str) -> Callable[[str, float], bool]:
        def send_call(kind_name: str, remaining_ms: float) -> bool:
            node = self.nodes.get(name)
            if node is None:
                return False
            kind = self._kinds[kind_name]
            remaining_ms = min(remaining_ms, kind.deadline_ms)
            return self._serve(node, kind, -1, remaining_ms)[0] == 200

        return send_call

    def _choose_key(self, kind: Kind) -> int:
        spec = next(s for s in self._pattern.services if s.name == kind.service)
        if not spec.keyed:
            return -1
        hot = self._hot_keys
        if self._random.random() < hot.share:
            return hot.first_key + self._random.randrange(hot.key_count)
        rank = int(KEY_POOL_SIZE * self._random.random() ** KEY_SKEW)
        return self._keys[rank]


def run_pattern(pattern: Pattern, seed: int) -> Outcomes:
    """Run a pattern in virtual time and return the outcomes of all requests."""

    def run(loop: VirtualLoop) -> Outcomes:
        # Parts of the product draw from the module's generator.
        random.seed(seed)
        with NullHandler().threadbound():
            return ModelMesh(pattern, loop, seed).run()

    return run_in_virtual_time(run)
