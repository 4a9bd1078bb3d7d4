"""Steps about the platform's stand-in and its client."""

import socket
import time

import gevent
from behave import given, then, when
from hypothesis import strategies as st

from features.support.builders_platform import (
    BROKEN_ANSWERS,
    create_answer,
    create_test_client,
)
from features.support.examples import feed_examples
from features.support.failures import check_fails, fail_with
from features.support.http import call
from features.support.patches import patch
from features.support.servers import start_platform, start_socket_server
from knapweedrock.codes import Code
from knapweedrock.errors import PlatformError
from knapweedrock.platform import http as platform_http
from knapweedrock.settings import parse_address


@given("a platform")
def start(context):
    """Start the stand-in as a process."""
    context.address = start_platform(context)
    context.client = create_test_client(context.address)
    context.client.get("x")


@when('the objects "{first}" and "{second}" are written')
def write_objects(context, first, second):
    """Write two objects."""
    context.names = [first, second]
    for name in context.names:
        assert context.client.put(name, {"name": name}, 0).version == 1


@then("a write at a wrong version is a conflict and changes nothing")
def check_conflict(context):
    """Check conditional writes from both sides."""
    name, put = context.names[0], context.client.put
    for wrong in (0, 2, 7):
        check_fails(Code.PLATFORM_CONFLICT, lambda wrong=wrong: put(name, 1, wrong))
    check_fails(Code.PLATFORM_CONFLICT, lambda: put("none", 1, 3))
    assert context.client.get(name) == (1, {"name": name})
    assert context.client.get("none") is None


@then('the list of "{prefix}" holds both')
def check_list(context, prefix):
    """Check the list by prefix."""
    context.client.put("other/c", 1, 0)
    assert sorted(context.client.list(prefix)) == context.names


@then("a watch ends once a newer version is written")
def check_watch(context):
    """Check that a waiting watch sees the write."""
    watch = gevent.spawn(context.client.watch, context.names[0], 1, 5000)
    gevent.sleep(0.3)
    assert not watch.ready()
    context.client.put(context.names[0], "new", 1)
    assert watch.get(timeout=1) == (2, "new")


@then("a watch without a newer version ends in time with none")
def check_idle_watch(context):
    """Check that a watch ends by itself."""
    started_s = time.monotonic()
    assert context.client.watch(context.names[0], 2, 400) is None
    assert 0.35 < time.monotonic() - started_s < 1


@then("a value above the limit is refused with PLATFORM_VALUE_TOO_LARGE")
def check_client_limit(context):
    """Write a large value."""
    put = context.client.put
    too_large = Code.PLATFORM_VALUE_TOO_LARGE
    check_fails(too_large, lambda: put("x", "a" * 1_000_000, 0))
    assert context.client.put("x", "a" * 999_900, 0).version == 1
    patch(context, platform_http, VALUE_MAX_BYTES=2_000_000)
    check_fails(too_large, lambda: put("x", "a" * (1 << 20), 1))


@then("the stand-in refuses it with 413 and takes one of {size:d} bytes")
def check_emulator_limit(context, size):
    """Write without the client."""
    for length, expected in (((1 << 20) - 1, 413), (size - 2, 200)):
        reply = call(
            context.address,
            "PUT",
            "/objects/y",
            "a" * length,
            {"If-Version": "0"},
        )
        assert reply.status == expected, reply


def send_raw(address, data):
    """Send bytes and return the first bytes of what comes back."""
    with socket.create_connection(parse_address(address), timeout=3) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        return sock.recv(4096)


BROKEN_REQUESTS = st.one_of(
    st.binary(max_size=300),
    st.builds(
        lambda method, path, header, value, body: (
            b"%s %s HTTP/1.1\r\n%s: %s\r\n\r\n%s" % (method, path, header, value, body)
        ),
        st.sampled_from([b"GET", b"PUT", b"POST", b"DELETE", b"\xff"]),
        st.one_of(
            st.sampled_from([b"/objects", b"/objects/", b"/emulator/faults", b"//"]),
            st.binary(max_size=40).map(lambda tail: b"/objects/" + tail),
            st.binary(max_size=40).map(lambda tail: b"/objects/x?" + tail),
        ),
        st.sampled_from([b"If-Version", b"Content-Length", b"Transfer-Encoding"]),
        st.sampled_from([b"0", b"-1", b"9" * 40, b"chunked", b"\xff", b"5"]),
        st.one_of(st.binary(max_size=60), st.just(b"[" * 20_000)),
    ),
)


@then("the stand-in survives {count:d} broken requests")
def check_broken_requests(context, count):
    """Feed the stand-in broken requests; it answers whole ones afterwards."""

    def feed(data):
        answer = send_raw(context.address, data)
        assert not answer.startswith(b"HTTP/1.1 500"), answer

    feed_examples(feed, BROKEN_REQUESTS, count=count)
    for body, version in ((b"1", b"x"), (b"[" * 100_000, b"0"), (b"\xff", b"0")):
        head = b"PUT /objects/x HTTP/1.1\r\nIf-Version: %s\r\n" % version
        data = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        answer = send_raw(context.address, data)
        assert answer.startswith(b"HTTP/1.1 400"), answer
    assert call(context.address, "POST", "/emulator/faults", {"no": 1}).status == 400
    assert context.client.put("alive", 1, 0).version == 1


def start_broken(context, data):
    """Start a server that answers every request with these bytes."""

    def answer(sock, _address):
        sock.recv(65536)
        sock.sendall(data)
        sock.close()

    return create_test_client(start_socket_server(context, answer))


@then("each broken answer ends each call with a code of the platform")
def check_broken_answers(context):
    """Call each broken server; only a plain 4xx may rule a write out."""
    for name, data in BROKEN_ANSWERS.items():
        client = start_broken(context, data)
        for task in (
            lambda client=client: client.get("x", 300),
            lambda client=client: client.list("x", 300),
            lambda client=client: client.watch("x", 5, 300),
        ):
            assert 500 < fail_with(task) < 600, name
        code = fail_with(lambda client=client: client.put("x", 1, 0, 300))
        plain = (Code.PLATFORM_BAD_ANSWER,) if "status" in name else ()
        assert code in (Code.PLATFORM_UNAVAILABLE, *plain), (name, code)


@then("random answers end with a code of the platform")
def check_random_answers(context):
    """Feed the client random bytes as whole answers and as bodies."""
    answers = st.one_of(
        st.binary(max_size=100),
        st.binary(max_size=100).map(lambda body: create_answer(200, body)),
        st.integers(100, 999).map(lambda status: create_answer(status, b"{}")),
    )

    def feed(data):
        client = start_broken(context, data)
        try:
            assert client.get("x", 100) is None
        except PlatformError as error:
            assert 500 < error.code < 600

    feed_examples(feed, answers, count=60)


@when("an open connection goes silent")
def start_silent(context):
    """Start a server whose open connections go silent on request."""
    context.connections = []
    context.silent = set()

    def answer(sock, _address):
        context.connections.append(sock)
        while sock.recv(65536):
            if sock in context.silent:
                gevent.sleep(60)
            version = len(context.connections)
            sock.sendall(create_answer(200, b'{"version": %d, "value": 1}' % version))

    context.client = create_test_client(start_socket_server(context, answer))
    assert context.client.get("x").version == 1
    context.silent.update(context.connections)


@then("a read succeeds over a new one within its deadline")
def check_silent(context):
    """Read once the connection is silent."""
    assert context.client.get("x", 1000).version == 2


@then("a watch sees a newer version within {longest_ms:d} ms")
def check_silent_watch(context, longest_ms):
    """Watch over a connection that goes silent again."""
    context.silent.update(context.connections)
    started_s = time.monotonic()
    assert context.client.watch("x", 2).version == 3
    assert (time.monotonic() - started_s) * 1000 < longest_ms
