"""Deployments that the demo can run."""

from typing import NamedTuple

from knapweedrock.emulator.configurations import HostSpec
from knapweedrock.emulator.local_mesh import VmSpec

HOST = "mesh.example"
REQUEST_TIMEOUT_MS = 2000
TARGET_LATENCY_MS = 500


class Deployment(NamedTuple):
    """Zones and services of a deployment, with the number of targets per service.

    The keys of the service `keyed` have owners; the service `unkeyed` has no owners.
    """

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
    """Create the specification of the host that callers use."""
    return HostSpec(
        HOST,
        deployment.keyed,
        deployment.unkeyed,
        REQUEST_TIMEOUT_MS,
        TARGET_LATENCY_MS,
    )


def list_vm_specs(deployment: Deployment) -> list[VmSpec]:
    """List the VMs of a deployment, distributed evenly over its zones."""
    services = [deployment.keyed] * deployment.keyed_targets
    services += [deployment.unkeyed] * deployment.unkeyed_targets
    zones = deployment.zones
    return [
        VmSpec(f"n{number}", zones[number % len(zones)], name, name == deployment.keyed)
        for number, name in enumerate(services, 1)
    ]
