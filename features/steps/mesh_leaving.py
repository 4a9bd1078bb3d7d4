"""Steps for graceful shutdown, draining, zones taken out and new configurations."""

import gevent
from behave import then, when

from features.support.mesh_builders import create_document
from features.support.mesh_harness import (
    SAMPLED_KEYS,
    choose_other_node,
    list_held_keys,
)
from knapweedrock.clock import NS_PER_MS
from knapweedrock.mesh.http_parsers import ResponseParser


@when("a target begins to drain")
def drain_target(context) -> None:
    """Let a target report that it drains."""
    context.place = context.mesh.places[0]
    context.lost_keys = list_held_keys(context.place)
    context.place.holder.draining = True


@when("a node stops while requests are sent to it continuously")
def stop_node(context) -> None:
    """Stop a node while orders arrive on new connections."""
    mesh = context.mesh
    name = choose_other_node(mesh, mesh.find_coordinator())
    node = mesh.nodes[name]
    context.outcomes = []
    stopping = gevent.spawn(node.stop)
    senders = []
    number = 0
    while not stopping.ready():
        number += 1
        senders.append(gevent.spawn(send_order, context, name, number))
        gevent.sleep(0.02)
    gevent.joinall(senders, timeout=5)
    gevent.sleep(0.6)


def send_order(context, name: str, number: int) -> None:
    """Send one order and record its outcome."""
    mesh = context.mesh
    key = SAMPLED_KEYS[number % len(SAMPLED_KEYS)]
    body = f"order {number}".encode()
    data, attempt_id = mesh.encode_call(f"/order/{number}", key, "POST", body, 1500)
    status = 0
    try:
        connection = mesh.open_connection(name)
        connection.send(data, 2)
        status = connection.read(ResponseParser(), 3).status
        connection.close()
    except OSError as error:
        context.outcomes.append((attempt_id, str(error)))
        return
    context.outcomes.append((attempt_id, status))


@when("the zone of a target is taken out of service")
def take_zone_out(context) -> None:
    """Take a zone out of service."""
    mesh = context.mesh
    context.place = mesh.places[0]
    context.lost_keys = list_held_keys(context.place)
    mesh.evacuate_zone(context.place.settings.zone)


@then("each request that was sent to it was answered or never read")
def check_answered(context) -> None:
    """Check that no request ran if its caller saw the connection close."""
    ran = {run.attempt_id for p in context.mesh.places for run in p.holder.runs}
    cut = [o for o in context.outcomes if not isinstance(o[1], int) and o[0] in ran]
    done = [o for o in context.outcomes if o[1] == 200]
    assert len(done) > 20, len(done)
    assert not cut, cut


@then("no order that entered the mesh was executed twice")
def check_once(context) -> None:
    """Check that no attempt id occurs in two runs."""
    ids = [run.attempt_id for p in context.mesh.places for run in p.holder.runs]
    assert len(ids) == len(set(ids))


@then("a request for any key is served by another target")
def check_others_serve(context) -> None:
    """Check that the zone's target runs nothing more."""
    before = len(context.place.holder.runs)
    for name in context.mesh.nodes:
        for key in SAMPLED_KEYS[::4]:
            context.mesh.wait_until(
                lambda name=name, key=key: (
                    context.mesh.call(name, "/read/1", key).status == 200
                ),
                3,
            )
    assert len(context.place.holder.runs) == before


@when("operators write version {version:d}")
def write_version(context, version: int) -> None:
    """Write a configuration."""
    context.mesh.configure(create_document(version))


@when("the store refuses one node and operators write version {version:d}")
def refuse_node(context, version: int) -> None:
    """Let the store refuse a node other than the coordinator; write a configuration."""
    mesh = context.mesh
    context.name = choose_other_node(mesh, mesh.find_coordinator())
    front = mesh.find_place(context.name).front
    front.status = 503
    front.drop_watches()
    write_version(context, version)


@then("that node has version {version:d} within {seconds:d} s")
def check_node_version(context, version: int, seconds: int) -> None:
    """Check the configuration version of the refused node."""
    node = context.mesh.nodes[context.name]
    context.mesh.wait_until(lambda: node.configuration.version == version, seconds)


@then("that node knows within {seconds:d} s that the zone is out of service")
def check_node_zone(context, seconds: int) -> None:
    """Check the zones that are out of service for the refused node."""
    node = context.mesh.nodes[context.name]
    zone = context.place.settings.zone
    context.mesh.wait_until(lambda: zone in node.zones_out, seconds)


@when(
    "a target announces only to its node that it leaves, and the node is killed at once"
)
def leave_and_kill(context) -> None:
    """Let a target leave without announcing it in a heartbeat, and kill its node."""
    mesh = context.mesh
    context.name = choose_other_node(mesh, mesh.find_coordinator())
    context.place = mesh.find_place(context.name)
    context.keys = [k for k in SAMPLED_KEYS if mesh.find_owner(k) is context.place]
    assert context.keys, "the target holds no keys"
    context.place.holder.draining = True
    context.place.holder.silent_heartbeats = True
    mesh.kill_node(context.name)


@when("the node restarts and requests for its keys arrive for {duration_ms:d} ms")
def send_after_leave(context, duration_ms: int) -> None:
    """Send requests through another node while the target's holds are still valid."""
    mesh = context.mesh
    context.runs = len(context.place.holder.runs)
    mesh.start_node(context.place)
    other = choose_other_node(mesh, context.name)
    end_ns = mesh.clock.now_ns() + duration_ms * NS_PER_MS
    context.statuses = []
    while mesh.clock.now_ns() < end_ns:
        for key in context.keys[:3]:
            answer = mesh.call(other, f"/read/{key}", key, remaining_ms=200)
            context.statuses.append(answer.status)
    board = mesh.nodes[other].board
    assert context.name in board.members, "the restarted node is not a member"
    assert mesh.find_owner(context.keys[0]) is context.place, "the holds have expired"


@then("the target executed none of them")
def check_not_used(context) -> None:
    """Check that no request reached the target, and each was answered."""
    assert len(context.place.holder.runs) == context.runs, context.statuses
    assert set(context.statuses) <= {503, 504}, context.statuses


@when("one of the unkeyed targets begins to drain while it gets requests")
def drain_other(context) -> None:
    """Drain a target without keys while all nodes get requests for its service."""
    mesh = context.mesh
    context.place = mesh.places[-1]
    context.statuses = []
    for step in range(60):
        if step == 10:
            context.place.holder.draining = True
            context.drained_ns = mesh.clock.now_ns()
        for name in mesh.nodes:
            context.statuses.append(mesh.call(name, "/list/1").status)
        gevent.sleep(0.02)


@then("it executed nothing later than {ms:d} ms after it began to drain")
def check_drained(context, ms: int) -> None:
    """Check the target's runs; a heartbeat reports within 300 ms that it drains."""
    limit_ns = context.drained_ns + ms * NS_PER_MS
    runs = context.place.holder.runs
    assert [run for run in runs if run.began_ns < context.drained_ns], (
        "it ran no request"
    )
    late = [run for run in runs if run.began_ns > limit_ns]
    assert not late, [(run.began_ns - context.drained_ns) / NS_PER_MS for run in late]
    assert context.mesh.clock.now_ns() > limit_ns, "the requests ended too early"


@then("every request for the unkeyed service was served")
def check_others_done(context) -> None:
    """Check that no request was refused or lost."""
    assert set(context.statuses) == {200}, context.statuses


@when("the configuration changes {count:d} times in {seconds:d} s")
def change_often(context, count: int, seconds: int) -> None:
    """Write versions in sequence, once elections and listings are complete."""
    gevent.sleep(1)
    places = context.mesh.places
    context.calls = {place.settings.node_id: place.front.calls for place in places}
    for number in range(count):
        context.mesh.configure(create_document(number + 2))
        gevent.sleep(seconds / count)
    context.version = count + 1


@when("the coordinator's watches receive nothing and the configuration changes")
def change_with_blocked_watches(context) -> None:
    """Block the coordinator's watches, then write a version."""
    mesh = context.mesh
    name = mesh.find_coordinator()
    mesh.nodes[name].store.watch = lambda *_: gevent.sleep(60)
    mesh.find_place(name).front.drop_watches()
    gevent.sleep(1)
    context.version = 2
    mesh.configure(create_document(context.version))


@then("every node has the newest configuration within {ms:d} ms")
def check_newest(context, ms: int) -> None:
    """Wait until the newest version is in force on all nodes."""
    nodes = context.mesh.nodes.values()

    def is_in_force() -> bool:
        return all(node.configuration.version == context.version for node in nodes)

    context.mesh.wait_until(is_in_force, ms / 1000)


@then("at most {count:d} nodes have queried the store since the first change")
def check_store_callers(context, count: int) -> None:
    """Count the nodes that called the store."""
    callers = [
        place.settings.node_id
        for place in context.mesh.places
        if place.front.calls > context.calls[place.settings.node_id]
    ]
    assert 0 < len(callers) <= count, callers


@when("the configuration grows by {count:d} routes")
def grow_configuration(context, count: int) -> None:
    """Write a version with many additional routes."""
    gevent.sleep(1)
    mesh = context.mesh
    context.version = 2
    document = create_document(context.version)
    route = document["routes"]["read"]
    document["routes"] |= {
        f"more-{number}": {**route, "pathPrefix": f"/more/{number}/"}
        for number in range(count)
    }
    context.name = mesh.find_coordinator()
    context.before = mesh.nodes[context.name].counters.get_total("link_bytes_sent")
    mesh.configure(document)


@then("the coordinator has sent fewer than {size:d} bytes since")
def check_sent_bytes(context, size: int) -> None:
    """Count the bytes that the coordinator has sent to peers."""
    sent = context.mesh.nodes[context.name].counters.get_total("link_bytes_sent")
    assert sent - context.before < size, sent - context.before
