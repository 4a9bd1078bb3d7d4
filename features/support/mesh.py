"""A whole mesh of real processes on loopback, with faults on request."""

import json
import tempfile
from pathlib import Path
from typing import Any

from features.support.builders import Layout, create_full_configuration
from features.support.http import Reply, call, call_or_none
from features.support.processes import (
    Child,
    Ports,
    create_loopback_host,
    wait_for,
)
from features.support.readings import MeshReader, list_serving
from features.support.vms import Vm, create_node_arguments, create_target_arguments
from knapweedrock.configuration import Configuration
from knapweedrock.history import Execution
from knapweedrock.operators.tickets import Ticket

START_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 30.0


class Mesh(MeshReader):
    """Platform stand-in, nodes and targets of a layout as separate processes.

    `node_module` is the module that runs in place of the program for each node.
    Meshes that run at the same time need one `ports` for all of them.
    """

    def __init__(
        self,
        layout: Layout,
        node_flags: tuple[str, ...] = (),
        target_flags: tuple[str, ...] = ("--work-ms", "2", "--cold-s", "1"),
        platform_flags: tuple[str, ...] = (),
        cell: str = "cell-1",
        node_module: str = "knapweedrock",
        ports: Ports | None = None,
    ) -> None:
        self.node_module = node_module
        self.layout = layout
        self.cell = cell
        self.node_flags = node_flags
        self.target_flags = target_flags
        self.directory = Path(tempfile.mkdtemp(prefix="knapweedrock-"))
        self.ports = ports or Ports(create_loopback_host())
        self.platform_address = self.ports.take()
        self.platform = Child(
            "platform",
            ["emulate", "platform", "--listen", self.platform_address, *platform_flags],
            self.directory,
        )
        self.vms = {spec.node_id: Vm(spec, self.ports) for spec in layout.nodes}
        self.children: list[Child] = [self.platform]
        self.past_executions: list[Execution] = []
        self.ticket_count = 0

    # Start and stop

    def start(self, configure: bool = True) -> None:
        """Start everything, apply the layout's configuration, wait until ready."""
        self.start_platform()
        for name in self.vms:
            self.start_node(name)
        for name in self.vms:
            self.start_target(name)
        if configure:
            self.put_configuration(create_full_configuration(self.layout))
        self.wait_until_ready()
        wait_for(self.has_spread_votes, READY_TIMEOUT_S, "the votes are spread", 0.1)

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it answers."""
        self.platform.start()
        wait_for(
            lambda: call_or_none(self.platform_address, "GET", "/emulator/stats"),
            START_TIMEOUT_S,
            f"platform answers\n{self.platform.read_tail()}",
        )

    def start_node(self, name: str) -> None:
        """Start the node of a VM, also again, at the VM's present addresses."""
        vm = self.vms[name]
        arguments = create_node_arguments(
            vm, self.layout, self.cell, self.platform_address
        )
        arguments += self.node_flags
        vm.node = self._create_child(f"node-{name}", arguments, self.node_module)
        vm.node.start()

    def start_target(self, name: str) -> None:
        """Start the target of a VM, also again."""
        vm = self.vms[name]
        arguments = [*create_target_arguments(vm), *self.target_flags]
        vm.target = self._create_child(f"target-{name}", arguments)
        vm.target.start()

    def restart_node(self, name: str, other_address: bool = False) -> None:
        """Kill the node where it still runs and start it again."""
        self.vms[name].node.kill()
        if other_address:
            self.vms[name].move(self.ports)
        self.start_node(name)

    def kill_target(self, name: str) -> None:
        """Keep the target's log as read now, then kill the target."""
        self.past_executions += self.fetch_executions(name)
        self.vms[name].target.kill()

    def stop(self) -> None:
        """End every child by its pid, stopped ones too."""
        for child in self.children:
            child.kill()

    def _create_child(
        self, name: str, arguments: list[str], module: str = "knapweedrock"
    ) -> Child:
        child = Child(name, arguments, self.directory, module)
        self.children.append(child)
        return child

    # Readiness

    def wait_until_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until all running nodes are ready and the targets' members serve."""
        try:
            wait_for(self.is_ready, timeout_s, "mesh is ready", 0.1)
        except TimeoutError as error:
            raise TimeoutError(f"{error}\n{self.describe()}") from None

    def has_spread_votes(self) -> bool:
        """Tell whether a cell of three nodes or more no longer has a lone voter."""
        voters = self.list_voters()
        return len(voters) >= min(len(self.vms), 3) or len(self.vms) < 3

    def is_ready(self) -> bool:
        """Tell whether all running nodes are ready and know all serving members.

        Raises RuntimeError where a process ended by itself.
        """
        failed = [child for child in self.children if child.has_failed()]
        if failed:
            raise RuntimeError(f"{failed[0].name} ended:\n{failed[0].read_tail()}")
        running = self.list_running()
        return all(self.node_is_ready(vm, len(running)) for vm in running)

    def node_is_ready(self, vm: Vm, expected: int) -> bool:
        """Tell whether a node is ready, sees the members, and all keys have owners."""
        ready = call_or_none(vm.operator, "GET", "/readyz")
        if ready is None or ready.status != 200:
            return False
        status = self.read_status(vm.spec.node_id)
        if len(list_serving(status)) < expected:
            return False
        tables = status.get("tables", {})
        return all(
            name in tables and not tables[name]["unowned_share"]
            for name in self.layout.keyed
        )

    def wait_for_voters(self, count: int) -> None:
        """Wait until the cell's record names this many voters."""
        wait_for(
            lambda: len(self.list_voters()) == count, READY_TIMEOUT_S, "voters", 0.1
        )

    # Configuration

    def put_configuration(self, value: Configuration) -> int:
        """Write the configuration by a conditional update; return its version."""
        path = f"/objects/config/{self.layout.group}"
        found = call(self.platform_address, "GET", path)
        version = found.json()["version"] if found.status == 200 else 0
        headers = {"If-Version": str(version), "Client": "harness"}
        reply = call(self.platform_address, "PUT", path, value, headers)
        if reply.status != 200:
            raise RuntimeError(f"configuration refused: {reply}")
        return reply.json()["version"]

    def set_zones_out(self, *zones: str) -> int:
        """Take exactly these availability zones out; return the version."""
        return self.put_configuration(create_full_configuration(self.layout, zones))

    def run_command(self, *arguments: str, timeout_s: float = 30.0) -> tuple[int, str]:
        """Run a command of the program; return its exit status and output."""
        name = f"command-{len(self.children)}"
        child = self._create_child(name, list(arguments))
        child.told_to_end = True
        child.start()
        try:
            status = child.process.wait(timeout_s)
        finally:
            child.kill()
        return status, child.log.read_text(errors="replace")

    def apply_ticket(self, ticket: str | Ticket, *options: str) -> tuple[int, str]:
        """Apply a ticket, given as TOML text or whole, through the command line.

        Returns exit status and output of the command, which asks a running node.
        """
        self.ticket_count += 1
        if isinstance(ticket, str):
            path = self.directory / f"ticket-{self.ticket_count}.toml"
            path.write_text(ticket)
        else:
            path = self.directory / f"ticket-{self.ticket_count}.json"
            path.write_text(json.dumps(ticket))
        node = self.list_running()[0].operator
        return self.run_command("ticket", "apply", str(path), "--node", node, *options)

    # Faults

    def cut(
        self,
        name: str,
        send: tuple[str, ...] = (),
        receive: tuple[str, ...] = (),
        platform_send: bool = False,
        platform_receive: bool = False,
    ) -> None:
        """Set a node's cuts; `*` means every peer, nothing at all heals it."""
        value = {
            "send": list(send),
            "receive": list(receive),
            "platform_send": platform_send,
            "platform_receive": platform_receive,
        }
        self._expect(call(self.vms[name].operator, "POST", "/faults", value))

    def heal(self, name: str) -> None:
        """Remove a node's cuts."""
        self.cut(name)

    def fault_platform(self, **faults: Any) -> None:
        """Set faults of the platform stand-in; nothing at all heals it."""
        self._expect(call(self.platform_address, "POST", "/emulator/faults", faults))

    def change_target(self, name: str, **behaviour: Any) -> None:
        """Change how a target stand-in behaves."""
        address = self.vms[name].target_address
        self._expect(call(address, "POST", "/emulator/behaviour", behaviour))

    def _expect(self, reply: Reply) -> None:
        if reply.status >= 300:
            raise RuntimeError(f"refused: {reply}")


def start_mesh(context, layout: Layout, **options: Any) -> None:
    """Start a mesh that ends with behave's scenario; keep its logs on failure."""
    mesh = context.mesh = Mesh(layout, **options)

    def end() -> None:
        failed = context.scenario.status.name not in ("passed", "skipped")
        text = mesh.describe() if failed else ""
        mesh.stop()
        if failed:
            print(text)
        else:
            remove_directory(mesh.directory)

    context.add_cleanup(end)
    mesh.start()


def remove_directory(directory: Path) -> None:
    """Remove a directory of logs."""
    for path in directory.iterdir():
        path.unlink()
    directory.rmdir()
