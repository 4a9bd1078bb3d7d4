"""Steps about the harness of real processes."""

import time

from behave import given, then, when

from features.support.builders import create_layout, create_zone_ticket
from features.support.http import call
from features.support.mesh import start_mesh
from features.support.owners import SERVICE, create_callers
from features.support.processes import wait_for
from knapweedrock.history import check_all

KEYS = [f"key-{rank}" for rank in range(20)]
SERVED_TIMEOUT_S = 15
TICKET_NUMBER = 7


@given("a running mesh of {count:d} targets")
def start_grown_mesh(context, count):
    """Start a mesh and wait until each node is a voter."""
    start_young_mesh(context, count)
    context.mesh.wait_for_voters(count)


@given("a mesh of {count:d} targets that is just ready")
def start_young_mesh(context, count):
    """Start a mesh with a target in each availability zone."""
    start_mesh(context, create_layout({SERVICE: count}))
    create_callers(context)


@when('node "{name}" is killed and its keys are served again')
def kill_node(context, name):
    """Kill a node; its target runs on but gets no work."""
    mesh = context.mesh
    mesh.vms[name].node.kill()
    wait_for(
        lambda: all(mesh.find_owner(SERVICE, key) not in ("", name) for key in KEYS),
        SERVED_TIMEOUT_S,
        f"other owners than {name}",
    )


@when('node "{name}" starts at another address')
def start_elsewhere(context, name):
    """Start the node at other addresses, and its target beside it."""
    mesh = context.mesh
    former = mesh.vms[name].caller
    mesh.restart_node(name, other_address=True)
    mesh.kill_target(name)
    mesh.start_target(name)
    assert mesh.vms[name].caller != former
    context.callers.nodes[name] = mesh.vms[name].caller


@when('node "{name}" is paused for {seconds:d} s')
def pause_node(context, name, seconds):
    """Pause a node and let it go on."""
    context.mesh.vms[name].node.pause()
    time.sleep(seconds)
    context.mesh.vms[name].node.resume()


@when('node "{name}" is cut off from its peers and the platform')
def cut_node(context, name):
    """Cut a node off both ways."""
    context.mesh.cut(name, ("*",), ("*",), True, True)


@when('the cuts of node "{name}" are removed')
def heal_node(context, name):
    """Remove the cuts."""
    context.mesh.heal(name)


@when('a ticket takes "{zone}" out and waits until it is in force')
def apply_ticket(context, zone):
    """Apply a ticket and wait."""
    mesh = context.mesh
    ticket = create_zone_ticket(TICKET_NUMBER, mesh.layout, zone)
    context.result = mesh.apply_ticket(ticket, "--wait", "6")


@then('node "{name}" is not ready within {seconds:d} s')
def expect_not_ready(context, name, seconds):
    """Expect the node to lose its lease."""
    address = context.mesh.vms[name].operator
    wait_for(
        lambda: call(address, "GET", "/readyz").status != 200,
        seconds,
        f"{name} is not ready",
    )


@then("all nodes serve and every request is done")
def expect_service(context):
    """Expect a whole mesh, and a history without breaches."""
    mesh = context.mesh
    mesh.wait_until_ready()
    context.callers.offer(KEYS, SERVICE, 40, 2)
    history = context.callers.history
    assert history, "no request was sent"
    assert all(found.outcome == "done" for found in history), history
    violations = check_all(history, mesh.fetch_all_executions())
    assert not violations, violations


@then('the command exits with {status:d} and the platform holds "{zone}" as out')
def expect_ticket(context, status, zone):
    """Expect the ticket's effect."""
    assert context.result[0] == status, context.result
    mesh = context.mesh
    stored = mesh.fetch_object(f"config/{mesh.layout.group}")
    assert stored["value"]["zones"][zone]["state"] == "out", stored
