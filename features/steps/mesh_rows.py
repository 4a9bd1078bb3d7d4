"""Steps about the number of rows that a target owns."""

from collections import Counter

from behave import given, then, when

from features.support.mesh_builders import (
    FakeClock,
    create_heartbeat,
    create_load,
    create_member,
    create_members,
    create_row,
    create_snapshot,
)
from features.support.tables import check_partition, plan
from knapweedrock.mesh.definitions import Heartbeat, Span
from knapweedrock.mesh.holds import Holds
from knapweedrock.mesh.messages import Row
from knapweedrock.mesh.moves import rebalance, relieve_overloaded
from knapweedrock.mesh.snapshots import KEY_COUNT
from knapweedrock.platform.heartbeats import count_fitting, encode_reply

MOST_BYTES = 4096
HEARTBEAT_MS = 870
LEASE_MS = 8000
LOST = "n3"
CROWDED, FULL = "n0", "n1"


@given("a target that owns {count:d} rows, each with a handover")
def give_rows(context, count: int) -> None:
    """Create rows of a target that has just started to own them."""
    context.clock = FakeClock()
    context.holds = Holds("n0", LEASE_MS, count_fitting)
    step = KEY_COUNT // count
    context.rows = [
        create_row(
            number * step,
            number * step + step - 1,
            "n0",
            token=number % 90 + 10,
            handover=f"{number:016x}",
        )
        for number in range(count)
    ]


@given("a target that holds {held:d} rows and owns {more:d} more without handovers")
def give_held(context, held: int, more: int) -> None:
    """Create rows of which the later ones are held."""
    give_rows(context, held + more)
    context.rows = [row._replace(handover="") for row in context.rows]
    context.kept = tuple(
        Span(row.start, row.end, row.token) for row in context.rows[more:]
    )


@then("it still holds the {count:d} rows")
def check_kept(context, count: int) -> None:
    """Check that nothing that was held has been let go."""
    assert len(context.kept) == count
    assert set(context.kept) <= set(context.held)


@when("it sends {count:d} heartbeats and takes what fits in {most:d} bytes")
def send_heartbeats(context, count: int, most: int) -> None:
    """Let the target hold what answers of a bounded size grant."""
    context.sizes: list[int] = []
    context.served_early: list[int] = []
    held: tuple[Span, ...] = getattr(context, "kept", ())
    for sequence in range(1, count + 1):
        context.clock.advance_ms(HEARTBEAT_MS)
        context.holds.extend_lease(context.clock.ns, LEASE_MS)
        held = exchange(context, sequence, held, most)
        note_early(context, held)
    context.held = held


def exchange(
    context, sequence: int, held: tuple[Span, ...], most: int
) -> tuple[Span, ...]:
    """Send one heartbeat, and return what the target holds after its answer."""
    heartbeat: Heartbeat = create_heartbeat("n0", sequence=sequence, held=held)
    reply = context.holds.reply(heartbeat, context.rows, context.clock.ns)
    size = len(encode_reply(reply))
    context.sizes.append(size)
    if size > most:
        return held
    return tuple(Span(grant.start, grant.end, grant.token) for grant in reply.grants)


def note_early(context, held: tuple[Span, ...]) -> None:
    """Note keys that the node would serve though its target does not hold them."""
    starts = {span.start for span in held}
    target = context.rows[0].target
    context.served_early += [
        row.start
        for row in context.rows
        if row.start not in starts
        and context.holds.may_serve(row.start, target, context.rows, context.clock.ns)
    ]


@then("every answer to them took at most {most:d} bytes")
def check_sizes(context, most: int) -> None:
    """Check the size of each answer."""
    assert max(context.sizes) <= most, context.sizes


@then("it holds all {count:d} rows")
def check_all_held(context, count: int) -> None:
    """Check what the target holds at last."""
    assert len(context.held) == count, len(context.held)


@then("it holds at least {count:d} rows")
def check_most_held(context, count: int) -> None:
    """Check what the target holds at last."""
    assert len(context.held) >= count, len(context.held)


@then("its node served no key before it was granted")
def check_not_early(context) -> None:
    """Check what the node would have served."""
    assert not context.served_early, context.served_early[:5]


def create_table(owners: list[str]) -> list[Row]:
    """Create rows of equal width whose owners come in this order."""
    count = len(owners)
    return [
        create_row(
            index * KEY_COUNT // count, (index + 1) * KEY_COUNT // count - 1, name
        )
        for index, name in enumerate(owners)
    ]


@given("{members:d} members that own {count:d} idle rows each")
def give_idle(context, members: int, count: int) -> None:
    """Create a table whose rows are taken in turn."""
    context.members = create_members(members)
    context.rows = create_table(list(context.members) * count)


@when("one of them is lost")
def lose_one(context) -> None:
    """Let nobody hold the rows of one member, and plan until it has none."""
    context.members[LOST] = context.members[LOST]._replace(state="absent")
    for _ in range(3):
        unheld = [row for row in context.rows if row.node_id == LOST]
        snapshot = create_snapshot(context.members, unheld=unheld)
        context.rows = plan(context.rows, snapshot)
    check_partition(context.rows)


@then("no member owns more than {most:d} rows")
def check_owned(context, most: int) -> None:
    """Count the rows of each member."""
    counts = Counter(row.node_id for row in context.rows)
    assert LOST not in counts, counts
    assert max(counts.values()) <= most, counts


@given("4 members, one of them idle with 160 rows and one of them full")
def give_crowded(context) -> None:
    """Create members of which one looks best by its load alone."""
    names = ["n0", "n1", "n2", "n3"]
    context.members = {name: create_member(name) for name in names}
    context.rows = create_table([CROWDED, FULL, CROWDED, "n2", CROWDED, "n3"] * 54)
    loads = {
        name: [create_load(row, load) for row in list_owned(context.rows, name)[:10]]
        for name, load in ((FULL, 3.0), ("n2", 0.5), ("n3", 0.5))
    }
    context.snapshot = create_snapshot(context.members, loads=loads)


def list_owned(rows: list[Row], name: str) -> list[Row]:
    """List the rows of a member."""
    return [row for row in rows if row.node_id == name]


@when("the coordinator moves keys by {way}")
def move(context, way: str) -> None:
    """Let the coordinator decide once."""
    if way == "levelling":
        context.moved = rebalance(context.rows, context.snapshot, ())
    else:
        context.moved = relieve_overloaded(context.rows, context.snapshot)


@then("keys move, and none to the one with too many rows")
def check_receivers(context) -> None:
    """Check who receives keys."""
    receivers = Counter(row.next_node for row in context.moved if row.next_node)
    assert receivers, "nothing moves"
    assert CROWDED not in receivers, receivers
