"""Steps about what a target says of itself in its answers."""

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
from knapweedrock.platform.headers import LEAVING, LIMIT
from knapweedrock.platform.reports import decode_report

ADDRESS = ("127.0.0.1", 1)


@when('an answer names the limits "{limits}"')
def decode_limits(context, limits: str) -> None:
    """Decode one header for each value, as a server sends them."""
    values = [] if limits == "none" else limits.split(";")
    headers = [(LIMIT.title(), f" {value} ") for value in values]
    context.report = decode_report([("Content-Length", "0"), *headers])


@when('an answer names the limits ""')
def decode_empty(context) -> None:
    """Decode a header without a value."""
    context.report = decode_report([(LIMIT, "")])


@when('an answer says that its limit is "{limit}" and its leaving "{leaving}"')
def decode_both(context, limit: str, leaving: str) -> None:
    """Decode both headers of one answer."""
    context.report = decode_report([(LIMIT, limit), (LEAVING, leaving)])


@then("it does not say that it leaves")
def check_stays(context) -> None:
    """Check that a leaving that can't be read is none."""
    assert not context.report.leaving
    assert not context.report.is_readable


@then("the limit is {limit}")
def check_limit(context, limit: str) -> None:
    """Check the decoded limit."""
    assert context.report.limit == read_limit(limit), context.report


@then("the answer is {readable}")
def check_readable(context, readable: str) -> None:
    """Check whether the values were taken for what they are."""
    assert context.report.is_readable == (readable == "readable"), context.report


@given("a node beside a target")
def create_target(context) -> None:
    """Create what a node knows of a target that has announced itself."""
    context.clock = FakeClock()
    settings = create_settings(0, ADDRESS, ADDRESS)
    context.target = Target(settings, context.clock, Admission(context.clock))
    context.target.take(create_heartbeat("n0"))
    context.logged = TestHandler()
    context.logged.push_thread()
    context.add_cleanup(context.logged.pop_thread)


@given("a node beside a target, both known to the mesh with a limit of {limit:d}")
def create_known(context, limit: int) -> None:
    """Create what the mesh knows of a target."""
    context.member = create_member("n0", limit=float(limit))


@when("the node starts again and hears a heartbeat first")
def start_node_again(context) -> None:
    """Create what a new process knows after the first heartbeat."""
    context.clock = FakeClock()
    context.admission = Admission(context.clock)
    context.admission.is_known = False
    settings = create_settings(0, ADDRESS, ADDRESS)
    context.target = Target(settings, context.clock, context.admission)
    context.target.take(create_heartbeat("n0"))


@when("it hears of the mesh")
def hear_of_mesh(context) -> None:
    """Take what the board says of the target."""
    context.target.adopt(context.member)


@then("it gives the target {count} requests at once at most")
def check_at_once(context, count: str) -> None:
    """Take slots until a request would have to wait."""
    taken = take_slots(context.admission)
    for _ in range(taken):
        context.admission.release()
    assert taken == int(count), taken


@then("it gives the target no request at once")
def check_none_at_once(context) -> None:
    """Check that the first request has to wait."""
    check_at_once(context, "0")


@when("answers that began at {times} ms name the limits {limits}")
def note_answers(context, times: str, limits: str) -> None:
    """Note answers in the order in which they end."""
    for at_ms, limit in zip(split(times), split(limits), strict=True):
        headers = [] if limit == "none" else [(LIMIT, limit)]
        report = decode_report(headers)
        context.target.note_report("n0@1", report, int(at_ms) * NS_PER_MS)


@when("the target starts again")
def start_again(context) -> None:
    """Let a later start announce itself."""
    heartbeat = create_heartbeat("n0")
    context.target.take(heartbeat._replace(target="n0@2"))


@then("the target's limit is {limit}")
def check_target_limit(context, limit: str) -> None:
    """Check what the node takes for the target's limit."""
    assert context.target.limit == read_limit(limit), context.target.limit


@then("an answer of the former start changes nothing")
def check_former(context) -> None:
    """Note a late answer of the start that has ended."""
    report = decode_report([(LIMIT, "5")])
    context.target.note_report("n0@1", report, 90 * NS_PER_MS)
    assert context.target.limit is None, context.target.limit


@then("the log says once that {what}")
def check_log(context, what: str) -> None:
    """Count the lines of the log."""
    text = {
        "a header can't be read": "target's headers not readable",
        "a limit is named": "target names a limit",
    }[what]
    lines = [record for record in context.logged.records if record.message == text]
    assert len(lines) == 1, context.logged.formatted_records


def take_slots(admission: Admission) -> int:
    """Take all slots that are free at once, for callers that do not wait."""
    taken = 0
    while True:
        try:
            admission.acquire(0, 0.0, 0.0)
        except RefusalError:
            return taken
        taken += 1


def split(text: str) -> list[str]:
    """Split values such as `20, 40 and 30`."""
    return text.replace(" and ", ", ").split(", ")


def read_limit(text: str) -> float | None:
    """Read a limit of a step."""
    return None if text == "none" else float(text)
