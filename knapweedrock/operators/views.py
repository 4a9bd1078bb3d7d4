"""Pages of a node for operators."""

from typing import TYPE_CHECKING, Any, get_type_hints

import msgspec

from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.faults import Cuts
from knapweedrock.operators.application import apply_ticket
from knapweedrock.operators.client import fetch_json
from knapweedrock.operators.dumps import create_dump
from knapweedrock.operators.files import read_ticket
from knapweedrock.operators.metrics import render_metrics
from knapweedrock.operators.overview import create_overview
from knapweedrock.operators.owners import find_owner
from knapweedrock.operators.pages import Answer, Request, answer_json, page
from knapweedrock.settings import parse_address

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

TEXT_TYPE = "text/plain; charset=utf-8"
COORDINATOR_TIMEOUT_MS = 800
SUFFIXES = {"application/toml": ".toml", "text/toml": ".toml"}


@page("GET", "/metrics", public=True)
def show_metrics(env: "Environment", request: Request) -> Answer:
    """Show counters and gauges."""
    content, content_type = render_metrics(env)
    return Answer(200, content_type, content)


@page("GET", "/healthz", public=True)
def show_health(env: "Environment", request: Request) -> Answer:
    """Tell that the process answers."""
    return Answer(200, TEXT_TYPE, b"ok\n")


@page("GET", "/readyz", public=True)
def show_readiness(env: "Environment", request: Request) -> Answer:
    """Tell whether the node holds a lease and a configuration."""
    if not hasattr(env, "lease") or env.lease.remaining_ms() <= 0:
        raise KnapweedrockError(Code.LEASE_LAPSED)
    if not env.configuration.version:
        raise KnapweedrockError(Code.CONFIG_STALE)
    return Answer(200, TEXT_TYPE, b"ready\n")


@page("GET", "/dump")
def show_dump(env: "Environment", request: Request) -> Answer:
    """Show the whole state of the process."""
    return answer_json(create_dump(env))


@page("GET", "/status")
def show_status(env: "Environment", request: Request) -> Answer:
    """Show the cell, asking its coordinator for what it heard."""
    own = find_own_status(env)
    if request.query.get("part") == "coordinator":
        return answer_json(own)
    if not own.get("in_office"):
        waiting_for = own.get("waiting_for", "")
        own = {"waiting_for": waiting_for, **fetch_coordinator_status(env)}
    return answer_json(create_overview(env, own))


def find_own_status(env: "Environment") -> dict[str, Any]:
    """Return what this node knows as coordinator."""
    part = env.dumps.get("coordinator")
    return part.status() if hasattr(part, "status") else {}


def fetch_coordinator_status(env: "Environment") -> dict[str, Any]:
    """Ask the coordinator for what it heard; empty where it does not answer."""
    view = env.views.view
    member = view["members"].get(view["coordinator"])
    if member is None or view["coordinator"] == env.settings.node_id:
        return {}
    try:
        return fetch_json(
            parse_address(member["operator"]),
            "GET",
            "/status?part=coordinator",
            secret=env.settings.secret,
            timeout_ms=COORDINATOR_TIMEOUT_MS,
        )
    except (KnapweedrockError, ValueError):
        return {}


@page("GET", "/owner")
def show_owner(env: "Environment", request: Request) -> Answer:
    """Show who owns a key."""
    query = request.query
    return answer_json(find_owner(env, query.get("service", ""), query.get("key", "")))


@page("GET", "/tickets")
def show_tickets(env: "Environment", request: Request) -> Answer:
    """Show the configuration in force at this node."""
    held = env.configuration
    return answer_json({"version": held.version, "value": held.value})


@page("POST", "/tickets")
def accept_ticket(env: "Environment", request: Request) -> Answer:
    """Apply a ticket in JSON, or in TOML if the content type says so."""
    content_type = request.content_type.partition(";")[0].strip().lower()
    suffix = SUFFIXES.get(content_type, ".json")
    ticket = read_ticket(request.body, "ticket", suffix)
    members = env.views.view["members"].values()
    zones = frozenset(member["zone"] for member in members)
    applied = apply_ticket(env.platform, env.settings.group, ticket, zones)
    env.counters.count("tickets_applied", repeated=str(applied.repeated).lower())
    return answer_json({"code": int(Code.DONE), **applied._asdict()})


@page("POST", "/faults")
def set_faults(env: "Environment", request: Request) -> Answer:
    """Set the cuts of a failure test."""
    if not env.settings.faults_enabled:
        raise KnapweedrockError(Code.BAD_PATH)
    try:
        given = msgspec.json.decode(request.body, type=dict[str, Any])
        env.faults.cuts = create_cuts(given)
    except (ValueError, RecursionError) as error:
        raise KnapweedrockError(Code.BAD_REQUEST, str(error)) from None
    return answer_json({"code": int(Code.DONE)})


def create_cuts(given: dict[str, Any]) -> Cuts:
    """Create cuts from JSON; raise ValueError if it does not fit."""
    unknown = given.keys() - set(Cuts._fields)
    if unknown:
        raise ValueError(f"unknown fields {sorted(unknown)}")
    hints = get_type_hints(Cuts)
    return Cuts(
        **{name: msgspec.convert(value, hints[name]) for name, value in given.items()}
    )
