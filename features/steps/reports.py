"""Steps about reports of a mesh and plots of load reports."""

import copy
import json
from pathlib import Path

from behave import given, then
from hypothesis import strategies as st

from features.support.builders import create_sample
from features.support.examples import feed_examples
from features.support.operators import run_command, start_mesh
from knapweedrock.clock import NS_PER_MS, NS_PER_S
from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.load.plots import plot_reports, read_load_report
from knapweedrock.load.report import FORMATTERS as LOAD_FORMATTERS
from knapweedrock.load.report import create_report
from knapweedrock.load.samples import Tally
from knapweedrock.operators.comparison import compare_reports
from knapweedrock.operators.report_commands import format_compared
from knapweedrock.operators.reports import read_report

# For each request: the second in which it is due, its latency in ms, its outcome.
LOAD_REQUESTS = [(0, 1, "done"), *[(1, 3, "not-run")] * 3, (1, 0, "done")]
JSON_VALUES = st.recursive(
    st.none() | st.integers() | st.just(10**400) | st.floats() | st.text(max_size=3),
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(st.text(max_size=3), values, max_size=3)
    ),
    max_leaves=5,
)


@given("a mesh report and a load report")
def create_reports(context):
    """Take a report of a mesh, and write a load report about the requests above."""
    start_mesh(context)
    directory = Path(context.directory)
    run_command(["report", "take", "--node", context.address, f"{directory}/mesh.json"])
    tally = Tally()
    for second, elapsed_ms, outcome in LOAD_REQUESTS:
        due_ns = second * NS_PER_S
        tally.record_due(due_ns)
        tally.record_sample(
            create_sample(due_ns, due_ns + elapsed_ms * NS_PER_MS, outcome)
        )
    report = create_report(tally, len(LOAD_REQUESTS), 1, 5.0, 1.0)
    (directory / "l.json").write_text(LOAD_FORMATTERS["json"](report))


def list_locations(value):
    """List the path of keys and indexes to each part of a document."""
    names = value if isinstance(value, dict) else range(len(value))
    for name in names:
        yield (name,)
        if isinstance(value[name], dict | list):
            yield from ((name, *location) for location in list_locations(value[name]))


def compare_with_itself(path):
    """Compare a report of a mesh with itself."""
    return format_compared(compare_reports(read_report(path), read_report(path)))


def plot_load(path):
    """Plot a load report."""
    return plot_reports([read_load_report(path)])


@then("arbitrary changes of {name} raise nothing but REPORT_MALFORMED")
def check_malformed_reports(context, name):
    """Replace random parts of a report, and check how reading it fails."""
    show = plot_load if name == "l.json" else compare_with_itself
    path = Path(context.directory) / name
    valid = json.loads(path.read_text())

    def read_changed(location, value):
        parent = root = [copy.deepcopy(valid)]
        for name in location[:-1]:
            parent = parent[name]
        parent[location[-1]] = value
        path.write_text(json.dumps(root[0]))
        try:
            show(path)
        except KnapweedrockError as error:
            assert error.code == Code.REPORT_MALFORMED, error

    locations = st.sampled_from(list(list_locations([valid])))
    feed_examples(read_changed, locations, JSON_VALUES, count=400)
