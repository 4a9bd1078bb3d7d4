"""Steps about the addresses that stand-ins and nodes are handed."""

import json

from behave import given, then

from features.support.processes import Child, start_child, wait_for

START_TIMEOUT_S = 20.0


def read_ports(child: Child) -> list[int]:
    """Read the ports that a process has shown; none before it has."""
    text = child.log.read_text()
    return json.loads(text) if text.endswith("]\n") else []


@given("{processes:d} processes that are handed {count:d} addresses each and stay")
def start_reservers(context, processes: int, count: int) -> None:
    """Start the processes and read what they were handed."""
    children = [
        start_child(
            context, f"taker-{n}", [str(count)], "features.support.address_reserver"
        )
        for n in range(processes)
    ]
    context.handed = [
        wait_for(lambda child=child: read_ports(child), START_TIMEOUT_S, child.name)
        for child in children
    ]


@then("no address was handed to two of them")
def check_no_shared_ports(context) -> None:
    """Check that the processes share no port."""
    ports = [port for child_ports in context.handed for port in set(child_ports)]
    shared = len(ports) - len(set(ports))
    assert shared == 0, f"{shared} of {len(ports)} ports were handed out twice"


@then("each was handed {count:d} different ones")
def check_distinct_ports(context, count: int) -> None:
    """Check that no process was handed an address twice."""
    counts = [len(set(handed)) for handed in context.handed]
    assert counts == [count] * len(counts), counts
