"""Open-loop load on the caller addresses of nodes, bounded in time."""

import random
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.pool import Group
from geventhttpclient import HTTPClient

from knapweedrock.clock import NS_PER_S, Clock, create_clock
from knapweedrock.codes import Code, Outcome
from knapweedrock.load.arrivals import create_arrivals
from knapweedrock.load.client import create_client
from knapweedrock.load.keys import create_keys
from knapweedrock.load.orders import create_order_id
from knapweedrock.load.report import LoadReport, create_report
from knapweedrock.load.samples import NO_CODE, Sample, Tally

ANSWER_MARGIN_S = 1.0
READ = "read"
ORDER = "order"


class LoadOptions(NamedTuple):
    """What to offer: `{key}` in a path stands for the key.

    `key_header` is empty where the path alone carries the key. `order_share` is
    the share of standing orders, sent with POST and an order id of their own.
    """

    addresses: tuple[str, ...]
    rate: float = 100.0
    duration_s: float = 10.0
    read_path: str = "/"
    order_path: str = "/"
    key_header: str = ""
    keys: int = 1000
    zipf: float = 1.0
    order_share: float = 0.0
    body_bytes: int = 0
    deadline_ms: int = 2000
    connections: int = 128
    in_flight: int = 5000
    seed: int = 1


class LoadRun:
    """One run: arrivals spawn a task each and never wait for one another."""

    def __init__(
        self, options: LoadOptions, observe: Callable[[Sample], None] | None
    ) -> None:
        self.options = options
        self.observe = observe
        self.clock: Clock = create_clock()
        self.tally = Tally()
        self.offered = 0
        self._random = random.Random(f"load-{options.seed}")
        self._keys = create_keys(options.keys, options.zipf, options.seed)
        self._tasks = Group()
        timeout_s = options.deadline_ms / 1000 + ANSWER_MARGIN_S
        self._clients = {
            address: create_client(address, timeout_s, options.connections)
            for address in options.addresses
        }
        self._body = b"x" * options.body_bytes

    def run(self) -> LoadReport:
        """Offer all arrivals, wait a bounded time for the rest, report."""
        try:
            self._offer_all()
            self._tasks.join(self.options.deadline_ms / 1000 + ANSWER_MARGIN_S)
        finally:
            self._tasks.kill()
            for client in self._clients.values():
                client.close()
        options = self.options
        return create_report(
            self.tally, self.offered, options.seed, options.rate, options.duration_s
        )

    def _offer_all(self) -> None:
        options = self.options
        start_ns = self.clock.now_ns()
        for offset_ns in create_arrivals(
            options.rate, options.duration_s, options.seed
        ):
            due_ns = start_ns + offset_ns
            wait_ns = due_ns - self.clock.now_ns()
            if wait_ns > 0:
                gevent.sleep(wait_ns / NS_PER_S)
            self._offer(due_ns)

    def _offer(self, due_ns: int) -> None:
        self.offered += 1
        is_order = self._random.random() < self.options.order_share
        address = self._random.choice(self.options.addresses)
        key = self._keys.draw()
        if len(self._tasks) >= self.options.in_flight:
            self.tally.unsent += 1
            return
        self._tasks.start(gevent.Greenlet(self._send, due_ns, address, key, is_order))

    def _send(self, due_ns: int, address: str, key: str, is_order: bool) -> None:
        client = self._clients[address]
        status, headers = 0, {}
        try:
            status, headers = self._exchange(client, key, is_order)
        except ConnectionRefusedError:
            headers = {"knapweedrock-outcome": Outcome.NOT_RUN.value}
        except (OSError, ValueError):
            headers = {"knapweedrock-outcome": Outcome.MAY_HAVE_RUN.value}
        sample = Sample(
            ORDER if is_order else READ,
            key,
            address,
            due_ns,
            self.clock.now_ns(),
            status,
            read_code(status, headers),
            headers.get("knapweedrock-outcome") or read_outcome(status),
            "retry-after" in headers,
        )
        self.tally.add(sample)
        if self.observe is not None:
            self.observe(sample)

    def _exchange(
        self, client: HTTPClient, key: str, is_order: bool
    ) -> tuple[int, dict[str, str]]:
        options = self.options
        sent = {"Request-Deadline-Ms": str(options.deadline_ms)}
        if options.key_header:
            sent[options.key_header] = key
        if is_order:
            sent["Idempotency-Key"] = create_order_id()
        method, path, body = "GET", options.read_path, b""
        if is_order:
            method, path, body = "POST", options.order_path, self._body
        response = client.request(method, path.replace("{key}", key), body, sent)
        response.read()
        headers = {str(name).lower(): str(value) for name, value in response.headers}
        return response.status_code, headers


def read_code(status: int, headers: dict[str, str]) -> int:
    """Read the result code; a plain server without codes counts by status."""
    text = headers.get("knapweedrock-code", "")
    if text.isdigit():
        return int(text)
    return int(Code.DONE) if 200 <= status < 300 else NO_CODE


def read_outcome(status: int) -> str:
    """Tell the outcome of an answer of a plain server from its status."""
    done = 200 <= status < 300
    return (Outcome.DONE if done else Outcome.MAY_HAVE_RUN).value


def offer_load(
    options: LoadOptions, observe: Callable[[Sample], None] | None = None
) -> LoadReport:
    """Offer load and return the report; `observe` is called with each sample.

    Takes `duration_s`, the deadline and one second at the most.
    """
    return LoadRun(options, observe).run()
