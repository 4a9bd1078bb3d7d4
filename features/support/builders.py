"""Builders of test data: layouts of meshes, configurations, calls, executions."""

from typing import NamedTuple

from features.support.history import Call, Execution
from knapweedrock.clock import NS_PER_MS
from knapweedrock.configuration import (
    Configuration,
    Rule,
    Service,
    Zone,
    create_configuration,
)
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


def create_kowhai() -> Layout:
    """Create the mesh of Kōwhai: four zones, nine and four targets."""
    counts = {"depot-orders": 9, "catalogue": 4}
    return create_layout(
        counts, KOWHAI_ZONES, ("catalogue",), "kowhai", "nz-north", 20, 130
    )


def create_hedelmaverkko() -> Layout:
    """Create the mesh of Hedelmäverkko: three zones, eight and three targets."""
    counts = {"tilaus": 8, "varasto": 3}
    return create_layout(
        counts,
        HEDELMAVERKKO_ZONES,
        ("varasto",),
        "hedelmaverkko",
        "etela-suomi",
        20,
        120,
    )


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
    request_id: str = "r1",
    key: str = "k1",
    token: int = 1,
    start_ms: float = 0,
    end_ms: float = 1,
    order_id: str = "",
    finished: bool = True,
) -> Execution:
    """Create an execution from a target's log, with times in milliseconds."""
    return Execution(
        target,
        request_id,
        order_id,
        key,
        token,
        int(start_ms * NS_PER_MS),
        int(end_ms * NS_PER_MS),
        finished,
    )


def create_call(
    tag: str = "c1",
    key: str = "k1",
    intended_ms: float = 0,
    end_ms: float = 1,
    code: int = 0,
    outcome: str = "done",
    order_id: str = "",
    method: str = "GET",
    answered: bool = True,
    own_answer: bool = True,
) -> Call:
    """Create a caller's record of one request, with times in milliseconds."""
    intended_ns = int(intended_ms * NS_PER_MS)
    return Call(
        tag,
        order_id,
        "depot-orders",
        key,
        method,
        "n1",
        intended_ns,
        intended_ns,
        int(end_ms * NS_PER_MS),
        200 if outcome == "done" else 503,
        code,
        outcome,
        answered,
        own_answer,
    )


def create_sample(
    intended_ns: int = 0, end_ns: int = 0, outcome: str = "done", key: str = "k1"
) -> Sample:
    """Create a sample of the load program."""
    return Sample(
        "read", key, "127.0.0.1:1", intended_ns, end_ns, 200, 0, outcome, False
    )
