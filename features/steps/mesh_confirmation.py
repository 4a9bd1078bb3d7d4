"""Steps about a new process that learns whether its target stays."""

from behave import given, then, when

from features.support.lone_node import LoneNode
from features.support.mesh_builders import (
    OTHER_SERVICE,
    create_forward,
    create_heartbeat,
)
from knapweedrock.codes import INFO, Outcome, find_code
from knapweedrock.mesh.definitions import Heartbeat
from knapweedrock.mesh.http import Answer, Headers
from knapweedrock.platform.headers import INSTANCE, SIGNATURE

NAME = "node-0"
# Unix time in ms at which the target started.
BORN = 5
HEALTH_PATH = "/health"


@given("a node that has just started and has heard that its target is ready")
def start_fresh(context) -> None:
    """Create a node whose target has sent one heartbeat."""
    context.node = LoneNode(4, 5.0, {"list": 1}, is_confirmed=False).node
    context.health = 503
    context.beats = 1
    context.node.target.take(create_beat(context.beats))

    def answer(_method: str, path: str, _headers: Headers, *_rest) -> Answer:
        if path == HEALTH_PATH:
            return Answer(context.health, [(INSTANCE, NAME)], b"", True)
        return Answer(200, [(SIGNATURE, "signed")], b"", True)

    context.node.gateway.exchanges.run = answer


@when("the health page says {status:d} and another heartbeat that it is ready")
def answer_health(context, status: int) -> None:
    """Probe the target, and take its next heartbeat."""
    context.health = status
    context.node.gateway.probe()
    context.beats += 1
    context.node.target.take(create_beat(context.beats))


@when("an earlier start under the same id says that it leaves for good")
def leave_late(context) -> None:
    """Take a word that was held up."""
    context.node.target.leave(f"{NAME}@{BORN - 1}")


@when("this start says that it leaves for good")
def leave_now(context) -> None:
    """Take the word of the start that runs."""
    context.node.target.leave(f"{NAME}@{BORN}")


@then("it refuses requests as not run")
def check_refuses(context) -> None:
    """Hand a request to the node."""
    code = find_code(deliver(context).code)
    assert INFO[code].outcome is Outcome.NOT_RUN, code


@then("it serves requests")
def check_serves(context) -> None:
    """Hand a request to the node."""
    assert deliver(context).status == 200


def create_beat(sequence: int) -> Heartbeat:
    """Create a heartbeat of the start that runs."""
    name = f"{NAME}@{BORN}"
    return create_heartbeat(
        NAME, service=OTHER_SERVICE, slots=4, target=name, sequence=sequence
    )


def deliver(context):
    """Hand a request without a key to the node beside the target."""
    return context.node.gateway.deliver(create_forward(service=OTHER_SERVICE, key=-1))
