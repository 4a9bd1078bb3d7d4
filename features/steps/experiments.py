"""Steps about the tables of the experiments."""

import subprocess
import sys
from pathlib import Path

from behave import given, then

from bench.capacity import fit
from bench.tables import Table, create_plain, create_spread, format_table
from bench.zones import compute_seconds, find_longest_dip
from features.support.builders import create_sample

NS_PER_S = 1_000_000_000
ROOT = Path(__file__).resolve().parents[2]


@given('a table of the values "{values}"')
def build_table(context, values):
    """Build a table of one cell."""
    spread = create_spread([float(value) for value in values.split()])
    context.built = Table("one", 1, 3, ("value",), [(spread,)])


@then('its text holds "{text}" and its JSON the median {median:d}')
def expect_formats(context, text, median):
    """Expect both formats to hold the spread."""
    assert text in format_table(context.built)
    assert create_plain(context.built)["rows"][0]["value"]["median"] == median


@given('samples due at "{due}" s of which those at "{failed}" failed')
def build_samples(context, due, failed):
    """Build samples that are done or refused."""
    context.samples = [
        create_sample(
            intended_ns=int(float(moment) * NS_PER_S),
            outcome="not-run" if moment in failed.split() else "done",
        )
        for moment in due.split()
    ]


@then('the shares of {seconds:d} seconds are "{shares}" percent')
def expect_shares(context, seconds, shares):
    """Expect the share served in each second."""
    context.shares = compute_seconds(context.samples, 0, seconds)
    assert context.shares == [float(share) for share in shares.split()]


@then("the longest dip below {limit:d} percent lasts {seconds:d} s")
def expect_dip(context, limit, seconds):
    """Expect the longest row of bad seconds."""
    low = [index for index, share in enumerate(context.shares) if share < limit]
    assert find_longest_dip(low) == seconds


@given("medians of {a:d}, {b:d} and {c:d} at cells of {x:d}, {y:d} and {z:d} nodes")
def build_rows(context, a, b, c, x, y, z):
    """Build the rows of a report."""
    pairs = ((x, a), (y, b), (z, c))
    context.rows = [
        {"nodes": nodes, "cost": {"median": median}} for nodes, median in pairs
    ]


@then("a cell of {size:d} nodes is worked out as {value:d}")
def expect_fit(context, size, value):
    """Expect the line through the medians."""
    assert abs(fit(context.rows, "cost", size) - value) < 1e-6


@then("all guards can be taken out and name a scenario of their feature")
def check_guards(_context):
    """Let the tool check its list against the tree."""
    command = [sys.executable, "tools/guards.py", "--check"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stdout + done.stderr
