"""Steps about logs and the stories that they tell."""

import signal

import gevent
import logbook
from behave import given, then, when
from click.testing import CliRunner

from features.support.mesh_builders import FakeClock
from features.support.mesh_processes import ProcessMesh
from features.support.story_builders import ATTEMPT_ID, LINES_BY_REQUEST
from knapweedrock.counters import Counters
from knapweedrock.definition import cli
from knapweedrock.mesh.http import ResponseParser
from knapweedrock.mesh.request_log import RequestLog
from knapweedrock.operators.story import read_lines, tell_story

KEY = 100
LOG_S = 0.3


def start_processes(context, count: int, reads_logs: bool = True) -> None:
    """Start node processes that end with the scenario."""
    context.mesh = ProcessMesh(count, reads_logs)
    context.add_cleanup(context.mesh.stop)
    context.results = []


def send(context, name: str, path: str, key: int | None) -> None:
    """Send one request and keep its id, status and duration."""
    mesh = context.mesh
    data, attempt_id = mesh.encode_call(path, key, "GET", b"", 1200)
    connection = mesh.open_connection(name)
    began_ns = mesh.clock.now_ns()
    connection.send(data, 2)
    answer = connection.read(ResponseParser(), 5)
    connection.close()
    elapsed_ms = (mesh.clock.now_ns() - began_ns) / 1e6
    context.results.append((attempt_id, answer.status, elapsed_ms))


@given(
    "processes of {count:d} nodes whose targets have {slots:d} slots "
    "and work for {ms:d} ms"
)
def give_processes(context, count: int, slots: int, ms: int) -> None:
    """Start node processes beside targets."""
    start_processes(context, count)
    for place in context.mesh.places:
        place.holder.slots = slots
        place.holder.work_ms = ms
    context.mesh.start()


@given("processes of {count:d} nodes whose logs nobody reads")
def give_undrained(context, count: int) -> None:
    """Start node processes that write into pipes which nobody reads."""
    start_processes(context, count, reads_logs=False)
    context.mesh.start()


@given("a log of decisions")
def give_decisions(context) -> None:
    """Create a log of decisions on a clock that stands still."""
    context.request_log = RequestLog(FakeClock(), Counters())


@when("{count:d} requests for one key come at once")
def send_burst(context, count: int) -> None:
    """Send requests at the same time."""
    name = next(iter(context.mesh.nodes))
    tasks = [gevent.spawn(send, context, name, f"/read/{n}", KEY) for n in range(count)]
    gevent.joinall(tasks, timeout=8, raise_error=True)


@when("a target crashes and a request for its key comes at once")
def send_to_crashed(context) -> None:
    """Crash a target and send a request that it would get."""
    mesh = context.mesh
    place = mesh.find_owner(KEY)
    place.holder.crash()
    for other in mesh.places:
        other.front.status = 503
    name = next(n for n in mesh.nodes if n != place.settings.node_id)
    send(context, name, "/read/1", KEY)


@when("{count:d} requests without a target and then {good:d} good ones are sent")
def send_targetless(context, count: int, good: int) -> None:
    """Fill the logs, then send requests that count."""
    name = next(iter(context.mesh.nodes))
    # A service without targets is refused at once, with a line each.
    for number in range(count):
        send(context, name, f"/list/{number}", None)
    context.results = []
    for number in range(good):
        send(context, name, f"/read/{number}", KEY)


@when("{failures:d} failures and {successes:d} successes are noted at once")
def note_many(context, failures: int, successes: int) -> None:
    """Note decisions faster than they are written."""
    context.handler = logbook.TestHandler()
    with context.handler.applicationbound():
        for number in range(failures):
            context.request_log.log_failure("request failed", str(number), dict)
        for number in range(successes):
            context.request_log.log_success("request done", str(number), dict)
        context.request_log.log_suppressed()


@when("a node's process gets SIGTERM")
def stop_process(context) -> None:
    """Stop a node's process."""
    name = next(iter(context.mesh.nodes))
    context.node = context.mesh.nodes[name]
    began_ns = context.mesh.clock.now_ns()
    context.status = context.node.stop()
    context.elapsed_s = (context.mesh.clock.now_ns() - began_ns) / 1e9


@when("the settings of a node are broken and it gets SIGHUP")
def break_settings(context) -> None:
    """Break a settings file and have it read again."""
    context.name = next(iter(context.mesh.nodes))
    context.node = context.mesh.nodes[context.name]
    context.node.log.with_suffix(".env").write_text("KNAPWEEDROCK_SERVE_ZONE=?\n")
    context.node.process.send_signal(signal.SIGHUP)
    gevent.sleep(LOG_S)


@then("one of them failed with status {status:d}")
def find_failed(context, status: int) -> None:
    """Find a request with the status."""
    failed = [r for r in context.results if r[1] == status]
    assert failed, context.results
    context.failed_id = failed[0][0]


@then('the story of it says "{text}"')
def check_story(context, text: str) -> None:
    """Ask the command line for the story, from the log files alone."""
    gevent.sleep(LOG_S)
    arguments = ["story", context.failed_id, *context.mesh.list_logs()]
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == 0, (result.output, result.exception)
    cause = result.output.rpartition("cause: ")[2]
    assert text in cause, result.output


@then("each good one took less than {ms:d} ms")
def check_quick(context, ms: int) -> None:
    """Check the durations of the good requests."""
    assert {status for _, status, _ in context.results} == {200}, context.results
    slowest = max(elapsed_ms for _, _, elapsed_ms in context.results)
    assert slowest < ms, slowest


@then("{failures:d} failures and {successes:d} successes are written")
def check_written(context, failures: int, successes: int) -> None:
    """Count the written lines."""
    messages = [record.message for record in context.handler.records]
    assert messages.count("request failed") == failures
    assert messages.count("request done") == successes


@then(
    "the report says that {failures:d} failures and {successes:d} successes "
    "were left out"
)
def check_left_out(context, failures: int, successes: int) -> None:
    """Read the report."""
    left_out = {
        record.kwargs["kind"]: record.kwargs["count"]
        for record in context.handler.records
        if record.message == "decisions left out"
    }
    assert left_out == {"request failed": failures, "request done": successes}


@then("it ends with status {status:d} within {seconds:d} s")
def check_ended(context, status: int, seconds: int) -> None:
    """Check how the process ended."""
    assert context.status == status, context.status
    assert context.elapsed_s < seconds, context.elapsed_s


@then("its log ends with its stop")
def check_last_line(context) -> None:
    """Check the last line of the log."""
    last = context.node.log.read_text().splitlines()[-1]
    assert '"node stopped"' in last, last


@then("its log says that the settings were not taken")
def check_reload(context) -> None:
    """Look for the line about the reload."""
    text = context.node.log.read_text()
    assert '"settings not taken"' in text, text[-500:]


@then("it still serves requests")
def check_serves(context) -> None:
    """Send a request to the node."""
    send(context, context.name, "/read/1", KEY)
    assert context.results[-1][1] == 200, context.results


@given("the log lines that a run left of {request}")
def give_lines(context, request: str) -> None:
    """Create the lines of a request."""
    context.lines = LINES_BY_REQUEST[request]()


@when("its story is told")
def tell(context) -> None:
    """Tell the story from the lines alone."""
    context.story = tell_story(ATTEMPT_ID, read_lines(context.lines))


@then('its cause says "{text}"')
def check_cause(context, text: str) -> None:
    """Check the cause."""
    assert context.story is not None
    assert text in context.story.cause, context.story.cause
