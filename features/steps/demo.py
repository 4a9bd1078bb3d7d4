"""Steps about the demo."""

import contextlib
import io
import re
from pathlib import Path
from unittest import mock

import gevent
from behave import then, when

from features.support.builders import create_call, create_execution, create_sample
from features.support.processes import start_child, wait_for
from knapweedrock.clock import NS_PER_S
from knapweedrock.demo import checks, program
from knapweedrock.history import Overload, find_longest_gap

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
LAST_FAILURE_NS = 55
VIOLATIONS = {
    "a target was overloaded": {"overloads": [Overload("t1", 1, 5, 4)]},
    "a node has a stale configuration": {"stale_nodes": ["n3"]},
    "a target in an evacuated zone executed a request": {
        "executions": [create_execution(start_ms=6000)]
    },
    "a request got no response": {},
}


@when('the demo of "{deployment}" runs for {seconds:d} seconds')
def run_demo(context, deployment, seconds):
    """Run the demo as a process and list its child processes under load."""
    options = ["demo", "--for", str(seconds), "--deployment", deployment]
    child = start_child(context, "demo", options)
    wait_for(
        lambda: "load starts" in child.log.read_text() or child.has_failed(),
        END_TIMEOUT_S,
        "load starts",
    )
    tasks = Path(f"/proc/{child.pid}/task")
    reads = [path.read_text() for path in tasks.glob("*/children")]
    assert reads, child.read_tail()
    context.children = [text.split() for text in reads if text.strip()]
    context.status = child.process.wait(END_TIMEOUT_S)
    context.output = child.log.read_text()


@then("it exits with status {status:d} and prints a table without violations")
def expect_table(context, status):
    """Expect every row of the table, completed requests and no violations."""
    output = context.output
    assert context.status == status, output
    assert all(row in output for row in ROWS), output
    assert int(re.search(r"^requests done +(\d+)$", output, re.M)[1]) > 0, output
    assert re.search(r"^promises broken +0$", output, re.M), output


@then("it started no other process")
def expect_no_children(context):
    """Expect that the process had no child processes."""
    assert not context.children, context.children


@when(
    "a request for a key is refused, {count:d} probes are refused "
    "and a later request fails"
)
def probe_key(context, count):
    """Record two failures, the second during a probe that succeeds."""
    context.demo = program.Demo(1, "kowhai", 1)
    outcomes = iter(["not-run"] * count + ["done"] * 9)
    run = mock.Mock()
    run.spawn = gevent.spawn
    run.probe = lambda key: create_sample(next_ns(), next_ns(), next(outcomes), key)
    next_ns = iter(range(10, 1000, 10)).__next__
    context.demo.load_runs = [run]
    context.demo.record_keyed_sample(create_sample(0, 5, "not-run"))
    context.demo.record_keyed_sample(create_sample(LAST_FAILURE_NS, 58, "not-run"))
    wait_for(
        lambda: not context.demo.last_failure_ns, END_TIMEOUT_S, "a successful probe"
    )


@then("the key was probed {count:d} times and its longest gap ends with probe {last:d}")
def expect_gap(context, count, last):
    """Expect a gap from the first refusal to the end of the given probe."""
    demo = context.demo
    assert len(demo.probes) == count, demo.probes
    samples = demo.keyed_samples + demo.probes
    calls = [checks.create_call(sample, "depot-orders", True) for sample in samples]
    assert find_longest_gap(calls).longest_ms == demo.probes[last - 1].end_ns / 1e6


@when("a demo run ends in which {violation}")
def end_run(context, violation):
    """Summarize a run with the evidence of a violation."""
    zone_outage = checks.ZoneOutage("zone-a", 0, 9 * NS_PER_S)
    fields = {"executions": [], "overloads": [], "stale_nodes": []} | VIOLATIONS[
        violation
    ]
    evidence = checks.Evidence(zone_outage=zone_outage, zone_targets=["t1"], **fields)
    calls = [create_call(answered="no response" not in violation)]
    summary = checks.summarize([create_sample()], calls, [], evidence)
    output = io.StringIO()
    patch = mock.patch.object(program.Demo, "run", lambda demo: summary)
    with patch, contextlib.redirect_stdout(output):
        context.status = program.run_demo(1)
    context.output = output.getvalue()


@then('it exits with status {status:d} and reports a violation of "{guarantee}"')
def expect_violation(context, status, guarantee):
    """Expect the status and exactly one violation, of this guarantee."""
    assert context.status == status, context.output
    assert re.findall(r"^broken: ([^:]+):", context.output, re.M) == [guarantee]
