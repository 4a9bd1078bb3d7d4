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
from features.support.tables import check_partition, plan_ownership
from knapweedrock.mesh.definitions import Heartbeat, HeldRange
from knapweedrock.mesh.holds import Holds
from knapweedrock.mesh.messages import Row
from knapweedrock.mesh.moves import rebalance, relieve_overloaded
from knapweedrock.mesh.ownership import split_released
from knapweedrock.mesh.snapshots import KEY_COUNT
from knapweedrock.platform.heartbeats import count_fitting, encode_reply

MAX_BYTES = 4096
HEARTBEAT_INTERVAL_MS = 870
LEASE_MS = 8000
LOST_NODE = "n3"
AT_LIMIT, BUSY = "n0", "n1"


@given("a target that owns {count:d} rows, each with a handover")
def create_owned_rows(context, count: int) -> None:
    """Create rows that a target owns but does not hold yet."""
    context.clock = FakeClock()
    context.holds = Holds("n0", LEASE_MS, count_fitting)
    step = KEY_COUNT // count
    context.rows = [
        create_row(
            index * step,
            index * step + step - 1,
            "n0",
            token=index % 90 + 10,
            handover=f"{index:016x}",
        )
        for index in range(count)
    ]


@given("a target that holds {held:d} rows and owns {more:d} more without handovers")
def create_held_rows(context, held: int, more: int) -> None:
    """Create rows of a target that holds all but the first ones."""
    create_owned_rows(context, held + more)
    context.rows = [row._replace(handover="") for row in context.rows]
    context.kept = tuple(
        HeldRange(row.start, row.end, row.token) for row in context.rows[more:]
    )


@then("it still holds the {count:d} rows")
def check_still_held(context, count: int) -> None:
    """Check that no held row has been released."""
    assert len(context.kept) == count
    assert set(context.kept) <= set(context.held)


@when(
    "it sends {count:d} heartbeats and accepts responses of up to {max_bytes:d} bytes"
)
def send_heartbeats(context, count: int, max_bytes: int) -> None:
    """Send heartbeats of a target that ignores responses above a size."""
    context.sizes: list[int] = []
    context.served_early: list[int] = []
    held: tuple[HeldRange, ...] = getattr(context, "kept", ())
    for sequence in range(1, count + 1):
        context.clock.advance_ms(HEARTBEAT_INTERVAL_MS)
        context.holds.extend_lease(context.clock.ns, LEASE_MS)
        held = send_heartbeat(context, sequence, held, max_bytes)
        record_early_keys(context, held)
    context.held = held


def send_heartbeat(
    context, sequence: int, held: tuple[HeldRange, ...], max_bytes: int
) -> tuple[HeldRange, ...]:
    """Send one heartbeat and return the spans that the target holds after it."""
    heartbeat: Heartbeat = create_heartbeat("n0", sequence=sequence, held=held)
    reply = context.holds.reply(heartbeat, context.rows, context.clock.ns)
    size = len(encode_reply(reply))
    context.sizes.append(size)
    if size > max_bytes:
        return held
    return tuple(
        HeldRange(grant.start, grant.end, grant.token) for grant in reply.grants
    )


def record_early_keys(context, held: tuple[HeldRange, ...]) -> None:
    """Record keys that the node would serve although its target does not hold them."""
    starts = {span.start for span in held}
    target = context.rows[0].target
    context.served_early += [
        row.start
        for row in context.rows
        if row.start not in starts
        and context.holds.may_serve(row.start, target, context.rows, context.clock.ns)
    ]


@then("every response had at most {max_bytes:d} bytes")
def check_sizes(context, max_bytes: int) -> None:
    """Check the size of each response."""
    assert max(context.sizes) <= max_bytes, context.sizes


@then("it holds all {count:d} rows")
def check_all_held(context, count: int) -> None:
    """Check the number of rows that the target holds in the end."""
    assert len(context.held) == count, len(context.held)


@then("it holds at least {count:d} rows")
def check_held_count(context, count: int) -> None:
    """Check the number of rows that the target holds in the end."""
    assert len(context.held) >= count, len(context.held)


@then("its node served no key that was not granted yet")
def check_none_served_early(context) -> None:
    """Check that the node would have served no key too early."""
    assert not context.served_early, context.served_early[:5]


def create_table(owners: list[str]) -> list[Row]:
    """Create rows of equal width with these owners in order."""
    count = len(owners)
    return [
        create_row(
            index * KEY_COUNT // count, (index + 1) * KEY_COUNT // count - 1, name
        )
        for index, name in enumerate(owners)
    ]


@given("{members:d} members that own {count:d} idle rows each")
def create_idle_rows(context, members: int, count: int) -> None:
    """Create a table in which members own rows in turn."""
    context.members = create_members(members)
    context.rows = create_table(list(context.members) * count)


@when("one of them is lost")
def lose_member(context) -> None:
    """Report that no target holds one member's rows, and plan until they have moved."""
    context.members[LOST_NODE] = context.members[LOST_NODE]._replace(state="absent")
    for _ in range(3):
        unheld = [row for row in context.rows if row.node_id == LOST_NODE]
        snapshot = create_snapshot(context.members, unheld=unheld)
        context.rows = plan_ownership(context.rows, snapshot)
    check_partition(context.rows)


@then("no member owns more than {max_count:d} rows")
def check_owned_rows(context, max_count: int) -> None:
    """Check the row count of each member, and that the lost one owns none."""
    counts = Counter(row.node_id for row in context.rows)
    assert LOST_NODE not in counts, counts
    assert max(counts.values()) <= max_count, counts


@given("4 members, one of them idle with 160 rows and one of them overloaded")
def create_member_at_row_limit(context) -> None:
    """Create members of which the least loaded one is at the row limit."""
    names = ["n0", "n1", "n2", "n3"]
    context.members = {name: create_member(name) for name in names}
    context.rows = create_table([AT_LIMIT, BUSY, AT_LIMIT, "n2", AT_LIMIT, "n3"] * 54)
    loads = {
        name: [create_load(row, load) for row in list_owned(context.rows, name)[:10]]
        for name, load in ((BUSY, 3.0), ("n2", 0.5), ("n3", 0.5))
    }
    context.snapshot = create_snapshot(context.members, loads=loads)


def list_owned(rows: list[Row], name: str) -> list[Row]:
    """List the rows that a member owns."""
    return [row for row in rows if row.node_id == name]


@when("the coordinator moves keys by {way}")
def move_keys(context, way: str) -> None:
    """Run one round of rebalancing or relief."""
    if way == "rebalancing":
        context.moved = rebalance(context.rows, context.snapshot, ())
    else:
        context.moved = relieve_overloaded(context.rows, context.snapshot)


@then("keys move, and none of them to the member with too many rows")
def check_destinations(context) -> None:
    """Check that keys move, and none to the member at the row limit."""
    destinations = Counter(row.next_node for row in context.moved if row.next_node)
    assert destinations, "nothing moves"
    assert AT_LIMIT not in destinations, destinations


@given("a row of the keys {start:d} to {end:d}")
def create_split_row(context, start: int, end: int) -> None:
    """Create a row that a target owns."""
    context.row = create_row(start, end, "n0")


@when("it is split at releases of the keys {releases}")
def split_row(context, releases: str) -> None:
    """Split the row at key ranges that targets have released."""
    released = tuple((*span, "mark") for span in parse_spans(releases))
    snapshot = create_snapshot({}, released=released)
    context.parts = split_released(context.row, snapshot)


@then("its parts are {parts}")
def check_split_parts(context, parts: str) -> None:
    """Check the keys of the parts."""
    found = [(part.start, part.end) for part in context.parts]
    assert found == parse_spans(parts), found


def parse_spans(text: str) -> list[tuple[int, int]]:
    """Parse key ranges such as `0-9, 10-19`."""
    return [tuple(map(int, span.split("-"))) for span in text.split(", ")]
