"""Steps about the balance of load between targets."""

import time

from behave import given, then, when

from features.support.mesh_builders import (
    create_member,
    create_members,
    create_row,
    create_snapshot,
)
from features.support.tables import check_partition, complete_moves, measure, plan
from knapweedrock.clock import NS_PER_MS
from knapweedrock.mesh.membership import LOAD_PARTS_PER_ROW
from knapweedrock.mesh.moves import compute_gap_ms, rebalance
from knapweedrock.mesh.ownership import merge_rows
from knapweedrock.mesh.row_loads import (
    compute_row_loads,
    measure_member_loads,
    measure_row_load,
)
from knapweedrock.mesh.snapshots import KEY_COUNT

HOT_START = 30_000
ROUNDS = 40


@given("{count:d} neighbouring keys of one target get {load:d} requests at once")
def give_hot_keys(context, count: int, load: int) -> None:
    """Add load to neighbouring keys of one row."""
    for key in range(HOT_START, HOT_START + count):
        context.key_ms[key] = context.key_ms.get(key, 0) + load * 1000 / count


@when("the coordinator balances until it rests")
def balance(context) -> None:
    """Balance, and let each move come to its end."""
    for _ in range(ROUNDS):
        snapshot = context.snapshot._replace(
            loads=measure(context.key_ms, context.rows)
        )
        moved = rebalance(context.rows, snapshot, ())
        context.rows = complete_moves(moved, snapshot)
        check_partition(context.rows)


@then("no target bears more than {load:d} requests at once")
def check_borne(context, load: int) -> None:
    """Check the load of each target."""
    snapshot = context.snapshot._replace(loads=measure(context.key_ms, context.rows))
    totals = measure_member_loads(context.rows, snapshot)
    assert max(totals.values()) <= load, totals


@then("fewer than {percent:d} percent of the keys have moved")
def check_moved_share(context, percent: int) -> None:
    """Check how many keys have another owner than at first."""
    moved = sum(row.end - row.start + 1 for row in context.rows if row.token > 1)
    assert 0 < moved < KEY_COUNT * percent / 100, moved


@given("the heartbeats of the targets come {ms:d} ms after one another")
def give_beats(context, ms: int) -> None:
    """Let the heartbeats of the members be spread over their interval."""
    names = sorted(context.snapshot.members)
    heartbeat_at_ms = {name: ms * index for index, name in enumerate(names)}
    context.snapshot = context.snapshot._replace(
        heartbeat_at_ms=heartbeat_at_ms, heartbeat_interval_ms=ms * len(names)
    )


@when("the coordinator balances once")
def balance_once(context) -> None:
    """Begin one move."""
    snapshot = context.snapshot._replace(loads=measure(context.key_ms, context.rows))
    context.rows = rebalance(context.rows, snapshot, ())


@then("the keys that move are without a holder for less than {ms:d} ms")
def check_gap(context, ms: int) -> None:
    """Check the gap between the two targets."""
    moving = [row for row in context.rows if row.next_node]
    assert moving
    for row in moving:
        gap_ms = compute_gap_ms(row.node_id, row.next_node, context.snapshot)
        assert gap_ms < ms, gap_ms


@when("{count:d} members drain in turn and half as many join")
def drain_in_turn(context, count: int) -> None:
    """Replace members one after the other, balancing in between."""
    members = dict(context.snapshot.members)
    context.slowest_ms = 0.0
    for number in range(count):
        name = sorted(members, key=lambda n: members[n].state != "ready")[0]
        members[name] = members[name]._replace(state="draining")
        if number % 2:
            members[f"new{number}"] = create_member(f"new{number}")
        context.snapshot = create_snapshot(members)
        for _ in range(6):
            loads = measure(context.key_ms, context.rows)
            snapshot = context.snapshot._replace(loads=loads)
            began_s = time.process_time()
            rows = rebalance(plan(context.rows, snapshot), snapshot, ())
            elapsed_ms = (time.process_time() - began_s) * 1000
            context.slowest_ms = max(context.slowest_ms, elapsed_ms)
            context.rows = merge_rows(complete_moves(rows, snapshot))
            check_partition(context.rows)


@then("no decision took longer than {ms:d} ms")
def check_decisions(context, ms: int) -> None:
    """Check the processor time of the slowest decision."""
    assert context.slowest_ms < ms, context.slowest_ms


@given(
    "{busy:d} targets get {load:d} requests at once on {count:d} neighbouring keys each"
)
def give_many_hot_keys(context, busy: int, load: int, count: int) -> None:
    """Add load to neighbouring keys of the first targets."""
    for row in context.rows[:busy]:
        for key in range(row.start, row.start + count):
            context.key_ms[key] = context.key_ms.get(key, 0) + load * 1000 / count


@when("the coordinator balances for {seconds:d} s, each move taking 1 s")
def balance_in_time(context, seconds: int) -> None:
    """Balance every half second; moves end, and both sides rest, a second later."""
    context.slowest_ms = 0.0
    resting: set[str] = set()
    for step in range(seconds * 2):
        snapshot = context.snapshot._replace(
            loads=measure(context.key_ms, context.rows)
        )
        began_ns = time.perf_counter_ns()
        marked = rebalance(context.rows, snapshot, resting)
        took_ms = (time.perf_counter_ns() - began_ns) / NS_PER_MS
        context.slowest_ms = max(context.slowest_ms, took_ms)
        resting |= {row.node_id for row in marked if row.next_node}
        resting |= {row.next_node for row in marked if row.next_node}
        context.rows = marked
        if step % 2:
            context.rows = complete_moves(marked, snapshot)
            resting = set()
        check_partition(context.rows)


@given(
    "a row of keys {start:d} to {end:d} whose key {key:d} bears {load:d} of {total:d} "
    "requests at once"
)
def give_busy_key(context, start, end, key, load, total) -> None:
    """Measure a row whose other keys share the rest of its load."""
    context.row, context.key = create_row(start, end, "n0"), key
    key_ms = dict.fromkeys(range(start, end + 1), (total - load) * 1000 / (end - start))
    key_ms[key] = load * 1000
    found = compute_row_loads([context.row], key_ms, LOAD_PARTS_PER_ROW)
    context.snapshot = create_snapshot(create_members(1), loads={"n0": found})


@then("the load found at the key is at least {least:d} and at most {most:d}")
def check_key_load(context, least: int, most: int) -> None:
    """Measure the key alone."""
    row = context.row._replace(start=context.key, end=context.key)
    assert least <= measure_row_load(row, context.snapshot) <= most


@then("the load found below it and above it is at most {most:d} each")
def check_side_loads(context, most: int) -> None:
    """Measure what lies on either side of the key."""
    row, key = context.row, context.key
    sides = [row._replace(end=key - 1), row._replace(start=key + 1)]
    loads = [measure_row_load(side, context.snapshot) for side in sides]
    assert max(loads) <= most, loads
