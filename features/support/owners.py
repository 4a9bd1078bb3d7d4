"""Owners of a mesh's ranges, and callers and losses that tests choose by them."""

import gevent

from features.support.calls import Callers
from features.support.mesh import Mesh
from knapweedrock.clock import create_clock

SERVICE = "depot-orders"
BALANCE_SLACK_RANGES = 4
QUIET_S = 1.0
CLOCK = create_clock()


def read_ranges(mesh: Mesh) -> list[dict]:
    """Read the table's ranges from the platform."""
    stored = mesh.fetch_object(f"tables/{SERVICE}/{mesh.cell}")
    return stored["value"]["ranges"] if stored else []


def list_running_names(mesh: Mesh) -> list[str]:
    """List the ids of the nodes that run."""
    return [vm.spec.node_id for vm in mesh.list_running()]


def is_covered(mesh: Mesh) -> bool:
    """Tell whether every range has an owner whose node runs."""
    running = list_running_names(mesh)
    ranges = read_ranges(mesh)
    return bool(ranges) and all(entry["owner"] in running for entry in ranges)


def is_balanced(mesh: Mesh) -> bool:
    """Tell whether all running nodes own about as many ranges, and none moves."""
    ranges = read_ranges(mesh)
    owners = [entry["owner"] for entry in ranges]
    counts = [owners.count(name) for name in list_running_names(mesh)]
    if not is_covered(mesh) or max(counts) - min(counts) > BALANCE_SLACK_RANGES:
        return False
    gevent.sleep(QUIET_S)
    return ranges == read_ranges(mesh)


def create_callers(context, seed: int = 1) -> Callers:
    """Create callers at all running nodes that end with behave's scenario."""
    nodes = {vm.spec.node_id: vm.caller for vm in context.mesh.list_running()}
    callers = context.callers = Callers(nodes, seed)
    context.add_cleanup(callers.close)
    return callers


def choose_owner(context) -> str:
    """Choose a running owner that is not the coordinator."""
    coordinator = find_coordinator(context)
    names = list_running_names(context.mesh)
    return context.random.choice([name for name in names if name != coordinator])


def choose_voter(context) -> str:
    """Choose a voter that is not the coordinator."""
    record = context.mesh.read_cell()
    names = set(record["voters"]) - {record["coordinator"]}
    return context.random.choice(sorted(names))


def find_coordinator(context) -> str:
    """Find the coordinator."""
    return context.mesh.find_coordinator()


def kill_nodes(context, *names: str) -> None:
    """Kill nodes at once; their targets go on."""
    context.at_loss = read_ranges(context.mesh)
    for name in names:
        context.mesh.vms[name].node.send_signal(9)
        context.callers.nodes.pop(name, None)
    for name in names:
        context.mesh.vms[name].node.kill()
    context.lost |= set(names)
