"""Open-loop load on the caller addresses of nodes, for a limited time."""

import itertools
import random
import uuid
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.pool import Group
from geventhttpclient import HTTPClient
from logbook import Logger

from knapweedrock.clock import NS_PER_S, Clock, create_clock
from knapweedrock.codes import (
    CODE_HEADER,
    INFO,
    NOT_RUN_STATUSES,
    Code,
    Outcome,
    parse_code,
)
from knapweedrock.http_client import EXCHANGE_ERRORS, create_client
from knapweedrock.load.arrivals import create_arrivals
from knapweedrock.load.keys import KeySource, create_keys
from knapweedrock.load.report import LoadReport, create_report
from knapweedrock.load.samples import NO_CODE, Sample, Tally
from knapweedrock.platform.headers import ATTEMPT_ID, REMAINING_MS, SHARD_KEY

RESPONSE_MARGIN_S = 1.0
READ = "read"
ORDER = "order"


_PROCESS_ID = uuid.uuid4().hex[:8]
_RUN_NUMBERS = itertools.count(1)


log = Logger("load")


class LoadOptions(NamedTuple):
    """Options of a load run.

    In paths, `{key}` and `{tag}` are replaced with the key and the name of a request.
    `order_share` is the share of orders, which are sent with POST and must not run
    twice. Without a `host`, the Host header is the address of the node. With
    `check_echo`, a response must repeat the tag and the key of its request, as
    emulated targets do.
    """

    addresses: tuple[str, ...]
    rate: float = 100.0
    duration_s: float = 10.0
    read_path: str = "/"
    order_path: str = "/"
    host: str = ""
    keyed: bool = True
    keys: int = 1000
    zipf: float = 1.0
    order_share: float = 0.0
    body_bytes: int = 0
    deadline_ms: int = 2000
    max_connections: int = 128
    max_in_flight: int = 5000
    seed: int = 1
    check_echo: bool = False


class Arrival(NamedTuple):
    """One request that is due, with its randomly drawn parts."""

    due_ns: int
    address: str
    key: str
    tag: str
    is_order: bool


class LoadRun:
    """A load run, which spawns a task per arrival so that none waits for another.

    `addresses` and `keys` may be changed during the run.
    """

    def __init__(
        self, options: LoadOptions, observe: Callable[[Sample], None] | None
    ) -> None:
        self.options = options
        self.observe = observe
        self.clock: Clock = create_clock()
        self.tally = Tally()
        self.offered = 0
        self._probe_count = 0
        self._random = random.Random(f"load-{options.seed}")
        self.keys: KeySource = create_keys(options.keys, options.zipf, options.seed)
        self._tasks = Group()
        self.addresses = list(options.addresses)
        self._name = f"{_PROCESS_ID}-{next(_RUN_NUMBERS)}"
        self._clients: dict[str, HTTPClient] = {}
        self._body = b"x" * options.body_bytes

    def run(self) -> LoadReport:
        """Offer all arrivals, wait a limited time for open requests, and report."""
        try:
            self._offer_all()
            self._tasks.join(self.options.deadline_ms / 1000 + RESPONSE_MARGIN_S)
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
        self.tally.start_ns = start_ns = self.clock.now_ns()
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
        self.tally.record_due(due_ns)
        is_order = self._random.random() < self.options.order_share
        arrival = Arrival(
            due_ns,
            self._random.choice(self.addresses),
            self.keys.draw(),
            f"{self._name}-{self.offered}",
            is_order,
        )
        if len(self._tasks) >= self.options.max_in_flight:
            self.tally.unsent += 1
            return
        self._tasks.start(gevent.Greenlet(self._send, arrival))

    def probe(self, key: str) -> Sample:
        """Read a key at a random node now; the report does not count this request."""
        self._probe_count += 1
        tag = f"{self._name}-p{self._probe_count}"
        address = random.choice(self.addresses)
        return self._execute(Arrival(self.clock.now_ns(), address, key, tag, False))

    def spawn(self, function: Callable[..., None], *arguments: object) -> None:
        """Start a task that is killed at the end of the run."""
        self._tasks.start(gevent.Greenlet(function, *arguments))

    def _send(self, arrival: Arrival) -> None:
        sample = self._execute(arrival)
        self.tally.record_sample(sample)
        if self.observe is not None:
            self.observe(sample)

    def _execute(self, arrival: Arrival) -> Sample:
        method = "POST" if arrival.is_order else "GET"
        path = self._fill_path(arrival)
        status, outcome, headers, body = 0, Outcome.MAY_HAVE_RUN, {}, b""
        try:
            response = self._send_request(arrival, method, path)
            body = bytes(response.read())
            status = response.status_code
            headers = {str(name).lower(): str(text) for name, text in response.headers}
            outcome = read_outcome(status, headers)
        except ConnectionRefusedError:
            outcome = Outcome.NOT_RUN
        except EXCHANGE_ERRORS as error:
            log.debug("response incomplete", id=arrival.tag, reason=error)
        code = read_code(status, headers)
        return Sample(
            ORDER if arrival.is_order else READ,
            arrival.key,
            arrival.address,
            arrival.due_ns,
            self.clock.now_ns(),
            status,
            code,
            outcome.value,
            "retry-after" in headers,
            arrival.tag,
            arrival.tag if arrival.is_order else "",
            code != Code.DONE or self._is_own_response(arrival, body),
        )

    def _send_request(self, arrival: Arrival, method: str, path: str):
        options = self.options
        request_headers = {
            ATTEMPT_ID: arrival.tag,
            REMAINING_MS: str(options.deadline_ms),
        }
        if options.host:
            request_headers["Host"] = options.host
        if options.keyed:
            request_headers[SHARD_KEY] = arrival.key
        body = self._body if arrival.is_order else b""
        return self._get_client(arrival.address).request(
            method, path, body, request_headers
        )

    def _fill_path(self, arrival: Arrival) -> str:
        options = self.options
        path = options.order_path if arrival.is_order else options.read_path
        return path.replace("{key}", arrival.key).replace("{tag}", arrival.tag)

    def _get_client(self, address: str) -> HTTPClient:
        client = self._clients.get(address)
        if client is None:
            timeout_s = self.options.deadline_ms / 1000 + RESPONSE_MARGIN_S
            client = create_client(address, timeout_s, self.options.max_connections)
            self._clients[address] = client
        return client

    def _is_own_response(self, arrival: Arrival, body: bytes) -> bool:
        if not self.options.check_echo:
            return True
        key = arrival.key if self.options.keyed else "-1"
        return body == f"{arrival.tag} {key}".encode()


def read_code(status: int, headers: dict[str, str]) -> int:
    """Return the result code of a response; without one, the status decides."""
    text = headers.get(CODE_HEADER.lower(), "")
    if text.isdigit():
        return int(text)
    return int(Code.DONE) if 200 <= status < 300 else NO_CODE


def read_outcome(status: int, headers: dict[str, str]) -> Outcome:
    """Return the outcome by the result code of a response, or else by its status."""
    if CODE_HEADER.lower() in headers:
        return INFO[parse_code(read_code(status, headers))].outcome
    if 200 <= status < 300:
        return Outcome.DONE
    return Outcome.NOT_RUN if status in NOT_RUN_STATUSES else Outcome.MAY_HAVE_RUN


def offer_load(
    options: LoadOptions, observe: Callable[[Sample], None] | None = None
) -> LoadReport:
    """Offer load and return the report; `observe` is called with each sample.

    Takes at most `duration_s` plus the deadline plus one second.
    """
    return LoadRun(options, observe).run()
