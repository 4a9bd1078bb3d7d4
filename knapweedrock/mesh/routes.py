"""Look-up of routes by host and longest path prefix."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from knapweedrock.mesh.definitions import Route


class HostRoutes:
    """Routes of one host by prefix."""

    def __init__(self) -> None:
        self._by_prefix: dict[str, Route] = {}
        # Lengths of all prefixes, the longest first.
        self._lengths: list[int] = []

    def add(self, route: "Route") -> None:
        """Add a route; the first one with a prefix is kept."""
        self._by_prefix.setdefault(route.prefix, route)

    def finish(self) -> None:
        """Prepare look-ups, once all routes are added."""
        self._lengths = sorted({len(p) for p in self._by_prefix}, reverse=True)

    def find(self, path: str) -> "Route | None":
        """Find the route with the longest prefix of a path."""
        for length in self._lengths:
            if length <= len(path):
                route = self._by_prefix.get(path[:length])
                if route is not None:
                    return route
        return None


class RouteIndex:
    """All routes of a configuration by host.

    The cost of a look-up grows with the number of different lengths of prefixes, not
    with the number of routes.
    """

    def __init__(self, routes: "Iterable[Route]") -> None:
        self._hosts: dict[str, HostRoutes] = {}
        for route in routes:
            self._hosts.setdefault(route.host, HostRoutes()).add(route)
        for host_routes in self._hosts.values():
            host_routes.finish()

    def find(self, host: str, path: str) -> "Route | None":
        """Find the route with the longest matching prefix, or None if there is none."""
        host_routes = self._hosts.get(host)
        return None if host_routes is None else host_routes.find(path)
