"""Steps about the ingress, with fakes of the other nodes."""

import json
import socket
import time

import gevent
from behave import given, then, when
from hypothesis import HealthCheck, strategies

from features.support.caller_builders import (
    build_configuration,
    build_member,
    build_view,
)
from features.support.examples import feed_examples
from features.support.fakes import FakeNodes, create_fake_environment
from features.support.raw_http import build_request, check_own, exchange, send_keyed
from features.support.tasks import finish_all
from knapweedrock.callers.server import create_server
from knapweedrock.codes import Code
from knapweedrock.nodes.view import hash_key

TOO_LARGE_BYTES = 9 * 1024 * 1024
BROKEN = [
    b"garbage\r\n\r\n",
    b"GET\r\n\r\n",
    b"GET /depots/a\r\n\r\n",
    b"GET /depots/a HTTP/9.9\r\n\r\n",
    b"GET /depots/a HTTP/x\r\n\r\n",
    b"GET /depots/a b HTTP/1.1\r\n\r\n",
    b"GET /depots/a HTTP/1.1\r\nno colon\r\n\r\n",
    b"GET /depots/a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    b"GET /depots/a HTTP/1.1\r\n : x\r\n\r\n",
    b"GET /depots/a HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
    b"GET /depots/a HTTP/1.1\r\nA: b\x00c\r\n\r\n",
    b"GET /depots/a HTTP/1.1\r\nA b: c\r\n\r\n",
    b"GET /depots/a HTTP/1.1\r\n" + b"A: b\r\n" * 300 + b"\r\n",
    b"GET /depots/" + b"a" * 20000 + b" HTTP/1.1\r\n\r\n",
    b"GET /depots/a HTTP/1.1\r\nA: " + b"a" * 70000 + b"\r\n\r\n",
    b"PUT /catalogue HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    b"PUT /catalogue HTTP/1.1\r\nContent-Length: +1\r\n\r\na",
    b"PUT /catalogue HTTP/1.1\r\nContent-Length: x\r\n\r\n",
    b"PUT /catalogue HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    b"PUT /catalogue HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    b"PUT /catalogue HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
    b"Content-Length: 3\r\n\r\n0\r\n\r\n",
    b"PUT /catalogue HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"PUT /catalogue HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcdefgh\r\n",
]


def start_ingress(context, **changes) -> None:
    """Start an ingress whose other nodes are fakes."""
    context.nodes = FakeNodes()
    context.env = create_fake_environment(context.nodes, **changes)
    context.env.configuration.replace(1, build_configuration())
    members = [
        build_member(0, "orders"),
        build_member(1, "orders"),
        build_member(2, "catalogue"),
    ]
    context.env.views.replace(build_view(members, orders=["node-0", "node-1"]))
    context.server = create_server(context.env)
    context.server.start()
    context.address = ("127.0.0.1", context.server.server_port)
    context.add_cleanup(context.server.stop, 1)


@given("an ingress with two owners of orders and one target of catalogue")
def start(context):
    """Start the ingress."""
    start_ingress(context)


@when("{count:d} callers send requests for keys of their own")
def send_many(context, count):
    """Send requests with bodies at the same time."""
    bodies = [f"body {number} ".encode() * (number * 50) for number in range(count)]
    context.calls = finish_all(
        [
            gevent.spawn(send_keyed, context.address, number, "PUT", body)
            for number, body in enumerate(bodies)
        ]
    )


@then("every answer repeats its own request")
def check_identity(context):
    """Compare each answer with what its caller sent."""
    assert context.calls
    for call in context.calls:
        check_own(call)


@then("every request reached the owner of its key only")
def check_owners(context):
    """Compare what each node received with the table."""
    seen = [(n, m.key) for n, got in context.nodes.received.items() for m in got]
    assert len(seen) == len(context.calls)
    for node_id, key in seen:
        held = context.env.views.find_range("orders", hash_key(key))
        assert held["owner"] == node_id, (key, node_id)


@when('a caller sends "{line}" with header "{header}"')
@when('a caller sends "{line}" with header ""')
def send_one(context, line, header=""):
    """Send one request."""
    raw = build_request(line, [header] if header else [])
    start = time.monotonic()
    context.reply = exchange(context.address, raw)
    context.reply_ms = (time.monotonic() - start) * 1000


def list_received(context) -> list:
    """List what all nodes received."""
    return [message for got in context.nodes.received.values() for message in got]


@then('the target saw the key "{key}"')
def check_key(context, key):
    """Check the key that reached a node."""
    assert context.reply.status == 200, context.reply
    assert [message.key for message in list_received(context)] == [key]


@then("the answer is {status:d} with code {name} and outcome not-run")
def check_refusal(context, status, name):
    """Check a refusal's status, number and body."""
    check_numbered(context.reply, name)
    assert context.reply.status == status, context.reply


def check_numbered(reply, name: str) -> None:
    """Check that an answer is the refusal with this code."""
    assert reply is not None, "closed without an answer"
    said = json.loads(reply.body)
    assert said["name"] == name, said
    assert said["code"] == Code[name] == int(reply.headers["knapweedrock-code"])
    assert said["outcome"] == reply.headers["knapweedrock-outcome"] == "not-run"


@then("no target saw the request")
def check_unseen(context):
    """Check that nothing reached a node."""
    assert not list_received(context)


@when("callers send broken HTTP")
def send_broken(context):
    """Send each broken request on a connection of its own."""
    context.replies = [(raw, exchange(context.address, raw)) for raw in BROKEN]


@then("each gets a numbered refusal and no target saw it")
def check_broken(context):
    """Check that each broken request was refused."""
    for raw, reply in context.replies:
        assert reply is not None, raw[:80]
        assert reply.status == 400, (raw[:80], reply)
        check_numbered(reply, "BAD_REQUEST")
    check_unseen(context)


@then("the ingress still serves")
def check_serving(context):
    """Send an ordinary request."""
    reply = exchange(context.address, build_request("GET /depots/Otago", []))
    assert reply.status == 200, reply


@when("callers send bodies above the limit")
def send_large(context):
    """Send a declared and a chunked body above the limit."""
    declared = build_request("PUT /catalogue", [], b"a" * TOO_LARGE_BYTES)
    chunk = b"10000\r\n" + b"a" * 0x10000 + b"\r\n"
    head = build_request("PUT /catalogue", ["Transfer-Encoding: chunked"])
    chunked = head + chunk * (TOO_LARGE_BYTES // 0x10000) + b"0\r\n\r\n"
    context.replies = [exchange(context.address, raw) for raw in (declared, chunked)]


@then("each gets the code {name}")
def check_codes(context, name):
    """Check that each answer has the code."""
    for reply in context.replies:
        check_numbered(reply, name)


@then('the target saw no header "{name}"')
def check_header_gone(context, name):
    """Check that a header did not reach the node."""
    [message] = list_received(context)
    assert name.lower() not in {key.lower() for key, _ in message.headers}


@then("the target was given at most {limit_ms:d} ms")
def check_remaining(context, limit_ms):
    """Check the time that reached the node."""
    [message] = list_received(context)
    assert 0 < message.remaining_ms <= limit_ms, message.remaining_ms


@when("hostile request lines, headers and bodies are sent")
def send_hostile(context):
    """Send what hypothesis makes of the parts of a request."""
    context.endings = []
    text = strategies.binary(max_size=60)

    def send(target, name, value, body):
        raw = b"PUT /depots/%s HTTP/1.1\r\n%s: %s\r\nContent-Length: 60\r\n\r\n%s"
        with socket.create_connection(context.address, 5) as sock:
            sock.sendall(raw % (target, name, value, body))
            sock.shutdown(socket.SHUT_WR)
            data = b""
            while piece := sock.recv(65536):
                data += piece
        context.endings.append(data)

    ignored = list(HealthCheck)
    texts = (text, text, text, text)
    feed_examples(send, *texts, count=150, suppress_health_check=ignored)


@then("every connection ended with a numbered answer or a closed socket")
def check_endings(context):
    """Check that whatever was answered carries a code."""
    assert len(context.endings) >= 100
    for data in context.endings:
        assert not data or b"Knapweedrock-Code: " in data, data
        assert b"Knapweedrock-Code: 701" not in data, data
