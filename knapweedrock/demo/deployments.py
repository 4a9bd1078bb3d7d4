"""The deployments that the demo can show."""

from typing import NamedTuple

from knapweedrock.configuration import Configuration, create_configuration

LONGEST_REQUEST_MS = 2000
KEY_HEADER = "Order-Key"


class Deployment(NamedTuple):
    """Zones, the keyed and the undivided service, and what each target bears."""

    group: str
    region: str
    zones: tuple[str, ...]
    keyed: str
    keyed_targets: int
    unkeyed: str
    unkeyed_targets: int
    slots: int
    connections: int


DEPLOYMENTS: dict[str, Deployment] = {
    "kowhai": Deployment(
        "kowhai",
        "nz-north",
        ("nz-north-1", "nz-north-2", "nz-north-3", "nz-north-4"),
        "depot-orders",
        9,
        "catalogue",
        4,
        20,
        130,
    ),
    "hedelmaverkko": Deployment(
        "hedelmaverkko",
        "etela-suomi",
        ("helsinki", "espoo", "vantaa"),
        "tilaus",
        8,
        "varasto",
        3,
        20,
        120,
    ),
}


def list_places(deployment: Deployment) -> list[tuple[str, str]]:
    """List the service and availability zone of each target, spread over the zones."""
    services = [deployment.keyed] * deployment.keyed_targets
    services += [deployment.unkeyed] * deployment.unkeyed_targets
    zones = deployment.zones
    return [(name, zones[index % len(zones)]) for index, name in enumerate(services)]


def create_demo_configuration(
    deployment: Deployment, out: tuple[str, ...] = ()
) -> Configuration:
    """Create the configuration of a deployment with the given zones out."""
    value = create_configuration()
    for name in (deployment.keyed, deployment.unkeyed):
        keyed = name == deployment.keyed
        value["services"][name] = {
            "name": name,
            "keyed": keyed,
            "longest_request_ms": LONGEST_REQUEST_MS,
            "default_deadline_ms": LONGEST_REQUEST_MS,
        }
        value["rules"][name] = {
            "name": name,
            "path_prefix": f"/{name}",
            "service": name,
            "idempotent": ["GET", "HEAD"],
        }
        if keyed:
            value["rules"][name]["key"] = {"kind": "header", "name": KEY_HEADER}
    for name in deployment.zones:
        value["zones"][name] = {
            "name": name,
            "region": deployment.region,
            "state": "out" if name in out else "in",
        }
    return value
