"""Mesh configurations in the format that operators write to the store."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from knapweedrock.model.patterns import Kind, ServiceSpec

HEALTH_PATH = "/health"
CONNECTION_LIMIT = 100
COLD_START_S = 3.0
COLD_REQUESTS_PER_S = 30.0
WARMUP_S = 2.0
MAX_ATTEMPTS = 2
READ_PREFIX = "/read/"
ORDER_PREFIX = "/order/"
LIST_PREFIX = "/list/"


class HostSpec(NamedTuple):
    """A host that routes reads and orders to one service and lists to another.

    The keys of the service `keyed` have owners. `timeout_ms` and `objective_ms`, the
    target latency, apply to all routes.
    """

    host: str
    keyed: str
    unkeyed: str
    timeout_ms: int
    objective_ms: int


def create_document(spec: HostSpec, version: int = 1) -> dict[str, Any]:
    """Create the configuration of a host."""
    return {
        "version": version,
        "routes": {
            "read": create_route(spec, READ_PREFIX, "safe", spec.keyed),
            "order": create_route(spec, ORDER_PREFIX, "unsafe", spec.keyed),
            "list": create_route(spec, LIST_PREFIX, "safe", spec.unkeyed),
        },
        "services": {
            spec.keyed: {**create_service(), "sharded": True, "warmupS": WARMUP_S},
            spec.unkeyed: create_service(),
        },
        "limits": {},
    }


def create_route(
    spec: HostSpec, prefix: str, kind: str, service: str
) -> dict[str, Any]:
    """Create a route for a path prefix."""
    return {
        "host": spec.host,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": spec.timeout_ms,
        "targetLatencyMs": spec.objective_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": MAX_ATTEMPTS,
    }


def create_service() -> dict[str, Any]:
    """Create a service definition."""
    return {
        "healthCheckPath": HEALTH_PATH,
        "connectionLimit": CONNECTION_LIMIT,
        "coldStartS": COLD_START_S,
        "coldPerS": COLD_REQUESTS_PER_S,
    }


def create_kinds_document(
    host: str, services: Iterable[ServiceSpec], kinds: Iterable[Kind], version: int
) -> dict[str, Any]:
    """Create the configuration of a host with one route for each kind of request."""
    return {
        "version": version,
        "routes": {
            kind.name: {
                "host": host,
                "pathPrefix": f"/{kind.name}/",
                "routeType": "safe" if kind.idempotent else "unsafe",
                "timeoutMs": kind.deadline_ms,
                "targetLatencyMs": kind.objective_ms,
                "priority": kind.priority,
                "service": kind.service,
                "maxAttempts": MAX_ATTEMPTS,
            }
            for kind in kinds
        },
        "services": {
            spec.name: create_service()
            | {"sharded": spec.keyed, "coldPerS": spec.cold_rate}
            for spec in services
        },
        "limits": {},
    }
