"""Requests that peers send to the target beside this node."""

from typing import TYPE_CHECKING

from knapweedrock.nodes.handlers import Sender, handles
from knapweedrock.nodes.messages import Deliver, Delivered

if TYPE_CHECKING:
    from knapweedrock.environment import Environment


@handles(Deliver)
def deliver_locally(env: "Environment", _sender: Sender, request: Deliver) -> Delivered:
    """Give a peer's request to the target beside this node."""
    return env.delivery.deliver(request)
