"""Nodes, targets and platform of a deployment as tasks of one process."""

import os
import socket
import time
from typing import NamedTuple

import gevent
import msgspec

from knapweedrock.demo.deployments import (
    Deployment,
    create_demo_configuration,
    list_places,
)
from knapweedrock.emulator.platform import create_platform_emulator
from knapweedrock.emulator.target import TargetEmulator, create_emulator
from knapweedrock.faults import Cuts
from knapweedrock.history import Excess, Execution, read_excess, read_executions
from knapweedrock.node import Node, create_node
from knapweedrock.nodes.view import hash_key
from knapweedrock.platform.writes import open_envelope
from knapweedrock.settings import Address, NodeSettings, TargetSettings

CELL = "demo"
ADDRESSES_PER_VM = 5
START_TIMEOUT_S = 20.0
START_PAUSE_S = 0.05
WORK_MS = 5.0
COLD_S = 1.0
COLD_SLOTS = 4
CONNECT_MS = 1.0
CUT_ALL = Cuts(frozenset({"*"}), frozenset({"*"}), True, True)


class Vm(NamedTuple):
    """A node and the target beside it."""

    settings: NodeSettings
    node: Node
    target: TargetEmulator


class DemoMesh:
    """The mesh of one deployment in this process."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.platform = create_platform_emulator()
        self.vms: list[Vm] = []
        self.lost: set[str] = set()
        self._seed = seed
        self._tasks: list[gevent.Greenlet] = []
        self._version = 0
        self._addresses = iter(
            take_addresses(1 + ADDRESSES_PER_VM * len(list_places(deployment)))
        )

    def start(self) -> None:
        """Start everything and wait until each target's node serves."""
        platform = self.platform.start(next(self._addresses))
        self.apply()
        for index, (service, zone) in enumerate(list_places(self.deployment)):
            vm = self._create_vm(f"n{index + 1}", service, zone, platform)
            self.vms.append(vm)
            vm.node.start()
            self._start_target(vm.target)
        self._wait_until_serving()

    def stop(self) -> None:
        """Stop the targets' tasks; all sockets end with the process.

        Closing links from here while their readers wait in a selector makes libev
        abort the process, so the nodes aren't stopped one by one.
        """
        gevent.killall(self._tasks, block=False)

    def apply(self, *out: str) -> None:
        """Put the configuration with exactly these availability zones out."""
        value = msgspec.json.encode(create_demo_configuration(self.deployment, out))
        name = f"config/{self.deployment.group}"
        self._version = self.platform.store.put(name, value, self._version)

    def lose(self, node_id: str) -> None:
        """Cut a node off from the platform and all peers for good."""
        self.lost.add(node_id)
        self.find(node_id).node.env.faults.cuts = CUT_ALL

    def list_behind(self) -> list[str]:
        """List the living nodes that don't hold the newest configuration."""
        return [
            vm.settings.node_id
            for vm in self.list_living()
            if vm.node.env.configuration.version < self._version
        ]

    def find(self, node_id: str) -> Vm:
        """Find a VM by the id of its node."""
        return next(vm for vm in self.vms if vm.settings.node_id == node_id)

    def list_callers(self) -> list[str]:
        """List the caller addresses of the nodes that are not lost."""
        return [str(vm.settings.caller) for vm in self.list_living()]

    def list_living(self) -> list[Vm]:
        """List the VMs whose node is not lost."""
        return [vm for vm in self.vms if vm.settings.node_id not in self.lost]

    def find_owner(self, key: str) -> str:
        """Find the node that owns a key, or any node where nobody does just now."""
        for vm in self.list_living():
            found = vm.node.env.views.find_range(self.deployment.keyed, hash_key(key))
            if found is not None and found["owner"]:
                return found["owner"]
        return self.list_living()[0].settings.node_id

    def read_owners(self) -> list[dict]:
        """Read the ranges of the keyed service with their owners."""
        name = f"tables/{self.deployment.keyed}/{CELL}"
        found = self.platform.store.get(name)
        if found is None:
            return []
        return open_envelope(msgspec.json.decode(found[1]))["value"]["ranges"]

    def read_executions(self) -> list[Execution]:
        """Read what all targets truly ran."""
        return [
            execution
            for vm in self.vms
            for execution in read_executions(
                vm.settings.node_id, vm.target.log.to_plain()["entries"]
            )
        ]

    def read_excess(self) -> list[Excess]:
        """Read when targets were given more than they bear."""
        return [
            excess
            for vm in self.vms
            for excess in read_excess(
                vm.settings.node_id, vm.target.log.to_plain()["excess"]
            )
        ]

    def _create_vm(self, node_id: str, service: str, zone: str, platform) -> Vm:
        caller, peer, announce, operator, listen = (
            next(self._addresses) for _ in range(ADDRESSES_PER_VM)
        )
        deployment = self.deployment
        settings = NodeSettings(
            node_id=node_id,
            cell=CELL,
            group=deployment.group,
            zone=zone,
            region=deployment.region,
            caller=caller,
            peer=peer,
            target=announce,
            operator=operator,
            platform_kind="http",
            platform=platform,
            secret="",
            faults_enabled=False,
            drain_ms=2000,
            choice_policy="two-choices",
            copies_enabled=True,
        )
        target = TargetSettings(
            listen=listen,
            node=announce,
            service=service,
            zone=zone,
            slots=deployment.slots,
            connections=deployment.connections,
            fenced=True,
            work_ms=WORK_MS,
            cold_s=COLD_S,
            cold_slots=COLD_SLOTS,
            connect_ms=CONNECT_MS,
            seed=self._seed + len(self.vms),
        )
        return Vm(settings, create_node(settings), create_emulator(target))

    def _start_target(self, target: TargetEmulator) -> None:
        target.start()
        self._tasks += [
            gevent.spawn(target.run_announcements),
            gevent.spawn(target.run_sampling),
            gevent.spawn(target.run_collapse),
        ]

    def _wait_until_serving(self) -> None:
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            if all(self._serves(vm) for vm in self.vms):
                return
            gevent.sleep(START_PAUSE_S)
        raise TimeoutError(f"the mesh did not serve within {START_TIMEOUT_S} s")

    def _serves(self, vm: Vm) -> bool:
        views = vm.node.env.views
        found = views.find_members(self.deployment.keyed)
        found += views.find_members(self.deployment.unkeyed)
        table = views.view["tables"].get(self.deployment.keyed)
        owned = table is not None and all(row["owner"] for row in table["ranges"])
        return owned and len(found) == len(self.vms)


def create_loopback_host() -> str:
    """Create a loopback address of this process alone, so that no port is taken."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 63}.{(pid >> 8) % 256}.{pid % 254 + 1}"


def take_addresses(count: int) -> list[Address]:
    """Take free loopback addresses; all are held until the last one is found."""
    host = create_loopback_host()
    probes = [socket.create_server((host, 0)) for _ in range(count)]
    found = [Address(host, probe.getsockname()[1]) for probe in probes]
    for probe in probes:
        probe.close()
    return found
