"""Steps about node logs, and the stories of requests that operators get from them."""

import signal

import gevent
import logbook
from behave import given, then, when
from click.testing import CliRunner

from features.support.mesh_builders import FakeClock
from features.support.mesh_processes import ProcessMesh
from features.support.story_builders import (
    ATTEMPT_ID,
    LINES_BY_REQUEST,
    create_log_line,
    create_refusal_lines,
)
from knapweedrock.counters import Counters
from knapweedrock.definition import cli
from knapweedrock.mesh.http_parsers import ResponseParser
from knapweedrock.mesh.request_log import RequestLog
from knapweedrock.operators.causes import format_summary, summarize_failures
from knapweedrock.operators.story import build_story, parse_lines

KEY = 100
LOG_DELAY_S = 0.3


def start_processes(context, count: int, logs_to_file: bool = True) -> None:
    """Create a mesh of node processes that ends with the scenario."""
    context.mesh = ProcessMesh(count, logs_to_file)
    context.add_cleanup(context.mesh.stop)
    context.results = []


def send_request(context, name: str, path: str, key: int | None) -> None:
    """Send one request; keep its attempt id, status and duration in ms."""
    mesh = context.mesh
    data, attempt_id = mesh.encode_call(path, key, "GET", b"", 1200)
    connection = mesh.open_connection(name)
    began_ns = mesh.clock.now_ns()
    connection.send(data, 2)
    response = connection.read(ResponseParser(), 5)
    connection.close()
    elapsed_ms = (mesh.clock.now_ns() - began_ns) / 1e6
    context.results.append((attempt_id, response.status, elapsed_ms))


@given(
    "{count:d} node processes with targets of {slots:d} slots and a service time of"
    " {ms:d} ms"
)
def start_nodes(context, count: int, slots: int, ms: int) -> None:
    """Start node processes beside targets with the given capacity."""
    start_processes(context, count)
    for place in context.mesh.places:
        place.holder.slots = slots
        place.holder.work_ms = ms
    context.mesh.start()


@given("{count:d} node processes whose log output nobody reads")
def start_nodes_without_reader(context, count: int) -> None:
    """Start node processes whose standard output is a pipe that nobody reads."""
    start_processes(context, count, logs_to_file=False)
    context.mesh.start()


@given("a request log")
def create_request_log(context) -> None:
    """Create a request log with a clock that stands still."""
    context.request_log = RequestLog(FakeClock(), Counters())


@when("{count:d} requests for one key are sent at once")
def send_burst(context, count: int) -> None:
    """Send requests concurrently to one node."""
    name = next(iter(context.mesh.nodes))
    tasks = [
        gevent.spawn(send_request, context, name, f"/read/{n}", KEY)
        for n in range(count)
    ]
    gevent.joinall(tasks, timeout=8, raise_error=True)


@when("a target crashes and a request for its key is sent at once")
def send_to_crashed(context) -> None:
    """Crash a target, and send a request for its key through another node."""
    mesh = context.mesh
    place = mesh.find_owner(KEY)
    place.holder.crash()
    for other in mesh.places:
        other.front.status = 503
    name = next(n for n in mesh.nodes if n != place.settings.node_id)
    send_request(context, name, "/read/1", KEY)


@when("{count:d} requests without a target and then {valid:d} valid ones are sent")
def send_after_failures(context, count: int, valid: int) -> None:
    """Fill the log with failures, then send the requests whose durations count."""
    name = next(iter(context.mesh.nodes))
    # Each request for a service without targets fails at once and logs a line.
    for number in range(count):
        send_request(context, name, f"/list/{number}", None)
    context.results = []
    for number in range(valid):
        send_request(context, name, f"/read/{number}", KEY)


@when("{failures:d} failures and {successes:d} successes are logged at once")
def log_many(context, failures: int, successes: int) -> None:
    """Log requests faster than the rate limit of their lines."""
    context.handler = logbook.TestHandler()
    with context.handler.applicationbound():
        for number in range(failures):
            context.request_log.log_failure("request failed", str(number), dict)
        for number in range(successes):
            context.request_log.log_success("request done", str(number), dict)
        context.request_log.log_suppressed()


@when("a node's process gets SIGTERM")
def stop_process(context) -> None:
    """Terminate a node's process and measure how long it takes to exit."""
    name = next(iter(context.mesh.nodes))
    context.node = context.mesh.nodes[name]
    began_ns = context.mesh.clock.now_ns()
    context.status = context.node.stop()
    context.elapsed_s = (context.mesh.clock.now_ns() - began_ns) / 1e9


@when("a node's settings file becomes invalid and the node gets SIGHUP")
def reload_invalid_settings(context) -> None:
    """Write an invalid settings file and signal the node to reload it."""
    context.name = next(iter(context.mesh.nodes))
    context.node = context.mesh.nodes[context.name]
    context.node.log.with_suffix(".env").write_text("KNAPWEEDROCK_SERVE_ZONE=?\n")
    context.node.process.send_signal(signal.SIGHUP)
    gevent.sleep(LOG_DELAY_S)


@then("one of the requests failed with status {status:d}")
def find_failed_request(context, status: int) -> None:
    """Find a request that got the status, and keep its id."""
    failed = [r for r in context.results if r[1] == status]
    assert failed, context.results
    context.failed_id = failed[0][0]


@then('the story of that request says "{text}"')
def check_story(context, text: str) -> None:
    """Run the story command on the log files, and check the cause that it prints."""
    gevent.sleep(LOG_DELAY_S)
    arguments = ["story", context.failed_id, *context.mesh.list_logs()]
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == 0, (result.output, result.exception)
    cause = result.output.rpartition("cause: ")[2]
    assert text in cause, result.output


@then("each valid request took less than {ms:d} ms")
def check_durations(context, ms: int) -> None:
    """Check that all valid requests succeeded in time."""
    assert {status for _, status, _ in context.results} == {200}, context.results
    slowest = max(elapsed_ms for _, _, elapsed_ms in context.results)
    assert slowest < ms, slowest


@then("{failures:d} failures and {successes:d} successes are written")
def check_written_lines(context, failures: int, successes: int) -> None:
    """Count the written log lines."""
    messages = [record.message for record in context.handler.records]
    assert messages.count("request failed") == failures
    assert messages.count("request done") == successes


@then(
    "the report counts {failures:d} failures and {successes:d} successes as suppressed"
)
def check_suppressed_lines(context, failures: int, successes: int) -> None:
    """Check the counts of suppressed lines in the report."""
    suppressed = {
        record.kwargs["kind"]: record.kwargs["count"]
        for record in context.handler.records
        if record.message == "decisions left out"
    }
    assert suppressed == {"request failed": failures, "request done": successes}


@then("it exits with status {status:d} within {seconds:d} s")
def check_exit(context, status: int, seconds: int) -> None:
    """Check the exit status of the process and its shutdown time."""
    assert context.status == status, context.status
    assert context.elapsed_s < seconds, context.elapsed_s


@then("its log ends with a line about its stop")
def check_last_line(context) -> None:
    """Check that the last log line is about the stop."""
    last = context.node.log.read_text().splitlines()[-1]
    assert '"node stopped"' in last, last


@then("it logs that the settings were rejected")
def check_rejection_line(context) -> None:
    """Check that the log contains the line about rejected settings."""
    text = context.node.log.read_text()
    assert '"settings not taken"' in text, text[-500:]


@then("it still serves requests")
def check_serves(context) -> None:
    """Send a request to the node and check that it succeeds."""
    send_request(context, context.name, "/read/1", KEY)
    assert context.results[-1][1] == 200, context.results


@given("the log lines of {request}")
def create_lines(context, request: str) -> None:
    """Create the log lines of a request."""
    context.lines = LINES_BY_REQUEST[request]()


@when("the story is created from the lines")
def create_story(context) -> None:
    """Create the story from the lines alone."""
    context.story = build_story(ATTEMPT_ID, parse_lines(context.lines))


@then('the cause in the story says "{text}"')
def check_cause(context, text: str) -> None:
    """Check the cause in the story."""
    assert context.story is not None
    assert text in context.story.cause, context.story.cause


@given(
    "log lines of {full:d} requests at a full target and of {refused:d} whose target"
    " refused them"
)
def create_failures(context, full: int, refused: int) -> None:
    """Create the log lines of several failed requests."""
    context.lines = [
        line
        for code, count in (("OVERLOADED", full), ("TARGET_SHED", refused))
        for _ in range(count)
        for line in create_refusal_lines(code)
    ]


@given("a log line of {count:d} failures that have none")
def create_left_out(context, count: int) -> None:
    """Create the log line that counts suppressed lines."""
    context.lines.append(
        create_log_line(
            "13:37:20.000",
            "node-4",
            "requests",
            "decisions left out",
            kind="request failed",
            count=count,
        )
    )


@when("the causes are counted from the lines")
def count_causes(context) -> None:
    """Summarize the failures."""
    context.summary = summarize_failures(parse_lines(context.lines))


@then('{count:d} requests failed by "{cause}" and {other_count:d} by "{other_cause}"')
def check_causes(
    context, count: int, cause: str, other_count: int, other_cause: str
) -> None:
    """Check the counts by cause, in total and in the interval of the lines."""
    counts = {group.cause: group.count for group in context.summary.groups}
    assert counts == {cause: count, other_cause: other_count}, counts
    assert list(context.summary.by_interval.values()) == [counts]
    assert cause in format_summary(context.summary)


@then("{count:d} failures have no line")
def check_left_out(context, count: int) -> None:
    """Check the number of suppressed lines."""
    assert context.summary.left_out == count
