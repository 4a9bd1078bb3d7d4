"""Steps about unexpected errors and malformed values."""

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
from knapweedrock.platform.headers import COLD_MS, INSTANCE_ID
from knapweedrock.platform.heartbeats import decode_message

ERROR_TEXT = "an error injected by the scenario"


def fail_first_calls(times: int, function):
    """Return a function that fails in its first calls, then calls the original."""
    calls = itertools.count()

    def run(*args, **kwargs):
        if next(calls) < times:
            raise ZeroDivisionError(ERROR_TEXT)
        return function(*args, **kwargs)

    return run


@when("the coordinator's planning fails {times:d} times with an unexpected error")
def fail_plans(context, times: int) -> None:
    """Make the coordinator's planning raise an error that no caller expects."""
    mesh = context.mesh
    context.logged = TestHandler()
    context.logged.push_application()
    context.add_cleanup(context.logged.pop_application)
    coordinator = mesh.nodes[mesh.find_coordinator()].coordinator
    coordinator._plan_service = fail_first_calls(times, coordinator._plan_service)


@when("the VM of a node that does not coordinate is lost")
def lose_member(context) -> None:
    """Stop a VM whose keys the coordinator has to move."""
    mesh = context.mesh
    mesh.lose_vm(choose_other_node(mesh, mesh.find_coordinator()))


@then("the log names the error and where it was raised")
def check_logged_errors(context) -> None:
    """Check that the log names the error and its place."""
    failures = [r for r in context.logged.records if r.message == "task failed"]
    assert failures, "nothing was logged"
    assert all(ERROR_TEXT in r.kwargs["reason"] and r.kwargs["at"] for r in failures)


@when("the lease renewals of a node fail {times:d} times with an unexpected error")
def fail_renewals(context, times: int) -> None:
    """Make a node's lease renewals raise an error that no caller expects."""
    mesh = context.mesh
    node = mesh.nodes[choose_other_node(mesh, mesh.find_coordinator())]
    node.membership._renew = fail_first_calls(times, node.membership._renew)
    context.node = node
    mesh.wait_until(lambda: node.get_remaining_lease_ms() < 2500, 3)


@then("that node has a lease again within {seconds:d} s")
def check_lease(context, seconds: int) -> None:
    """Wait until the node's lease has nearly its full time."""
    node = context.node
    context.mesh.wait_until(lambda: node.get_remaining_lease_ms() > 2800, seconds)


@given("an offline node whose target is not confirmed")
def create_unconfirmed_node(context) -> None:
    """Create a node that has received one heartbeat."""
    context.offline = OfflineNode(4, 5.0, {"list": 1})
    context.node = context.offline.node
    context.node.target.confirmed = False


@when('its target\'s health page says that it is cold for "{value}" ms')
def probe_health_page(context, value: str) -> None:
    """Probe a target whose health page has the given cold time."""
    headers = [(INSTANCE_ID, context.node.target.instance), (COLD_MS, value)]
    response = Response(200, headers, b"", True)
    context.node.gateway.http_client.request = lambda *_args: response
    context.node.gateway.probe()


@then("the target is usable, and cold for {ms:d} ms")
def check_cold_time(context, ms: int) -> None:
    """Check that the node uses the target and knows its cold time."""
    assert context.node.target.is_usable()
    until_ns = context.node.gateway.admission.cold_until_ns
    cold_ms = (until_ns - context.node.clock.now_ns()) / NS_PER_MS
    assert ms - 100 <= cold_ms <= ms, cold_ms


@when("a heartbeat says that its target is cold for {value} ms")
def decode_heartbeat(context, value: str) -> None:
    """Decode a heartbeat that is valid except for one field."""
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


@then("it is refused with BAD_ANNOUNCEMENT")
def check_refused_heartbeat(context) -> None:
    """Check the code of the refusal."""
    assert context.error is not None, "it was accepted"
    assert context.error.code is Code.BAD_ANNOUNCEMENT, context.error
