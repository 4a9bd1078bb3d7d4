"""Builders of environments for tests of the links between nodes."""

from features.support.caller_builders import build_settings
from features.support.processes import Ports, create_loopback_host
from knapweedrock.environment import Environment
from knapweedrock.nodes.links import create_links
from knapweedrock.settings import NodeSettings, parse_address

LISTENERS = ("caller", "peer", "target", "operator", "platform")
PORTS = Ports(create_loopback_host())


def create_node_settings(**changes: object) -> NodeSettings:
    """Create settings whose listeners have free addresses."""
    addresses = {name: parse_address(PORTS.take()) for name in LISTENERS}
    return build_settings(**addresses, **changes)


def create_linked_environments(secret: str) -> tuple[Environment, Environment]:
    """Create two environments that have links and nothing else."""
    first, second = (
        Environment(
            create_node_settings(node_id=name, secret=secret), f"incarnation-{name}"
        )
        for name in ("first", "second")
    )
    for env in (first, second):
        env.links = create_links(env)
    return first, second
