"""Steps about the ownership decisions of the coordinator."""

from behave import given, then, when
from hypothesis import strategies as st

from features.support.examples import feed_examples
from features.support.mesh_builders import (
    create_load,
    create_member,
    create_members,
    create_snapshot,
)
from features.support.tables import (
    check_partition,
    check_tokens,
    complete_moves,
    measure_loads,
    plan_ownership,
)
from knapweedrock.mesh.definitions import HeartbeatReply, HeldRange
from knapweedrock.mesh.holds import create_grant, find_row
from knapweedrock.mesh.messages import Row
from knapweedrock.mesh.moves import rebalance
from knapweedrock.mesh.ownership import create_initial_table
from knapweedrock.mesh.snapshots import KEY_COUNT, list_eligible_members
from knapweedrock.platform.heartbeats import encode_reply

EVEN_LOAD_MS = 6000.0
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("drain", "die", "join", "hot", "release", "return")),
        st.integers(0, 5),
        st.integers(0, KEY_COUNT - 1),
    ),
    max_size=25,
)


@given("{count:d} members without keys")
def create_members_without_keys(context, count: int) -> None:
    """Create a snapshot of ready members."""
    context.snapshot = create_snapshot(create_members(count))


@given("a table of {count:d} members")
def create_members_with_table(context, count: int) -> None:
    """Create members and their initial table."""
    create_members_without_keys(context, count)
    context.rows = create_initial_table(list_eligible_members(context.snapshot))
    context.first = list(context.rows)
    context.key_ms = {}


@given("a table of {count:d} members under even load")
def create_even_load(context, count: int) -> None:
    """Create a table whose targets each use a third of their slots."""
    create_members_with_table(context, count)
    context.key_ms = dict.fromkeys(range(0, KEY_COUNT, 64), EVEN_LOAD_MS * count / 1024)


@given("the target of the first member has exited")
def end_first_target(context) -> None:
    """Report that no target holds the first member's rows."""
    members = dict(context.snapshot.members)
    members["n0"] = members["n0"]._replace(state="absent")
    unheld = tuple(row for row in context.rows if row.node_id == "n0")
    context.snapshot = create_snapshot(members, unheld=unheld)


@given("the first member is silent but its lease has not expired")
def silence_first_member(context) -> None:
    """Mark the first member absent while its target may still hold its rows."""
    members = dict(context.snapshot.members)
    members["n0"] = members["n0"]._replace(state="absent")
    context.snapshot = create_snapshot(members)


@given("the first member drains with its load spread over {count:d} parts")
def drain_first_member(context, count: int) -> None:
    """Mark the first member draining and measure a load on its first row."""
    members = dict(context.snapshot.members)
    members["n0"] = members["n0"]._replace(state="draining")
    row = context.rows[0]
    step = (row.end + 1) // count
    load = create_load(row, 8.0, tuple(range(step, row.end, step)))
    context.snapshot = create_snapshot(members, loads={"n0": [load]})


@given("a fourth member whose target is ready")
def add_member(context) -> None:
    """Add a ready member without keys."""
    members = {**context.snapshot.members, "n3": create_member("n3")}
    context.snapshot = create_snapshot(members)


@when("the initial table is created")
def create_table(context) -> None:
    """Create the initial table of the eligible members."""
    context.rows = create_initial_table(list_eligible_members(context.snapshot))


@then("any {count:d} adjacent keys have at least {owners:d} owners")
def check_neighbouring_owners(context, count: int, owners: int) -> None:
    """Check every range of adjacent keys that starts or ends together with a row."""
    for row in context.rows:
        for start in (row.start, row.end - count + 1):
            if start < 0 or start + count > KEY_COUNT:
                continue
            neighbour_owners = {
                other.node_id
                for other in context.rows
                if other.start < start + count and start <= other.end
            }
            assert len(neighbour_owners) >= owners, (start, neighbour_owners)


@when("the coordinator plans once")
@when("the coordinator plans once more")
def plan_once(context) -> None:
    """Run one planning round."""
    context.rows = plan_ownership(context.rows, context.snapshot)


@when("the coordinator plans {count:d} times")
def plan_repeatedly(context, count: int) -> None:
    """Run several planning rounds."""
    for _ in range(count):
        context.rows = plan_ownership(context.rows, context.snapshot)


@when("random events happen to tables of some members")
def play_random_events(context) -> None:
    """Apply random sequences of events, checking the table after each event."""
    context.histories = 0

    def play(events) -> None:
        members = create_members(4)
        rows = create_initial_table(list(members.values()))
        tokens = [row.token for row in rows]
        key_ms: dict[int, float] = {}
        for event, number, key in events:
            snapshot = apply_event(event, number, key, members, rows, key_ms)
            before = rows
            rows = rebalance(plan_ownership(rows, snapshot), snapshot, ())
            check_partition(rows)
            check_tokens(before, rows)
        assert tokens
        context.histories += 1

    feed_examples(play, EVENTS)


def apply_event(event, number, key, members, rows, key_ms):
    """Apply one event and return the coordinator's snapshot after it."""
    name = f"n{number}"
    unheld: list[Row] = []
    released: list[tuple[int, int, str]] = []
    match event:
        case "drain" if name in members:
            members[name] = members[name]._replace(state="draining")
        case "die" if name in members:
            members[name] = members[name]._replace(state="absent")
            unheld = [row for row in rows if row.node_id == name]
        case "join":
            members.setdefault(name, create_member(name))
        case "return" if name in members:
            target = members[name].target + "1"
            members[name] = members[name]._replace(state="ready", target=target)
        case "hot":
            key_ms[key] = key_ms.get(key, 0) + 9000
        case "release":
            unheld = [row for row in rows if row.next_node]
            released = [(row.start, row.end, "mark") for row in unheld[:1]]
    snapshot = create_snapshot(members, loads=measure_loads(key_ms, rows))
    return snapshot._replace(unheld=unheld, released=released)


@then("every key has one owner")
def check_one_owner_per_key(context) -> None:
    """Check that rows cover every key exactly once."""
    check_partition(context.rows)


@then("no member owns more than {count:d} keys")
def check_member_sizes(context, count: int) -> None:
    """Check the number of keys of each row."""
    assert max(row.end - row.start + 1 for row in context.rows) <= count


@then("its row still has its old owner and a next owner")
def check_marked_only(context) -> None:
    """Check that the row is marked but not reassigned yet."""
    own = [row for row in context.rows if row.node_id == "n0"]
    assert own
    assert all(row.next_node for row in own), own
    assert {row.token for row in own} == {1}


@then("its row has another owner with a higher token")
def check_reassigned(context) -> None:
    """Check that the row was reassigned with a higher token."""
    assert not [row for row in context.rows if row.node_id == "n0"]
    assert {row.token for row in context.rows} == {1, 2}


@then("no row has changed owners")
def check_owners_unchanged(context) -> None:
    """Check that owners and tokens are those of the initial table."""
    owners = [(r.start, r.end, r.node_id, r.token) for r in context.rows]
    assert owners == [(r.start, r.end, r.node_id, r.token) for r in context.first]


@then("its keys have {count:d} members as next owners")
def check_next_owners(context, count: int) -> None:
    """Check the number of next owners, and that each row has one."""
    next_owners = {row.next_node for row in context.rows if row.node_id == "n0"}
    assert len(next_owners) == count, next_owners
    assert "" not in next_owners


@then("the released keys go to them with their handovers")
def check_handovers(context) -> None:
    """Release all marked keys and check their new owners and handovers."""
    next_owners = {row.start: row.next_node for row in context.rows if row.next_node}
    rows = complete_moves(context.rows, context.snapshot)
    check_partition(rows)
    for start, name in next_owners.items():
        row = find_row(rows, start)
        assert row.node_id == name
        assert row.handover, row


@then("the fourth member owns keys")
def check_new_member(context) -> None:
    """Check that the new member owns at least one row."""
    assert any(row.node_id == "n3" for row in context.rows)


@then("after each event every key has one row and no token has decreased")
def check_histories(context) -> None:
    """Check that enough sequences of events were applied."""
    assert context.histories > 20


@given("{count:d} of the members are lost and no target holds their keys")
def lose_members(context, count: int) -> None:
    """Mark members absent and report that no target holds their rows."""
    members = dict(context.snapshot.members)
    lost = sorted(members)[:count]
    for name in lost:
        members[name] = members[name]._replace(state="absent")
    unheld = tuple(row for row in context.rows if row.node_id in lost)
    context.snapshot = create_snapshot(members, unheld=unheld)


@given("{count:d} of the lost members are expected back")
def expect_members(context, count: int) -> None:
    """Name lost members whose nodes have reported in a young term."""
    context.returning = sorted(context.snapshot.members)[:count]
    context.snapshot = context.snapshot._replace(returning=context.returning)


@then("the members that are expected back own their keys as before")
def check_returning(context) -> None:
    """Check that no row of a returning member has another owner or mark."""
    expected = [row for row in context.first if row.node_id in context.returning]
    kept = [row for row in context.rows if row.node_id in context.returning]
    assert expected
    assert kept == expected


@then("the last member owns the keys of the others")
def check_spread(context) -> None:
    """Check that the keys of members that stay lost have a ready owner."""
    owners = {row.node_id for row in context.rows}
    assert owners == {*context.returning, max(context.snapshot.members)}, owners


@then("the response to each target's heartbeat has at most {max_bytes:d} bytes")
def check_reply_sizes(context, max_bytes: int) -> None:
    """Check the encoded size of the heartbeat response to each target."""
    for name, member in context.snapshot.members.items():
        own = [row for row in context.rows if row.node_id == name]
        held = [HeldRange(row.start, row.end, row.token) for row in own]
        grants = tuple(create_grant(row, held) for row in own)
        reply = encode_reply(HeartbeatReply(grants, 10_000))
        assert len(reply) <= max_bytes, (member.node_id, len(own), len(reply))
