"""Requests of callers with the route, service, key and deadlines that apply to them."""

import math
import random
from typing import NamedTuple

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.headers import HOP_BY_HOP_HEADERS
from knapweedrock.mesh.definitions import Configuration, Route, Service, WeightedService
from knapweedrock.mesh.http import Headers, Request
from knapweedrock.mesh.snapshots import KEY_COUNT
from knapweedrock.platform.headers import (
    CALLER_SERVICE,
    REMAINING_MS,
    SET_WITH_WORKSPACES,
    SHARD_KEY,
    WORKSPACE,
)
from knapweedrock.platform.headers import SET_BY_NODES as NODE_HEADERS
from knapweedrock.workspaces.definitions import Workspace
from knapweedrock.workspaces.identity import combine_priorities, identify_workspace

# Multiples of the golden ratio modulo 1 are spread evenly, even the first few of them.
GOLDEN_RATIO_STEP = 0.618033988749895
INITIAL_TURN_COUNT = 1000


class RoutedRequest(NamedTuple):
    """A request with its route; `key` is -1 if the service has no keys.

    The response should arrive by `objective_ns`; at `deadline_ns` the caller gives up.
    A `priority` of 0 is the most urgent. `workspace` is None if the request belongs to
    none.
    """

    request: Request
    route: Route
    service: Service
    key: int
    headers: Headers
    deadline_ns: int
    objective_ns: int
    priority: int
    workspace: Workspace | None = None


class RoutedRequestFactory:
    """Creates routed requests from the requests that enter at one node."""

    def __init__(self, service: str, clock: Clock) -> None:
        """Create a factory; `service` is named to targets as the caller's service."""
        self._service = service
        self._clock = clock
        self._turns: dict[str, int] = {}

    def create(
        self, configuration: Configuration, route: Route, request: Request
    ) -> RoutedRequest:
        """Create a routed request.

        Raises `CREDENTIAL_UNKNOWN`, `BAD_REQUEST` or `UNKNOWN_SERVICE`.
        """
        workspace = identify_workspace(configuration.workspaces, route, request)
        now_ns = self._clock.now_ns()
        remaining_ms = read_remaining_ms(request, route)
        # Time that earlier attempts of the caller used counts against the objective.
        used_ms = max(route.timeout_ms - remaining_ms, 0)
        service = configuration.services.get(self._choose_service(route).service)
        if service is None:
            raise KnapweedrockError(Code.UNKNOWN_SERVICE)
        return RoutedRequest(
            request,
            route,
            service,
            read_key(request) if service.keyed else -1,
            self._create_headers(configuration, request, workspace),
            now_ns + int(min(remaining_ms, route.timeout_ms) * NS_PER_MS),
            now_ns + int((route.objective_ms - used_ms) * NS_PER_MS),
            combine_priorities(workspace, route),
            workspace,
        )

    def _create_headers(
        self,
        configuration: Configuration,
        request: Request,
        workspace: Workspace | None,
    ) -> Headers:
        """Create the headers for the target, without the caller's credential."""
        if configuration.workspaces is None:
            headers = list_forwarded_headers(request, NODE_HEADERS)
        else:
            headers = list_forwarded_headers(request, SET_WITH_WORKSPACES)
        headers.append((CALLER_SERVICE, self._service))
        if workspace is not None:
            headers.append((WORKSPACE, workspace.name))
        return headers

    def _choose_service(self, route: Route) -> WeightedService:
        """Choose a service so that each gets its share even of a few requests."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0]
        turn = self._turns.get(route.name, random.randrange(INITIAL_TURN_COUNT)) + 1
        self._turns[route.name] = turn
        total = sum(weighted.weight for weighted in route.weighted_services)
        point = (turn * GOLDEN_RATIO_STEP) % 1.0 * total
        for weighted in route.weighted_services:
            point -= weighted.weight
            if point < 0:
                return weighted
        return route.weighted_services[-1]


def find_route(configuration: Configuration, request: Request) -> Route | None:
    """Find the route with the longest matching prefix, or None if there is none."""
    host = request.fields.get("host", "").lower().partition(":")[0]
    path = request.target.partition("?")[0]
    return configuration.route_index.find(host, path)


def list_forwarded_headers(request: Request, replaced: frozenset[str]) -> Headers:
    """List the headers of a caller's request that are forwarded to the target.

    Headers named in `replaced` are those that callers can't set.
    """
    connection_field = request.fields.get("connection", "").lower()
    connection_options = (
        {name.strip() for name in connection_field.split(",")}
        if connection_field
        else ()
    )
    return [
        pair
        for pair in request.headers
        if pair[0] not in HOP_BY_HOP_HEADERS
        and pair[0] not in replaced
        and pair[0] not in connection_options
    ]


def read_remaining_ms(request: Request, route: Route) -> float:
    """Read how long the caller still waits, in ms; raises `BAD_REQUEST`."""
    text = request.fields.get(REMAINING_MS, "")
    if not text:
        return route.timeout_ms
    try:
        remaining_ms = float(text)
    except ValueError as error:
        raise KnapweedrockError(Code.BAD_REQUEST, str(error)) from error
    if not math.isfinite(remaining_ms):
        raise KnapweedrockError(
            Code.BAD_REQUEST,
            f"remaining time: expected a finite number, found {text!r}",
        )
    return remaining_ms


def read_key(request: Request) -> int:
    """Read the key of a request, or -1 if it has none; raises `BAD_REQUEST`."""
    text = request.fields.get(SHARD_KEY, "")
    if not text:
        return -1
    return parse_key(text)


def parse_key(text: str) -> int:
    """Parse a key; raises `BAD_REQUEST`."""
    if text.isascii() and text.isdigit():
        digits = text.lstrip("0") or "0"
        # A longer number is no key, and Python refuses to convert very long ones.
        if len(digits) <= len(str(KEY_COUNT)) and int(digits) < KEY_COUNT:
            return int(digits)
    detail = f"key: found {text[:40]!r}, expected 0 to {KEY_COUNT - 1}"
    raise KnapweedrockError(Code.BAD_REQUEST, detail)
