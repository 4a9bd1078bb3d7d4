"""Rules of the configuration, compiled for lookup by path."""

from typing import NamedTuple
from urllib.parse import unquote

from knapweedrock.configuration import (
    Configuration,
    ConfigurationHolder,
    KeySource,
    Rule,
    Service,
)

DEFAULT_IDEMPOTENT = frozenset({"GET", "HEAD", "OPTIONS"})
ENCODED_SLASH = "%2f"


class Route(NamedTuple):
    """A rule joined with what its service says."""

    name: str
    prefix: str
    service: str
    keyed: bool
    key: KeySource | None
    idempotent: frozenset[str]
    longest_request_ms: int
    default_deadline_ms: int


def trim_prefix(path_prefix: str) -> str:
    """Bring a prefix to the form used for lookup, without a closing slash."""
    return path_prefix.rstrip("/")


def decode_segment(segment: str) -> str:
    """Decode one path segment, but leave one with an encoded slash as it is."""
    if ENCODED_SLASH in segment.lower():
        return segment
    return unquote(segment)


def create_route(rule: Rule, service: Service) -> Route:
    """Create the route of one rule."""
    longest_ms = service["longest_request_ms"]
    return Route(
        name=rule["name"],
        prefix=trim_prefix(rule["path_prefix"]),
        service=service["name"],
        keyed=service["keyed"],
        key=rule.get("key"),
        idempotent=frozenset(rule.get("idempotent", DEFAULT_IDEMPOTENT)),
        longest_request_ms=longest_ms,
        default_deadline_ms=min(
            service.get("default_deadline_ms", longest_ms), longest_ms
        ),
    )


def compile_rules(configuration: Configuration) -> dict[str, Route]:
    """Map each path prefix to its route; rules of unknown services are left out."""
    services = configuration["services"]
    routes = [
        create_route(rule, services[rule["service"]])
        for rule in configuration["rules"].values()
        if rule["service"] in services
    ]
    return {route.prefix: route for route in routes}


class RouteTable:
    """Routes of the configuration in force, compiled once for each version."""

    def __init__(self, configuration: ConfigurationHolder) -> None:
        self._configuration = configuration
        self._version = -1
        self._routes: dict[str, Route] = {}

    def find(self, path: str) -> Route | None:
        """Find the route with the longest prefix of whole path segments."""
        if self._configuration.version != self._version:
            self._routes = compile_rules(self._configuration.value)
            self._version = self._configuration.version
        if "%" in path:
            path = "/".join(decode_segment(part) for part in path.split("/"))
        return self._find_longest(path.rstrip("/"))

    def _find_longest(self, path: str) -> Route | None:
        while True:
            route = self._routes.get(path)
            if route is not None or not path:
                return route
            path = path[: path.rfind("/")]
