"""Settings of a node, as given by flags and environment variables."""

from typing import NamedTuple


class Address(NamedTuple):
    """IP address and port of a listener."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class NodeSettings(NamedTuple):
    """Checked settings of one node process."""

    node_id: str
    cell: str
    group: str
    zone: str
    region: str
    caller: Address
    peer: Address
    target: Address
    operator: Address
    platform_kind: str
    platform: Address
    secret: str
    faults_enabled: bool
    drain_ms: int
    choice_policy: str
    copies_enabled: bool


class TargetSettings(NamedTuple):
    """Checked settings of one target stand-in.

    `node` is the target address of the node beside it; `cold_s` is how long a
    cold start lasts, during which it bears `cold_slots` requests at once.
    """

    listen: Address
    node: Address
    service: str
    zone: str
    slots: int
    connections: int
    fenced: bool
    work_ms: float
    cold_s: float
    cold_slots: int
    connect_ms: float
    seed: int
