"""Steps about endless bytes from callers."""

from unittest import mock

import gevent
from behave import given, then, when

from features.support.endless import CHUNKED, GET_REQUEST, POST_HEAD
from features.support.measures import YIELD_INTERVAL_S, measure, start_sender
from knapweedrock.emulator.addresses import create_address
from knapweedrock.mesh import callers
from knapweedrock.mesh.callers import CallerServer, Reply
from knapweedrock.mesh.definitions import Limits
from knapweedrock.mesh.http import Request
from knapweedrock.mesh.http_connections import dial
from knapweedrock.mesh.http_parsers import ResponseParser

PIECE_S = 0.1

REQUESTS: dict[str, tuple[bytes, ...]] = {
    "a body whose chunk sizes arrive in pieces": (
        POST_HEAD + CHUNKED,
        *[b"1;" + b"x" * 4000 + b"\r\n", b"a\r\n"] * 6,
        b"0\r\n\r\n",
    ),
    "a head of 16000 bytes in one piece": (
        POST_HEAD + b"X-Long: " + b"a" * 16_000 + b"\r\nContent-Length: 4\r\n\r\nbody",
    ),
    "a head in 4 pieces, one each 100 ms": (
        POST_HEAD,
        b"X-Long: ",
        b"a\r\nContent-Le",
        b"ngth: 4\r\n\r\nbody",
    ),
    "a body in 8 pieces, one each 100 ms": (
        POST_HEAD + b"Content-Length: 8\r\n\r\n",
        b"s",
        b"o",
        b"m",
        b"e",
        b"b",
        b"o",
        b"d",
        b"y",
    ),
    "a body of 1000000 bytes in chunks of 10 bytes": (
        POST_HEAD + CHUNKED + b"a\r\n0123456789\r\n" * 100_000 + b"0\r\n\r\n",
    ),
}


@given(
    "a listener whose callers have {head_ms:d} ms for a head and {whole_ms:d} ms for a "
    "request"
)
def start_listener(context, head_ms: int, whole_ms: int) -> None:
    """Start a listener with short timeouts that accepts bodies of 1 MiB."""
    context.served = []

    def serve(request: Request, _address: str) -> Reply:
        context.served.append(request.body)
        return Reply(200, [], b"")

    def get_limits() -> Limits:
        return Limits(16_384, context.max_body_bytes, head_ms, 10_000)

    context.max_body_bytes = 1 << 20

    patch = mock.patch.object(
        callers, "REQUEST_TIMEOUT_S", whole_ms / 1000, create=True
    )
    patch.start()
    context.add_cleanup(patch.stop)
    context.server = CallerServer(create_address(), serve, get_limits)
    context.server.start()
    context.add_cleanup(context.server.abort)


@given("the listener accepts bodies of up to {size:d} bytes")
def limit_bodies(context, size: int) -> None:
    """Lower the body limit of the listener."""
    context.max_body_bytes = size


@when("a caller sends {kind} to it without end")
def send_endless(context, kind: str) -> None:
    """Send from another process to the listener until it closes the connection."""
    caller = start_sender(context, kind, str(context.server.port))
    with measure(context):
        while caller.poll() is None or context.server.has_requests():
            gevent.sleep(YIELD_INTERVAL_S)
    context.status_line = caller.stdout.readline().decode().strip()


@when("a caller sends {kind}")
def send_request_in_pieces(context, kind: str) -> None:
    """Send one request in pieces with pauses, for some kinds after a first request."""
    connection = dial(("127.0.0.1", context.server.port), 1)
    context.add_cleanup(connection.close)
    if kind.startswith("two requests"):
        connection.send(GET_REQUEST, 1)
        assert connection.read(ResponseParser(), 1).status == 200
        gevent.sleep(0.8)
    for piece in REQUESTS.get(kind, (GET_REQUEST,)):
        connection.send(piece, 1)
        gevent.sleep(PIECE_S)
    context.status = connection.read(ResponseParser(), 2).status
    context.body = {
        "a body of 1000000 bytes in chunks of 10 bytes": b"0123456789" * 100_000,
        "two requests, the second 800 ms after the first": b"",
        "a body whose chunk sizes arrive in pieces": b"aaaaaa",
        "a body in 8 pieces, one each 100 ms": b"somebody",
    }.get(kind, b"body")


@then("the caller gets status {status:d} and is disconnected within {limit_ms:d} ms")
def check_disconnected(context, status: int, limit_ms: int) -> None:
    """Check the status that the caller read, and how long its connection lasted."""
    elapsed_ms = context.measures.elapsed_s * 1000
    assert elapsed_ms <= limit_ms, elapsed_ms
    expected = f"HTTP/1.1 {status} "
    assert context.status_line.startswith(expected), context.status_line


@then("no request was served")
def check_nothing_served(context) -> None:
    """Check that no request was served."""
    assert not context.served, len(context.served)


@then("its requests were served")
def check_served(context) -> None:
    """Check that more than 1000 requests were served."""
    assert len(context.served) > 1000, len(context.served)


@then("it gets status {status:d} and the listener received its whole body")
def check_body(context, status: int) -> None:
    """Check the status of the response and the body that the listener read."""
    assert context.status == status, context.status
    assert context.served[-1] == context.body, context.served[-1][:100]
