"""Steps about zones that go out and nodes and targets that leave a mesh."""

import gevent
from behave import then, when

from features.support.http import call
from features.support.owners import CLOCK, choose_owner
from knapweedrock.clock import NS_PER_MS, NS_PER_S
from knapweedrock.codes import Outcome
from knapweedrock.history import check_silence


@when("a zone is taken out while its nodes are cut off from the platform")
def take_zone_out(context):
    """Cut a zone's nodes off from the platform, then take the zone out."""
    mesh = context.mesh
    names = [vm.spec.node_id for vm in mesh.list_running() if vm.spec.zone == "zone-a"]
    assert names, "no node runs in the zone"
    for name in names:
        mesh.cut(name, platform_send=True)
    context.silent = names
    mesh.set_zones_out("zone-a")
    context.accepted_ns = CLOCK.now_ns()


@when("a target announces its leaving while its node is cut off from the platform")
def leave_target(context):
    """Let a target tell its node that it leaves."""
    name = choose_owner(context)
    context.mesh.cut(name, platform_send=True)
    context.silent = [name]
    reply = call(context.mesh.vms[name].announce, "POST", "/leave", {})
    assert reply.status == 200, reply
    context.accepted_ns = CLOCK.now_ns()


@then("its targets started nothing new after {seconds:d} s")
def check_nothing_new(context, seconds):
    """Check the targets' logs for work that began later."""
    context.callers.wait()
    from_ns = context.accepted_ns + seconds * NS_PER_S
    violations = check_silence(
        context.mesh.fetch_all_executions(), context.silent, from_ns, CLOCK.now_ns()
    )
    assert not violations, violations[:5]
    offered = [c for c in context.callers.history if c.sent_ns > from_ns]
    assert len(offered) > 50, len(offered)


@when("a node that owns keys is shut down by SIGTERM")
def terminate_node(context):
    """Shut a node down and wait until it has ended."""
    gevent.sleep(1)
    name = choose_owner(context)
    context.callers.nodes.pop(name)
    context.left = name
    before = CLOCK.now_ns()
    status = context.mesh.vms[name].node.terminate(20)
    context.left_ms = (CLOCK.now_ns() - before) / NS_PER_MS
    print(f"left after {context.left_ms} ms")
    assert status == 0, status


@then("no request in flight there was cut off")
def check_uncut(context):
    """Check that no caller saw a broken or uncertain answer."""
    context.callers.wait()
    history = context.callers.history
    assert history, "no caller asked"
    uncertain = [
        found
        for found in history
        if found.outcome == Outcome.MAY_HAVE_RUN.value or not found.answered
    ]
    assert not uncertain, uncertain[:5]
