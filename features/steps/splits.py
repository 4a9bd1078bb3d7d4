"""Steps about ranges that are split around hot keys and merged again."""

from behave import given, then, when
from hypothesis import strategies as st

from features.support.examples import feed_examples
from features.support.offices import FakeClock
from knapweedrock.clock import NS_PER_S
from knapweedrock.nodes.assignment import (
    RANGES_PER_TABLE,
    Move,
    apply_moves,
    create_table,
    plan_balance,
    plan_load,
    plan_orphans,
)
from knapweedrock.nodes.roster import Entry
from knapweedrock.nodes.splits import HotKeys, plan_reunions, split_hot_key
from knapweedrock.nodes.view import HASH_SPACE, Table

NAMES = ("a", "b", "c")
OWNERS = {name: {"slots": 20, "cold": False} for name in NAMES}
INCARNATIONS = dict.fromkeys(NAMES, "i")
KEY_HASH = HASH_SPACE // 3
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("split", "move", "cool")),
        st.integers(0, HASH_SPACE - 1).map(lambda n: n >> 56 << 56 | n % 5),
        st.sampled_from(NAMES),
    ),
    max_size=30,
)


def create_owned_table() -> Table:
    """Create a table whose ranges are shared out."""
    table = create_table("orders", "cell-1", 1)
    starts = {entry["start"] for entry in table["ranges"]}
    return apply_moves(table, plan_orphans(table, starts, OWNERS), INCARNATIONS, 1)


def create_entries(loads: tuple[int, ...], hot: list) -> list[Entry]:
    """Create what the roster knows of each owner; the first has the hot keys."""
    entries = [Entry(OWNERS[name], 0) for name in NAMES]
    for entry, load in zip(entries, loads, strict=True):
        entry.load = load
    entries[0].hot = hot
    return entries


def find_entry(table: Table, key_hash: int) -> dict:
    """Find the range of a hash."""
    return [entry for entry in table["ranges"] if entry["start"] <= key_hash][-1]


@given("a table of 3 owners")
def share_out(context):
    """Share the ranges out."""
    context.owned = create_owned_table()
    context.loads = (0, 0, 0)
    context.clock = FakeClock()
    context.hot_keys = HotKeys(context.clock, "orders")


@when("a key is half the load of an owner with {a:d}, {b:d} and {c:d} requests/s")
def report_hot(context, a, b, c):
    """Report a hot key."""
    context.loads = (a, b, c)
    entries = create_entries(context.loads, [("orders", KEY_HASH, 0.5)])
    context.owned = context.hot_keys.update(context.owned, entries)


@when("the key has not been hot for {seconds:d} s")
def cool(context, seconds):
    """Report no hot key any more."""
    context.clock.ns += seconds * NS_PER_S
    entries = create_entries(context.loads, [])
    context.owned = context.hot_keys.update(context.owned, entries)


@when("ranges leave an owner with {a:d}, {b:d} and {c:d} requests/s")
def move_for_load(context, a, b, c):
    """Move ranges for load, as far as one plan goes."""
    loads = dict(zip(NAMES, (a, b, c), strict=True))
    moves = plan_load(context.owned, OWNERS, loads, 16)
    assert moves
    context.owned = apply_moves(context.owned, moves, INCARNATIONS, 2)
    context.loads = (a * 3 // 4, b + a // 4, c)


@then("the table has {count:d} ranges")
def check_count(context, count):
    """Check how many ranges there are."""
    assert len(context.owned["ranges"]) == count, len(context.owned["ranges"])


@then("no range is moved for balance")
def check_balanced(context):
    """Check the plan for balance."""
    loads = dict(zip(NAMES, context.loads, strict=True))
    assert not plan_balance(context.owned, OWNERS, loads, 16)


def take_step(table: Table, step: tuple, hot_keys: HotKeys) -> Table:
    """Split, move or merge; a move alone changes an owner, with a higher token."""
    kind, key_hash, receiver = step
    if kind == "split":
        table = {**table, "ranges": list(table["ranges"])}
        split_hot_key(table, key_hash)
        return table
    if kind == "cool":
        hot_keys.clock.ns += 31 * NS_PER_S
        return hot_keys.update(table, [])
    entry = find_entry(table, key_hash)
    move = Move(entry["start"], entry["owner"], receiver)
    return apply_moves(table, [move], INCARNATIONS, table["next_token"])


def merge_all(table: Table, hot_keys: HotKeys) -> Table:
    """Let all keys cool, and bring their pieces home until nothing changes."""
    for _ in range(100):
        table = take_step(table, ("cool", 0, ""), hot_keys)
        moves = plan_reunions(table, OWNERS, 16)
        table = apply_moves(table, moves, INCARNATIONS, 1)
    return table


@then("any sequence of them keeps owners, tokens and the floors of order ids")
def check_sequences(context):
    """Compare the range of each hash before and after each step."""

    def run(steps):
        table = create_owned_table()
        hot_keys = HotKeys(FakeClock(), "orders")
        for step in steps:
            after = take_step(table, step, hot_keys)
            starts = [entry["start"] for entry in after["ranges"]]
            assert starts == sorted(set(starts)) and starts[0] == 0
            for _, key_hash, _ in steps:
                old, new = find_entry(table, key_hash), find_entry(after, key_hash)
                assert old["token"] <= new["token"], (old, new)
                assert old["since_ms"] <= new["since_ms"], (old, new)
                if old["token"] == new["token"]:
                    assert old["owner"] == new["owner"], (old, new)
            table = after
        context.merged = merge_all(table, hot_keys)
        assert len(context.merged["ranges"]) == RANGES_PER_TABLE

    feed_examples(run, STEPS, count=60)


@then("ends with as many ranges as before once all keys are cool")
def check_merged(context):
    """Check the last sequence again; each one was checked at its end."""
    assert len(context.merged["ranges"]) == RANGES_PER_TABLE
