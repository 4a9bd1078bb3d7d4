"""Steps about the client library, against ingresses in this process."""

import json
import socket
import time
import uuid
from collections import Counter
from typing import NamedTuple

import gevent
from behave import given, then, when

from features.support.caller_builders import (
    build_configuration,
    build_member,
    build_view,
)
from features.support.fakes import FakeNodes, create_fake_environment, echo, refuse
from features.support.servers import start_socket_server
from features.support.tasks import finish_all
from knapweedrock.callers.server import create_server
from knapweedrock.client import Reply, create_client, create_order_id
from knapweedrock.client.owners import Owners
from knapweedrock.codes import Code, Outcome
from knapweedrock.nodes.messages import Deliver, Delivered

NAMES = ("node-0", "node-1")
DEADLINE_MS = 1000
CLOCK_SLACK_MS = 1000
MS_PER_S = 1000
BREAKS = {
    "cuts the body": b"HTTP/1.1 200 OK\r\nKnapweedrock-Code: 0\r\n"
    b"Knapweedrock-Outcome: done\r\nContent-Length: 100\r\n\r\ncut",
    "closes without an answer": b"",
    "answers something else": b"SSH-2.0-x\r\n\r\n",
}


class Answered(NamedTuple):
    """A reply to the client, with what was asked and how long it took."""

    path: str
    reply: Reply
    taken_ms: float


@given("two nodes that own the keys of orders")
def start_nodes(context):
    """Start two ingresses whose targets are fakes."""
    context.nodes = FakeNodes()
    context.ran = Counter()
    context.envs, context.servers = {}, {}
    for name in NAMES:
        env = create_fake_environment(context.nodes, node_id=name)
        env.configuration.replace(1, build_configuration())
        server = create_server(env)
        server.start()
        context.add_cleanup(server.stop, 1)
        context.envs[name], context.servers[name] = env, server
    context.addresses = {
        name: f"127.0.0.1:{server.server_port}"
        for name, server in context.servers.items()
    }
    context.nodes.behave(lambda message: run(context, message))
    publish(context, 1, list(NAMES))
    context.client = create_client(
        list(context.addresses.values()), deadline_ms=DEADLINE_MS
    )
    context.replies = []


def publish(context, count: int, owners: list[str]) -> None:
    """Give all nodes a view."""
    members = [
        build_member(number, "orders", caller=context.addresses[name])
        for number, name in enumerate(NAMES)
    ]
    for env in context.envs.values():
        env.views.replace(build_view(members, count, orders=owners))


def run(context, message: Deliver) -> Delivered:
    """Run a request and keep it in the log."""
    context.ran[message.order_id or message.path] += 1
    return echo(message)


def lose(context, message: Deliver, code: Code = Code.ANSWER_LOST) -> Delivered:
    """Run a request and lose its answer."""
    run(context, message)
    return refuse(code)


def fail_first(context, fail) -> None:
    """Let the first attempt at each request fail."""
    seen: set[str] = set()

    def behave(message: Deliver) -> Delivered:
        name = message.order_id or message.path
        if name in seen:
            return run(context, message)
        seen.add(name)
        return fail(message)

    context.nodes.behave(behave)


@given("the owners run every request and lose the answer")
def lose_all(context):
    """Lose every answer."""
    context.nodes.behave(lambda message: lose(context, message))


@given("the owners run every request and lose the first answer")
def lose_first(context):
    """Lose the answer to the first attempt."""
    fail_first(context, lambda message: lose(context, message))


@given("the owners run every first request, lose its answer and refuse the next")
def lose_and_refuse(context):
    """Lose the first answer and refuse what comes after."""

    def behave(message: Deliver) -> Delivered:
        if context.ran[message.path]:
            return refuse(Code.OVERLOADED, 100)
        return lose(context, message, Code.PEER_LOST)

    context.nodes.behave(behave)


@given("the owners refuse the first request with OVERLOADED for {wait_ms:d} ms")
def refuse_first(context, wait_ms):
    """Refuse the first attempt."""
    fail_first(context, lambda _: refuse(Code.OVERLOADED, wait_ms))


@given("the owners find the first order ids too old")
def find_old(context):
    """Refuse the first id of each order."""
    first: dict[str, str] = {}

    def behave(message: Deliver) -> Delivered:
        if first.setdefault(message.path, message.order_id) == message.order_id:
            return refuse(Code.ORDER_BEFORE_OWNERSHIP)
        return run(context, message)

    context.nodes.behave(behave)


@given("the client knows only a server that {breaks}")
def start_broken(context, breaks):
    """Start a server that breaks its answers."""

    def serve(sock: socket.socket, _address) -> None:
        sock.recv(65536)
        if breaks == "is silent":
            gevent.sleep(5)
        sock.sendall(BREAKS.get(breaks, b""))

    address = start_socket_server(context, serve)
    context.client = create_client([address], deadline_ms=300)


@when("the client reads {keys:d} keys {times:d} times each")
def read_keys(context, keys, times):
    """Read keys of their own, all of a round at the same time."""
    for _ in range(times):
        send_all(context, keys, "GET", "stock")


def send_all(context, count: int, method: str, page: str, **options) -> None:
    """Send a request for each key at the same time; keep the replies."""

    def send(number: int) -> Answered:
        path = f"/depots/key-{number}/{page}"
        start = time.monotonic()
        reply = context.client.send(method, path, key=f"key-{number}", **options)
        return Answered(path, reply, (time.monotonic() - start) * MS_PER_S)

    context.replies += finish_all([gevent.spawn(send, n) for n in range(count)])


@when("the client sends {count:d} orders with an id of its program")
def send_own_orders(context, count):
    """Send orders with ids that were made outside of the client."""
    send_orders(context, count, create_order_id())


@when("the client sends {count:d} orders")
def send_orders(context, count, order_id=""):
    """Send orders at the same time."""
    send_all(context, count, "POST", "standing", body=b"butter", order_id=order_id)


@when("node-0 comes to own all keys")
def move_all(context):
    """Move all keys to one node."""
    publish(context, 2, ["node-0"])


@when("node-1 stops")
def stop_one(context):
    """Stop one ingress; its target is gone with it."""
    context.servers["node-1"].stop(0)


@when(
    'the client learns owner "{first}" at "{view}" and then owner "{second}" at '
    '"{older}"'
)
def learn_two(context, first, view, second, older):
    """Learn two owners of a key."""
    context.owners = Owners()
    context.owners.learn("key", first, view)
    context.owners.learn("key", second, older)


@when("{count:d} order ids are created")
def create_ids(context, count):
    """Create order ids."""
    context.order_ids = [create_order_id() for _ in range(count)]


@then('it holds owner "{node}"')
def check_owner(context, node):
    """Check the owner that is held."""
    assert context.owners.find("key") == node


@then("every reply is done and belongs to its own call")
def check_own(context):
    """Compare each reply with its call."""
    assert context.replies
    for path, reply, _ in context.replies:
        assert reply.outcome == Outcome.DONE, reply
        assert json.loads(reply.body)["path"] == path, (path, reply)


@then("at most {count:d} requests were forwarded")
def check_forwards(context, count):
    """Count the requests that needed a second hop."""
    forwards = sum(e.counters.total("caller_forwards") for e in context.envs.values())
    print(f"{forwards} forwarded")
    assert forwards <= count, forwards


@then("the last {count:d} replies came from {name}")
def check_node(context, count, name):
    """Check which node answered."""
    nodes = {reply.node for _, reply, _ in context.replies[-count:]}
    assert nodes == {context.addresses[name]}, nodes


@then("every reply has the outcome done or not-run and names node-0")
def check_remaining(context):
    """Check that the node that is left answered every call."""
    assert context.replies
    for _, reply, _ in context.replies:
        assert reply.node == context.addresses["node-0"], reply
        assert reply.outcome in (Outcome.DONE, Outcome.NOT_RUN), reply


@then("every reply may have run after 1 attempt and names its order id")
def check_maybe(context):
    """Check that nothing was sent again."""
    assert context.replies
    for _, reply, _ in context.replies:
        assert reply.outcome == Outcome.MAY_HAVE_RUN, reply
        assert reply.attempts == 1, reply
        assert uuid.UUID(reply.order_id).version == 7, reply


@then("every reply may have run after at least {count:d} attempts")
def check_uncertain(context, count):
    """Check that an earlier attempt is not forgotten."""
    assert context.replies
    for _, reply, _ in context.replies:
        assert reply.outcome == Outcome.MAY_HAVE_RUN, reply
    assert sum(len(got) for got in context.nodes.received.values()) >= count


@then("nothing ran twice")
def check_once(context):
    """Check the log of what ran."""
    assert context.ran
    assert set(context.ran.values()) == {1}, context.ran


@then("every reply is done after at least {wait_ms:d} ms")
def check_pause(context, wait_ms):
    """Check that the pause was kept."""
    assert context.replies
    for _, reply, taken_ms in context.replies:
        assert reply.outcome == Outcome.DONE, reply
        assert wait_ms <= taken_ms < DEADLINE_MS, taken_ms


@then("every reply has code {name} within {limit_ms:d} ms")
def check_given_up(context, name, limit_ms):
    """Check that calls ended at once."""
    assert context.replies
    for _, reply, taken_ms in context.replies:
        assert reply.code == Code[name], reply
        assert taken_ms < limit_ms, taken_ms


@then("all differ, are of version 7 and carry the present time")
def check_ids(context):
    """Check the order ids."""
    assert len(set(context.order_ids)) == len(context.order_ids)
    now_ms = time.time_ns() // 1_000_000
    for text in context.order_ids:
        order_id = uuid.UUID(text)
        assert order_id.version == 7, text
        assert abs((order_id.int >> 80) - now_ms) < CLOCK_SLACK_MS, text
