"""Steps about what a target reports in the headers of its responses."""

from behave import given, then, when
from logbook import TestHandler

from features.support.mesh_builders import (
    FakeClock,
    create_heartbeat,
    create_member,
    create_settings,
)
from knapweedrock.clock import NS_PER_MS
from knapweedrock.errors import RefusalError
from knapweedrock.mesh.admission import Admission
from knapweedrock.mesh.targets import Target
from knapweedrock.platform.headers import LEAVING, RATE_LIMIT
from knapweedrock.platform.reports import decode_report

ADDRESS = ("127.0.0.1", 1)


@when('a response has the limits "{limits}"')
def decode_limits(context, limits: str) -> None:
    """Decode a response with one limit header for each value, as a server sends it."""
    values = [] if limits == "none" else limits.split(";")
    headers = [(RATE_LIMIT.title(), f" {value} ") for value in values]
    context.report = decode_report([("Content-Length", "0"), *headers])


@when('a response has the limits ""')
def decode_empty(context) -> None:
    """Decode a response whose limit header is empty."""
    context.report = decode_report([(RATE_LIMIT, "")])


@when('a response has the limit "{limit}" and the leaving header "{leaving}"')
def decode_limit_and_leaving(context, limit: str, leaving: str) -> None:
    """Decode a response with both headers."""
    context.report = decode_report([(RATE_LIMIT, limit), (LEAVING, leaving)])


@then("the report does not say that the target is leaving")
def check_not_leaving(context) -> None:
    """Check that an invalid leaving header does not count as leaving."""
    assert not context.report.leaving
    assert not context.report.is_readable


@then("the reported limit is {limit}")
def check_reported_limit(context, limit: str) -> None:
    """Check the decoded limit."""
    assert context.report.limit == parse_limit(limit), context.report


@then("the report is {readable}")
def check_readable(context, readable: str) -> None:
    """Check whether the values were recognised as valid or invalid."""
    assert context.report.is_readable == (readable == "readable"), context.report


@given("a node with a target")
def create_target(context) -> None:
    """Create a node's state of a target that has announced itself."""
    context.clock = FakeClock()
    settings = create_settings(0, ADDRESS, ADDRESS)
    context.target = Target(settings, context.clock, Admission(context.clock))
    context.target.handle_heartbeat(create_heartbeat("n0"))
    context.logged = TestHandler()
    context.logged.push_thread()
    context.add_cleanup(context.logged.pop_thread)


@given("a board with a node whose target has a limit of {limit:d}")
def create_board_member(context, limit: int) -> None:
    """Create the board's entry of a node whose target has a limit."""
    context.member = create_member("n0", limit=float(limit))


@when("the node restarts and receives a heartbeat first")
def restart_node(context) -> None:
    """Create the state of a new process after the first heartbeat."""
    context.clock = FakeClock()
    context.admission = Admission(context.clock)
    context.admission.is_known = False
    settings = create_settings(0, ADDRESS, ADDRESS)
    context.target = Target(settings, context.clock, context.admission)
    context.target.handle_heartbeat(create_heartbeat("n0"))


@when("it receives the board")
def receive_board(context) -> None:
    """Apply the board's entry of the target."""
    context.target.restore(context.member)


@then("it sends the target at most {count} requests without waiting")
def check_immediate_requests(context, count: str) -> None:
    """Check how many requests get a slot without waiting."""
    acquired = acquire_slots(context.admission)
    for _ in range(acquired):
        context.admission.release()
    assert acquired == int(count), acquired


@then("it sends the target no request without waiting")
def check_no_immediate_request(context) -> None:
    """Check that the first request has to wait."""
    check_immediate_requests(context, "0")


@when("responses that began at {times} ms have the limits {limits}")
def record_responses(context, times: str, limits: str) -> None:
    """Record the reports in the order in which the responses end."""
    for began_ms, limit in zip(split_values(times), split_values(limits), strict=True):
        headers = [] if limit == "none" else [(RATE_LIMIT, limit)]
        report = decode_report(headers)
        context.target.handle_report("n0@1", report, int(began_ms) * NS_PER_MS)


@when("the target restarts")
def restart_target(context) -> None:
    """Let a later incarnation of the target announce itself."""
    heartbeat = create_heartbeat("n0")
    context.target.handle_heartbeat(heartbeat._replace(target="n0@2"))


@then("the target's limit is {limit}")
def check_target_limit(context, limit: str) -> None:
    """Check the target's limit as the node knows it."""
    assert context.target.limit == parse_limit(limit), context.target.limit


@then("a late response of the former incarnation changes nothing")
def check_late_response(context) -> None:
    """Record a late response of the incarnation that has ended."""
    report = decode_report([(RATE_LIMIT, "5")])
    context.target.handle_report("n0@1", report, 90 * NS_PER_MS)
    assert context.target.limit is None, context.target.limit


@then("it logs once that {event}")
def check_logged_once(context, event: str) -> None:
    """Check that the log contains exactly one line about the event."""
    text = {
        "a header is invalid": "target's headers not readable",
        "a limit is reported": "target names a limit",
    }[event]
    lines = [record for record in context.logged.records if record.message == text]
    assert len(lines) == 1, context.logged.formatted_records


def acquire_slots(admission: Admission) -> int:
    """Acquire all slots that are available without waiting, and return their number."""
    taken = 0
    while True:
        try:
            admission.acquire(0, 0.0, 0.0)
        except RefusalError:
            return taken
        taken += 1


def split_values(text: str) -> list[str]:
    """Split values such as `20, 40 and 30`."""
    return text.replace(" and ", ", ").split(", ")


def parse_limit(text: str) -> float | None:
    """Parse the limit in a step; `none` is no limit."""
    return None if text == "none" else float(text)
