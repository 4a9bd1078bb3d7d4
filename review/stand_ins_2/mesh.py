"""A small deployment on loopback: processes of the deploy file beside stand-ins."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from review.stand_ins_2.backend import KEY_COUNT, Backend
from review.stand_ins_2.http import LOOPBACK, HttpConnection
from review.stand_ins_2.store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
REGION = "nz-north"
HEARTBEAT_INTERVAL_MS = 870
# The bounds of the sheet of kowhai-mesh.
BOUNDS = {
    "stableWindowMs": 3000,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 6,
    "configurationApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 64,
    "evacuationMs": 5000,
    "maxHoldMs": 10000,
    "thawSlackMs": 300,
}
FIRST_PORT = 18000
LAST_PORT = 32000
FOUND_PORTS: set[int] = set()
CLIENT_LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 1 << 20,
    "headerTimeoutMs": 5000,
    "idleTimeoutMs": 10000,
}
LIMITS = {
    "cpuShare": 0.86,
    "cpuCores": 1,
    "memoryMb": 300,
    "fileDescriptors": 4100,
    "linkBandwidthMbps": 1000.0,
}
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(?:\|(json))?\}\}")
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
HOST = "shop.example"


class Record:
    """The record of a run, with the time since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line to the file and to standard output."""
        line = f"{time.monotonic() - self._start_s:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()

    def write(self, text: str) -> None:
        """Write a line to the file only."""
        self._file.write(text + "\n")

    def at(self, moment_s: float) -> float:
        """Return the time of a moment since the start."""
        return moment_s - self._start_s


def find_port() -> int:
    """Return a free port on loopback, below those of outgoing connections."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in FOUND_PORTS:
            continue
        FOUND_PORTS.add(port)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((LOOPBACK, port))
            return port


def look_up(fields: dict[str, Any], path: str) -> Any:
    """Return the value of a dotted path in nested fields, None if there is none."""
    value: Any = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings as DEPLOY.md describes it."""

    def fill(match: re.Match) -> str:
        value = look_up(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    def choose(match: re.Match) -> str:
        return match[2] if look_up(fields, match[1]) is not None else ""

    return PLACEHOLDER.sub(fill, SECTION.sub(choose, template))


class Machine:
    """A machine: a process of the role `node` beside one backend."""

    def __init__(
        self, name: str, zone: str, service: str, store: Store, folder: Path, log
    ) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        self.application = find_port()
        self.outbound = find_port()
        self.ready = find_port()
        self.control = find_port()
        self.internal = [find_port(), find_port()]
        self.backend: Backend | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.lives: list[Backend] = []
        self._store = store
        self._folder = folder
        self._log = log

    def describe(self) -> dict[str, Any]:
        """Return the fields from which the template is filled in."""
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "region": REGION,
            "service": self.service,
            "ipAddress": LOOPBACK,
            "applicationAddress": f"{LOOPBACK}:{self.application}",
            "listenAddresses": {
                "outbound": f"{LOOPBACK}:{self.outbound}",
                "control": f"{LOOPBACK}:{self.control}",
                "ready": f"{LOOPBACK}:{self.ready}",
            },
            "internalPortRange": self.internal,
            "platform": {"address": f"{LOOPBACK}:{self._store.server.port}"},
            "heartbeatIntervalMs": HEARTBEAT_INTERVAL_MS,
            "bounds": BOUNDS,
            "limits": LIMITS,
        }

    async def start_process(self) -> None:
        """Start the program with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        settings = self._folder / f"{self.name}.conf"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(render(template, self.describe()))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        environment |= dict.fromkeys(role["env"], str(settings))
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self._log(f"{self.name}: process started, pid {self.process.pid}")

    def read_log(self) -> str:
        """Return what the processes of this machine have logged."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    async def end_process(self, number: signal.Signals) -> None:
        """Send a signal, wait for the end, and kill after `gracePeriodS`."""
        process, self.process = self.process, None
        self._log(f"{self.name}: {number.name}")
        with suppress(ProcessLookupError):
            process.send_signal(number)
        try:
            await asyncio.wait_for(process.wait(), BOUNDS["gracePeriodS"])
        except TimeoutError:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        self._log(f"{self.name}: process ended, status {process.returncode}")

    async def start_backend(self, phase_s: float = 0.0, **options: Any) -> None:
        """Start a new life of the backend, with an id of its own."""
        self.backend = Backend(
            f"i-{self.name}-{len(self.lives) + 1}",
            self.service,
            self.zone,
            self.application,
            self.control,
            HEARTBEAT_INTERVAL_MS / 1000,
            self._log,
            **options,
        )
        self.lives.append(self.backend)
        await self.backend.start(phase_s)

    async def is_ready(self) -> bool:
        """Return whether the process answers the readiness check with 200."""
        connection = HttpConnection(self.ready)
        try:
            response = await connection.request(
                "GET", "/readiness", {"Host": "node"}, b"", 1.0
            )
        except OSError:
            return False
        finally:
            connection.close()
        return response.status == 200


class Outcome(NamedTuple):
    """What a client saw of one attempt; a status of 0 is a failed connection."""

    at_s: float
    attempt: str
    machine: str
    key: int
    status: int
    ms: float


class Mesh:
    """Machines, the store, clients and a monitor of the holds."""

    def __init__(self, log: Record) -> None:
        self.log = log
        self._folder = tempfile.TemporaryDirectory()
        self.store = Store(find_port(), log)
        self.machines: dict[str, Machine] = {}
        self.outcomes: list[Outcome] = []
        self.version = 0
        self._tasks: list[asyncio.Task] = []
        self._numbers = iter(range(1, 1 << 30))

    def configure(
        self, service: str, limits: dict[str, int] = CLIENT_LIMITS, **options: Any
    ) -> None:
        """Write a configuration with a route of each type to one service."""
        self.version += 3
        route = {"host": HOST, "service": service, "priority": 1, "maxAttempts": 2}
        times = {"timeoutMs": 1200, "targetLatencyMs": 500}
        self.store.write(
            "config",
            "main",
            {
                "version": self.version,
                "routes": {
                    "stock": {
                        **route,
                        **times,
                        "pathPrefix": "/stock/",
                        "routeType": "safe",
                    },
                    "cert": {
                        **route,
                        **times,
                        "pathPrefix": "/cert/",
                        "routeType": "download",
                    },
                    "order": {
                        **route,
                        **times,
                        "pathPrefix": "/order/",
                        "routeType": "unsafe",
                    },
                },
                "services": {
                    service: {
                        "healthCheckPath": "/health",
                        "connectionLimit": 130,
                        "sharded": True,
                        "coldStartS": 0,
                        "coldPerS": 0,
                        "warmupS": 2,
                        **options,
                    }
                },
                "limits": limits,
            },
        )

    def add_machine(self, name: str, zone: str, service: str) -> Machine:
        """Add a machine without starting anything on it."""
        folder = Path(self._folder.name)
        machine = Machine(name, zone, service, self.store, folder, self.log)
        self.machines[name] = machine
        return machine

    def list_lives(self) -> list[Backend]:
        """List all lives of all backends."""
        return [life for machine in self.machines.values() for life in machine.lives]

    async def wait_until_held(self, timeout_s: float = 20.0) -> None:
        """Wait until every key is held and every process is ready."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            held = sum(
                hold.end - hold.start + 1
                for life in self.list_lives()
                if life.up
                for hold in life.list_unexpired()
            )
            running = [m for m in self.machines.values() if m.process is not None]
            ready = [await machine.is_ready() for machine in running]
            if held >= KEY_COUNT and all(ready):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the deployment did not settle")

    def read_leader(self) -> str:
        """Return the name of the machine that the leader record names."""
        records = self.store.kinds.get("knapweedrock-leaders", {})
        return records["coordinator"]["specification"]["node"]

    def start_clients(self, per_s: float, machines: list[Machine], seed: int) -> None:
        """Start one client per machine, each with a rate of requests."""
        for number, machine in enumerate(machines):
            run = self._run_client(machine, per_s, seed + number)
            self._tasks.append(asyncio.create_task(run))

    async def send(
        self,
        connection: HttpConnection,
        machine: Machine,
        key: int,
        path: str = "/stock/1",
        method: str = "GET",
        body: bytes = b"",
    ) -> Outcome:
        """Send one attempt and record what came of it."""
        attempt = f"a{next(self._numbers):08d}"
        sent_s = time.monotonic()
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Timeout-Remaining": "1200",
        }
        if key >= 0:
            headers["X-Shard-Key"] = str(key)
        try:
            response = await connection.request(method, path, headers, body, 1.7)
            status = response.status
        except OSError:
            status = 0
        took_ms = (time.monotonic() - sent_s) * 1000
        outcome = Outcome(sent_s, attempt, machine.name, key, status, took_ms)
        self.outcomes.append(outcome)
        return outcome

    async def _run_client(self, machine: Machine, per_s: float, seed: int) -> None:
        connections = [HttpConnection(machine.outbound) for _ in range(4)]
        state = seed
        pending: set[asyncio.Task] = set()
        number = 0
        while True:
            await asyncio.sleep(1 / per_s)
            if machine.process is None or len(pending) >= len(connections):
                continue
            state = (state * 1103515245 + 12345) % (1 << 31)
            number += 1
            free = connections.pop(0)
            task = asyncio.create_task(self.send(free, machine, state % KEY_COUNT))
            pending.add(task)

            def finish(done: asyncio.Task, used: HttpConnection = free) -> None:
                pending.discard(done)
                connections.append(used)

            task.add_done_callback(finish)

    async def stop(self) -> None:
        """End all clients, backends and processes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self.machines.values():
            if machine.backend is not None:
                await machine.backend.stop()
            if machine.process is not None:
                await machine.end_process(signal.SIGKILL)
        await self.store.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            for path in Path(self._folder.name).glob("*.log"):
                Path(keep).mkdir(exist_ok=True)
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()
