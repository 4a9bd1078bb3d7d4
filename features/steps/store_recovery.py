"""Steps about the owners of keys after the store came back from a copy."""

import gevent
from behave import given, then, when

from features.support.hold_monitor import HoldMonitor, list_unheld_keys
from features.support.mesh_builders import (
    SERVICE,
    FakeClock,
    create_heartbeat,
    create_row,
)
from features.support.mesh_harness import Mesh, choose_other_node
from features.support.store_drills import play_drills
from knapweedrock.clock import NS_PER_MS
from knapweedrock.eras.recovery import Recovery, merge_by_token
from knapweedrock.mesh.definitions import HeldRange
from knapweedrock.mesh.holds import Holds
from knapweedrock.mesh.tables import PackedRow, PackedTable, unpack_rows
from knapweedrock.mesh.terms import LEADER_NAME
from knapweedrock.platform.documents import LEADER_KIND, TABLE_KIND

SAMPLE_S = 0.01
MOVE_TIMEOUT_S = 8.0
MAX_HOLD_MS = 10_000
LEASE_MS = 5000


@given("a mesh of {count:d} keyed targets whose holds are watched")
def start_watched_mesh(context, count: int) -> None:
    """Start a mesh, and compare the holds of all targets all the time."""
    context.mesh = Mesh(count)
    context.add_cleanup(context.mesh.stop)
    context.mesh.start()
    context.monitor = HoldMonitor()
    sampler = gevent.spawn(sample_holds, context)
    context.add_cleanup(sampler.kill)
    context.mesh.wait_until(lambda: not list_unheld(context), MOVE_TIMEOUT_S)


def sample_holds(context) -> None:
    """Look at all holds until killed."""
    while True:
        context.monitor.check([place.holder for place in context.mesh.places])
        gevent.sleep(SAMPLE_S)


def list_unheld(context) -> list[int]:
    """List the sampled keys that no target holds."""
    return list_unheld_keys([place.holder for place in context.mesh.places])


@when("a target that does not coordinate leaves, and others hold its keys")
def let_target_leave(context) -> None:
    """Drain a target, and end it with its node once its keys have moved."""
    mesh = context.mesh
    context.coordinator = mesh.find_coordinator()
    name = choose_other_node(mesh, context.coordinator)
    holder = mesh.find_place(name).holder
    holder.draining = True
    mesh.wait_until(
        lambda: not holder.list_holds() and not list_unheld(context), MOVE_TIMEOUT_S
    )
    mesh.lose_vm(name)


@then(
    "the same node coordinates in era {era:d} within {ms:d} ms and has written its rows"
    " again"
)
def check_coordinator(context, era: int, ms: int) -> None:
    """Check the coordinator's term and the stored table against its board."""
    mesh = context.mesh
    node = mesh.nodes[context.coordinator]
    mesh.wait_until(
        lambda: node.board.era == era and node.coordinator.term.has_authority(),
        ms / 1000,
    )
    stored = context.mesh.objects.get(TABLE_KIND, SERVICE)["specification"]
    rows = unpack_rows(
        PackedTable(stored["owners"], [PackedRow(*r) for r in stored["rows"]])
    )
    owners = {(row.start, row.node_id, row.token) for row in rows}
    known = {(row.start, row.node_id, row.token) for row in node.get_rows(SERVICE)}
    assert owners == known, owners ^ known
    assert stored["era"] == era, stored["era"]


@then("it recovers nothing")
def check_not_recovering(context) -> None:
    """Check that the coordinator's memory counts as complete."""
    assert not context.mesh.nodes[context.coordinator].coordinator.is_recovering()


@when("a coordinator is elected")
def wait_for_coordinator(context) -> None:
    """Wait until a node has authority."""
    context.mesh.wait_until(context.mesh.find_coordinator, MOVE_TIMEOUT_S)


@when("{ms:d} ms pass")
def let_time_pass(_context, ms: int) -> None:
    """Wait."""
    gevent.sleep(ms / 1000)


@then("the coordinator {state}")
def check_state(context, state: str) -> None:
    """Check whether the node that coordinates recovers, and what it has recorded."""
    node = context.mesh.nodes[context.mesh.find_coordinator()]
    record = context.mesh.objects.get(LEADER_KIND, LEADER_NAME)["specification"]
    expected = {"recovers": True, "recovers nothing": False}[state]
    assert node.coordinator.is_recovering() is expected
    assert record["recovering"] is expected, record


@when("{ms:d} ms later the coordinator's node is killed and started again")
def restart_coordinator(context, ms: int) -> None:
    """Restart the node that coordinates."""
    gevent.sleep(ms / 1000)
    mesh = context.mesh
    mesh.wait_until(mesh.find_coordinator, MOVE_TIMEOUT_S)
    restart_nodes(context, [mesh.find_coordinator()])


@when("{ms:d} ms later all nodes are killed and started again")
def restart_all(context, ms: int) -> None:
    """Restart all nodes at once."""
    gevent.sleep(ms / 1000)
    restart_nodes(context, list(context.mesh.nodes))


def restart_nodes(context, names: list[str]) -> None:
    """Kill nodes, and start them without their memory."""
    mesh = context.mesh
    for name in names:
        mesh.kill_node(name)
    for name in names:
        mesh.start_node(mesh.find_place(name))


@then("every watched key is held {seconds:d} s later")
def check_held(context, seconds: int) -> None:
    """Check the keys once all leases from before have ended."""
    gevent.sleep(seconds)
    unheld = list_unheld(context)
    assert not unheld, unheld[:5]


@then("for {ms:d} ms every watched key is held")
def check_held_throughout(context, ms: int) -> None:
    """Check for some time that each key has a holder."""
    for _ in range(int(ms / 1000 / SAMPLE_S)):
        unheld = list_unheld(context)
        assert not unheld, unheld[:5]
        gevent.sleep(SAMPLE_S)


@then("tokens rose with each owner, and no key had two holders")
def check_monitor(context) -> None:
    """Check what was seen of the holds."""
    assert not context.monitor.violations, context.monitor.violations


@when("the drills of seed {seed:d} are played for {seconds:d} s in the model")
def play(context, seed: int, seconds: int) -> None:
    """Play random drills in virtual time."""
    context.play = play_drills(seed, seconds)


@then("no rule was broken in the model")
def check_play(context) -> None:
    """Check what targets and operators have seen."""
    violations = context.play.list_violations()
    assert not violations, (violations, context.play.events)


@given("a node in era {era:d} with a row of token {token:d}")
def create_node(context, era: int, token: int) -> None:
    """Create the holds of a node whose target owns the keys from 0 to 99."""
    context.clock = FakeClock()
    context.holds = Holds("n0", MAX_HOLD_MS)
    context.holds.era = era
    context.holds.extend_lease(context.clock.ns, LEASE_MS)
    context.rows = [
        create_row(0, 99, "n0", token),
        create_row(100, 65535, "n1", 1_000_000),
    ]


@when("its target that holds <{_what}> sends a heartbeat")
def send_heartbeat(context, _what: str) -> None:
    """Send a heartbeat with the ranges of the table, and keep the reply."""
    held = tuple(
        HeldRange(int(row["start"]), int(row["end"]), int(row["token"]))
        for row in context.table
    )
    heartbeat = create_heartbeat(held=held)
    context.reply = context.holds.reply(heartbeat, context.rows, context.clock.ns)


@then("nothing is granted")
def check_no_grant(context) -> None:
    """Check that the reply grants no keys."""
    assert context.reply.grants == (), context.reply.grants


@then("{start:d}-{end:d} is granted with token {token:d}")
def check_grant(context, start: int, end: int, token: int) -> None:
    """Check that the reply grants a range."""
    grants = [grant[:3] for grant in context.reply.grants]
    assert (start, end, token) in grants, grants


@then("the node reports {start:d}-{end:d} as unheld")
def check_unheld(context, start: int, end: int) -> None:
    """Check the ranges that the target does not hold."""
    unheld = context.holds.withdraw_unheld(context.rows, "", context.clock.ns)
    assert [(row.start, row.end) for row in unheld] == [(start, end)], unheld


@then("the node reports {start:d}-{end:d} as kept")
def check_kept(context, start: int, end: int) -> None:
    """Check the ranges that the target holds above the board's tokens."""
    kept = context.holds.list_kept(context.rows)
    assert [(span.start, span.end) for span in kept] == [(start, end)], kept


@when("rows are merged by their tokens")
def check_merges(context) -> None:
    """Compare merged rows with the expected ones."""
    for example in context.table:
        rows, others, expected = (
            parse_rows(example[name]) for name in ("rows", "others", "merged")
        )
        merged = merge_by_token(rows, others)
        assert merged == expected, (merged, expected)


def parse_rows(text: str) -> list:
    """Parse rows such as `0-9 n0 1`: keys, owner and token."""
    rows = []
    for part in filter(None, text.split(", ")):
        keys, name, token = part.split()
        start, end = keys.split("-")
        rows.append(create_row(int(start), int(end), name, int(token)))
    return rows


@given("a recovery in era {era:d} that ends after {ms:d} ms")
def create_recovery(context, era: int, ms: int) -> None:
    """Create a recovery that knows no holder."""
    context.recovery = Recovery(era, ms * NS_PER_MS)


@when(
    "the target of {name} is seen to hold the row {start:d}-{end:d} with token"
    " {token:d}"
)
def record_held(context, name: str, start: int, end: int, token: int) -> None:
    """Record that the owner's target holds a row."""
    context.recovery.record_held([create_row(start, end, name, token)])


@then(
    "the row {start:d}-{end:d} of {name} with token {token:d} may be reassigned after"
    " {ms:d} ms"
)
def check_reassignable(
    context, start: int, end: int, name: str, token: int, ms: int
) -> None:
    """Check the time from which a row may be reassigned."""
    row = create_row(start, end, name, token)
    assert context.recovery.may_reassign(row, ms * NS_PER_MS)
    if ms:
        assert not context.recovery.may_reassign(row, (ms - 1) * NS_PER_MS)
