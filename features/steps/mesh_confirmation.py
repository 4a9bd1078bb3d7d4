"""Steps for a restarted node that has to find out whether its target is leaving."""

import gevent
from behave import given, then, when

from features.support.mesh_builders import (
    OTHER_SERVICE,
    create_forward,
    create_heartbeat,
)
from features.support.offline_node import OfflineNode
from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import INFO, Code, Outcome, parse_code
from knapweedrock.mesh.definitions import Heartbeat
from knapweedrock.mesh.http import Headers, Response
from knapweedrock.mesh.messages import Forwarded
from knapweedrock.platform.headers import INSTANCE_ID, SIGNATURE

NAME = "node-0"
# Unix time in ms at which the target started.
START_MS = 5
HEALTH_PATH = "/health"


@given("a node that has just started and got a heartbeat that its target is ready")
def start_node(context) -> None:
    """Create a node whose target has sent one heartbeat."""
    context.node = OfflineNode(4, 5.0, {"list": 1}, is_confirmed=False).node
    context.health = 503
    context.heartbeats = 1
    context.node.target.handle_heartbeat(create_ready_heartbeat(context.heartbeats))

    def answer(_method: str, path: str, _headers: Headers, *_rest) -> Response:
        if path == HEALTH_PATH:
            return Response(context.health, [(INSTANCE_ID, NAME)], b"", True)
        return Response(200, [(SIGNATURE, "signed")], b"", True)

    context.node.gateway.http_client.request = answer


@when(
    "the health page answers {status:d} and another heartbeat says that the target is"
    " ready"
)
def answer_health(context, status: int) -> None:
    """Probe the target, and apply its next heartbeat."""
    context.health = status
    context.node.gateway.probe()
    context.heartbeats += 1
    context.node.target.handle_heartbeat(create_ready_heartbeat(context.heartbeats))


@when("an earlier incarnation with the same id announces that it leaves for good")
def leave_earlier_incarnation(context) -> None:
    """Apply a delayed leave message of an earlier incarnation."""
    context.node.target.handle_leave(f"{NAME}@{START_MS - 1}")


@when("the current incarnation announces that it leaves for good")
def leave_current_incarnation(context) -> None:
    """Apply a leave message of the current incarnation."""
    context.node.target.handle_leave(f"{NAME}@{START_MS}")


@then("it refuses requests as not run")
def check_refuses(context) -> None:
    """Check that the node refuses a request as not run."""
    code = parse_code(deliver(context).code)
    assert INFO[code].outcome is Outcome.NOT_RUN, code


@then("it serves requests")
def check_serves(context) -> None:
    """Check that the node serves a request."""
    assert deliver(context).status == 200


@given(
    "a node without a network whose target has 1 slot and a service time of {ms:d} ms"
)
def create_busy(context, ms: int) -> None:
    """Create a node whose target has a single slot."""
    context.node = OfflineNode(1, ms, {"list": 1}).node


@when("{count:d} requests arrive and the target leaves after {ms:d} ms")
def leave_under_load(context, count: int, ms: int) -> None:
    """Queue requests, then let the target announce in a heartbeat that it leaves."""
    clock = context.node.clock

    def run() -> tuple[int, float]:
        began_ns = clock.now_ns()
        code = deliver(context, 2000.0).code
        return code, (clock.now_ns() - began_ns) / NS_PER_MS

    tasks = [gevent.spawn(run) for _ in range(count)]
    gevent.sleep(ms / 1000)
    heartbeat = create_heartbeat(NAME, service=OTHER_SERVICE, sequence=2)
    context.node.target.handle_heartbeat(heartbeat._replace(draining=True))
    gevent.joinall(tasks, timeout=3)
    context.ended = [task.get() for task in tasks]


@then(
    "{served:d} of them is served, and {refused:d} are refused as not run within"
    " {ms:d} ms"
)
def check_ended(context, served: int, refused: int, ms: int) -> None:
    """Check how each request ended, and when."""
    done = [elapsed_ms for code, elapsed_ms in context.ended if code == Code.DONE]
    soon = [
        code
        for code, elapsed_ms in context.ended
        if code != Code.DONE and elapsed_ms < ms
    ]
    assert len(done) == served, context.ended
    assert [parse_code(code) for code in soon] == [Code.LEAVING] * refused, (
        context.ended
    )


def create_ready_heartbeat(sequence: int) -> Heartbeat:
    """Create a heartbeat of the current incarnation."""
    name = f"{NAME}@{START_MS}"
    return create_heartbeat(
        NAME, service=OTHER_SERVICE, slots=4, target=name, sequence=sequence
    )


def deliver(context, objective_ms: float = 500.0) -> Forwarded:
    """Deliver a request without a key to the target's node."""
    request = create_forward(
        service=OTHER_SERVICE,
        key=-1,
        objective_ms=objective_ms,
        remaining_ms=2 * objective_ms,
    )
    return context.node.gateway.deliver(request)
