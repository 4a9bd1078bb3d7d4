"""Steps about what a former coordinator, voter or process still sends."""

from types import SimpleNamespace

from behave import given, then, when

from features.support.offices import (
    CELL,
    SERVICE,
    TABLE,
    FakeOffice,
    create_environment,
    create_heartbeat,
    read_process,
)
from knapweedrock.clock import NS_PER_MS, NS_PER_S
from knapweedrock.codes import Code
from knapweedrock.configuration import create_configuration
from knapweedrock.environment import Environment
from knapweedrock.errors import RefusalError
from knapweedrock.nodes.assignment import create_table
from knapweedrock.nodes.leases import create_lease, release_ranges
from knapweedrock.nodes.messages import AskPromise, Heartbeat, Release
from knapweedrock.nodes.office import Office
from knapweedrock.nodes.roster import Process, Roster
from knapweedrock.nodes.tables import Tables, UnwrittenError
from knapweedrock.nodes.timing import LEASE_MS, PROMISE_MS
from knapweedrock.nodes.view import HASH_SPACE, create_view
from knapweedrock.nodes.voter import create_voter
from knapweedrock.nodes.votes import list_candidates
from knapweedrock.platform.interface import Stored


@given("a coordinator that has loaded a table")
def load_table(context):
    """Load a table in epoch 1."""
    context.env = create_environment()
    context.env.platform.put(TABLE, create_table(SERVICE, CELL, 1), 0)
    context.former = Tables(context.env, FakeOffice(1))
    context.former.load()


@when("its successor loads the table and the coordinator then writes it")
def write_late(context):
    """Load the table in epoch 2, then write it in epoch 1."""
    successor = Tables(context.env, FakeOffice(2))
    successor.load()
    context.read = successor.get(SERVICE)
    late = {**context.former.get(SERVICE), "next_token": 99}
    try:
        context.former.write(SERVICE, late)
        context.refused = False
    except UnwrittenError:
        context.refused = True


@then("the write fails and ends the coordinator's office")
def check_late_write(context):
    """Check that the write surely had no effect."""
    assert context.refused, "the write took effect"
    assert context.former.office.ended


@then("the table is as the successor read it")
def check_table(context):
    """Check the platform's table."""
    assert context.env.platform.get(TABLE).value == context.read


@given("a voter that has just started")
def start_voter(context):
    """Start a voter."""
    context.env = create_environment()
    context.voter = create_voter(context.env)


def ask_promise(context):
    """Ask for a promise."""
    return context.voter.answer(AskPromise(CELL, 7, "node-2/x", False))


@then("it promises nothing until an earlier promise has run out")
def check_silent(context):
    """Ask until right before the end of a promise given before the start."""
    for _ in range(PROMISE_MS):
        assert ask_promise(context).promise_ms == 0, "it promised too early"
        context.env.clock.ns += NS_PER_MS


@then("it promises a candidate afterwards")
def check_promise(context):
    """Ask once more after a while."""
    context.env.clock.ns += NS_PER_S
    assert ask_promise(context).promise_ms == PROMISE_MS


@given("an office with promises of all its voters")
def promise_all(context):
    """Create an office of three voters whose renewals go nowhere."""
    context.env = create_environment()
    names = ("a", "b", "c")
    context.voters = {name: {"peer": f"{name}:1", "zone": name} for name in names}
    context.env.links = SimpleNamespace(request=lambda *_: None)
    record = {"epoch": 1, "voters": context.voters}
    context.office = Office(context.env, Stored(0, record))
    later_ns = context.env.clock.now_ns() + NS_PER_S
    context.office.promises = {"a": later_ns, "b": later_ns}
    assert context.office.holds()


@when("one voter is replaced by a process at another address")
def replace_voter(context):
    """Take a voter out, then its successor in."""
    context.office.write_voters({n: context.voters[n] for n in ("a", "c")})
    other = {"peer": "b:2", "zone": "b"}
    context.office.write_voters({**context.voters, "b": other})


@then("the promise of the former one does not count")
def check_promises(context):
    """Check that the office has no majority."""
    assert not context.office.holds(), "a former voter's promise counts"
    context.office.end("the scenario is over")


@given("a roster in which a process was replaced by one at another address")
def replace_process(context):
    """Hear two processes of one node, one after the other."""
    context.env = create_environment()
    context.roster = Roster(context.env, {})
    for incarnation in ("first", "second"):
        heartbeat = create_heartbeat(incarnation, f"{incarnation}:1")
        context.roster.hear(heartbeat)
        assert context.roster.grant(read_process(heartbeat)) > 0


@when("the replaced process sends a heartbeat as if nothing had happened")
def send_old_heartbeat(context):
    """Send a heartbeat of the first process."""
    heartbeat = create_heartbeat("first", None)
    context.roster.hear(heartbeat)
    context.lease_ms = context.roster.grant(read_process(heartbeat))


@then("it gets no lease")
def check_no_lease(context):
    """Check that no lease was granted that the roster does not count."""
    assert context.lease_ms == 0, context.lease_ms


@given("a successor that knows a member and has not heard it")
def inherit_member(context):
    """Take office with a member whose lease the predecessor granted."""
    context.env = create_environment()
    member = {"incarnation": "i", "peer": "b:1", "fenced": True}
    context.roster = Roster(context.env, {"node-2": member})


@then("the member's ranges are not free before its last lease has lapsed")
def check_inherited(context):
    """Ask every millisecond of a lease, then once more after it."""
    process = Process("node-2", "i")
    for _ in range(LEASE_MS):
        assert not context.roster.remove_lapsed(), context.env.clock.ns
        assert context.roster.is_alive(process)
        context.env.clock.ns += NS_PER_MS
    context.env.clock.ns += NS_PER_S
    assert context.roster.remove_lapsed() == ["node-2"]
    free_ns = context.roster.free_at_ns(process, SERVICE)
    assert NS_PER_S + LEASE_MS * NS_PER_MS <= free_ns <= context.env.clock.ns


@given("a coordinator whose voters were once declared lost")
def declare_lost(context):
    """Put a configuration in force that declares two nodes lost."""
    context.env = create_environment()
    value = create_configuration()
    lost = ["node-2@b:1", "node-3@c:1"]
    value["cells"] = {CELL: {"name": CELL, "lost_voters": lost}}
    context.env.configuration.replace(1, value)


@when("all of them are back at their former addresses")
def come_back(context):
    """Hear both nodes, and one that was never lost."""
    roster = Roster(context.env, {})
    for name, peer in (("node-2", "b:1"), ("node-3", "c:1"), ("node-4", "d:1")):
        member = {"incarnation": "i", "peer": peer, "zone": "z", "state": "serving"}
        heartbeat = Heartbeat(CELL, name, "i", 1, 1, 1, 0, True, member)
        roster.hear(heartbeat)
        roster.grant(read_process(heartbeat))
    context.candidates = list_candidates(context.env, roster)


@then("it chooses none of them")
def check_candidates(context):
    """Check who may become a voter."""
    assert list(context.candidates) == ["node-4"], context.candidates


def create_owned_view(env: Environment, count: int) -> dict:
    """Create a view whose ranges all belong to the node."""
    table = create_table(SERVICE, CELL, 1)
    own = {"owner": env.settings.node_id, "incarnation": env.incarnation}
    table["ranges"] = [{**entry, **own, "token": 1} for entry in table["ranges"]]
    tables = {SERVICE: table}
    return {**create_view(CELL), "epoch": 1, "count": count, "tables": tables}


@given("a node that owns a range")
def own_range(context):
    """Give all ranges to a node with a lease."""
    context.env = create_environment()
    context.lease = create_lease(context.env)
    context.env.views.replace(create_owned_view(context.env, 1))
    context.lease.extend(1, context.env.clock.now_ns(), 1000)
    assert context.lease.authorize(SERVICE, "key").token == 1


@when("the coordinator releases the range")
def release_range(context):
    """Release all ranges under the next view, which has not come yet."""
    order = Release(1, 2, context.env.incarnation, SERVICE, [(0, HASH_SPACE)], 100)
    context.lease.release(order)


@then("a request on the range is refused with MOVING")
def check_released(context):
    """Ask for the right to send."""
    try:
        context.lease.authorize(SERVICE, "key")
    except RefusalError as error:
        assert error.code == Code.MOVING, error
        return
    raise AssertionError("granted on a released range")


@then("it is granted after a newer view without a move")
def check_granted(context):
    """Take the view that settles the move."""
    context.env.views.replace(create_owned_view(context.env, 3))
    assert context.lease.authorize(SERVICE, "key").token == 1


@given("a node with version {version:d} of the configuration")
def hold_version(context, version):
    """Put a version in force."""
    context.env = create_environment()
    assert context.env.configuration.replace(version, create_configuration())


@when("it is given version {version:d}")
def give_version(context, version):
    """Give the node another version."""
    context.env.configuration.replace(version, create_configuration())


@then("version {version:d} stays in force")
def check_version(context, version):
    """Check the version in force."""
    held = context.env.configuration.version
    assert held == version, held


@when("the coordinator releases the range at the process before it")
def release_former(context):
    """Send the release that was meant for a process that is gone."""
    order = Release(1, 2, "former", SERVICE, [(0, HASH_SPACE)], 100)
    context.env.lease = context.lease
    context.env.delivery = SimpleNamespace(release=lambda *_: [])
    try:
        context.answer = release_ranges(context.env, None, order)
    except RefusalError as error:
        context.answer = error.code


@then("the release is refused with NOT_OWNER and hands nothing over")
def check_not_released(context):
    """Check the refusal, and that the range is still served."""
    assert context.answer == Code.NOT_OWNER, context.answer
    assert context.lease.authorize(SERVICE, "key").token == 1
