"""Builders of settings, configurations, members and views for the ingress."""

from knapweedrock.callers.deadlines import Deadline
from knapweedrock.callers.requests import CallerRequest
from knapweedrock.callers.rules import create_route
from knapweedrock.configuration import (
    Configuration,
    Rule,
    Service,
    create_configuration,
)
from knapweedrock.environment import Environment
from knapweedrock.nodes.view import HASH_SPACE, Member, Range, View, create_view
from knapweedrock.settings import Address, NodeSettings

LOOPBACK = "127.0.0.1"


def build_settings(**changes: object) -> NodeSettings:
    """Build the settings of a node whose listeners get free ports."""
    listener = Address(LOOPBACK, 0)
    settings = NodeSettings(
        node_id="node-0",
        cell="cell-a",
        group="test",
        zone="zone-a",
        region="nz-north",
        caller=listener,
        peer=listener,
        target=listener,
        operator=listener,
        platform_kind="emulator",
        platform=listener,
        secret="",
        faults_enabled=True,
        drain_ms=2000,
        choice_policy="two-choices",
        copies_enabled=True,
    )
    return settings._replace(**changes)


def build_service(name: str, keyed: bool, **changes: object) -> Service:
    """Build a service whose requests take at most 5 s."""
    service: Service = {"name": name, "keyed": keyed, "longest_request_ms": 5000}
    return {**service, **changes}


def build_rule(name: str, prefix: str, service: str, **changes: object) -> Rule:
    """Build a rule that sends a path prefix to a service."""
    rule: Rule = {"name": name, "path_prefix": prefix, "service": service}
    return {**rule, **changes}


def build_configuration() -> Configuration:
    """Build the services of a small mesh: keyed orders and an unkeyed catalogue."""
    value = create_configuration()
    value["services"] = {
        "orders": build_service("orders", True),
        "catalogue": build_service("catalogue", False),
    }
    rules = [
        build_rule(
            "orders", "/orders", "orders", key={"kind": "header", "name": "Depot"}
        ),
        build_rule("depots", "/depots", "orders", key={"kind": "segment", "name": "1"}),
        build_rule("stock", "/stock", "orders", key={"kind": "query", "name": "depot"}),
        build_rule("catalogue", "/catalogue", "catalogue"),
    ]
    value["rules"] = {rule["name"]: rule for rule in rules}
    return value


def build_member(number: int, service: str, **changes: object) -> Member:
    """Build a serving member of the cell."""
    member: Member = {
        "node_id": f"node-{number}",
        "incarnation": "1",
        "zone": "zone-a",
        "peer": f"127.0.0.2:{7000 + number}",
        "caller": f"127.0.0.2:{8000 + number}",
        "operator": f"127.0.0.2:{9000 + number}",
        "state": "serving",
        "service": service,
        "slots": 20,
        "connections": 130,
        "fenced": True,
        "cold": False,
    }
    return {**member, **changes}


def build_ranges(owners: list[str]) -> list[Range]:
    """Build equal ranges, one for each owner."""
    return [
        {
            "start": index * HASH_SPACE // len(owners),
            "owner": owner,
            "incarnation": "1",
            "token": index + 1,
            "since_ms": 0,
        }
        for index, owner in enumerate(owners)
    ]


def build_view(members: list[Member], count: int = 1, **owners: list[str]) -> View:
    """Build a view; `owners` lists for each keyed service who owns its ranges."""
    view = create_view("cell-a")
    view.update(epoch=1, count=count, coordinator="node-0")
    view["members"] = {member["node_id"]: member for member in members}
    view["tables"] = {
        name: {
            "service": name,
            "cell": "cell-a",
            "epoch": 1,
            "next_token": len(names) + 1,
            "ranges": build_ranges(names),
        }
        for name, names in owners.items()
    }
    return view


def build_caller_request(
    env: Environment, service: str, number: int = 0, **changes: object
) -> CallerRequest:
    """Build a checked idempotent request, told apart from others by its number."""
    configuration = env.configuration.value
    rule = next(r for r in configuration["rules"].values() if r["service"] == service)
    request = CallerRequest(
        route=create_route(rule, configuration["services"][service]),
        key="",
        method="GET",
        path=f"/{service}/{number}",
        headers=[],
        body=b"",
        deadline=Deadline(env.clock, 5000),
        order_id="",
        idempotent=True,
        caller=LOOPBACK,
    )
    return request._replace(**changes)
