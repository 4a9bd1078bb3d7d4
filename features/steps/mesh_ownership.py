"""Steps about the coordinator's decisions."""

import time

from behave import given, then, when
from hypothesis import strategies as st

from features.support.examples import feed_examples
from features.support.mesh_builders import (
    create_facts,
    create_load,
    create_member,
    create_members,
)
from knapweedrock.clock import NS_PER_MS
from knapweedrock.mesh.boards import BoardHistory, apply_change, diff_boards
from knapweedrock.mesh.frames import Frame, decode_frame, encode_frame
from knapweedrock.mesh.messages import Board, Publish, Row
from knapweedrock.mesh.ownership import (
    KEYS,
    balance_rows,
    begin_moves,
    create_table,
    empty_unfit,
    find_cuts,
    find_gap_ms,
    find_row,
    list_fit,
    mark_free,
    measure_loads,
    merge_rows,
    settle_rows,
)

EVEN_MS = 6000.0
HOT_START = 30_000
HOT_KEYS = 200
ROUNDS = 40
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("drain", "die", "join", "hot", "release", "return")),
        st.integers(0, 5),
        st.integers(0, KEYS - 1),
    ),
    max_size=25,
)


def plan(rows: list[Row], facts) -> list[Row]:
    """Plan as the coordinator does between two balances."""
    settled = settle_rows(rows, facts)
    if settled != rows:
        return merge_rows(settled)
    return merge_rows(mark_free(empty_unfit(rows, facts), facts))


def check_partition(rows: list[Row]) -> None:
    """Check that rows cover every key once."""
    assert rows[0].start == 0
    assert rows[-1].end == KEYS - 1
    for row, after in zip(rows, rows[1:], strict=False):
        assert row.start <= row.end
        assert after.start == row.end + 1, (row, after)


def complete_moves(rows: list[Row], facts) -> list[Row]:
    """Let all marked rows be released and given to their next owners."""
    marked = [row for row in rows if row.next_node]
    released = [(row.start, row.end, f"from-{row.start}") for row in marked]
    return settle_rows(rows, facts._replace(unheld=marked, released=released))


def measure(key_ms: dict[int, float], rows: list[Row]) -> dict:
    """Measure rows as their nodes do."""
    loads: dict = {}
    for row in rows:
        found = find_cuts(key_ms, row.start, row.end, 8)
        loads.setdefault(row.node_id, []).append(found)
    return loads


@given("{count:d} members without keys")
def give_members(context, count: int) -> None:
    """Create members."""
    context.facts = create_facts(create_members(count))


@given("a table of {count:d} members")
def give_table(context, count: int) -> None:
    """Create members and their first table."""
    give_members(context, count)
    context.rows = create_table(list_fit(context.facts))
    context.first = list(context.rows)
    context.key_ms = {}


@given("a table of {count:d} members under even load")
def give_even_load(context, count: int) -> None:
    """Create a table whose targets are each busy by a third."""
    give_table(context, count)
    context.key_ms = dict.fromkeys(range(0, KEYS, 64), EVEN_MS * count / 1024)


@given("the target of the first member has ended")
def end_first(context) -> None:
    """Let the first member's rows be unheld."""
    members = dict(context.facts.members)
    members["n0"] = members["n0"]._replace(state="absent")
    unheld = tuple(row for row in context.rows if row.node_id == "n0")
    context.facts = create_facts(members, unheld=unheld)


@given("the first member is silent but its lease runs")
def silence_first(context) -> None:
    """Let the first member be absent, without evidence on its row."""
    members = dict(context.facts.members)
    members["n0"] = members["n0"]._replace(state="absent")
    context.facts = create_facts(members)


@given("the first member drains with its load spread over {count:d} parts")
def drain_first(context, count: int) -> None:
    """Let the first member drain."""
    members = dict(context.facts.members)
    members["n0"] = members["n0"]._replace(state="draining")
    row = context.rows[0]
    step = (row.end + 1) // count
    load = create_load(row, 8.0, tuple(range(step, row.end, step)))
    context.facts = create_facts(members, loads={"n0": [load]})


@given("{count:d} neighbouring keys of one target get {load:d} requests at once")
def give_hot_keys(context, count: int, load: int) -> None:
    """Add load to neighbouring keys of one row."""
    for key in range(HOT_START, HOT_START + count):
        context.key_ms[key] = context.key_ms.get(key, 0) + load * 1000 / count


@given("a fourth member whose target is ready")
def add_member(context) -> None:
    """Add a member without keys."""
    members = {**context.facts.members, "n3": create_member("n3")}
    context.facts = create_facts(members)


@when("the first table is made")
def make_table(context) -> None:
    """Make the first table."""
    context.rows = create_table(list_fit(context.facts))


@then("any {count:d} neighbouring keys have at least {owners:d} owners")
def check_neighbours(context, count: int, owners: int) -> None:
    """Look at the neighbours that begin where a row does, or end where one does."""
    for row in context.rows:
        for start in (row.start, row.end - count + 1):
            if start < 0 or start + count > KEYS:
                continue
            found = {
                other.node_id
                for other in context.rows
                if other.start < start + count and start <= other.end
            }
            assert len(found) >= owners, (start, found)


@when("the coordinator plans once")
@when("the coordinator plans once more")
def plan_once(context) -> None:
    """Plan one step."""
    context.rows = plan(context.rows, context.facts)


@when("the coordinator plans {count:d} times")
def plan_often(context, count: int) -> None:
    """Plan some steps."""
    for _ in range(count):
        context.rows = plan(context.rows, context.facts)


@when("the coordinator balances until it rests")
def balance(context) -> None:
    """Balance, and let each move come to its end."""
    for _ in range(ROUNDS):
        facts = context.facts._replace(loads=measure(context.key_ms, context.rows))
        moved = balance_rows(context.rows, facts, ())
        context.rows = complete_moves(moved, facts)
        check_partition(context.rows)


@when("random events happen to tables of some members")
def play_events(context) -> None:
    """Play random histories."""
    context.histories = 0

    def play(events) -> None:
        members = create_members(4)
        rows = create_table(list(members.values()))
        tokens = [row.token for row in rows]
        key_ms: dict[int, float] = {}
        for event, number, key in events:
            facts = apply_event(event, number, key, members, rows, key_ms)
            before = rows
            rows = balance_rows(plan(rows, facts), facts, ())
            check_partition(rows)
            check_tokens(before, rows)
        assert tokens
        context.histories += 1

    feed_examples(play, EVENTS)


def apply_event(event, number, key, members, rows, key_ms):
    """Apply one event and return what is known after it."""
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
    facts = create_facts(members, loads=measure(key_ms, rows))
    return facts._replace(unheld=unheld, released=released)


def check_tokens(before: list[Row], after: list[Row]) -> None:
    """Check that a changed owner has a higher token, and no token fell."""
    for row in after:
        known = find_row(before, row.start)
        assert row.token >= known.token
        if (row.node_id, row.target) != (known.node_id, known.target):
            assert row.token > known.token, (known, row)


@then("every key has one owner")
def check_whole(context) -> None:
    """Check the table."""
    check_partition(context.rows)


@then("no member owns more than {count:d} keys")
def check_even(context, count: int) -> None:
    """Check the sizes of the rows."""
    assert max(row.end - row.start + 1 for row in context.rows) <= count


@then("its row still has its old owner and a mark")
def check_marked(context) -> None:
    """Check that nothing is given away yet."""
    own = [row for row in context.rows if row.node_id == "n0"]
    assert own
    assert all(row.next_node for row in own), own
    assert {row.token for row in own} == {1}


@then("its row has another owner under a higher token")
def check_given(context) -> None:
    """Check that the row was given away."""
    assert not [row for row in context.rows if row.node_id == "n0"]
    assert {row.token for row in context.rows} == {1, 2}


@then("no row has changed its owner")
def check_unchanged(context) -> None:
    """Check that the owners are those of the beginning."""
    owners = [(r.start, r.end, r.node_id, r.token) for r in context.rows]
    assert owners == [(r.start, r.end, r.node_id, r.token) for r in context.first]


@then("its keys are marked for {count:d} members")
def check_spread(context, count: int) -> None:
    """Check who is to get the keys."""
    marks = {row.next_node for row in context.rows if row.node_id == "n0"}
    assert len(marks) == count, marks
    assert "" not in marks


@then("the released keys go to them with their handover")
def check_handovers(context) -> None:
    """Release all marked keys and look at the marks of their new owners."""
    marks = {row.start: row.next_node for row in context.rows if row.next_node}
    rows = complete_moves(context.rows, context.facts)
    check_partition(rows)
    for start, name in marks.items():
        row = find_row(rows, start)
        assert row.node_id == name
        assert row.handover, row


@then("no target bears more than {load:d} requests at once")
def check_borne(context, load: int) -> None:
    """Check the load of each target."""
    facts = context.facts._replace(loads=measure(context.key_ms, context.rows))
    totals = measure_loads(context.rows, facts)
    assert max(totals.values()) <= load, totals


@then("fewer than {percent:d} percent of the keys have moved")
def check_moved_share(context, percent: int) -> None:
    """Check how many keys have another owner than at first."""
    moved = sum(row.end - row.start + 1 for row in context.rows if row.token > 1)
    assert 0 < moved < KEYS * percent / 100, moved


@then("the fourth member owns keys")
def check_joined(context) -> None:
    """Check that the new member got something."""
    assert any(row.node_id == "n3" for row in context.rows)


@then("every key had one row after each and no token fell")
def check_histories(context) -> None:
    """Check that histories were played."""
    assert context.histories > 20


@when("random boards are published as changes, and some pushes are lost")
def publish_boards(context) -> None:
    """Publish random histories of boards to a node."""
    context.histories = 0

    def play(steps) -> None:
        board = Board(1, 1, "n0:1", create_members(2), {})
        history = BoardHistory(board)
        held = Board(0, 0, "", {}, {})
        for number, (count, is_lost) in enumerate(steps, 2):
            members = create_members(count)
            tables = {"orders": create_table(list(members.values()))}
            board = Board(1, number, "n0:1", members, tables)
            history.add(board)
            if not is_lost:
                change = history.find_change(held.epoch, held.version)
                held = apply_change(held, change)
                assert held == board
        context.histories += 1

    steps = st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=90)
    feed_examples(play, steps, count=100)


@then("each node that got the last push has the coordinator's board")
def check_boards(context) -> None:
    """Check that histories were played."""
    assert context.histories > 20


@then("a change of one row among {count:d} takes fewer than {size:d} bytes")
def check_change_size(context, count: int, size: int) -> None:
    """Measure the frame that moves one row."""
    rows = create_table(list(create_members(count).values()))
    old = Board(1, 1, "n0:1", {}, {"orders": rows})
    moved = [rows[0]._replace(next_node="n1"), *rows[1:]]
    change = diff_boards(old, old._replace(version=2, tables={"orders": moved}))
    assert change.tables == {"orders": moved[:1]}
    frame = encode_frame(Frame(1, False, Publish(change)))
    assert len(frame) < size, len(frame)
    assert decode_frame(frame).message == Publish(change)


@given("the heartbeats of the targets come {ms:d} ms after one another")
def give_beats(context, ms: int) -> None:
    """Let the heartbeats of the members be spread over their interval."""
    names = sorted(context.facts.members)
    beats_ms = {name: ms * index for index, name in enumerate(names)}
    context.facts = context.facts._replace(
        beats_ms=beats_ms, interval_ms=ms * len(names)
    )


@when("the coordinator balances once")
def balance_once(context) -> None:
    """Begin one move."""
    facts = context.facts._replace(loads=measure(context.key_ms, context.rows))
    context.rows = balance_rows(context.rows, facts, ())


@then("the keys that move are without a holder for less than {ms:d} ms")
def check_gap(context, ms: int) -> None:
    """Check the gap between the two targets."""
    moving = [row for row in context.rows if row.next_node]
    assert moving
    for row in moving:
        gap_ms = find_gap_ms(row.node_id, row.next_node, context.facts)
        assert gap_ms < ms, gap_ms


@when("{count:d} members drain in turn and half as many join")
def drain_in_turn(context, count: int) -> None:
    """Replace members one after the other, balancing in between."""
    members = dict(context.facts.members)
    context.slowest_ms = 0.0
    for number in range(count):
        name = sorted(members, key=lambda n: members[n].state != "ready")[0]
        members[name] = members[name]._replace(state="draining")
        if number % 2:
            members[f"new{number}"] = create_member(f"new{number}")
        context.facts = create_facts(members)
        for _ in range(6):
            loads = measure(context.key_ms, context.rows)
            facts = context.facts._replace(loads=loads)
            began_s = time.process_time()
            rows = balance_rows(plan(context.rows, facts), facts, ())
            elapsed_ms = (time.process_time() - began_s) * 1000
            context.slowest_ms = max(context.slowest_ms, elapsed_ms)
            context.rows = merge_rows(complete_moves(rows, facts))
            check_partition(context.rows)


@then("the table has fewer than {count:d} rows")
def check_rows(context, count: int) -> None:
    """Count the rows."""
    assert len(context.rows) < count, len(context.rows)


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
        facts = context.facts._replace(loads=measure(context.key_ms, context.rows))
        began_ns = time.perf_counter_ns()
        marked = begin_moves(context.rows, facts, resting)
        took_ms = (time.perf_counter_ns() - began_ns) / NS_PER_MS
        context.slowest_ms = max(context.slowest_ms, took_ms)
        resting |= {row.node_id for row in marked if row.next_node}
        resting |= {row.next_node for row in marked if row.next_node}
        context.rows = marked
        if step % 2:
            context.rows = complete_moves(marked, facts)
            resting = set()
        check_partition(context.rows)
