"""The deployments that the demo can show."""

from typing import NamedTuple

from knapweedrock.emulator.configurations import HostSpec
from knapweedrock.emulator.local_mesh import VmSpec

HOST = "mesh.example"
REQUEST_TIMEOUT_MS = 2000
TARGET_LATENCY_MS = 500


class Deployment(NamedTuple):
    """Zones, the service whose keys have owners and the one without, and targets."""

    zones: tuple[str, ...]
    keyed: str
    keyed_targets: int
    unkeyed: str
    unkeyed_targets: int


DEPLOYMENTS: dict[str, Deployment] = {
    "kowhai": Deployment(
        ("nz-north-1", "nz-north-2", "nz-north-3", "nz-north-4"),
        "depot-orders",
        9,
        "catalogue",
        4,
    ),
    "hedelmaverkko": Deployment(
        ("helsinki", "espoo", "vantaa"),
        "tilaus",
        8,
        "varasto",
        3,
    ),
}


def create_host_spec(deployment: Deployment) -> HostSpec:
    """Create what callers are offered."""
    return HostSpec(
        HOST,
        deployment.keyed,
        deployment.unkeyed,
        REQUEST_TIMEOUT_MS,
        TARGET_LATENCY_MS,
    )


def list_vm_specs(deployment: Deployment) -> list[VmSpec]:
    """List where targets stand, spread over the zones."""
    services = [deployment.keyed] * deployment.keyed_targets
    services += [deployment.unkeyed] * deployment.unkeyed_targets
    zones = deployment.zones
    return [
        VmSpec(f"n{number}", zones[number % len(zones)], name, name == deployment.keyed)
        for number, name in enumerate(services, 1)
    ]
