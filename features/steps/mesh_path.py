"""Steps about requests through a whole mesh."""

import itertools
from collections import Counter

import gevent
from behave import given, then, when

from features.support.mesh_builders import create_document
from features.support.mesh_harness import Mesh
from knapweedrock.clock import NS_PER_MS, NS_PER_S
from knapweedrock.emulator.holder import CRASH_PATH
from knapweedrock.mesh.http import AnswerParser
from knapweedrock.mesh.terms import LEADER_NAME
from knapweedrock.platform.documents import LEADER_KIND

CRASH_KEY = 777
KEYS = tuple(range(0, 65536, 2048))


def start_mesh(context, keyed: int, unkeyed: int = 0, work_ms: float = 5.0) -> None:
    """Start a mesh that ends with the scenario."""
    context.mesh = Mesh(keyed, unkeyed)
    context.add_cleanup(context.mesh.stop)
    for place in context.mesh.places:
        place.holder.work_ms = work_ms
    context.mesh.start()


def map_holds(mesh: Mesh) -> dict[int, tuple[str, int]]:
    """Map keys to the target that holds them and its token."""
    found = {}
    for key in KEYS:
        place = mesh.find_owner(key)
        if place is not None:
            held = place.holder.find_held(key)
            found[key] = (place.holder.target, held.token)
    return found


def choose_other(mesh: Mesh, other: str) -> str:
    """Choose a node that is not the named one."""
    return next(name for name in mesh.nodes if name != other)


@given("a mesh of {keyed:d} keyed targets")
def start_keyed(context, keyed: int) -> None:
    """Start a mesh of one service."""
    start_mesh(context, keyed)


@given("a mesh of {keyed:d} keyed targets whose work takes {work_ms:d} ms")
def start_slow(context, keyed: int, work_ms: int) -> None:
    """Start a mesh with slow work."""
    start_mesh(context, keyed, work_ms=work_ms)


@given("a mesh of {keyed:d} keyed and {unkeyed:d} other targets")
def start_both(context, keyed: int, unkeyed: int) -> None:
    """Start a mesh of two services."""
    start_mesh(context, keyed, unkeyed)


@when("requests for {count:d} keys are sent to every node")
def send_keys(context, count: int) -> None:
    """Send requests for keys that lie apart."""
    mesh = context.mesh
    context.answers = [
        (key, mesh.call(name, f"/read/{key}", key))
        for name in mesh.nodes
        for key in range(0, 65536, 65536 // count)
    ]


@when("{count:d} requests for the other service are sent to every node")
def send_others(context, count: int) -> None:
    """Send requests without keys."""
    mesh = context.mesh
    context.answers = [
        (None, mesh.call(name, f"/list/{n}"))
        for name in mesh.nodes
        for n in range(count)
    ]


@when("a node that does not coordinate is killed and starts again after {ms:d} ms")
def restart_node(context, ms: int) -> None:
    """Kill a node and start it again beside its living target."""
    mesh = context.mesh
    name = choose_other(mesh, mesh.find_coordinator())
    context.place = mesh.find_place(name)
    context.before = map_holds(mesh)
    mesh.kill_node(name)
    gevent.sleep(ms / 1000)
    mesh.start_node(context.place)
    context.started_ns = mesh.clock.now_ns()


@when("the heartbeats of a target stop, and its node is killed and starts again")
def restart_unheard(context) -> None:
    """Restart a node that only its peers and the target's health page can help."""
    mesh = context.mesh
    name = choose_other(mesh, mesh.find_coordinator())
    mesh.find_place(name).holder.silent_heartbeats = True
    context.place = mesh.find_place(name)
    context.before = map_holds(mesh)
    mesh.kill_node(name)
    mesh.start_node(context.place)
    context.started_ns = mesh.clock.now_ns()


@when("the node that coordinates is killed")
def kill_coordinator(context) -> None:
    """Kill the node that coordinates, and its VM's way to callers."""
    mesh = context.mesh
    context.before = map_holds(mesh)
    context.killed = mesh.find_coordinator()
    mesh.kill_node(context.killed)


@when(
    "the store is silent, the node that coordinates is killed, and {seconds:d} s pass"
)
def lose_store_and_coordinator(context, seconds: int) -> None:
    """Lose the coordinator for good while nobody reaches the store."""
    mesh = context.mesh
    for place in mesh.places:
        place.front.silent = True
        place.front.drop_watches()
    gevent.sleep(0.5)
    context.killed = mesh.find_coordinator()
    mesh.kill_node(context.killed)
    gevent.sleep(seconds)


@when("the store answers again")
def return_store(context) -> None:
    """Let the store answer everybody."""
    for place in context.mesh.places:
        place.front.silent = False


@when("the store is silent for {seconds:d} s")
def silence_store(context, seconds: int) -> None:
    """Silence the store and watch who holds what."""
    mesh = context.mesh
    context.unheld = []
    for place in mesh.places:
        place.front.silent = True
    end_ns = mesh.clock.now_ns() + seconds * 1_000_000_000
    while mesh.clock.now_ns() < end_ns:
        context.unheld += [key for key in KEYS if mesh.find_owner(key) is None]
        gevent.sleep(0.05)


@when("a target crashes")
def crash_target(context) -> None:
    """Crash a target whose node lives."""
    mesh = context.mesh
    context.place = mesh.places[0]
    context.lost_keys = [
        key for key in KEYS if context.place.holder.find_held(key) is not None
    ]
    context.place.holder.crash()
    mesh.call(choose_other(mesh, ""), "/read/1", context.lost_keys[0])


@when("a target begins to drain")
def drain_target(context) -> None:
    """Let a target say that it drains."""
    context.place = context.mesh.places[0]
    context.lost_keys = [
        key for key in KEYS if context.place.holder.find_held(key) is not None
    ]
    context.place.holder.draining = True


@when("a node stops while requests are sent to it all the time")
def stop_node(context) -> None:
    """Stop a node under a steady stream of orders on new connections."""
    mesh = context.mesh
    name = choose_other(mesh, mesh.find_coordinator())
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
    """Send one order and note how it ended."""
    mesh = context.mesh
    key = KEYS[number % len(KEYS)]
    body = f"order {number}".encode()
    data, attempt_id = mesh.encode(f"/order/{number}", key, "POST", body, 1500)
    status = 0
    try:
        connection = mesh.open(name)
        connection.send(data, 2)
        status = connection.read(AnswerParser(), 3).status
        connection.close()
    except OSError as error:
        context.outcomes.append((attempt_id, str(error)))
        return
    context.outcomes.append((attempt_id, status))


@when("a caller leaves {ms:d} ms after it has sent a read")
def leave_early(context, ms: int) -> None:
    """Send a read and close the connection while it runs."""
    mesh = context.mesh
    connection = mesh.open(next(iter(mesh.nodes)))
    data, context.attempt_id = mesh.encode("/read/1", 40000, "GET", b"", 1500)
    connection.send(data, 1)
    gevent.sleep(ms / 1000)
    connection.close()


@when("a request comes for a path without a route")
def send_unrouted(context) -> None:
    """Send a request that no route matches."""
    mesh = context.mesh
    context.status = mesh.call(next(iter(mesh.nodes)), "/nowhere/1", 1).status


@when("the zone of a target is taken out")
def take_zone_out(context) -> None:
    """Write the order to give a zone nothing more."""
    mesh = context.mesh
    context.place = mesh.places[0]
    context.lost_keys = [
        key for key in KEYS if context.place.holder.find_held(key) is not None
    ]
    mesh.objects.write("evacuations", context.place.settings.zone, {})


@then("every request is done by the target that holds its key")
def check_done_by_owner(context) -> None:
    """Check answers against who holds the key."""
    for key, answer in context.answers:
        assert answer.status == 200, (key, answer)
        attempt_id = answer.find("x-attempt-id")
        holder = context.mesh.find_owner(key).holder
        assert any(run.attempt_id == attempt_id for run in holder.runs), (key, answer)


@then("every request is done")
def check_all_done(context) -> None:
    """Check that all answers are good."""
    assert context.answers
    assert {answer.status for _, answer in context.answers} == {200}


@then("no key was held by two targets")
def check_owners(context) -> None:
    """Check what the sampler saw."""
    assert not context.mesh.double_owners, context.mesh.double_owners[:3]


@then("its target holds the same keys under the same tokens")
def check_same_holds(context) -> None:
    """Check that nothing has moved."""
    gevent.sleep(1.0)
    assert map_holds(context.mesh) == context.before


@then("a request for one of its keys is done within {ms:d} ms of the start")
def check_served_again(context, ms: int) -> None:
    """Check that the restarted node serves its target's keys."""
    mesh = context.mesh
    key = next(k for k in KEYS if context.place.holder.find_held(k) is not None)
    other = choose_other(mesh, context.place.settings.node_id)
    mesh.wait_until(lambda: mesh.call(other, "/read/1", key).status == 200, 5)
    elapsed_ms = (mesh.clock.now_ns() - context.started_ns) / 1e6
    # The scenario itself waits for 1 s before it looks.
    assert elapsed_ms < ms + 1000, elapsed_ms


@then("another node coordinates within {seconds:d} s")
def check_successor(context, seconds: int) -> None:
    """Check that a successor is found."""
    context.mesh.wait_until(context.mesh.find_coordinator, seconds)


@then("no key changed hands among the targets that live")
def check_kept(context) -> None:
    """Check the holds of the targets beside living nodes."""
    mesh = context.mesh
    now = map_holds(mesh)
    lost = mesh.find_place(context.killed).holder.target
    kept = {key: held for key, held in context.before.items() if held[0] != lost}
    assert kept, "the lost target held every key"
    assert {key: now.get(key) for key in kept} == kept


@then("every key is held all the while")
def check_all_held(context) -> None:
    """Check that no key was without a holder."""
    assert not context.unheld, context.unheld[:5]


@then("every node still serves every key")
def check_all_served(context) -> None:
    """Check a request for each key at each node."""
    for name in context.mesh.nodes:
        for key in KEYS[::4]:
            assert context.mesh.call(name, "/read/1", key).status == 200, (name, key)


@then("all of its keys are held by others within {seconds:d} s")
def check_moved(context, seconds: int) -> None:
    """Check that each lost key has another holder."""
    mesh = context.mesh
    assert context.lost_keys

    def is_moved() -> bool:
        owners = [mesh.find_owner(key) for key in context.lost_keys]
        return all(owner not in (None, context.place) for owner in owners)

    mesh.wait_until(is_moved, seconds)


@then("the others were told the handover")
def check_handover(context) -> None:
    """Check the marks in the table."""
    node = next(iter(context.mesh.nodes.values()))
    rows = node.find_rows(context.place.settings.service)
    moved = [row for row in rows if row.token > 1]
    assert moved
    assert all(row.handover for row in moved), moved


@then("each request that was sent to it was answered or never read")
def check_answered(context) -> None:
    """Check that no request ran whose caller saw its connection closed."""
    ran = {run.attempt_id for p in context.mesh.places for run in p.holder.runs}
    cut = [o for o in context.outcomes if not isinstance(o[1], int) and o[0] in ran]
    done = [o for o in context.outcomes if o[1] == 200]
    assert len(done) > 20, len(done)
    assert not cut, cut


@then("no order that entered the mesh ran twice")
def check_once(context) -> None:
    """Check the runs by id."""
    ids = [run.attempt_id for p in context.mesh.places for run in p.holder.runs]
    assert len(ids) == len(set(ids))


@then("its run is cut within {ms:d} ms")
def check_cut(context, ms: int) -> None:
    """Check that the target lost the connection while it ran the request."""
    mesh = context.mesh

    def is_cut() -> bool:
        return any(context.attempt_id in place.holder.cut for place in mesh.places)

    mesh.wait_until(is_cut, ms / 1000)


@then("the answer is {status:d}")
def check_status(context, status: int) -> None:
    """Check the status of the answer."""
    assert context.status == status, context.status


@then("a request for any key is done by another target")
def check_others_serve(context) -> None:
    """Check that the zone's target runs nothing more."""
    before = len(context.place.holder.runs)
    for name in context.mesh.nodes:
        for key in KEYS[::4]:
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
    context.mesh.objects.write("config", "main", create_document(version))


@when("the store refuses one node and operators write version {version:d}")
def refuse_node(context, version: int) -> None:
    """Turn one node away that does not coordinate, and change the configuration."""
    mesh = context.mesh
    context.name = choose_other(mesh, mesh.find_coordinator())
    front = mesh.find_place(context.name).front
    front.status = 503
    front.drop_watches()
    write_version(context, version)


@then("that node has version {version:d} within {seconds:d} s")
def check_node_version(context, version: int, seconds: int) -> None:
    """Check the version of the node that was turned away."""
    node = context.mesh.nodes[context.name]
    context.mesh.wait_until(lambda: node.configuration.version == version, seconds)


@then("that node knows the zone within {seconds:d} s")
def check_node_zone(context, seconds: int) -> None:
    """Check the zones of the node that was turned away."""
    node = context.mesh.nodes[context.name]
    zone = context.place.settings.zone
    context.mesh.wait_until(lambda: zone in node.zones_out, seconds)


@when(
    "writes of the node that coordinates take effect {late_ms:d} ms late "
    "for {seconds:d} s"
)
def delay_writes(context, late_ms: int, seconds: int) -> None:
    """Let the coordinator's writes take effect late, without an answer."""
    mesh = context.mesh
    context.name = mesh.find_coordinator()
    context.epoch = mesh.nodes[context.name].coordinator.term.epoch
    front = mesh.find_place(context.name).front
    front.late, front.late_s = 1.0, late_ms / 1000

    def mend() -> None:
        front.late = 0.0

    gevent.spawn_later(seconds, mend)


@then("the same node coordinates in the same epoch")
def check_same_epoch(context) -> None:
    """Check that there was no election."""
    mesh = context.mesh
    assert mesh.find_coordinator() == context.name
    assert mesh.nodes[context.name].coordinator.term.epoch == context.epoch


@when("a target says only to its node that it leaves, and the node is killed at once")
def leave_and_kill(context) -> None:
    """Let a target leave without a heartbeat of it, and kill its node."""
    mesh = context.mesh
    context.name = choose_other(mesh, mesh.find_coordinator())
    context.place = mesh.find_place(context.name)
    context.keys = [k for k in KEYS if mesh.find_owner(k) is context.place]
    assert context.keys, "the target holds no keys"
    context.place.holder.draining = True
    context.place.holder.silent_heartbeats = True
    mesh.kill_node(context.name)


@when("the node starts again and requests come for its keys for {duration_ms:d} ms")
def send_after_leave(context, duration_ms: int) -> None:
    """Send requests through another node while the holds of the target still run."""
    mesh = context.mesh
    context.runs = len(context.place.holder.runs)
    mesh.start_node(context.place)
    other = choose_other(mesh, context.name)
    end_ns = mesh.clock.now_ns() + duration_ms * NS_PER_MS
    context.statuses = []
    while mesh.clock.now_ns() < end_ns:
        for key in context.keys[:3]:
            answer = mesh.call(other, f"/read/{key}", key, remaining_ms=200)
            context.statuses.append(answer.status)
    board = mesh.nodes[other].board
    assert context.name in board.members, "the restarted node is not a member"
    assert mesh.find_owner(context.keys[0]) is context.place, "the holds have run out"


@then("the target ran none of them")
def check_not_used(context) -> None:
    """Check that no request reached the target, and each was answered."""
    assert len(context.place.holder.runs) == context.runs, context.statuses
    assert set(context.statuses) <= {503, 504}, context.statuses


@when(
    "a request that crashes its target is sent to each node in turn for {seconds:d} s"
)
def send_crashing(context, seconds: int) -> None:
    """Send the same request again and again."""
    mesh = context.mesh
    context.statuses = []
    end_ns = mesh.clock.now_ns() + seconds * NS_PER_S
    names = itertools.cycle(mesh.nodes)
    while mesh.clock.now_ns() < end_ns:
        answer = mesh.call(next(names), CRASH_PATH, CRASH_KEY, remaining_ms=800)
        context.statuses.append(answer.status)
        gevent.sleep(0.05)


@then("the targets crashed {count:d} times")
def check_crashes(context, count: int) -> None:
    """Check the crashes of all targets together."""
    crashes = [place.holder.crashes for place in context.mesh.places]
    assert sum(crashes) == count, (crashes, context.statuses)


@then("it was refused as not run since, and requests for its key are done")
def check_quarantine(context) -> None:
    """Check the last answers, and another request for the same key."""
    assert set(context.statuses[-3:]) == {503}, context.statuses
    for name in context.mesh.nodes:
        answer = context.mesh.call(name, "/read/1", CRASH_KEY)
        assert answer.status == 200, answer


@when("one of the other targets begins to drain under requests")
def drain_other(context) -> None:
    """Drain a target without keys while each node gets requests for its service."""
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


@then("it ran nothing later than {ms:d} ms after it was told that this is known")
def check_drained(context, ms: int) -> None:
    """Check the runs of the target; a heartbeat tells that it drains within 300 ms."""
    limit_ns = context.drained_ns + ms * NS_PER_MS
    runs = context.place.holder.runs
    assert [run for run in runs if run.began_ns < context.drained_ns], "it ran nothing"
    late = [run for run in runs if run.began_ns > limit_ns]
    assert not late, [(run.began_ns - context.drained_ns) / NS_PER_MS for run in late]
    assert context.mesh.clock.now_ns() > limit_ns, "the requests ended too early"


@then("every request for the other service was done")
def check_others_done(context) -> None:
    """Check that no request was refused or lost."""
    assert set(context.statuses) == {200}, context.statuses


@when("all nodes and targets end at once and start again {ms:d} ms later")
def lose_all(context, ms: int) -> None:
    """End every process; the store alone lives on."""
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


@when("every answer of the other targets is lost and {count:d} requests come")
def lose_answers(context, count: int) -> None:
    """Send reads whose answers never come back."""
    mesh = context.mesh
    others = [place.holder for place in mesh.places if not place.holder.keyed]
    for holder in others:
        holder.lost_share = 1.0
    name = next(iter(mesh.nodes))
    context.statuses = [mesh.call(name, f"/list/{n}").status for n in range(count)]
    runs = (run.attempt_id for holder in others for run in holder.runs)
    context.run_counts = Counter(runs)


@then("no request ran more than {most:d} times")
def check_run_counts(context, most: int) -> None:
    """Check the runs of each attempt."""
    assert max(context.run_counts.values()) <= most, context.run_counts


@then("at least one ran {count:d} times, and none was said to be not run")
def check_repeated(context, count: int) -> None:
    """Check that repeats were made at all, and what their callers were told."""
    assert count in context.run_counts.values(), context.run_counts
    assert set(context.statuses) <= {502, 504}, context.statuses


@when("the store is silent for the coordinator until its right has lapsed")
def lapse_right(context) -> None:
    """Keep the store from the coordinator alone."""
    mesh = context.mesh
    context.name = mesh.find_coordinator()
    context.node = mesh.nodes[context.name]
    context.lock = context.node.store.get(LEADER_KIND, LEADER_NAME)
    mesh.find_place(context.name).front.silent = True
    mesh.wait_until(lambda: not context.node.coordinator.term.has_authority())


@then("it may not claim the right while it still renews it")
def check_no_claim(context) -> None:
    """Ask the node whether it would claim what it holds."""
    assert context.node.coordinator.term.leading, "the term has ended"
    assert not context.node.membership._may_claim(context.lock)
