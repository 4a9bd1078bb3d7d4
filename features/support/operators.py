"""An operator server in the test's own process, and commands run beside it."""

import contextlib
import io
import os
from collections.abc import Iterator
from typing import Any, NamedTuple

from features.support.memory import MemoryPlatform
from features.support.processes import Ports, create_loopback_host
from knapweedrock.core import run
from knapweedrock.environment import Environment
from knapweedrock.nodes.view import View, create_view
from knapweedrock.operators.server import create_server
from knapweedrock.settings import NodeSettings, parse_address

SECRET = "a secret of the tests"
LEASE_MS = 900.0


class Run(NamedTuple):
    """Exit status and output of one command."""

    status: int
    text: str


class FakeLease:
    """Lease that is always held."""

    def remaining_ms(self) -> float:
        """Return the milliseconds left."""
        return LEASE_MS


class FakeCoordinator:
    """Coordinator that heard the members a moment ago, or waits to be one."""

    def __init__(self, versions: dict[str, int], waiting_for: str = "") -> None:
        self.versions = versions
        self.waiting_for = waiting_for

    def status(self) -> dict[str, Any]:
        """Return what was heard."""
        members = {
            name: {"config_version": version, "last_heard_ms": 40}
            for name, version in self.versions.items()
        }
        return {
            "in_office": not self.waiting_for,
            "waiting_for": self.waiting_for,
            "members": members,
        }

    def dump(self) -> dict[str, Any]:
        """Return the state, with what JSON does not know."""
        return {"versions": self.versions, ("odd", 1): {b"bytes", None}}


class BrokenPart:
    """Part whose dump fails."""

    def dump(self) -> dict[str, Any]:
        """Fail."""
        raise RuntimeError("broken on purpose")


def create_node_settings(secret: str = "") -> NodeSettings:
    """Create settings of a node on free loopback addresses."""
    ports = Ports(create_loopback_host())
    addresses = [parse_address(ports.take()) for _ in range(5)]
    return NodeSettings(
        node_id="n1",
        cell="c1",
        group="depots",
        zone="zone-a",
        region="region-1",
        caller=addresses[0],
        peer=addresses[1],
        target=addresses[2],
        operator=addresses[3],
        platform_kind="http",
        platform=addresses[4],
        secret=secret,
        faults_enabled=False,
        drain_ms=1000,
        choice_policy="two-choices",
        copies_enabled=True,
    )


def create_view_of_two(settings: NodeSettings) -> View:
    """Create a view with two nodes in two zones; the first owns all keys."""
    view = create_view(settings.cell)
    ranges = [{"start": 0, "owner": "n1", "incarnation": "1", "token": 7}]
    ranges[0]["since_ms"] = 1_700_000_000_000
    table = {"service": "depot-orders", "cell": "c1", "epoch": 1, "next_token": 8}
    view |= {"epoch": 1, "count": 1, "coordinator": "n1", "standby": "n2"}
    view["tables"] = {"depot-orders": {**table, "ranges": ranges}}
    view["members"] = {
        "n1": create_member("n1", "zone-a", settings),
        "n2": create_member("n2", "zone-b", settings),
    }
    return view


def create_member(node_id: str, zone: str, settings: NodeSettings) -> dict[str, Any]:
    """Create a serving member."""
    return {
        "node_id": node_id,
        "incarnation": "1",
        "zone": zone,
        "peer": str(settings.peer),
        "caller": str(settings.caller),
        "operator": str(settings.operator),
        "state": "serving",
        "service": "depot-orders",
        "slots": 20,
        "connections": 130,
        "fenced": True,
        "cold": False,
    }


def create_operator_environment(secret: str) -> Environment:
    """Create an environment with fakes for all that operators look at."""
    env = Environment(create_node_settings(secret), "1")
    env.platform = MemoryPlatform()
    env.lease = FakeLease()
    env.views.replace(create_view_of_two(env.settings))
    env.dumps["coordinator"] = FakeCoordinator({"n1": 0, "n2": 0})
    env.dumps["broken"] = BrokenPart()
    env.counters.count("caller_refusals", code="NOT_OWNER")
    return env


def start_operator_server(env: Environment):
    """Start the operator server of an environment."""
    server = create_server(env)
    server.start()
    return server


@contextlib.contextmanager
def set_variables(variables: dict[str, str]) -> Iterator[None]:
    """Set environment variables for a while."""
    saved = dict(os.environ)
    os.environ.update(variables)
    try:
        yield
    finally:
        os.environ.clear()
        os.environ.update(saved)


def run_command(arguments: list[str]) -> Run:
    """Run a command of the program in this process."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        status = run(arguments)
    return Run(int(status), output.getvalue())
