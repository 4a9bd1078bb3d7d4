"""Steps about rebalancing load between targets."""

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
from knapweedrock.mesh.moves import compute_unheld_ms, rebalance
from knapweedrock.mesh.ownership import merge_rows
from knapweedrock.mesh.row_loads import (
    compute_row_loads,
    measure_member_loads,
    measure_row_load,
)
from knapweedrock.mesh.snapshots import KEY_COUNT

FIRST_HOT_KEY = 30_000
ROUNDS = 40


@given("{count:d} adjacent keys of one target get {load:d} concurrent requests")
def add_hot_keys(context, count: int, load: int) -> None:
    """Add load to adjacent keys of one target."""
    for key in range(FIRST_HOT_KEY, FIRST_HOT_KEY + count):
        context.key_ms[key] = context.key_ms.get(key, 0) + load * 1000 / count


@when("the coordinator rebalances until no more keys move")
def balance_until_stable(context) -> None:
    """Rebalance, completing all moves after each round."""
    for _ in range(ROUNDS):
        snapshot = context.snapshot._replace(
            loads=measure_loads(context.key_ms, context.rows)
        )
        marked = rebalance(context.rows, snapshot, ())
        context.rows = complete_moves(marked, snapshot)
        check_partition(context.rows)


@then("no target has more than {load:d} concurrent requests")
def check_max_load(context, load: int) -> None:
    """Check the highest load of a target."""
    snapshot = context.snapshot._replace(
        loads=measure_loads(context.key_ms, context.rows)
    )
    totals = measure_member_loads(context.rows, snapshot)
    assert max(totals.values()) <= load, totals


@then("fewer than {percent:d} percent of the keys have moved")
def check_moved_share(context, percent: int) -> None:
    """Check the share of keys whose owner has changed."""
    moved_keys = sum(row.end - row.start + 1 for row in context.rows if row.token > 1)
    assert 0 < moved_keys < KEY_COUNT * percent / 100, moved_keys


@given("the heartbeats of the targets are {ms:d} ms apart")
def spread_heartbeats(context, ms: int) -> None:
    """Spread the heartbeats of all members evenly over their interval."""
    names = sorted(context.snapshot.members)
    heartbeat_at_ms = {name: ms * index for index, name in enumerate(names)}
    context.snapshot = context.snapshot._replace(
        heartbeat_at_ms=heartbeat_at_ms, heartbeat_interval_ms=ms * len(names)
    )


@when("the coordinator rebalances once")
def balance_once(context) -> None:
    """Run one rebalancing round without completing its moves."""
    snapshot = context.snapshot._replace(
        loads=measure_loads(context.key_ms, context.rows)
    )
    context.rows = rebalance(context.rows, snapshot, ())


@then("the moving keys have no holder for less than {ms:d} ms")
def check_gap(context, ms: int) -> None:
    """Check the time without a holder for each moving row."""
    moving_rows = [row for row in context.rows if row.next_node]
    assert moving_rows
    for row in moving_rows:
        unheld_ms = compute_unheld_ms(row.node_id, row.next_node, context.snapshot)
        assert unheld_ms < ms, unheld_ms


@when("{count:d} members drain one after the other and half as many join")
def drain_one_by_one(context, count: int) -> None:
    """Replace members one after the other, rebalancing in between."""
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


@then("no planning round took longer than {ms:d} ms")
def check_decisions(context, ms: int) -> None:
    """Check the time of the slowest planning round."""
    assert context.slowest_decision_ms < ms, context.slowest_decision_ms


@given(
    "{busy:d} targets get {load:d} concurrent requests on {count:d} adjacent keys each"
)
def add_hot_keys_at_targets(context, busy: int, load: int, count: int) -> None:
    """Add load to adjacent keys of the first rows, each of another target."""
    for row in context.rows[:busy]:
        for key in range(row.start, row.start + count):
            context.key_ms[key] = context.key_ms.get(key, 0) + load * 1000 / count


@when("the coordinator rebalances for {seconds:d} s and each move takes 1 s")
def balance_for_seconds(context, seconds: int) -> None:
    """Rebalance every 0.5 s; moves and cooldowns end at every second round."""
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
    "a row of keys {start:d} to {end:d} whose key {key:d} gets {load:d} of {total:d} "
    "concurrent requests"
)
def create_row_with_hot_key(context, start, end, key, load, total) -> None:
    """Create a row with one hot key whose other keys share the remaining load."""
    context.row, context.key = create_row(start, end, "n0"), key
    key_ms = dict.fromkeys(range(start, end + 1), (total - load) * 1000 / (end - start))
    key_ms[key] = load * 1000
    row_loads = compute_row_loads([context.row], key_ms, LOAD_PARTS_PER_ROW)
    context.snapshot = create_snapshot(create_members(1), loads={"n0": row_loads})


@then("the measured load of the key is at least {min_load:d} and at most {max_load:d}")
def check_key_load(context, min_load: int, max_load: int) -> None:
    """Check the measured load of the hot key."""
    row = context.row._replace(start=context.key, end=context.key)
    assert min_load <= measure_row_load(row, context.snapshot) <= max_load


@then("the measured loads below and above the key are at most {max_load:d} each")
def check_neighbour_loads(context, max_load: int) -> None:
    """Check the measured loads on both sides of the hot key."""
    row, key = context.row, context.key
    sides = [row._replace(end=key - 1), row._replace(start=key + 1)]
    loads = [measure_row_load(side, context.snapshot) for side in sides]
    assert max(loads) <= max_load, loads
