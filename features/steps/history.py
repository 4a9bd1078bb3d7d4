"""Steps about the checks of histories."""

from behave import given, then, when

from features.support.builders import create_call, create_execution
from knapweedrock.clock import NS_PER_MS
from knapweedrock.history import (
    Overload,
    check_all,
    check_no_starts,
    check_overloads,
    compute_churn,
    compute_imbalance,
    compute_key_gap,
)

QUARTER = 1 << 62
FIELDS = {
    "target": ("target", str),
    "tag": ("tag", str),
    "order": ("order_id", str),
    "key": ("key", str),
    "token": ("token", int),
    "start": ("start_ms", float),
    "intended": ("intended_ms", float),
    "end": ("end_ms", float),
    "outcome": ("outcome", str),
    "answered": ("answered", lambda text: text == "yes"),
    "own": ("own_answer", lambda text: text == "yes"),
}


@given("these executions")
def build_executions(context):
    """Build executions from the table."""
    context.executions = [create_execution(**read_row(row)) for row in context.table]


@given("these calls")
@given("calls for one key")
def build_calls(context):
    """Build calls from the table."""
    context.calls = [create_call(**read_row(row)) for row in context.table]


def read_row(row) -> dict[str, object]:
    """Convert the cells of a row to fields by their headings."""
    fields = {}
    for heading, text in row.items():
        name, read = FIELDS[heading]
        fields[name] = read(text)
    return fields


@given('a table that gives quarters to "{owners}"')
def build_table(context, owners):
    """Build the first table."""
    context.before = create_quarters(owners)


@when('the table gives quarters to "{owners}"')
def build_other_table(context, owners):
    """Build the second table."""
    context.after = create_quarters(owners)


@when("the history is checked")
def check_history(context):
    """Run all checks."""
    calls = getattr(context, "calls", [])
    executions = getattr(context, "executions", [])
    context.violations = check_all(calls, executions)


@given("a target with {in_flight:d} requests in flight and a capacity of {capacity:d}")
def build_overload(context, in_flight, capacity):
    """Build an overload from a target's log."""
    context.overloads = [Overload("t1", 1, in_flight, capacity)]


@when("the overload is checked")
def run_overload_check(context):
    """Run the check of overloads."""
    context.violations = check_overloads(context.overloads)


@when('target "{target}" must be silent from {start:d} to {end:d} ms')
def check_silent_target(context, target, start, end):
    """Run the check that a silent target starts no execution."""
    context.violations = check_no_starts(
        context.executions, [target], start * NS_PER_MS, end * NS_PER_MS
    )


@then("no violation is found")
def expect_nothing(context):
    """Expect no violation."""
    assert not context.violations, context.violations


@then('{count:d} violations of "{promise}" are found')
def expect_violations(context, count, promise):
    """Expect this many violations of this promise and of no other."""
    found = [violation.promise for violation in context.violations]
    assert found == [promise] * count, context.violations


@then("the longest gap is {longest:d} ms and the total {total:d} ms")
def expect_gap(context, longest, total):
    """Expect the longest and the total gap of the key."""
    gap = compute_key_gap("k1", context.calls)
    assert (gap.longest_ms, gap.total_ms) == (longest, total), gap


@then("the churn is {share:f}")
def expect_churn(context, share):
    """Expect the share of the key space whose owner changed."""
    assert compute_churn(context.before, context.after) == share


@then('the imbalance over "{targets}" is {ratio:f}')
def expect_imbalance(context, targets, ratio):
    """Expect the ratio of the greatest load to the mean load."""
    assert compute_imbalance(context.executions, targets.split()) == ratio


def create_quarters(owners: str) -> list[dict]:
    """Create a table of four equal ranges."""
    return [
        {"start": index * QUARTER, "owner": owner}
        for index, owner in enumerate(owners.split())
    ]
