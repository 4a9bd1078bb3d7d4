"""A mesh on loopback in one process: the store, targets and a node beside each."""

from collections.abc import Callable
from typing import Any, NamedTuple

import gevent

from knapweedrock.clock import NS_PER_S, create_clock
from knapweedrock.emulator.addresses import create_address
from knapweedrock.emulator.store import (
    ObjectStore,
    StoreCopy,
    StoreEndpoint,
    create_endpoint,
)
from knapweedrock.emulator.target import EmulatedTarget
from knapweedrock.mesh.definitions import NodeSettings
from knapweedrock.mesh.node import Node
from knapweedrock.mesh.snapshots import KEY_COUNT
from knapweedrock.platform.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATION_KIND,
)

POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 10.0
# Interval between the keys that are sampled to check for owners.
KEY_STEP = KEY_COUNT // 16
HEARTBEAT_INTERVAL_MS = 300
MAX_HOLD_MS = 10_000
SHUTDOWN_MS = 6000
RETRY_RATIO = 0.2
UNAVAILABLE_STATUS = 503
RETRY_SLACK = 60


class VmSpec(NamedTuple):
    """The placement of a target and the service that it runs.

    If `keyed` is true, the keys of the service have owners.
    """

    node_id: str
    zone: str
    service: str
    keyed: bool


class Place(NamedTuple):
    """A VM: its node's settings, its target and its own endpoint of the store."""

    settings: NodeSettings
    holder: EmulatedTarget
    front: StoreEndpoint


class LocalMesh:
    """VMs with a node beside each target, run as tasks of one process."""

    def __init__(self, document: dict[str, Any], vm_specs: list[VmSpec]) -> None:
        self.clock = create_clock()
        self.objects = ObjectStore(era=1)
        self.configure(document)
        self.nodes: dict[str, Node] = {}
        self.places = [self._create_place(*item) for item in enumerate(vm_specs)]

    def start(self) -> None:
        """Start all VMs and wait until every key is held."""
        for place in self.places:
            place.front.start()
            place.holder.start()
            self.start_node(place)
        self.wait_until(self.is_settled)

    def stop(self) -> None:
        """Stop all VMs immediately."""
        for place in self.places:
            place.holder.crash()
            place.front.stop()
        for name in list(self.nodes):
            self.kill_node(name)

    def start_node(self, place: Place) -> Node:
        """Start the node of a VM without state from an earlier run."""
        node = Node(place.settings, self.clock)
        node.start()
        self.nodes[place.settings.node_id] = node
        return node

    def kill_node(self, name: str) -> None:
        """Stop a node abruptly, without deregistration."""
        self.nodes.pop(name).abort()

    def lose_vm(self, name: str) -> None:
        """Stop the node and the target of a VM abruptly."""
        self.kill_node(name)
        self.find_place(name).holder.crash()

    def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration to the store, as operators do."""
        self.objects.write(CONFIGURATION_KIND, CONFIGURATION_NAME, document)

    def evacuate_zone(self, zone: str) -> None:
        """Take an availability zone out of service, as operators do."""
        self.objects.write(EVACUATION_KIND, zone, {})

    def restore_zone(self, zone: str) -> None:
        """Bring an availability zone back into service, as operators do."""
        self.objects.remove(EVACUATION_KIND, zone)

    def restore_store(self, copy: StoreCopy, away_s: float) -> None:
        """Let the store go away for a time, and come back from a copy."""
        for place in self.places:
            place.front.status = UNAVAILABLE_STATUS
            place.front.drop_watches()
        gevent.sleep(away_s)
        self.objects.restore(copy)
        for place in self.places:
            place.front.status = 0

    def find_place(self, name: str) -> Place:
        """Return the VM of a node."""
        return next(p for p in self.places if p.settings.node_id == name)

    def find_coordinator(self) -> str:
        """Return the name of the coordinator, or an empty string if there is none."""
        for name, node in self.nodes.items():
            if node.coordinator.term.has_authority():
                return name
        return ""

    def find_owner(self, key: int) -> Place | None:
        """Return the VM whose target holds a key, or None if no target does."""
        for place in self.places:
            if place.holder.keyed and place.holder.find_hold(key) is not None:
                return place
        return None

    def is_settled(self) -> bool:
        """Return whether every sampled key is held and every node is ready."""
        keys = range(0, KEY_COUNT, KEY_STEP)
        return all(self.find_owner(key) for key in keys) and all(
            len(node.board.members) >= len(self.nodes) and node.configuration
            for node in self.nodes.values()
        )

    def wait_until(
        self, condition: Callable[[], Any], timeout_s: float = READY_TIMEOUT_S
    ) -> float:
        """Wait until a condition is true and return the elapsed time in s."""
        start_ns = self.clock.now_ns()
        with gevent.Timeout(
            timeout_s, AssertionError(f"{condition} was not true in time")
        ):
            while not condition():
                gevent.sleep(POLL_INTERVAL_S)
        return (self.clock.now_ns() - start_ns) / NS_PER_S

    def _create_place(self, number: int, vm_spec: VmSpec) -> Place:
        front = create_endpoint(self.objects, create_address(), seed=number)
        address = create_address()
        settings = create_local_settings(vm_spec, front.address, address)
        holder = EmulatedTarget(
            vm_spec.service,
            vm_spec.zone,
            address,
            settings.heartbeat,
            self.clock,
            number,
        )
        holder.keyed = vm_spec.keyed
        return Place(settings, holder, front)


def create_local_settings(
    vm_spec: VmSpec, store: tuple[str, int], target: tuple[str, int], **changes: Any
) -> NodeSettings:
    """Create the settings of a node that listens on loopback."""
    settings = NodeSettings(
        node_id=vm_spec.node_id,
        zone=vm_spec.zone,
        service=vm_spec.service,
        target=target,
        caller=create_address(),
        heartbeat=create_address(),
        ready=create_address(),
        peer=create_address(),
        metrics=create_address(),
        store=store,
        heartbeat_interval_ms=HEARTBEAT_INTERVAL_MS,
        max_hold_ms=MAX_HOLD_MS,
        shutdown_ms=SHUTDOWN_MS,
        retry_ratio=RETRY_RATIO,
        retry_slack=RETRY_SLACK,
    )
    return settings._replace(**changes)
