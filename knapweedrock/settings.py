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
