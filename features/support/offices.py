"""Environments, clocks and offices of tests about one part of a coordinator."""

from types import SimpleNamespace

from features.support.builders_nodes import create_node_settings
from features.support.memory import MemoryPlatform
from knapweedrock.clock import NS_PER_MS, NS_PER_S
from knapweedrock.environment import Environment
from knapweedrock.nodes.cell import name_table
from knapweedrock.nodes.messages import Heartbeat
from knapweedrock.nodes.roster import Process

SERVICE = "depot-orders"
CELL = "cell-1"
TABLE = name_table(SERVICE, CELL)


class FakeClock:
    """Clock that stands still until it is moved."""

    def __init__(self) -> None:
        self.ns = NS_PER_S

    def now_ns(self) -> int:
        """Return the time."""
        return self.ns

    def wall_ms(self) -> int:
        """Return the time as that of a day, which stands still too."""
        return self.ns // NS_PER_MS


def create_environment() -> Environment:
    """Create the environment of a node with a platform and a clock in here."""
    settings = create_node_settings(node_id="node-1", cell=CELL)
    env = Environment(settings, "incarnation", FakeClock())
    env.platform = MemoryPlatform()
    env.coordinator = SimpleNamespace(platform_ok=True)
    return env


class FakeOffice:
    """Office that ends by word alone."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.ended = False

    def end(self, _reason: str) -> None:
        """Stop acting for good."""
        self.ended = True


def create_heartbeat(incarnation: str, peer: str | None) -> Heartbeat:
    """Create a heartbeat, with a member where there is an address."""
    member = {"incarnation": incarnation, "peer": peer, "fenced": True}
    return Heartbeat(
        CELL, "node-2", incarnation, 1, 1, 1, 0, True, member if peer else None
    )


def read_process(heartbeat: Heartbeat) -> Process:
    """Read which process sent a heartbeat."""
    return Process(heartbeat.node_id, heartbeat.incarnation)
