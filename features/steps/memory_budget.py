"""Steps about the budget of the memory that is held for callers."""

import random

from behave import given, then, when

from features.support.mesh_builders import FakeClock
from knapweedrock.memory.budget import (
    CONNECTION_BYTES,
    SMALL_BYTES,
    Holding,
    MemoryBudget,
    MemoryTerms,
    Stage,
)

KB = 1024


def create_budget(context, max_kb: int = 0, max_connections: int = 0) -> None:
    """Create a budget with a clock of its own."""
    context.clock = FakeClock()
    terms = MemoryTerms(max_kb * KB, max_connections)
    context.budget = MemoryBudget(context.clock, terms)
    context.closed = []


def connect(context, name: str) -> Holding | None:
    """Add a connection whose end is recorded."""
    return context.budget.open(lambda: context.closed.append(name))


@when("{count:d} seeded sequences of {events:d} events are played")
def play_sequences(context, count: int, events: int) -> None:
    """Play sequences and record the largest excess over the limit."""
    context.problems = []
    for seed in range(count):
        play_sequence(context, random.Random(seed), events)


def play_sequence(context, chance: random.Random, events: int) -> None:
    """Play one sequence of events on a new budget."""
    create_budget(context, chance.choice((200, 1000, 5000)), chance.choice((0, 8)))
    budget, open_holdings = context.budget, []
    for number in range(events):
        context.clock.advance_ms(chance.choice((0, 5, 150)))
        event = chance.randrange(4)
        if event == 0 or not open_holdings:
            holding = connect(context, str(number))
            open_holdings += [holding] if holding is not None else []
        elif event == 1:
            budget.release(open_holdings.pop(chance.randrange(len(open_holdings))))
        else:
            holding = chance.choice(open_holdings)
            budget.record_progress(holding, chance.choice(list(Stage)))
            size = chance.choice((30, 100, 400, 4000)) * KB
            budget.hold(holding, size)
        check_count(context, open_holdings)
    for holding in open_holdings:
        budget.release(holding)
    check_count(context, [])


def check_count(context, holdings: list[Holding]) -> None:
    """Compare the count with the sum, and with the limit."""
    budget = context.budget
    total = sum(holding.size for holding in holdings)
    if budget.held_bytes != total:
        context.problems.append(f"{budget.held_bytes} counted, {total} held")
    large = [h.size for h in holdings if h.size > SMALL_BYTES]
    excess = total - budget.terms.max_bytes
    if excess > 0 and (len(large) > 1 or excess > sum(large)):
        context.problems.append(f"{excess} above the limit, large: {large}")


@then("the count always was the sum of what connections hold, and 0 at the end")
def check_exact(context) -> None:
    """Check that no count was wrong."""
    assert not [p for p in context.problems if "counted" in p], context.problems[:3]
    assert context.budget.held_bytes == 0


@then("it was above the limit only for a single large request")
def check_bounded(context) -> None:
    """Check that the limit held."""
    assert not context.problems, context.problems[:3]


@given(
    "a budget of {max_kb:d} KB with three connections of {kb:d} KB that moved "
    "{first:d}, {second:d} and {third:d} ms ago"
)
def create_stalled(
    context, max_kb: int, kb: int, first: int, second: int, third: int
) -> None:
    """Create connections that stand still."""
    create_budget(context, max_kb)
    context.holdings = []
    for pause_ms in (first - second, second - third, third):
        holding = connect(context, str(len(context.holdings)))
        context.budget.record_progress(holding, Stage.READING)
        assert context.budget.hold(holding, kb * KB)
        context.holdings.append(holding)
        context.clock.advance_ms(pause_ms)


@when("a fourth connection needs {kb:d} KB")
def add_fourth(context, kb: int) -> None:
    """Add a connection and let it grow."""
    holding = connect(context, "fourth")
    context.has_room = context.budget.hold(holding, kb * KB)


@when("all three are being served and a fourth connection needs {kb:d} KB")
def add_beside_served(context, kb: int) -> None:
    """Add a connection beside requests in progress."""
    for holding in context.holdings:
        holding.stage = Stage.SERVING
    add_fourth(context, kb)


@then("only the connection that moved 900 ms ago is closed")
def check_first_closed(context) -> None:
    """Check which connection was closed."""
    assert context.closed == ["0"], context.closed
    assert context.has_room


@then("no connection is closed and the fourth has no room")
def check_refused(context) -> None:
    """Check that the newest request is refused."""
    assert not context.closed
    assert not context.has_room


@given("a budget of {max_kb:d} KB without a connection")
def create_empty(context, max_kb: int) -> None:
    """Create a budget."""
    create_budget(context, max_kb)


@when("one connection needs {large_kb:d} KB and another {small_kb:d} KB")
def add_large_and_small(context, large_kb: int, small_kb: int) -> None:
    """Let a large request through, and a small one beside it."""
    large, small = connect(context, "large"), connect(context, "small")
    context.large_has_room = context.budget.hold(large, large_kb * KB)
    context.budget.record_progress(large, Stage.READING)
    context.clock.advance_ms(200)
    context.small_has_room = context.budget.hold(
        small, CONNECTION_BYTES + small_kb * KB
    )


@then("both have room and none is closed, as small ones have a reserve")
def check_large_and_small(context) -> None:
    """Check that both had room."""
    assert context.large_has_room
    assert context.small_has_room
    assert not context.closed, context.closed


@given("a budget of {count:d} connections, all idle for {ms:d} ms")
def create_idle(context, count: int, ms: int) -> None:
    """Fill a budget with idle connections."""
    create_budget(context, 0, count)
    for number in range(count):
        assert connect(context, str(number)) is not None
    context.clock.advance_ms(ms)


@when("{count:d} more connect")
def add_more(context, count: int) -> None:
    """Add connections."""
    context.added = [connect(context, "new") for _ in range(count)]


@then("{closed:d} idle ones are closed and {count:d} are open")
def check_idle_closed(context, closed: int, count: int) -> None:
    """Check that idle connections gave way."""
    assert all(context.added)
    assert len(context.closed) == closed
    assert "new" not in context.closed
    assert context.budget.connection_count == count


@given("a budget without limits")
def create_unlimited(context) -> None:
    """Create a budget that refuses nothing."""
    create_budget(context)


@when("{count:d} connections need {kb:d} KB each")
def add_many(context, count: int, kb: int) -> None:
    """Add connections that grow."""
    context.added = [connect(context, str(number)) for number in range(count)]
    context.held = [context.budget.hold(h, kb * KB) for h in context.added]


@then("none is closed or refused")
def check_unlimited(context) -> None:
    """Check that all had room."""
    assert all(context.held)
    assert not context.closed
    assert context.budget.refused_count == 0
