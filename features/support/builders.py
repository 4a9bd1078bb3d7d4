"""Builders of test data: layouts of meshes, configurations, calls, executions."""

from typing import NamedTuple

from knapweedrock.clock import NS_PER_MS
from knapweedrock.configuration import (
    Configuration,
    Rule,
    Service,
    Zone,
    create_configuration,
)
from knapweedrock.history import Call, Execution
from knapweedrock.load.samples import Sample
from knapweedrock.operators.tickets import Ticket

KOWHAI_ZONES = ("nz-north-1", "nz-north-2", "nz-north-3", "nz-north-4")
HEDELMAVERKKO_ZONES = ("helsinki", "espoo", "vantaa")
LONGEST_REQUEST_MS = 2000


class NodeSpec(NamedTuple):
    """One VM of a layout: the node and the target beside it."""

    node_id: str
    zone: str
    service: str
    slots: int = 20
    connections: int = 130
    fenced: bool = True


class Layout(NamedTuple):
    """VMs, zones and services of one mesh."""

    group: str
    region: str
    zones: tuple[str, ...]
    keyed: tuple[str, ...]
    unkeyed: tuple[str, ...]
    nodes: tuple[NodeSpec, ...]


def create_layout(
    counts: dict[str, int],
    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c"),
    unkeyed: tuple[str, ...] = (),
    group: str = "depots",
    region: str = "region-1",
    slots: int = 20,
    connections: int = 130,
    fenced: bool = True,
) -> Layout:
    """Create a layout from counts of targets by service, spread over the zones."""
    services = [name for name, count in counts.items() for _ in range(count)]
    nodes = tuple(
        NodeSpec(
            f"n{index + 1}",
            zones[index % len(zones)],
            service,
            slots,
            connections,
            fenced,
        )
        for index, service in enumerate(services)
    )
    keyed = tuple(name for name in counts if name not in unkeyed)
    return Layout(group, region, tuple(zones), keyed, tuple(unkeyed), nodes)


def create_service(name: str, keyed: bool = True) -> Service:
    """Create a service."""
    return {
        "name": name,
        "keyed": keyed,
        "longest_request_ms": LONGEST_REQUEST_MS,
        "default_deadline_ms": LONGEST_REQUEST_MS,
    }


def create_zone(name: str, region: str = "region-1", state: str = "in") -> Zone:
    """Create an availability zone."""
    return {"name": name, "region": region, "state": state}


def create_rule(service: str, keyed: bool = True) -> Rule:
    """Create the rule of a service: `/<service>/...`, the key in `Order-Key`."""
    rule: Rule = {
        "name": service,
        "path_prefix": f"/{service}",
        "service": service,
        "idempotent": ["GET", "HEAD", "PUT"],
    }
    if keyed:
        rule["key"] = {"kind": "header", "name": "Order-Key"}
    return rule


def create_full_configuration(
    layout: Layout, out: tuple[str, ...] = ()
) -> Configuration:
    """Create the configuration of a layout, with the given zones out."""
    value = create_configuration()
    for name in layout.keyed + layout.unkeyed:
        keyed = name in layout.keyed
        value["services"][name] = create_service(name, keyed)
        value["rules"][name] = create_rule(name, keyed)
    for name in layout.zones:
        state = "out" if name in out else "in"
        value["zones"][name] = create_zone(name, layout.region, state)
    return value


def create_zone_ticket(number: int, layout: Layout, *out: str) -> Ticket:
    """Create the ticket that takes exactly these availability zones out."""
    zones = [
        create_zone(name, layout.region, "out" if name in out else "in")
        for name in layout.zones
    ]
    return {"number": number, "zones": zones}


def create_execution(
    target: str = "t1",
    key: str = "k1",
    token: int = 1,
    start_ms: float = 0,
    end_ms: float = 1,
    order_id: str = "",
    tag: str = "",
) -> Execution:
    """Create an execution from a target's log, with times in milliseconds."""
    start_ns, end_ns = int(start_ms * NS_PER_MS), int(end_ms * NS_PER_MS)
    return Execution(target, "r1", order_id, key, token, start_ns, end_ns, True, tag)


def create_call(
    tag: str = "c1",
    key: str = "k1",
    intended_ms: float = 0,
    end_ms: float = 1,
    outcome: str = "done",
    order_id: str = "",
    answered: bool = True,
    own_answer: bool = True,
) -> Call:
    """Create a caller's record of one request, with times in milliseconds."""
    intended_ns = int(intended_ms * NS_PER_MS)
    return Call(
        tag=tag,
        order_id=order_id,
        service="depot-orders",
        key=key,
        method="GET",
        node="n1",
        intended_ns=intended_ns,
        sent_ns=intended_ns,
        end_ns=int(end_ms * NS_PER_MS),
        status=200 if outcome == "done" else 503,
        code=0,
        outcome=outcome,
        answered=answered,
        own_answer=own_answer,
    )


def create_sample(
    intended_ns: int = 0, end_ns: int = 0, outcome: str = "done", key: str = "k1"
) -> Sample:
    """Create a sample of the load program."""
    return Sample(
        "read", key, "127.0.0.1:1", intended_ns, end_ns, 200, 0, outcome, False
    )
