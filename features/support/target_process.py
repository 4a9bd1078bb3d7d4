"""A target stand-in as a process of its own, and the node's side of it in here."""

import json
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

import gevent
from geventhttpclient import HTTPClient

from knapweedrock.codes import Code
from knapweedrock.environment import Environment
from knapweedrock.errors import RefusalError
from knapweedrock.settings import Address, NodeSettings, TargetSettings
from knapweedrock.targets.delivery import create_delivery
from knapweedrock.targets.server import create_server

ROOT = Path(__file__).resolve().parent.parent.parent
START_TIMEOUT_S = 10.0
LEASE_NS = 3_600_000_000_000
STARTER = """
from gevent import monkey; monkey.patch_all()
import json, sys
from knapweedrock.emulator.target import run
from knapweedrock.settings import Address, TargetSettings
given = json.loads(sys.argv[1])
given["listen"] = Address(*given["listen"])
given["node"] = Address(*given["node"])
run(TargetSettings(**given))
"""


class FakeGrant(NamedTuple):
    """Grant of the fake lease."""

    token: int
    lease_until_ns: int
    since_ms: int


class FakeLease:
    """Lease that grants everything until it is told to refuse."""

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.since_ms = 0
        self.token = 1
        self.refusal: Code | None = None

    def authorize(self, _service: str, _key: str) -> FakeGrant:
        """Grant, or raise the refusal that was set."""
        if self.refusal:
            raise RefusalError(self.refusal, retry_after_ms=10)
        until_ns = self.env.clock.now_ns() + LEASE_NS
        return FakeGrant(self.token, until_ns, self.since_ms)

    def remaining_ms(self) -> float:
        """Return the time that the lease goes on."""
        return LEASE_NS / 1e6


def find_free_address() -> Address:
    """Find a free loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", probe.getsockname()[1])


def create_test_environment(node_id: str = "n1") -> Environment:
    """Create the environment of a node without peers."""
    none = Address("127.0.0.1", 0)
    settings = NodeSettings(
        node_id=node_id,
        cell="c1",
        group="depots",
        zone="zone-a",
        region="region-1",
        caller=none,
        peer=none,
        target=find_free_address(),
        operator=none,
        platform_kind="http",
        platform=none,
        secret="",
        faults_enabled=True,
        drain_ms=5000,
        choice_policy="two-choices",
        copies_enabled=True,
    )
    env = Environment(settings, "i1")
    env.lease = FakeLease(env)
    return env


class TargetProcess:
    """One stand-in process."""

    def __init__(self, node: Address, **changes: Any) -> None:
        self.settings = TargetSettings(
            listen=find_free_address(),
            node=node,
            service="depot-orders",
            zone="zone-a",
            slots=20,
            connections=130,
            fenced=True,
            work_ms=10.0,
            cold_s=0.0,
            cold_slots=20,
            connect_ms=1.0,
            seed=1,
        )._replace(**changes)
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        given = json.dumps(self.settings._asdict())
        self.process = subprocess.Popen(
            [sys.executable, "-c", STARTER, given], cwd=ROOT
        )

    def stop(self) -> None:
        """End the process at once."""
        if self.process:
            self.process.kill()
            self.process.wait()

    def call(self, method: str, path: str, value: Any = None) -> Any:
        """Call the stand-in and return its JSON answer."""
        client = HTTPClient(*self.settings.listen, network_timeout=5.0)
        try:
            body = json.dumps(value or {}).encode()
            response = client.request(method, path, body if method != "GET" else b"")
            return json.loads(bytes(response.read()))
        finally:
            client.close()

    def behave(self, **changes: Any) -> None:
        """Change the behaviour."""
        self.call("POST", "/emulator/behaviour", changes)

    def read_log(self) -> dict[str, Any]:
        """Read what the target truly ran."""
        return self.call("GET", "/emulator/log")


class TargetBench:
    """Delivery in this process beside a stand-in in another."""

    def __init__(self, **changes: Any) -> None:
        self.env = create_test_environment()
        self.delivery = self.env.delivery = create_delivery(self.env)
        self.server = create_server(self.env)
        self.server.start()
        self.target = TargetProcess(self.env.settings.target, **changes)

    def start(self) -> None:
        """Start the stand-in and wait until it announced itself."""
        self.target.start()
        end = time.monotonic() + START_TIMEOUT_S
        while not self.delivery.target.is_live():
            if time.monotonic() > end:
                raise TimeoutError("the target did not announce itself")
            gevent.sleep(0.02)

    def stop(self) -> None:
        """End the stand-in and the server."""
        self.target.stop()
        self.server.close()
