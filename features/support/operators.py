"""An operator server in the test's own process, and commands run beside it."""

import contextlib
import io
import os
import tempfile
from collections.abc import Iterator
from typing import Any, NamedTuple

from features.support.builders_nodes import create_node_settings
from features.support.caller_builders import build_member, build_view
from features.support.memory import MemoryPlatform
from features.support.tickets import GROUP
from knapweedrock.core import run
from knapweedrock.environment import Environment
from knapweedrock.nodes.view import View
from knapweedrock.operators.server import create_server
from knapweedrock.settings import NodeSettings

SERVICE = "depot-orders"
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


def create_view_of_two(settings: NodeSettings) -> View:
    """Create a view with two nodes in two zones; the first owns all keys."""
    listeners = {
        "peer": str(settings.peer),
        "caller": str(settings.caller),
        "operator": str(settings.operator),
    }
    members = [
        build_member(number, SERVICE, node_id=f"n{number}", zone=zone, **listeners)
        for number, zone in ((1, "zone-a"), (2, "zone-b"))
    ]
    view = build_view(members, **{SERVICE: ["n1"]})
    view |= {"cell": settings.cell, "coordinator": "n1", "standby": "n2"}
    table = view["tables"][SERVICE]
    table |= {"cell": settings.cell, "next_token": 8}
    table["ranges"][0] |= {"token": 7, "since_ms": 1_700_000_000_000}
    return view


def create_operator_environment(secret: str) -> Environment:
    """Create an environment with fakes for all that operators look at."""
    settings = create_node_settings(
        node_id="n1", cell="c1", group=GROUP, secret=secret, faults_enabled=False
    )
    env = Environment(settings, "1")
    env.platform = MemoryPlatform()
    env.lease = FakeLease()
    env.views.replace(create_view_of_two(env.settings))
    env.dumps["coordinator"] = FakeCoordinator({"n1": 0, "n2": 0})
    env.dumps["broken"] = BrokenPart()
    env.counters.count("caller_refusals", code="NOT_OWNER")
    return env


def start_operator_server(context, secret: str = "") -> None:
    """Start an operator server and a directory that end with behave's scenario."""
    env = context.env = create_operator_environment(secret)
    env.configuration.replace(1, env.configuration.value)
    context.server = create_server(env)
    context.server.start()
    context.add_cleanup(context.server.stop, timeout=0)
    directory = tempfile.TemporaryDirectory(prefix="knapweedrock-")
    context.add_cleanup(directory.cleanup)
    context.directory = directory.name


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
