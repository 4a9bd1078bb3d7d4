"""Steps about what fails on a mesh: pauses, cuts, kills and the platform."""

import gevent
from behave import then, when

from features.support.choices import register_choices
from features.support.http import call
from features.support.owners import (
    choose_owner,
    choose_voter,
    find_coordinator,
    is_covered,
    kill_nodes,
    list_running_names,
    read_ranges,
)
from features.support.processes import wait_for

HEAL_S = 0.5
ALL = ("*",)
NODES = {
    "an owner": choose_owner,
    "the coordinator": find_coordinator,
    "a voter": choose_voter,
}
CUTS = {
    "an owner's frames to its peers are cut": (choose_owner, [{"send": ALL}]),
    "an owner's frames from its peers are cut": (choose_owner, [{"receive": ALL}]),
    "the coordinator is cut off from its peers": (
        find_coordinator,
        [{"send": ALL, "receive": ALL}],
    ),
    "the coordinator is cut off from the platform": (
        find_coordinator,
        [{"platform_send": True}, {"platform_receive": True}],
    ),
    "the coordinator is cut off from peers and platform": (
        find_coordinator,
        [{"send": ALL, "receive": ALL, "platform_send": True}],
    ),
}
LOSSES = {
    "an owner is": (choose_owner,),
    "the coordinator's process, an owner, is": (find_coordinator,),
    "an owner and the coordinator are": (choose_owner, find_coordinator),
}


register_choices("Node", NODES)
register_choices("Cut", CUTS)
register_choices("Loss", LOSSES)


@when("{choose:Node} is paused for {seconds:d} s and resumed")
def pause(context, choose, seconds):
    """Pause a node's process past its lease or promise, then let it go on."""
    node = context.mesh.vms[choose(context)].node
    node.pause()
    gevent.sleep(seconds)
    node.resume()
    gevent.sleep(HEAL_S)


@when("{cut:Cut} for {seconds:d} s")
def cut_node(context, cut, seconds):
    """Cut a node in each way for its part of the time."""
    choose, ways = cut
    name = choose(context)
    for way in ways:
        context.mesh.cut(name, **way)
        gevent.sleep(seconds / len(ways))
        context.mesh.heal(name)
        gevent.sleep(HEAL_S)


@when("{choices:Loss} killed")
def kill_chosen(context, choices):
    """Kill nodes at the same moment."""
    kill_nodes(context, *[choose(context) for choose in choices])


@when("the coordinator is killed")
def kill_coordinator(context):
    """Kill the coordinator and let the cell settle."""
    kill_nodes(context, find_coordinator(context))
    gevent.sleep(2.5)


@when("a zone goes out and the coordinator is killed in the middle of the moves")
def kill_coordinator_moving(context):
    """Kill the coordinator while ranges leave a zone."""
    context.mesh.set_zones_out("zone-a")
    gevent.sleep(context.random.uniform(0.05, 0.3))
    kill_nodes(context, find_coordinator(context))
    gevent.sleep(3)


@when("a zone goes out while the coordinator is cut off from the platform")
def cut_moving(context):
    """Ask for moves that the coordinator cannot write."""
    mesh = context.mesh
    name = mesh.find_coordinator()
    zones = {vm.spec.node_id: vm.spec.zone for vm in mesh.list_running()}
    mesh.cut(name, platform_send=True)
    mesh.set_zones_out(next(z for z in sorted(zones.values()) if z != zones[name]))
    gevent.sleep(3)
    mesh.heal(name)


@when("the zone comes back and an owner is killed in the middle of the moves")
def kill_owner_moving(context):
    """Kill an owner while ranges come back."""
    context.mesh.set_zones_out()
    gevent.sleep(context.random.uniform(0.2, 0.6))
    kill_nodes(context, choose_owner(context))
    gevent.sleep(2)


@when("every node of one zone is killed")
def kill_zone(context):
    """Kill all nodes of the zone that still has the most."""
    running = context.mesh.list_running()
    zones = [vm.spec.zone for vm in running]
    zone = max(sorted(set(zones)), key=zones.count)
    kill_nodes(context, *[vm.spec.node_id for vm in running if vm.spec.zone == zone])


@when("every node is killed at once and started again")
def restart_all(context):
    """Lose every process of the system at once."""
    names = list_running_names(context.mesh)
    context.tokens = {r["start"]: r["token"] for r in read_ranges(context.mesh)}
    kill_nodes(context, *names)
    for name in names:
        context.mesh.start_node(name)
        context.callers.nodes[name] = context.mesh.vms[name].caller
    context.lost = set()


@when("within {seconds:d} s its vote has passed to a living node")
def wait_for_voters(context, seconds):
    """Wait until all voters live and none is missing; a second loss may follow."""
    running = set(list_running_names(context.mesh))

    def is_repaired() -> bool:
        voters = set(context.mesh.read_cell()["voters"])
        return len(voters) >= 5 and voters <= running

    wait_for(is_repaired, seconds, "the voters are repaired")


@when("{count:d} voters are killed for good")
def kill_voters(context, count):
    """Kill more than half of the voters, the coordinator among them."""
    record = context.mesh.read_cell()
    others = sorted(set(record["voters"]) - {record["coordinator"]})
    names = [record["coordinator"], *others][:count]
    peers = {name: record["voters"][name]["peer"] for name in names}
    context.lost_voters = [f"{name}@{peer}" for name, peer in peers.items()]
    kill_nodes(context, *names)


@then("the status names the silent voters")
def check_waiting(context):
    """Check what operators are told, and that nobody took over."""
    gevent.sleep(4)
    vm = context.mesh.list_running()[0]
    troubles = call(vm.operator, "GET", "/status").json()["troubles"]
    text = " ".join(f"{item['trouble']} {item['action']}" for item in troubles)
    assert all(voter in text for voter in context.lost_voters), text
    assert "lost_voters" in text, text


@when("a ticket declares them lost")
def declare_lost(context):
    """Apply the ticket through the command line at a living node."""
    voters = ", ".join(f'"{voter}"' for voter in context.lost_voters)
    text = f'number = 1\n[[cells]]\nname = "{context.mesh.cell}"\n'
    status, output = context.mesh.apply_ticket(f"{text}lost_voters = [{voters}]\n")
    assert status == 0, output


@when("the platform loses the next {count:d} answers to writes and an owner is killed")
def lose_answers(context, count):
    """Lose answers after their effect while an owner must be replaced."""
    context.mesh.fault_platform(lose_answers=count)
    kill_nodes(context, choose_owner(context))


@when("the platform is down for {seconds:d} s")
def stop_platform(context, seconds):
    """Take the platform down, then bring it back."""
    context.mesh.fault_platform(outage=True)
    gevent.sleep(seconds)
    context.mesh.fault_platform()


@then("an owner that is killed afterwards is replaced within {seconds:d} s")
def replace_owner(context, seconds):
    """Check that changes of owner go on by themselves."""
    gevent.sleep(2)
    kill_nodes(context, choose_owner(context))
    wait_for(lambda: is_covered(context.mesh), seconds, "the owner is replaced")
