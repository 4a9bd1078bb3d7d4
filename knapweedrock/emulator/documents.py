"""Configurations as operators write them into the store."""

from typing import Any, NamedTuple

HEALTH_PATH = "/health"
CONNECTIONS = 100
COLD_S = 3.0
COLD_RATE = 30.0
WARMUP_S = 2.0
MAX_ATTEMPTS = 2
READ_PREFIX = "/read/"
ORDER_PREFIX = "/order/"
LIST_PREFIX = "/list/"


class Offer(NamedTuple):
    """A host with reads and orders at one service and lists at another one.

    Keys of the first service have owners; the times are those of all its routes.
    """

    host: str
    keyed: str
    unkeyed: str
    timeout_ms: int
    objective_ms: int


def create_document(offer: Offer, version: int = 1) -> dict[str, Any]:
    """Create the configuration of an offer."""
    return {
        "version": version,
        "routes": {
            "read": create_route(offer, READ_PREFIX, "safe", offer.keyed),
            "order": create_route(offer, ORDER_PREFIX, "unsafe", offer.keyed),
            "list": create_route(offer, LIST_PREFIX, "safe", offer.unkeyed),
        },
        "services": {
            offer.keyed: {**create_service(), "sharded": True, "warmupS": WARMUP_S},
            offer.unkeyed: create_service(),
        },
        "limits": {},
    }


def create_route(offer: Offer, prefix: str, kind: str, service: str) -> dict[str, Any]:
    """Create a route below a prefix."""
    return {
        "host": offer.host,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": offer.timeout_ms,
        "targetLatencyMs": offer.objective_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": MAX_ATTEMPTS,
    }


def create_service() -> dict[str, Any]:
    """Create a service."""
    return {
        "healthCheckPath": HEALTH_PATH,
        "connectionLimit": CONNECTIONS,
        "coldStartS": COLD_S,
        "coldPerS": COLD_RATE,
    }
