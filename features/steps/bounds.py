"""Steps about bounds of the ingress and callers that are slow or go away."""

import socket
import time

import gevent
from behave import given, then, when

from features.support.fakes import echo
from features.support.patches import patch
from features.support.raw_http import build_request, name_order, read_reply, start_calls
from features.support.tasks import finish_all
from knapweedrock.callers import connections, following, server
from knapweedrock.codes import Code
from knapweedrock.errors import LinkError
from knapweedrock.nodes.messages import Deliver, Delivered

MS_PER_S = 1000


@given("every node is silent")
def be_silent(context):
    """Never answer, and note what is cancelled."""
    context.cancelled = []
    context.started = []

    def wait(message: Deliver) -> Delivered:
        context.started.append(message.path)
        try:
            gevent.sleep(message.remaining_ms / MS_PER_S)
        except gevent.GreenletExit:
            context.cancelled.append(message.path)
            raise
        raise LinkError(Code.PEER_LOST)

    context.nodes.behave(wait)


@given("every node answers after {wait_ms:d} ms")
def be_slow(context, wait_ms):
    """Answer late."""

    def answer(message: Deliver) -> Delivered:
        gevent.sleep(wait_ms / MS_PER_S)
        return echo(message)

    context.nodes.behave(answer)


@given("at most {count:d} requests may wait for an owner")
def bound_following(context, count):
    """Lower the bound of waiting requests."""
    patch(context, following, MAX_FOLLOWING=count)


@given("callers have {limit_ms:d} ms for a head and for a body")
def bound_reading(context, limit_ms):
    """Lower the time limits of reading."""
    patch(context, connections, HEADERS_S=limit_ms / MS_PER_S)
    patch(context, server, BODY_S=limit_ms / MS_PER_S)


@given("idle connections are closed after {limit_ms:d} ms")
def bound_idle(context, limit_ms):
    """Lower the time that a connection may be idle."""
    patch(context, connections, IDLE_S=limit_ms / MS_PER_S)


@given("the ingress takes at most {count:d} connections and {requests:d} requests")
def bound_ingress(context, count, requests):
    """Lower the bounds of connections and requests."""
    patch(context, connections, MAX_CONNECTIONS=count)
    patch(context, server, MAX_REQUESTS=requests)


@when("{reads:d} callers send reads and the ingress is stopped")
def send_and_stop(context, reads):
    """Stop the ingress while all requests are in flight."""
    calls = start_calls(context.address, 0, reads)
    gevent.sleep(0.1)
    context.server.stop()
    context.calls = finish_all(calls)


@when('a caller sends "{line}" and goes away')
def send_and_leave(context, line):
    """Close the connection while the request waits."""
    with socket.create_connection(context.address, 5) as sock:
        sock.sendall(build_request(line, [name_order(0)]))
        while not context.started:
            gevent.sleep(0.005)


@when('a caller sends "{part}" and then nothing')
def send_part(context, part):
    """Send a part of a request and wait for the answer."""
    start = time.monotonic()
    with socket.create_connection(context.address, 5) as sock:
        sock.sendall(part.encode().decode("unicode_escape").encode())
        context.reply = read_reply(sock)
    context.taken_ms = (time.monotonic() - start) * MS_PER_S


@when("a caller sends a byte of a body every {pause_ms:d} ms")
def send_body_slowly(context, pause_ms):
    """Send a body slowly until an answer comes."""
    start = time.monotonic()
    with socket.create_connection(context.address, 5) as sock:
        sock.sendall(b"PUT /catalogue HTTP/1.1\r\nContent-Length: 50\r\n\r\n")
        answer = gevent.spawn(read_reply, sock)
        while not answer.ready():
            sock.sendall(b"a")
            answer.join(pause_ms / MS_PER_S)
        context.reply = answer.get()
    context.taken_ms = (time.monotonic() - start) * MS_PER_S


@when("one caller sends a byte of a head every {pause_ms:d} ms and one sends nothing")
def send_slowly(context, pause_ms):
    """Keep two connections open as long as the ingress lets us."""
    start = time.monotonic()

    def drip() -> float:
        with socket.create_connection(context.address, 5) as sock:
            sock.sendall(b"GET /depots/Otago HTTP/1.1\r\nHost: ")
            try:
                for _ in range(100):
                    sock.sendall(b"a")
                    gevent.sleep(pause_ms / MS_PER_S)
            except OSError:
                pass
        return time.monotonic() - start

    def wait() -> float:
        with socket.create_connection(context.address, 10) as sock:
            sock.recv(1)
        return time.monotonic() - start

    calls = [gevent.spawn(drip), gevent.spawn(wait)]
    context.closed_s = finish_all(calls)


@then("both connections are closed within {limit_ms:d} ms")
def check_closed(context, limit_ms):
    """Check when the connections ended."""
    assert max(context.closed_s) * MS_PER_S < limit_ms, context.closed_s


@then("at least {count:d} answers came within {limit_ms:d} ms")
def check_soon(context, count, limit_ms):
    """Count the answers that came soon."""
    soon = [call for call in context.calls if call.taken_ms < limit_ms]
    assert len(soon) >= count, sorted(call.taken_ms for call in context.calls)


@then("{count:d} answers have the code {name} and came within {limit_ms:d} ms")
@then("{count:d} more answers have the code {name} and came within {limit_ms:d} ms")
def check_refused(context, count, name, limit_ms):
    """Check the refused answers, and take them out of the list."""
    refused = [
        call
        for call in context.calls
        if call.reply.headers["knapweedrock-code"] == str(int(Code[name]))
        and call.taken_ms < limit_ms
    ]
    assert len(refused) >= count, [c.reply for c in context.calls]
    for call in refused[:count]:
        context.calls.remove(call)


@then("the request was cancelled within {limit_ms:d} ms")
def check_cancelled(context, limit_ms):
    """Check that the work ended."""
    gevent.sleep(limit_ms / MS_PER_S)
    assert len(context.cancelled) == 1, context.cancelled


@then("the request was not cancelled within {limit_ms:d} ms")
def check_not_cancelled(context, limit_ms):
    """Check that the work goes on."""
    gevent.sleep(limit_ms / MS_PER_S)
    assert context.started
    assert not context.cancelled


@then("it gets the code {name} within {limit_ms:d} ms")
def check_told(context, name, limit_ms):
    """Check the numbered answer to a silent caller."""
    assert context.reply is not None
    assert int(context.reply.headers["knapweedrock-code"]) == Code[name]
    assert context.taken_ms < limit_ms, context.taken_ms
