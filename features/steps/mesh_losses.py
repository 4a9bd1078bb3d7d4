"""Steps about the loss of nodes, targets, the coordinator and the store."""

import gevent
from behave import then, when

from features.support.mesh_harness import (
    SAMPLED_KEYS,
    choose_other_node,
    list_held_keys,
    map_holds,
)
from knapweedrock.mesh.terms import LEADER_NAME
from knapweedrock.platform.documents import LEADER_KIND


@when("a node other than the coordinator is killed and restarts after {ms:d} ms")
def restart_node(context, ms: int) -> None:
    """Kill a node and restart it while its target keeps running."""
    mesh = context.mesh
    name = choose_other_node(mesh, mesh.find_coordinator())
    context.place = mesh.find_place(name)
    context.before = map_holds(mesh)
    mesh.kill_node(name)
    gevent.sleep(ms / 1000)
    mesh.start_node(context.place)
    context.started_ns = mesh.clock.now_ns()


@when("the nodes are killed and restart {ms:d} ms later, one after the other")
def restart_nodes_in_turn(context, ms: int) -> None:
    """Kill and restart each node once the one before it is in the mesh again."""
    mesh = context.mesh
    for place in mesh.places:
        mesh.kill_node(place.settings.node_id)
        gevent.sleep(ms / 1000)
        mesh.start_node(place)
        mesh.wait_until(mesh.is_settled)


@when("the heartbeats of a target stop and its node is killed and restarted")
def restart_node_without_heartbeats(context) -> None:
    """Restart a node that can learn of its target only from peers and health checks."""
    mesh = context.mesh
    name = choose_other_node(mesh, mesh.find_coordinator())
    mesh.find_place(name).holder.silent_heartbeats = True
    context.place = mesh.find_place(name)
    context.before = map_holds(mesh)
    mesh.kill_node(name)
    mesh.start_node(context.place)
    context.started_ns = mesh.clock.now_ns()


@when("the coordinator's node is killed")
def kill_coordinator(context) -> None:
    """Kill the coordinator's node, which also serves the callers on its VM."""
    mesh = context.mesh
    context.before = map_holds(mesh)
    context.killed = mesh.find_coordinator()
    mesh.kill_node(context.killed)


@when(
    "the store stops responding, the coordinator's node is killed, and {seconds:d} s "
    "pass"
)
def lose_store_and_coordinator(context, seconds: int) -> None:
    """Kill the coordinator's node while no node reaches the store."""
    mesh = context.mesh
    for place in mesh.places:
        place.front.silent = True
        place.front.drop_watches()
    gevent.sleep(0.5)
    context.killed = mesh.find_coordinator()
    mesh.kill_node(context.killed)
    gevent.sleep(seconds)


@when("the store responds again")
def restore_store(context) -> None:
    """Let the store respond to all nodes again."""
    for place in context.mesh.places:
        place.front.silent = False


@when("the store does not respond for {seconds:d} s")
def silence_store(context, seconds: int) -> None:
    """Stop the store's responses and record keys without a holder."""
    mesh = context.mesh
    context.unheld = []
    for place in mesh.places:
        place.front.silent = True
    end_ns = mesh.clock.now_ns() + seconds * 1_000_000_000
    while mesh.clock.now_ns() < end_ns:
        context.unheld += [key for key in SAMPLED_KEYS if mesh.find_owner(key) is None]
        gevent.sleep(0.05)


@when("a target crashes")
def crash_target(context) -> None:
    """Crash a target while its node keeps running."""
    mesh = context.mesh
    context.place = mesh.places[0]
    context.lost_keys = list_held_keys(context.place)
    context.place.holder.crash()
    mesh.call(choose_other_node(mesh, ""), "/read/1", context.lost_keys[0])


@then("its target holds the same keys under the same tokens")
def check_holds_unchanged(context) -> None:
    """Check that holds and tokens are unchanged after 1 s."""
    gevent.sleep(1.0)
    assert map_holds(context.mesh) == context.before


@then("a request for one of its keys succeeds within {ms:d} ms of the start")
def check_served_again(context, ms: int) -> None:
    """Check that the restarted node serves its target's keys."""
    mesh = context.mesh
    key = next(k for k in SAMPLED_KEYS if context.place.holder.find_hold(k) is not None)
    other = choose_other_node(mesh, context.place.settings.node_id)
    mesh.wait_until(lambda: mesh.call(other, "/read/1", key).status == 200, 5)
    elapsed_ms = (mesh.clock.now_ns() - context.started_ns) / 1e6
    # An earlier step may have waited for 1 s.
    assert elapsed_ms < ms + 1000, elapsed_ms


@then("another node becomes the coordinator within {seconds:d} s")
def check_successor(context, seconds: int) -> None:
    """Wait until the mesh has a coordinator."""
    context.mesh.wait_until(context.mesh.find_coordinator, seconds)


@then("no key moved between the targets that are still running")
def check_surviving_holds(context) -> None:
    """Check the holds of all targets but the one beside the killed node."""
    mesh = context.mesh
    current = map_holds(mesh)
    lost = mesh.find_place(context.killed).holder.target
    expected = {key: held for key, held in context.before.items() if held[0] != lost}
    assert expected, "the lost target held every key"
    assert {key: current.get(key) for key in expected} == expected


@then("every key is held all the time")
def check_all_held(context) -> None:
    """Check that no key was without a holder at any time."""
    assert not context.unheld, context.unheld[:5]


@then("every node still serves every key")
def check_all_served(context) -> None:
    """Check that every node serves requests for every fourth sampled key."""
    for name in context.mesh.nodes:
        for key in SAMPLED_KEYS[::4]:
            assert context.mesh.call(name, "/read/1", key).status == 200, (name, key)


@then("all of its keys are held by others within {seconds:d} s")
def check_keys_moved(context, seconds: int) -> None:
    """Wait until each lost key has another holder."""
    mesh = context.mesh
    assert context.lost_keys

    def is_moved() -> bool:
        owners = [mesh.find_owner(key) for key in context.lost_keys]
        return all(owner not in (None, context.place) for owner in owners)

    mesh.wait_until(is_moved, seconds)


@then("the new holders got the handover")
def check_handover(context) -> None:
    """Check that each moved row in the table has a handover."""
    node = next(iter(context.mesh.nodes.values()))
    rows = node.get_rows(context.place.settings.service)
    first_token = min(row.token for row in rows)
    moved = [row for row in rows if row.token > first_token]
    assert moved
    assert all(row.handover for row in moved), moved


@when("writes of the coordinator take effect {late_ms:d} ms late for {seconds:d} s")
def delay_writes(context, late_ms: int, seconds: int) -> None:
    """Let the coordinator's writes take effect late and without a response."""
    mesh = context.mesh
    context.name = mesh.find_coordinator()
    context.epoch = mesh.nodes[context.name].coordinator.term.epoch
    front = mesh.find_place(context.name).front
    front.late_write_share, front.late_write_delay_s = 1.0, late_ms / 1000

    def end_delay() -> None:
        front.late_write_share = 0.0

    gevent.spawn_later(seconds, end_delay)


@then("the same node is the coordinator in the same epoch")
def check_same_epoch(context) -> None:
    """Check that there was no new election."""
    mesh = context.mesh
    assert mesh.find_coordinator() == context.name
    assert mesh.nodes[context.name].coordinator.term.epoch == context.epoch


@when("all nodes and targets end at once and restart {ms:d} ms later")
def lose_all(context, ms: int) -> None:
    """End and restart all nodes and targets; only the store keeps running."""
    mesh = context.mesh
    for place in mesh.places:
        mesh.kill_node(place.settings.node_id)
        place.holder.crash()
    gevent.sleep(ms / 1000)
    for place in mesh.places:
        place.holder.start()
        mesh.start_node(place)


@then("every key is held again within {seconds:d} s")
def check_held_again(context, seconds: int) -> None:
    """Wait until every key has a holder."""
    context.mesh.wait_until(context.mesh.is_settled, seconds)


@when("the store does not respond to the coordinator until its leadership has expired")
def expire_leadership(context) -> None:
    """Stop the store's responses to the coordinator until its term has expired."""
    mesh = context.mesh
    context.name = mesh.find_coordinator()
    context.node = mesh.nodes[context.name]
    context.lock = context.node.store.get(LEADER_KIND, LEADER_NAME)
    mesh.find_place(context.name).front.silent = True
    mesh.wait_until(lambda: not context.node.coordinator.term.has_authority())


@then("it may not claim the leadership while its renewals continue")
def check_may_not_claim(context) -> None:
    """Check that the node would not claim the leadership that it still renews."""
    assert context.node.coordinator.term.leading, "the term has ended"
    assert not context.node.membership._may_claim(context.lock)


@when("a VM other than the coordinator's disappears")
def lose_vm(context) -> None:
    """End a node and its target without notice."""
    mesh = context.mesh
    name = choose_other_node(mesh, mesh.find_coordinator())
    context.place = mesh.find_place(name)
    context.lost_keys = list_held_keys(context.place)
    mesh.lose_vm(name)


@when("{seconds:d} s later the coordinator's VM disappears")
def lose_coordinator_vm(context, seconds: int) -> None:
    """End the coordinator's node and its target without notice."""
    mesh = context.mesh
    gevent.sleep(seconds)
    mesh.lose_vm(mesh.find_coordinator())


@then("all keys of the first VM are held by others within {seconds:d} s")
def check_first_keys_moved(context, seconds: int) -> None:
    """Wait until each key of the VM that was lost first has another holder."""
    check_keys_moved(context, seconds)


@then("the former coordinator gets its leases from the new one")
def check_former_coordinator_follows(context) -> None:
    """Wait until the former coordinator's term has ended and it renews its lease."""
    node = context.mesh.nodes[context.name]
    successor = context.mesh.nodes[context.mesh.find_coordinator()]

    def follows() -> bool:
        silence_ms = successor.coordinator.get_silence_ms(context.name)
        return not node.coordinator.term.leading and silence_ms < 1000

    context.mesh.wait_until(follows, 3)
    assert node.get_remaining_lease_ms() > 0


@when("all targets crash and restart with heartbeats {seconds:d} s apart")
def restart_targets(context, seconds: int) -> None:
    """Restart all targets while their nodes keep running."""
    for place in context.mesh.places:
        place.holder.crash()
        place.holder.heartbeat_interval_s = seconds
        place.holder.start()


@when("the coordinator resigns while another node restarts")
def resign_while_node_starts(context) -> None:
    """Restart a node and let the coordinator resign in between."""
    mesh = context.mesh
    coordinator = mesh.find_coordinator()
    context.name = choose_other_node(mesh, coordinator)
    mesh.kill_node(context.name)
    mesh.nodes[coordinator].coordinator.resign()
    mesh.start_node(mesh.find_place(context.name))


@then("no other node loses a member from its board for {seconds:d} s")
def check_boards_kept(context, seconds: int) -> None:
    """Check repeatedly that the boards of all other nodes keep all members."""
    mesh = context.mesh
    others = [node for name, node in mesh.nodes.items() if name != context.name]
    for _ in range(seconds * 50):
        member_counts = [len(node.board.members) for node in others]
        assert min(member_counts) >= len(mesh.nodes), member_counts
        gevent.sleep(0.02)


@when(
    "a node ends, the store stops responding after {ms:d} ms, and the node starts "
    "{seconds:d} s later"
)
def restart_during_outage(context, ms: int, seconds: int) -> None:
    """Restart a node other than the coordinator, starting a store outage in between."""
    mesh = context.mesh
    name = choose_other_node(mesh, mesh.find_coordinator())
    context.place = mesh.find_place(name)
    mesh.kill_node(name)
    gevent.sleep(ms / 1000)
    for place in mesh.places:
        place.front.silent = True
    gevent.sleep(seconds)
    mesh.start_node(context.place)
    context.started_ns = mesh.clock.now_ns()
