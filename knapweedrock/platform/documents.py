"""Decoding of the operators' configuration, as stored in the platform's store."""

import math
from typing import Any

from knapweedrock.json_input import InputError
from knapweedrock.mesh.definitions import (
    Configuration,
    Limits,
    Route,
    Service,
    WeightedService,
)
from knapweedrock.mesh.routes import RouteIndex
from knapweedrock.workspaces.credentials import Credentials
from knapweedrock.workspaces.definitions import Workspace, Workspaces

# Kinds and names of the objects that operators write.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
EVACUATION_KIND = "evacuations"
# Kinds of the objects that the mesh itself writes.
LEADER_KIND = "knapweedrock-leaders"
TABLE_KIND = "knapweedrock-tables"
IDEMPOTENT_TYPES = frozenset({"safe", "download"})
DEFAULT_OBJECTIVE_MS = 500


def decode_configuration(fields: Any) -> Configuration:
    """Decode a configuration; raise `InputError`."""
    try:
        return build_configuration(fields)
    except (LookupError, TypeError, ValueError, AttributeError, ArithmeticError) as e:
        raise InputError(f"{type(e).__name__}: {e}") from e


def build_configuration(fields: dict[str, Any]) -> Configuration:
    """Build a configuration; raise the error of the first malformed field."""
    routes = [decode_route(name, item) for name, item in fields["routes"].items()]
    routes.sort(key=lambda route: -len(route.prefix))
    return Configuration(
        version=int(fields["version"]),
        routes=tuple(routes),
        services={
            name: decode_service(name, item)
            for name, item in fields["services"].items()
        },
        limits=decode_limits(fields.get("limits") or {}),
        route_index=RouteIndex(routes),
        workspaces=decode_workspaces(fields.get("tenants")),
    )


def decode_route(name: str, item: dict[str, Any]) -> Route:
    """Decode one route."""
    # A route names either one service or several services with weights.
    split = item.get("trafficSplit")
    if split:
        weighted_services = tuple(
            WeightedService(p["service"], float(p["weight"])) for p in split
        )
    else:
        weighted_services = (WeightedService(item["service"], 1.0),)
    return Route(
        name=name,
        host=item["host"].lower(),
        prefix=item["pathPrefix"],
        idempotent=item["routeType"] in IDEMPOTENT_TYPES,
        timeout_ms=float(item["timeoutMs"]),
        objective_ms=float(item.get("targetLatencyMs") or DEFAULT_OBJECTIVE_MS),
        priority=int(item.get("priority", 0)),
        weighted_services=weighted_services,
        max_attempts=int(item.get("maxAttempts", 1)),
        public=bool(item.get("public", False)),
    )


def decode_service(name: str, item: dict[str, Any]) -> Service:
    """Decode one service."""
    return Service(
        name=name,
        health_path=item["healthCheckPath"],
        connection_limit=int(item["connectionLimit"]),
        keyed=bool(item.get("sharded", False)),
        cold_s=float(item.get("coldStartS", 0)),
        cold_rate=float(item.get("coldPerS", 0)),
        warmup_s=float(item.get("warmupS", 0)),
    )


def decode_limits(item: dict[str, Any]) -> Limits:
    """Decode the limits on callers; a limit that is not set gets its default."""
    defaults = Limits()
    return Limits(
        int(item.get("maxHeaderBytes", defaults.max_header_bytes)),
        int(item.get("maxBodyBytes", defaults.max_body_bytes)),
        float(item.get("headerTimeoutMs", defaults.header_timeout_ms)),
        float(item.get("idleTimeoutMs", defaults.idle_timeout_ms)),
    )


def decode_workspaces(items: dict[str, Any] | None) -> Workspaces | None:
    """Decode the workspaces and their credentials; None if there is no such list."""
    if items is None:
        return None
    credentials = Credentials()
    by_name = {}
    for name, item in items.items():
        by_name[name] = decode_workspace(name, item)
        credentials.add_all(name, decode_credentials(name, item))
    return Workspaces(by_name, credentials)


def decode_workspace(name: str, item: dict[str, Any]) -> Workspace:
    """Decode one workspace."""
    return Workspace(
        name=name,
        priority=int(item.get("priority") or 0),
        rate_per_s=decode_quota(name, "ratePerS", item),
        burst=decode_quota(name, "burst", item),
    )


def decode_quota(workspace: str, field: str, item: dict[str, Any]) -> float:
    """Decode a number of a quota, 0 by default; raise `InputError` if it is odd."""
    value = item.get(field) or 0
    if type(value) not in (int, float) or not math.isfinite(value) or value < 0:
        raise InputError(
            f"workspace {workspace!r}: {field}: found {value!r}, expected 0 or more"
        )
    return float(value)


def decode_credentials(workspace: str, item: dict[str, Any]) -> list[str]:
    """Return the credentials of a workspace; raise `InputError` if they are no list."""
    credentials = item.get("apiKeys") or []
    if not isinstance(credentials, list):
        raise InputError(f"workspace {workspace!r}: apiKeys: expected a list")
    return credentials
