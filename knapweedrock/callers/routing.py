"""Routing of a request to the node beside a target that may serve it."""

from typing import NamedTuple

from knapweedrock.callers.attempts import attempt, create_refused
from knapweedrock.callers.requests import CallerRequest
from knapweedrock.codes import Code
from knapweedrock.environment import Environment
from knapweedrock.nodes.messages import Delivered
from knapweedrock.nodes.view import Member, hash_key


class Routed(NamedTuple):
    """A result and the member that it came from, if any."""

    delivered: Delivered
    member: Member | None


class Router:
    """Routes requests: keyed ones to the owner, others to a chosen target."""

    def __init__(self, env: Environment) -> None:
        self._env = env
        self._turn = 0

    def route(self, request: CallerRequest) -> Routed:
        """Route the request until it has its final result."""
        if request.route.keyed:
            return self._route_keyed(request)
        return self._route_unkeyed(request)

    def dump(self) -> dict[str, object]:
        """Return the state of the router."""
        return {"turn": self._turn}

    def _route_keyed(self, request: CallerRequest) -> Routed:
        views = self._env.views
        held = views.find_range(request.route.service, hash_key(request.key))
        owner = views.view["members"].get(held["owner"]) if held else None
        if owner is None:
            return Routed(create_refused(Code.NO_OWNER), None)
        return Routed(attempt(self._env, request, owner), owner)

    def _route_unkeyed(self, request: CallerRequest) -> Routed:
        members = [
            member
            for member in self._env.views.find_members(request.route.service)
            if not self._env.configuration.zone_is_out(member["zone"])
        ]
        if not members:
            return Routed(create_refused(Code.NO_LIVE_TARGET), None)
        self._turn += 1
        member = members[self._turn % len(members)]
        return Routed(attempt(self._env, request, member), member)


def create_router(env: Environment) -> Router:
    """Create the router of a node."""
    return Router(env)
