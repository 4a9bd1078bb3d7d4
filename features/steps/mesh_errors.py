"""Steps about errors that nobody expects, and words that can't be read."""

import itertools

import msgspec
from behave import given, then, when
from logbook import TestHandler

from features.support.mesh_builders import SERVICE
from features.support.mesh_harness import choose_other_node
from features.support.offline_node import OfflineNode
from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError
from knapweedrock.mesh.http import Response
from knapweedrock.platform.headers import COLD, INSTANCE
from knapweedrock.platform.heartbeats import decode_message

ERROR_TEXT = "a fault of the scenario"


def fail_first_calls(times: int, function):
    """Return a function that fails some times before it does its work."""
    calls = itertools.count()

    def run(*args, **kwargs):
        if next(calls) < times:
            raise ZeroDivisionError(ERROR_TEXT)
        return function(*args, **kwargs)

    return run


@when("the coordinator's plans fail {times:d} times with an unexpected error")
def fail_plans(context, times: int) -> None:
    """Let plans raise what no caller of them expects."""
    mesh = context.mesh
    context.logged = TestHandler()
    context.logged.push_application()
    context.add_cleanup(context.logged.pop_application)
    coordinator = mesh.nodes[mesh.find_coordinator()].coordinator
    coordinator._plan_service = fail_first_calls(times, coordinator._plan_service)


@when("a target without the coordinator is lost")
def lose_member(context) -> None:
    """Lose a VM whose keys the coordinator has to move."""
    mesh = context.mesh
    mesh.lose(choose_other_node(mesh, mesh.find_coordinator()))


@then("the log names the error and where it came from")
def check_logged_errors(context) -> None:
    """Check that the error can be traced by the log."""
    failures = [r for r in context.logged.records if r.message == "task failed"]
    assert failures, "nothing was logged"
    assert all(ERROR_TEXT in r.kwargs["reason"] and r.kwargs["at"] for r in failures)


@when("a node's renewals fail {times:d} times with an unexpected error")
def fail_renewals(context, times: int) -> None:
    """Let a node's renewals raise what nobody expects."""
    mesh = context.mesh
    node = mesh.nodes[choose_other_node(mesh, mesh.find_coordinator())]
    node.membership._renew = fail_first_calls(times, node.membership._renew)
    context.node = node
    mesh.wait_until(lambda: node.get_lease_ms() < 2500, 3)


@then("that node has a lease again within {seconds:d} s")
def check_lease(context, seconds: int) -> None:
    """Wait until the node's lease is nearly whole."""
    node = context.node
    context.mesh.wait_until(lambda: node.get_lease_ms() > 2800, seconds)


@given("a node without a network whose target is not confirmed")
def create_unconfirmed_node(context) -> None:
    """Create a node that has heard one heartbeat."""
    context.offline = OfflineNode(4, 5.0, {"list": 1})
    context.node = context.offline.node
    context.node.target.confirmed = False


@when('its target\'s health page says that it is cold for "{value}" ms')
def probe_health_page(context, value: str) -> None:
    """Probe a target whose health page says something."""
    headers = [(INSTANCE, context.node.target.instance), (COLD, value)]
    answer = Response(200, headers, b"", True)
    context.node.gateway.exchanges.request = lambda *_args: answer
    context.node.gateway.probe()


@then("the target is used, and cold for {ms:d} ms")
def check_cold_time(context, ms: int) -> None:
    """Check what the node has made of the page."""
    assert context.node.target.is_usable()
    until_ns = context.node.gateway.admission.cold_until_ns
    cold_ms = (until_ns - context.node.clock.now_ns()) / NS_PER_MS
    assert ms - 100 <= cold_ms <= ms, cold_ms


@when("a heartbeat says that its target is cold for {value} ms")
def decode_heartbeat(context, value: str) -> None:
    """Decode a heartbeat that is whole but for one field."""
    information = {"service": SERVICE, "version": "v1", "zone": "zone-a", "slots": 4}
    status = {
        "state": "ready",
        "seq": 1,
        "coldRemainingMs": msgspec.Raw(value.encode()),
    }
    body = {"address": "127.0.0.1:1", "information": information, "status": status}
    context.error = None
    try:
        decode_message("/instances/n0/heartbeat", msgspec.json.encode(body))
    except RefusalError as error:
        context.error = error


@then("it is refused as a bad announcement")
def check_refused_heartbeat(context) -> None:
    """Check the code of the refusal."""
    assert context.error is not None, "it was taken"
    assert context.error.code is Code.BAD_ANNOUNCEMENT, context.error
