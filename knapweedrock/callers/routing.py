"""Routing of a request to the node beside a target that may serve it."""

from knapweedrock.callers.attempts import Routed
from knapweedrock.callers.following import create_follower
from knapweedrock.callers.requests import CallerRequest
from knapweedrock.callers.spreading import create_spreader
from knapweedrock.environment import Environment


class Router:
    """Routes requests: keyed ones to the owner, others to a chosen target."""

    def __init__(self, env: Environment) -> None:
        self._follower = create_follower(env)
        self._spreader = create_spreader(env)

    def route(self, request: CallerRequest) -> Routed:
        """Route the request until it has its final result."""
        if request.route.keyed:
            return self._follower.follow(request)
        return self._spreader.spread(request)

    def dump(self) -> dict[str, object]:
        """Return the state of both ways."""
        return {"keyed": self._follower.dump(), "unkeyed": self._spreader.dump()}


def create_router(env: Environment) -> Router:
    """Create the router of a node."""
    return Router(env)
