"""Steps about the addresses that are reserved for stand-ins and nodes."""

import json

from behave import given, then

from features.support.processes import Child, start_child, wait_for

START_TIMEOUT_S = 20.0


def read_ports(child: Child) -> list[int]:
    """Read the ports that a process has printed; empty until it has printed them."""
    text = child.log.read_text()
    return json.loads(text) if text.endswith("]\n") else []


@given("{processes:d} processes that reserve {count:d} addresses each and keep running")
def start_reservers(context, processes: int, count: int) -> None:
    """Start the processes and read the ports that they reserved."""
    children = [
        start_child(
            context, f"reserver-{n}", [str(count)], "features.support.address_reserver"
        )
        for n in range(processes)
    ]
    context.reserved = [
        wait_for(lambda child=child: read_ports(child), START_TIMEOUT_S, child.name)
        for child in children
    ]


@then("no address is reserved by both processes")
def check_no_shared_ports(context) -> None:
    """Check that the processes share no port."""
    ports = [port for child_ports in context.reserved for port in set(child_ports)]
    shared = len(ports) - len(set(ports))
    assert shared == 0, f"{shared} of {len(ports)} ports were reserved twice"


@then("each process has reserved {count:d} different addresses")
def check_distinct_ports(context, count: int) -> None:
    """Check that no process reserved an address twice."""
    counts = [len(set(ports)) for ports in context.reserved]
    assert counts == [count] * len(counts), counts
