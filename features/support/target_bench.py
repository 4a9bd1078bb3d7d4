"""A target stand-in as a process of its own, and the node's side of it in here."""

import json
import tempfile
import time
from pathlib import Path
from typing import Any

import gevent

from features.support.caller_builders import build_settings
from features.support.http import call
from features.support.mesh import remove_directory
from features.support.processes import Child, Ports, create_loopback_host, wait_for
from features.support.vms import create_flags
from knapweedrock.client.order_ids import create_order_id
from knapweedrock.clock import NS_PER_S
from knapweedrock.codes import INFO, Code
from knapweedrock.environment import Environment
from knapweedrock.errors import RefusalError
from knapweedrock.history import Call, Execution, read_executions
from knapweedrock.nodes.leases import Grant
from knapweedrock.nodes.messages import Deliver, Delivered
from knapweedrock.nodes.view import HASH_SPACE
from knapweedrock.settings import parse_address
from knapweedrock.targets.delivery import create_delivery
from knapweedrock.targets.server import create_server

START_TIMEOUT_S = 15.0
LEASE_NS = 3600 * NS_PER_S
SERVICE = "depot-orders"
WHOLE = [(0, HASH_SPACE)]
DEFAULT_FLAGS = {
    "service": SERVICE,
    "zone": "zone-a",
    "slots": 20,
    "connections": 130,
    "work-ms": 10,
    "cold-s": 0,
    "cold-slots": 20,
    "connect-ms": 1,
    "seed": 1,
}


class FakeLease:
    """Lease that grants everything until it is told to refuse."""

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.since_ms = 0
        self.token = 1
        self.refusal: Code | None = None

    def authorize(self, _service: str, _key: str) -> Grant:
        """Grant, or raise the refusal that was set."""
        if self.refusal:
            raise RefusalError(self.refusal, retry_after_ms=10)
        return Grant(self.token, self.env.clock.now_ns() + LEASE_NS, self.since_ms)

    def remaining_ms(self) -> float:
        """Return the time that the lease goes on."""
        return LEASE_NS / 1e6


class FakeLinks:
    """Links that keep what was sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []

    def request(self, _address: str, node_id: str, message, timeout_ms: float) -> None:
        """Keep a message."""
        self.sent.append((node_id, message))


def create_request(
    tag: str,
    key: str = "k1",
    order_id: str = "",
    body: bytes = b"",
    deadline_ms: float = 3000,
    caller: str = "caller-1",
    headers: dict[str, str] | None = None,
) -> Deliver:
    """Create a caller's request; an order id makes it a standing order."""
    return Deliver(
        service=SERVICE,
        key=key,
        method="POST" if order_id else "GET",
        path=f"/{SERVICE}/{tag}",
        headers=list((headers or {}).items()),
        body=body,
        remaining_ms=deadline_ms,
        order_id=order_id,
        idempotent=not order_id,
        caller=caller,
        view=(0, 0),
    )


def create_order(tag: str = "order", **options: Any) -> Deliver:
    """Create a standing order with a new id."""
    return create_request(tag, order_id=create_order_id(), **options)


class TargetBench:
    """Delivery in this process beside a stand-in in another, with a history."""

    def __init__(self, **flags: Any) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="knapweedrock-"))
        ports = Ports(create_loopback_host())
        self.address, announce = ports.take(), ports.take()
        settings = build_settings(target=parse_address(announce))
        self.env = Environment(settings, "i1")
        self.env.lease = FakeLease(self.env)
        self.env.links = FakeLinks()
        self.delivery = self.env.delivery = create_delivery(self.env)
        self.server = create_server(self.env)
        self.server.start()
        options = DEFAULT_FLAGS | {"listen": self.address, "node": announce}
        options |= {name.replace("_", "-"): value for name, value in flags.items()}
        arguments = ["emulate", "target", *create_flags(options), "--fenced"]
        self.target = Child("target", arguments, self.directory)
        self.calls: list[Call] = []
        self.answers: list[Delivered] = []

    def start(self) -> None:
        """Start the stand-in and wait until it announced itself."""
        self.target.start()
        live = self.delivery.target.is_live
        wait_for(live, START_TIMEOUT_S, "the target announces itself")

    def stop(self) -> None:
        """End the stand-in and the node's side."""
        self.target.kill()
        self.close()

    def close(self) -> None:
        """End the node's side."""
        self.server.close()
        remove_directory(self.directory)

    def change_target(self, **behaviour: Any) -> None:
        """Change how the target behaves."""
        reply = call(self.address, "POST", "/emulator/behaviour", behaviour)
        assert reply.status == 200, reply

    def fetch_log(self) -> dict[str, Any]:
        """Fetch the target's whole log."""
        return call(self.address, "GET", "/emulator/log", timeout_s=10.0).json()

    def fetch_events(self, kind: str) -> list[dict[str, Any]]:
        """Fetch the target's events of one kind."""
        return [e for e in self.fetch_log()["events"] if e["kind"] == kind]

    def fetch_executions(self) -> list[Execution]:
        """Fetch what the target truly ran."""
        return read_executions("t1", self.fetch_log()["entries"])

    def send(self, request: Deliver) -> Delivered:
        """Deliver a request and record it."""
        clock = self.env.clock
        sent_ns = clock.now_ns()
        delivered = self.delivery.deliver(request)
        self.calls.append(
            Call(
                request.path.rpartition("/")[2],
                request.order_id,
                request.service,
                request.key,
                request.method,
                "node-0",
                sent_ns,
                sent_ns,
                clock.now_ns(),
                delivered.status,
                int(delivered.code),
                INFO[Code(delivered.code)].outcome.value,
                True,
                is_own(request, delivered),
            )
        )
        self.answers.append(delivered)
        return delivered

    def send_all(self, requests: list[Deliver]) -> list[Delivered]:
        """Deliver requests at once and wait for all."""
        tasks = self.start_all(requests)
        gevent.joinall(tasks, raise_error=True)
        return [task.value for task in tasks]

    def start_all(self, requests: list[Deliver]) -> list[gevent.Greenlet]:
        """Deliver requests at once in the background."""
        return [gevent.spawn(self.send, request) for request in requests]

    def send_until_settled(self, request: Deliver, attempts: int = 6) -> Delivered:
        """Deliver a request again on every failure, as a hasty caller does."""
        for _ in range(attempts):
            delivered = self.send(request)
            if delivered.code in (Code.DONE, Code.QUARANTINED):
                break
            time.sleep(0.05)
        return delivered

    def offer(
        self, rate: float, duration_s: float, tag: str, **options: Any
    ) -> gevent.Greenlet:
        """Offer idempotent requests at a rate a second, open-loop, in the background.

        The task's value is the list of answers.
        """
        return gevent.spawn(self._offer, rate, duration_s, tag, options)

    def _offer(self, rate, duration_s, tag, options) -> list[Delivered]:
        start = time.monotonic()
        tasks = []
        for index in range(int(rate * duration_s)):
            gevent.sleep(max(0, start + index / rate - time.monotonic()))
            request = create_request(f"{tag}{index}", **options)
            tasks.append(gevent.spawn(self.send, request))
        gevent.joinall(tasks, raise_error=True)
        return [task.value for task in tasks]


def is_own(request: Deliver, delivered: Delivered) -> bool:
    """Tell whether an answer said to be whole repeats its own request."""
    if delivered.code != Code.DONE:
        return True
    try:
        value = json.loads(delivered.body)
    except json.JSONDecodeError:
        return False
    return value.get("path") == request.path and value.get("key") == request.key


def create_bench(context, **flags: Any) -> TargetBench:
    """Create and start a bench that ends with behave's scenario."""
    bench = TargetBench(**flags)
    context.add_cleanup(bench.stop)
    bench.start()
    context.bench = bench
    return bench


def create_orders(count: int, seed_tag: str) -> list[Deliver]:
    """Create standing orders of several keys."""
    return [create_order(f"{seed_tag}{n}", key=f"k{n % 7}") for n in range(count)]
