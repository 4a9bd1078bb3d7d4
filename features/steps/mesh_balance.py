"""Steps about the balance of load between targets."""

import time

from behave import given, then, when

from features.support.mesh_builders import (
    create_member,
    create_members,
    create_row,
    create_snapshot,
)
from features.support.tables import (
    check_partition,
    complete_moves,
    measure_loads,
    plan_ownership,
)
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

FIRST_HOT_KEY = 30_000
ROUNDS = 40


@given("{count:d} neighbouring keys of one target get {load:d} requests at once")
def add_hot_keys(context, count: int, load: int) -> None:
    """Add load to neighbouring keys of one row."""
    for key in range(FIRST_HOT_KEY, FIRST_HOT_KEY + count):
        context.key_ms[key] = context.key_ms.get(key, 0) + load * 1000 / count


@when("the coordinator balances until it rests")
def balance_until_stable(context) -> None:
    """Balance, and let each move come to its end."""
    for _ in range(ROUNDS):
        snapshot = context.snapshot._replace(
            loads=measure_loads(context.key_ms, context.rows)
        )
        marked = rebalance(context.rows, snapshot, ())
        context.rows = complete_moves(marked, snapshot)
        check_partition(context.rows)


@then("no target bears more than {load:d} requests at once")
def check_max_load(context, load: int) -> None:
    """Check the load of each target."""
    snapshot = context.snapshot._replace(
        loads=measure_loads(context.key_ms, context.rows)
    )
    totals = measure_member_loads(context.rows, snapshot)
    assert max(totals.values()) <= load, totals


@then("fewer than {percent:d} percent of the keys have moved")
def check_moved_share(context, percent: int) -> None:
    """Check how many keys have another owner than at first."""
    moved_keys = sum(row.end - row.start + 1 for row in context.rows if row.token > 1)
    assert 0 < moved_keys < KEY_COUNT * percent / 100, moved_keys


@given("the heartbeats of the targets come {ms:d} ms after one another")
def spread_heartbeats(context, ms: int) -> None:
    """Let the heartbeats of the members be spread over their interval."""
    names = sorted(context.snapshot.members)
    heartbeat_at_ms = {name: ms * index for index, name in enumerate(names)}
    context.snapshot = context.snapshot._replace(
        heartbeat_at_ms=heartbeat_at_ms, heartbeat_interval_ms=ms * len(names)
    )


@when("the coordinator balances once")
def balance_once(context) -> None:
    """Begin one move."""
    snapshot = context.snapshot._replace(
        loads=measure_loads(context.key_ms, context.rows)
    )
    context.rows = rebalance(context.rows, snapshot, ())


@then("the keys that move are without a holder for less than {ms:d} ms")
def check_gap(context, ms: int) -> None:
    """Check the gap between the two targets."""
    moving_rows = [row for row in context.rows if row.next_node]
    assert moving_rows
    for row in moving_rows:
        gap_ms = compute_gap_ms(row.node_id, row.next_node, context.snapshot)
        assert gap_ms < ms, gap_ms


@when("{count:d} members drain in turn and half as many join")
def drain_one_by_one(context, count: int) -> None:
    """Replace members one after the other, balancing in between."""
    members = dict(context.snapshot.members)
    context.slowest_decision_ms = 0.0
    for number in range(count):
        name = sorted(members, key=lambda n: members[n].state != "ready")[0]
        members[name] = members[name]._replace(state="draining")
        if number % 2:
            members[f"new{number}"] = create_member(f"new{number}")
        context.snapshot = create_snapshot(members)
        for _ in range(6):
            loads = measure_loads(context.key_ms, context.rows)
            snapshot = context.snapshot._replace(loads=loads)
            started_s = time.process_time()
            rows = rebalance(plan_ownership(context.rows, snapshot), snapshot, ())
            elapsed_ms = (time.process_time() - started_s) * 1000
            context.slowest_decision_ms = max(context.slowest_decision_ms, elapsed_ms)
            context.rows = merge_rows(complete_moves(rows, snapshot))
            check_partition(context.rows)


@then("no decision took longer than {ms:d} ms")
def check_decisions(context, ms: int) -> None:
    """Check the processor time of the slowest decision."""
    assert context.slowest_decision_ms < ms, context.slowest_decision_ms


@given(
    "{busy:d} targets get {load:d} requests at once on {count:d} neighbouring keys each"
)
def add_hot_keys_at_targets(context, busy: int, load: int, count: int) -> None:
    """Add load to neighbouring keys of the first targets."""
    for row in context.rows[:busy]:
        for key in range(row.start, row.start + count):
            context.key_ms[key] = context.key_ms.get(key, 0) + load * 1000 / count


@when("the coordinator balances for {seconds:d} s, each move taking 1 s")
def balance_for_seconds(context, seconds: int) -> None:
    """Balance every half second; moves end, and both sides rest, a second later."""
    context.slowest_decision_ms = 0.0
    cooling_down: set[str] = set()
    for step in range(seconds * 2):
        snapshot = context.snapshot._replace(
            loads=measure_loads(context.key_ms, context.rows)
        )
        started_ns = time.perf_counter_ns()
        marked = rebalance(context.rows, snapshot, cooling_down)
        elapsed_ms = (time.perf_counter_ns() - started_ns) / NS_PER_MS
        context.slowest_decision_ms = max(context.slowest_decision_ms, elapsed_ms)
        cooling_down |= {row.node_id for row in marked if row.next_node}
        cooling_down |= {row.next_node for row in marked if row.next_node}
        context.rows = marked
        if step % 2:
            context.rows = complete_moves(marked, snapshot)
            cooling_down = set()
        check_partition(context.rows)


@given(
    "a row of keys {start:d} to {end:d} whose key {key:d} bears {load:d} of {total:d} "
    "requests at once"
)
def create_row_with_hot_key(context, start, end, key, load, total) -> None:
    """Measure a row whose other keys share the rest of its load."""
    context.row, context.key = create_row(start, end, "n0"), key
    key_ms = dict.fromkeys(range(start, end + 1), (total - load) * 1000 / (end - start))
    key_ms[key] = load * 1000
    row_loads = compute_row_loads([context.row], key_ms, LOAD_PARTS_PER_ROW)
    context.snapshot = create_snapshot(create_members(1), loads={"n0": row_loads})


@then("the load found at the key is at least {min_load:d} and at most {max_load:d}")
def check_key_load(context, min_load: int, max_load: int) -> None:
    """Measure the key alone."""
    row = context.row._replace(start=context.key, end=context.key)
    assert min_load <= measure_row_load(row, context.snapshot) <= max_load


@then("the load found below it and above it is at most {max_load:d} each")
def check_neighbour_loads(context, max_load: int) -> None:
    """Measure what lies on either side of the key."""
    row, key = context.row, context.key
    sides = [row._replace(end=key - 1), row._replace(start=key + 1)]
    loads = [measure_row_load(side, context.snapshot) for side in sides]
    assert max(loads) <= max_load, loads
