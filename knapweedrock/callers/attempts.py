"""One attempt to have a request delivered at one node."""

from typing import NamedTuple

from knapweedrock.callers.requests import CallerRequest
from knapweedrock.codes import INFO, Code, Outcome
from knapweedrock.environment import Environment
from knapweedrock.errors import KnapweedrockError
from knapweedrock.nodes.messages import Deliver, Delivered
from knapweedrock.nodes.view import Member

# Left for the way back, so that the answer of the node beside the target wins.
RETURN_MS = 5


class Routed(NamedTuple):
    """A result and the member that it came from, if any."""

    delivered: Delivered
    member: Member | None


def settle(final: Routed, uncertain: Routed | None) -> Routed:
    """Return the result that is true of all attempts together.

    A last attempt that did not run says nothing of an earlier one that may have.
    """
    if uncertain is None:
        return final
    outcome = INFO[Code(final.delivered.code)].outcome
    return uncertain if outcome == Outcome.NOT_RUN else final


def find_uncertain(routed: Routed) -> Routed | None:
    """Return the result if its attempt may have run, else None."""
    outcome = INFO[Code(routed.delivered.code)].outcome
    return routed if outcome == Outcome.MAY_HAVE_RUN else None


def create_refused(code: Code, detail: str = "", retry_after_ms: int = 0) -> Delivered:
    """Create the result of an attempt that failed on this side."""
    return Delivered(int(code), 0, [], b"", detail, retry_after_ms, (0, 0))


def create_deliver(env: Environment, request: CallerRequest) -> Deliver:
    """Create the message for the node beside the target."""
    return Deliver(
        service=request.route.service,
        key=request.key,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        remaining_ms=max(request.deadline.remaining_ms() - RETURN_MS, 1),
        order_id=request.order_id,
        idempotent=request.idempotent,
        caller=request.caller,
        view=tuple(env.views.version),
    )


def attempt(env: Environment, request: CallerRequest, member: Member) -> Delivered:
    """Have the request delivered by the member; a failed link becomes a result."""
    message = create_deliver(env, request)
    if member["node_id"] == env.settings.node_id:
        return env.delivery.deliver(message)
    env.counters.count("caller_forwards")
    timeout_ms = max(request.deadline.remaining_ms(), 1)
    try:
        return env.links.request(
            member["peer"], member["node_id"], message, timeout_ms=timeout_ms
        )
    except KnapweedrockError as error:
        retry_after_ms = getattr(error, "retry_after_ms", 0)
        return create_refused(error.code, error.detail, retry_after_ms)
