"""Registry of handlers: which function answers a peer's message of a type."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from knapweedrock.codes import Code
from knapweedrock.errors import LinkError
from knapweedrock.nodes.messages import Done, Probe

if TYPE_CHECKING:
    from knapweedrock.environment import Environment


class Sender(NamedTuple):
    """The peer that sent a request."""

    node_id: str
    incarnation: str


Handler = Callable[["Environment", Sender, Any], Any]
H = TypeVar("H", bound=Handler)

_HANDLERS: dict[type, Handler] = {}


def handles(message_type: type) -> Callable[[H], H]:
    """Register the handler of a message type."""

    def register(handler: H) -> H:
        _HANDLERS[message_type] = handler
        return handler

    return register


def dispatch(env: "Environment", sender: Sender, message: Any) -> Any:
    """Let the registered handler answer a request."""
    handler = _HANDLERS.get(type(message))
    if handler is None:
        raise LinkError(Code.BAD_FRAME, "nobody handles this message")
    return handler(env, sender, message)


@handles(Probe)
def answer_probe(_env: "Environment", _sender: Sender, _probe: Probe) -> Done:
    """Answer that the link is alive."""
    return Done()
