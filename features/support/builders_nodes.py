"""Builders of environments for tests of the links between nodes."""

import socket

from knapweedrock.environment import Environment
from knapweedrock.nodes.links import create_links
from knapweedrock.settings import Address, NodeSettings

LOOPBACK = "127.0.0.1"


def find_free_address() -> Address:
    """Find a loopback address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return Address(LOOPBACK, sock.getsockname()[1])


def create_node_settings(node_id: str, secret: str) -> NodeSettings:
    """Create settings with free addresses."""
    return NodeSettings(
        node_id=node_id,
        cell="cell-1",
        group="group-1",
        zone="zone-1",
        region="region-1",
        caller=find_free_address(),
        peer=find_free_address(),
        target=find_free_address(),
        operator=find_free_address(),
        platform_kind="http",
        platform=find_free_address(),
        secret=secret,
        faults_enabled=True,
        drain_ms=1000,
        choice_policy="two-choices",
        copies_enabled=True,
    )


def create_linked_environments(secret: str) -> tuple[Environment, Environment]:
    """Create two environments that have links and nothing else."""
    first, second = (
        Environment(create_node_settings(name, secret), f"incarnation-{name}")
        for name in ("first", "second")
    )
    for env in (first, second):
        env.links = create_links(env)
    return first, second
