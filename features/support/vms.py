"""VMs of a mesh: a node and the target beside it, and how each is started."""

from features.support.builders import Layout, NodeSpec
from features.support.processes import Child, Ports


class Vm:
    """A node and the target beside it, with their addresses."""

    def __init__(self, spec: NodeSpec, ports: Ports) -> None:
        self.spec = spec
        self.caller = ports.take()
        self.peer = ports.take()
        self.announce = ports.take()
        self.operator = ports.take()
        self.target_address = ports.take()
        self.node: Child
        self.target: Child

    def move(self, ports: Ports) -> None:
        """Give the node other addresses for its next start."""
        self.caller, self.peer = ports.take(), ports.take()
        self.announce, self.operator = ports.take(), ports.take()


def create_flags(options: dict[str, object]) -> list[str]:
    """Create the words of a command line from options by name."""
    return [
        part for name, value in options.items() for part in (f"--{name}", str(value))
    ]


def create_node_arguments(
    vm: Vm, layout: Layout, cell: str, platform_address: str
) -> list[str]:
    """Create the arguments of a VM's node."""
    options = {
        "node-id": vm.spec.node_id,
        "cell": cell,
        "group": layout.group,
        "zone": vm.spec.zone,
        "region": layout.region,
        "caller": vm.caller,
        "peer": vm.peer,
        "target": vm.announce,
        "operator": vm.operator,
        "platform-kind": "http",
        "platform": platform_address,
    }
    return ["node", *create_flags(options), "--faults-enabled"]


def create_target_arguments(vm: Vm) -> list[str]:
    """Create the arguments of a VM's target."""
    options = {
        "listen": vm.target_address,
        "node": vm.announce,
        "service": vm.spec.service,
        "zone": vm.spec.zone,
        "slots": vm.spec.slots,
        "connections": vm.spec.connections,
    }
    fenced = "--fenced" if vm.spec.fenced else "--no-fenced"
    return ["emulate", "target", *create_flags(options), fenced]
