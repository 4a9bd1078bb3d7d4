"""A small deployment on loopback: the emulated store, nodes and targets."""

import asyncio
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from review.stand_ins.target import KEY_COUNT, Target
from review.stand_ins.wire import call, encode, get_status

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# Exit status of a case that saw its rule broken; an uncaught error exits with 1, so
# `run.sh` turns this status into 1 and every other one but 0 into 2.
BROKEN = 10
FIRST_PORT, LAST_PORT = 20_000, 32_000
SETTLE_TIMEOUT_S = 30.0
KEY_STEP = 256
CALLER_HOST = "orders.example"
# Delay of the platform before it starts a process again.
RESTART_DELAY_S = 0.3
# Values of `fleetbench wire` for the fields that the template of the settings names.
FIELDS = {
    "heartbeatIntervalMs": 870,
    "bounds.maxHoldMs": 10000,
    "bounds.gracePeriodS": 6,
    "bounds.retryBudgetRatio": 0.2,
    "bounds.retryBudgetSlack": 64,
    "limits.cpuShare": 0.86,
    "limits.cpuCores": 1,
    "limits.linkBandwidthMbps": 1000.0,
}
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")


class Place(NamedTuple):
    """A VM: its name, zone and service, and the addresses of its node and target."""

    name: str
    zone: str
    service: str
    keyed: bool
    target: tuple[str, int]
    caller: tuple[str, int]
    heartbeat: tuple[str, int]
    ready: tuple[str, int]
    peer: tuple[str, int]
    metrics: tuple[str, int]


class Record:
    """Events of a run, which are written to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self.events: list[dict] = []
        self._start_s = time.monotonic()
        self._file = path.open("w")

    def __call__(self, event: str, **fields) -> None:
        """Record an event with its time in s since the start."""
        at_s = round(time.monotonic() - self._start_s, 4)
        entry = {"at_s": at_s, "event": event, **fields}
        self.events.append(entry)
        self._file.write(json.dumps(entry) + "\n")

    def close(self) -> None:
        """Write out the record."""
        self._file.close()


_given_ports: set[int] = set()


def find_port() -> int:
    """Return a free port that was not given out before."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in _given_ports:
            continue
        with suppress(OSError), socket.socket() as sock:
            sock.bind((HOST, port))
            _given_ports.add(port)
            return port


def create_route(prefix: str, kind: str, service: str, **fields) -> dict:
    """Create a route with the values that `fleetbench wire` shows."""
    route = {
        "host": CALLER_HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 600,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
    return route | fields


def create_service(keyed: bool) -> dict:
    """Create a service with the values that `fleetbench wire` shows."""
    service = {
        "healthCheckPath": "/health",
        "connectionLimit": 130,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 28.0,
    }
    if keyed:
        service |= {"sharded": True, "warmupS": 2.0, "grants": "heartbeat"}
    return service


LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class Mesh:
    """Processes of nodes and of the store, with targets in this process."""

    def __init__(self, record: Record, places: int, max_attempts: int = 2) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store_address = (HOST, find_port())
        self.configuration = {
            "version": 7,
            "routes": {
                "order": create_route(
                    "/order/", "unsafe", "orders", maxAttempts=max_attempts
                ),
                "read": create_route("/read/", "safe", "orders"),
            },
            "services": {"orders": create_service(keyed=True)},
            "limits": LIMITS,
        }
        self.places = [self._create_place(number) for number in range(places)]
        self.targets = {
            place.name: Target(
                place.service,
                place.zone,
                place.target,
                place.heartbeat,
                record,
                place.keyed,
            )
            for place in self.places
        }
        self.nodes: dict[str, subprocess.Popen] = {}
        self._processes: list[subprocess.Popen] = []

    async def start(self) -> None:
        """Start everything, and wait until all keys are held and all nodes ready.

        A SIGTERM ends the case like an error, so that it still ends its processes.
        """
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        path = self.folder / "configuration.json"
        path.write_text(json.dumps(self.configuration))
        address = "{}:{}".format(*self.store_address)
        self._spawn(
            f"python3 -m knapweedrock emulate store --listen {address}"
            f" --configuration {path}",
            "store",
            {},
        )
        await asyncio.sleep(0.5)
        for place in self.places:
            self.start_node(place)
        for target in self.targets.values():
            await target.start()
        await self.wait_until_settled()

    async def wait_until_settled(self) -> None:
        """Wait until all keys are held and all nodes ready; raise `TimeoutError`."""
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while not (self.is_held() and await self.is_ready()):
                await asyncio.sleep(0.1)

    def is_held(self) -> bool:
        """Return whether a target holds each of the sampled keys."""
        keyed = [target for target in self.targets.values() if target.keyed]
        return all(
            any(target.find_hold(key) for target in keyed)
            for key in range(0, KEY_COUNT, KEY_STEP)
        )

    async def is_ready(self) -> bool:
        """Return whether all nodes say that they are ready."""
        data = encode("GET /readiness HTTP/1.1", {"Host": "node"})
        for place in self.places:
            reply = await call(place.ready, data, 1.0)
            if reply is None or get_status(reply) != 200:
                return False
        return True

    def start_node(self, place: Place) -> None:
        """Start the process of a node with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        path = self.folder / f"{place.name}.conf"
        path.write_text(self._render((ROOT / role["template"]).read_text(), place))
        variables = dict.fromkeys(role["env"], str(path))
        self.nodes[place.name] = self._spawn(role["run"], place.name, variables)
        self.record("node started", node=place.name)

    def kill_node(self, place: Place) -> None:
        """Kill the process of a node and wait for its end."""
        process = self.nodes.pop(place.name)
        process.kill()
        process.wait()
        self.record("node killed", node=place.name)

    def stop(self) -> None:
        """End all processes that were started, and remove the folder."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _spawn(self, command: str, name: str, variables: dict) -> subprocess.Popen:
        words = shlex.split(command)
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
            **variables,
        }
        with (self.folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._processes.append(process)
        return process

    def _render(self, template: str, place: Place) -> str:
        """Fill in the template of the settings; peers and metrics get own ports."""
        fields = {
            **FIELDS,
            "nodeName": place.name,
            "zone": place.zone,
            "service": place.service,
            "applicationAddress": "{}:{}".format(*place.target),
            "listenAddresses.outbound": "{}:{}".format(*place.caller),
            "listenAddresses.control": "{}:{}".format(*place.heartbeat),
            "listenAddresses.ready": "{}:{}".format(*place.ready),
            "ipAddress": HOST,
            "internalPortRange.0": place.peer[1],
            "internalPortRange.1": place.metrics[1],
            "platform.address": "{}:{}".format(*self.store_address),
        }
        return PLACEHOLDER.sub(lambda match: str(fields[match[1]]), template)

    def _create_place(self, number: int) -> Place:
        zone = f"zone-{'abc'[number % 3]}"
        addresses = [(HOST, find_port()) for _ in range(6)]
        return Place(f"vm-{number}", zone, "orders", True, *addresses)
