"""Steps about a mesh whose store comes back from a copy."""

import gevent
from behave import given, then, when

from features.support.mesh_builders import FakeClock
from features.support.mesh_harness import choose_other_node
from features.support.stores import ScriptedStore
from knapweedrock.mesh.config_watcher import ConfigWatcher
from knapweedrock.mesh.messages import PublishConfiguration

POLL_S = 0.02
KNOWN_TIMEOUT_S = 3.0


@when("the store is copied")
def copy_store(context) -> None:
    """Take the copy that the store comes back from later."""
    context.copy = context.mesh.objects.copy()


@when("the store goes away for {ms:d} ms and comes back from the copy")
def restore_store(context, ms: int) -> None:
    """Let the store lose what was written since the copy."""
    context.mesh.restore_store(context.copy, ms / 1000)


@when('operators take "{zone}" out of service')
def take_zone_out(context, zone: str) -> None:
    """Take a zone out, and wait until the nodes know it unless the store is new."""
    context.mesh.evacuate_zone(zone)
    if context.mesh.objects.era == 1:
        wait_for_zone(context, zone, True, KNOWN_TIMEOUT_S)


@when('operators take "{zone}" out of service and bring it back, {count:d} times')
def take_zone_out_and_back(context, zone: str, count: int) -> None:
    """Take a zone out and bring it back; wait each time until all nodes know it."""
    for _ in range(count):
        take_zone_out(context, zone)
        context.mesh.restore_zone(zone)
        wait_for_zone(context, zone, False, KNOWN_TIMEOUT_S)


@when('operators write that "{zone}" is out of service again and bring it back')
def write_zone_again(context, zone: str) -> None:
    """Repeat the write that was lost, and undo it."""
    context.mesh.evacuate_zone(zone)
    gevent.sleep(1)
    context.mesh.restore_zone(zone)


@when("a node that does not coordinate is killed and started again")
def restart_member(context) -> None:
    """Restart a node that is not the coordinator's."""
    mesh = context.mesh
    restart_node(context, choose_other_node(mesh, mesh.find_coordinator()))


@when("the coordinator's node is killed and started again")
def restart_coordinator(context) -> None:
    """Restart the node that coordinates."""
    context.mesh.wait_until(context.mesh.find_coordinator)
    restart_node(context, context.mesh.find_coordinator())


def restart_node(context, name: str) -> None:
    """Kill a node and start it without its memory."""
    context.mesh.kill_node(name)
    context.mesh.start_node(context.mesh.find_place(name))


@then('every node knows within {ms:d} ms that "{zone}" is {state} service')
def check_zone(context, ms: int, zone: str, state: str) -> None:
    """Wait until all nodes know whether a zone is out."""
    wait_for_zone(context, zone, state == "out of", ms / 1000)


def wait_for_zone(context, zone: str, is_out: bool, timeout_s: float) -> None:
    """Wait until all nodes have a zone out of service, or in service."""
    nodes = context.mesh.nodes
    context.mesh.wait_until(
        lambda: all((zone in n.zones_out) == is_out for n in nodes.values()), timeout_s
    )


@then('for {ms:d} ms every node has "{zone}" out of service')
def check_zone_throughout(context, ms: int, zone: str) -> None:
    """Check for some time that no node has the zone in service."""
    for _ in range(int(ms / 1000 / POLL_S)):
        back = [n for n, node in context.mesh.nodes.items() if not node.zones_out]
        assert not back, f"{zone} is in service at {back}"
        gevent.sleep(POLL_S)


@given(
    'a node that has read "{zone}" out of service in era {era:d} at revision'
    " {revision:d}"
)
def create_watcher(context, zone: str, era: int, revision: int) -> None:
    """Create a watcher that learns the zones out by pushes."""
    context.clock = FakeClock()
    context.watcher = ConfigWatcher(
        ScriptedStore(), lambda: None, lambda: True, context.clock
    )
    push_zone(context, zone, era, revision)


@when(
    'it is told that "{zone}" is out of service in era {era:d} at revision {revision:d}'
)
def push_zone(context, zone: str, era: int, revision: int) -> None:
    """Push the zones out, as another node has read them."""
    context.watcher.handle_push(PublishConfiguration(0, b"", [zone], revision, era))


@when("{ms:d} ms pass for its clock")
def pass_time(context, ms: int) -> None:
    """Advance the clock, and let the watcher look at it again."""
    context.clock.advance_ms(ms)
    context.watcher.end_kept_zones()


@then("{zones} are out of service for the node")
def check_zones(context, zones: str) -> None:
    """Check which zones are out for the node."""
    assert sorted(context.watcher.zones_out) == zones.split(","), zones
