"""Steps about the demo."""

import re
from pathlib import Path

from behave import then, when

from features.support.processes import start_child, wait_for

ROWS = (
    "requests done",
    "requests not run",
    "requests that may have run",
    "owners moved",
    "longest time a key was unavailable",
    "p50",
    "p99",
)
END_TIMEOUT_S = 60


@when('the demo of "{deployment}" runs for {seconds:d} seconds')
def run_demo(context, deployment, seconds):
    """Run the demo as a process and look for children meanwhile."""
    options = ["demo", "--for", str(seconds), "--deployment", deployment]
    child = start_child(context, "demo", options)
    wait_for(
        lambda: "load starts" in child.log.read_text() or child.has_failed(),
        END_TIMEOUT_S,
        "load starts",
    )
    tasks = Path(f"/proc/{child.pid}/task")
    looks = [path.read_text() for path in tasks.glob("*/children")]
    assert looks, child.read_tail()
    context.children = [found.split() for found in looks if found.strip()]
    context.status = child.process.wait(END_TIMEOUT_S)
    context.output = child.log.read_text()


@then("it ends with exit status {status:d} and a table without broken promises")
def expect_table(context, status):
    """Expect every row of the table, some requests done and nothing broken."""
    output = context.output
    assert context.status == status, output
    assert all(row in output for row in ROWS), output
    assert int(re.search(r"^requests done +(\d+)$", output, re.M)[1]) > 0, output
    assert re.search(r"^promises broken +0$", output, re.M), output


@then("it started no other process")
def expect_no_children(context):
    """Expect that the process had no children."""
    assert not context.children, context.children
