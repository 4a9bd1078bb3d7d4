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
def read_rows_of_executions(context):
    """Build executions from the table."""
    context.executions = [create_execution(**read_row(row)) for row in context.table]


@given("these calls")
@given("calls for one key")
def read_rows_of_calls(context):
    """Build calls from the table."""
    context.calls = [create_call(**read_row(row)) for row in context.table]


def read_row(row) -> dict[str, object]:
    """Read the fields of a row by its headings."""
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


@given("a target that was given {given:d} requests when it bore {bears:d}")
def build_overload(context, given, bears):
    """Build the excess of a target's log."""
    context.excess = [Overload("t1", 1, given, bears)]


@when("the excess is checked")
def run_overload_check(context):
    """Run the check of what targets bear."""
    context.violations = check_overloads(context.excess)


@when('target "{target}" must be silent from {start:d} to {end:d} ms')
def check_silent_target(context, target, start, end):
    """Run the check of silence."""
    context.violations = check_no_starts(
        context.executions, [target], start * NS_PER_MS, end * NS_PER_MS
    )


@then("nothing is found")
def expect_nothing(context):
    """Expect no breach."""
    assert not context.violations, context.violations


@then('{count:d} breaches of "{promise}" are found')
def expect_breaches(context, count, promise):
    """Expect this many breaches of this promise and of no other."""
    found = [violation.promise for violation in context.violations]
    assert found == [promise] * count, context.violations


@then("the longest gap is {longest:d} ms and the total {total:d} ms")
def expect_gap(context, longest, total):
    """Expect the gap of the key."""
    gap = compute_key_gap("k1", context.calls)
    assert (gap.longest_ms, gap.total_ms) == (longest, total), gap


@then("the churn is {share:f}")
def expect_churn(context, share):
    """Expect the share of the key space that moved."""
    assert compute_churn(context.before, context.after) == share


@then('the imbalance over "{targets}" is {ratio:f}')
def expect_imbalance(context, targets, ratio):
    """Expect the greatest load over the mean."""
    assert compute_imbalance(context.executions, targets.split()) == ratio


def create_quarters(owners: str) -> list[dict]:
    """Create a table of four equal ranges."""
    return [
        {"start": index * QUARTER, "owner": owner}
        for index, owner in enumerate(owners.split())
    ]
