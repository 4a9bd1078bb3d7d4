"""What is known of a running mesh: logs, objects, owners, usage."""

from pathlib import Path
from typing import Any

from features.support.http import call, call_or_none
from features.support.processes import Child, Usage
from features.support.vms import Vm
from knapweedrock.history import Excess, Execution, read_excess, read_executions
from knapweedrock.platform.writes import open_envelope


class MeshReader:
    """Reads of the processes of a mesh, which whoever starts them fills in."""

    cell: str
    directory: Path
    platform_address: str
    vms: dict[str, Vm]
    children: list[Child]
    past_executions: list[Execution]

    def list_serving(self, name: str) -> list[str]:
        """List the node ids that serve, in the eyes of one node."""
        return list_serving(self.read_status(name))

    def read_status(self, name: str) -> dict[str, Any]:
        """Read the status of the cell that a node gives; empty without an answer."""
        reply = call_or_none(self.vms[name].operator, "GET", "/status")
        return reply.json() if reply is not None and reply.status == 200 else {}

    def fetch_log(self, name: str) -> dict[str, Any]:
        """Fetch a target's whole log."""
        address = self.vms[name].target_address
        return call(address, "GET", "/emulator/log", timeout_s=10.0).json()

    def fetch_executions(self, name: str) -> list[Execution]:
        """Fetch what a target truly ran."""
        return read_executions(name, self.fetch_log(name)["entries"])

    def fetch_all_excess(self) -> list[Excess]:
        """Fetch when the running targets were given more than they bear."""
        found = []
        for name, vm in self.vms.items():
            if vm.target.is_running():
                found += read_excess(name, self.fetch_log(name)["excess"])
        return found

    def fetch_all_executions(self) -> list[Execution]:
        """Fetch what all targets ran, those killed by the harness included."""
        found = list(self.past_executions)
        for name, vm in self.vms.items():
            if vm.target.is_running():
                found += self.fetch_executions(name)
        return found

    def fetch_platform_stats(self) -> dict[str, Any]:
        """Fetch the platform's calls by client and method."""
        return call(self.platform_address, "GET", "/emulator/stats").json()

    def fetch_object(self, name: str) -> dict[str, Any] | None:
        """Fetch an object of the platform with its version."""
        reply = call(self.platform_address, "GET", f"/objects/{name}")
        if reply.status != 200:
            return None
        stored = reply.json()
        return stored | {"value": open_envelope(stored["value"])["value"]}

    def read_cell(self) -> dict[str, Any]:
        """Read the platform's record of the cell; empty before it was written."""
        stored = self.fetch_object(f"cells/{self.cell}")
        return stored["value"] if stored else {}

    def find_owner(self, service: str, key: str, at: str = "") -> str:
        """Find the node that owns a key, in the eyes of one node."""
        vm = self.vms[at] if at else self.list_running()[0]
        path = f"/owner?service={service}&key={key}"
        reply = call(vm.operator, "GET", path)
        return reply.json().get("owner", "") if reply.status == 200 else ""

    def find_coordinator(self) -> str:
        """Find the cell's coordinator in the platform's object."""
        return self.read_cell().get("coordinator", "")

    def list_voters(self) -> list[str]:
        """List the voters in the platform's record of the cell."""
        return sorted(self.read_cell().get("voters", {}))

    def list_running(self) -> list[Vm]:
        """List the VMs whose node runs."""
        return [vm for vm in self.vms.values() if vm.node.is_running()]

    def read_usage(self, name: str) -> Usage:
        """Read processor time and memory of a node."""
        return self.vms[name].node.read_usage()

    def describe(self) -> str:
        """Describe each child that ended and the tails of all logs."""
        lines = [f"logs in {self.directory}"]
        for child in self.children:
            state = "runs" if child.is_running() else "ended"
            lines.append(f"--- {child.name} {state}\n{child.read_tail()}")
        return "\n".join(lines)


def list_serving(status: dict[str, Any]) -> list[str]:
    """List the node ids that serve."""
    members = status.get("members", {})
    return [name for name, found in members.items() if found.get("state") == "serving"]
