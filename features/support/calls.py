"""Callers under gevent that record what they sent and what came back."""

import json
import random
import time
from typing import NamedTuple

import gevent
from gevent.pool import Group

from features.support.http import Reply, read_reply
from knapweedrock.client.order_ids import create_order_id
from knapweedrock.clock import NS_PER_MS, create_clock
from knapweedrock.codes import Code, Outcome
from knapweedrock.history import Call
from knapweedrock.http_client import EXCHANGE_ERRORS, create_client

CONNECTIONS_PER_NODE = 64
ANSWER_MARGIN_S = 2.0
RESEND_PAUSE_S = 0.05


class Request(NamedTuple):
    """What one caller asks for; an order id makes it a standing order."""

    service: str
    key: str
    order_id: str = ""
    body: bytes = b""
    deadline_ms: int = 2000


class Callers:
    """Callers that send to the nodes of a mesh and keep the history of calls."""

    def __init__(self, nodes: dict[str, str], seed: int = 1) -> None:
        self.nodes = nodes
        self.history: list[Call] = []
        self.clock = create_clock()
        self.random = random.Random(seed)
        self._clients: dict[str, object] = {}
        self._tasks = Group()
        self._count = 0

    def send(self, request: Request, node: str = "", intended_ns: int = 0) -> Call:
        """Send one request to a node (any, where none is named) and record it."""
        node = node or self.random.choice(sorted(self.nodes))
        sent_ns = self.clock.now_ns()
        intended_ns = intended_ns or sent_ns
        tag = request.order_id or self._create_tag()
        method = "POST" if request.order_id else "GET"
        try:
            reply = self._exchange(node, method, tag, request)
        except EXCHANGE_ERRORS as error:
            reply = self._describe_failure(error)
        call = self._record(request, node, tag, method, reply, intended_ns, sent_ns)
        self.history.append(call)
        return call

    def send_order(self, request: Request, attempts: int = 5) -> Call:
        """Send a standing order again, to any node, until it is settled."""
        request = request._replace(order_id=request.order_id or create_order_id())
        for _ in range(attempts):
            call = self.send(request)
            if call.outcome == Outcome.DONE.value or call.status == 422:
                break
            time.sleep(RESEND_PAUSE_S)
        return call

    def offer(self, *arguments, **options) -> None:
        """Offer requests and wait for the end."""
        self.start_offer(*arguments, **options)
        self.wait()

    def start_offer(
        self,
        keys: list[str],
        service: str,
        rate: float,
        duration_s: float,
        order_share: float = 0.0,
        deadline_ms: int = 2000,
    ) -> gevent.Greenlet:
        """Offer requests at a rate a second, round the keys, in the background.

        Arrivals are open-loop: a slow answer delays no later request.
        """
        return self._tasks.spawn(
            self._offer, keys, service, rate, duration_s, order_share, deadline_ms
        )

    def wait(self) -> None:
        """Wait until all that was offered has ended."""
        self._tasks.join()

    def close(self) -> None:
        """End all tasks and connections."""
        self._tasks.kill()
        for client in self._clients.values():
            client.close()

    def _offer(self, keys, service, rate, duration_s, order_share, deadline_ms) -> None:
        start_ns = self.clock.now_ns()
        for index in range(int(rate * duration_s)):
            intended_ns = start_ns + int(index * 1e9 / rate)
            time.sleep(max(0, intended_ns - self.clock.now_ns()) / 1e9)
            key = keys[index % len(keys)]
            order = self.random.random() < order_share
            request = Request(
                service,
                key,
                create_order_id() if order else "",
                deadline_ms=deadline_ms,
            )
            if order:
                self._tasks.spawn(self.send_order, request)
            else:
                self._tasks.spawn(self.send, request, "", intended_ns)

    def _create_tag(self) -> str:
        self._count += 1
        return f"c{id(self) % 997}-{self._count}"

    def _exchange(self, node: str, method: str, tag: str, request: Request) -> Reply:
        client = self._clients.get(node)
        if client is None:
            timeout_s = request.deadline_ms / 1000 + ANSWER_MARGIN_S
            client = create_client(self.nodes[node], timeout_s, CONNECTIONS_PER_NODE)
            self._clients[node] = client
        headers = {"Request-Deadline-Ms": str(request.deadline_ms)}
        if request.key:
            headers["Order-Key"] = request.key
        if request.order_id:
            headers["Idempotency-Key"] = request.order_id
        path = f"/{request.service}/{tag}"
        return read_reply(client.request(method, path, request.body, headers))

    def _describe_failure(self, error: Exception) -> Reply:
        refused = isinstance(error, ConnectionRefusedError)
        outcome = Outcome.NOT_RUN if refused else Outcome.MAY_HAVE_RUN
        headers = {
            "knapweedrock-code": "-1",
            "knapweedrock-outcome": outcome.value,
            "failure": repr(error),
        }
        return Reply(0, headers, b"")

    def _record(self, request, node, tag, method, reply, intended_ns, sent_ns) -> Call:
        code = int(reply.headers.get("knapweedrock-code", "-1"))
        outcome = reply.headers.get("knapweedrock-outcome", "")
        return Call(
            tag,
            request.order_id,
            request.service,
            request.key,
            method,
            node,
            intended_ns,
            sent_ns,
            self.clock.now_ns(),
            reply.status,
            code,
            outcome,
            reply.status > 0,
            code != Code.DONE or answer_is_own(reply, request, tag),
        )


def answer_is_own(reply: Reply, request: Request, tag: str) -> bool:
    """Tell whether a target's answer repeats what this request asked for."""
    try:
        value = reply.json()
    except json.JSONDecodeError:
        return False
    path = f"/{request.service}/{tag}"
    return value.get("path") == path and value.get("key", "") == request.key


def latency_ms(call: Call) -> float:
    """Return the time from the intended send to the answer in milliseconds."""
    return (call.end_ns - call.intended_ns) / NS_PER_MS
