"""Steps about targets that close their connection within a response."""

from behave import given, then, when
from gevent import socket

from features.support.mesh_proxied import TargetProxyMesh
from features.support.proxies import Direction, Proxy
from knapweedrock.mesh.http import MalformedMessageError, Response
from knapweedrock.mesh.http_connections import feed_parser
from knapweedrock.mesh.http_parsers import ResponseParser

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n"
WITH_LENGTH = HEAD + b"Content-Length: 4\r\n\r\nbody"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
RESPONSES = {
    "a 200 with a length": WITH_LENGTH,
    "a 200 with chunks": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
    "a 200 without a length": HEAD + b"\r\nbody",
    "a 200 without a length that says close": HEAD + b"Connection: close\r\n\r\nbody",
    "a 200 of HTTP/1.0": HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + b"\r\nbody",
    "a 200 with an empty body": HEAD + b"Content-Length: 0\r\n\r\n",
    "a 204": HEAD.replace(b"200 OK", b"204 No Content") + b"\r\n",
    "a refusal": b"HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "a 200 after two interim responses": INTERIM + WITH_LENGTH,
    "a 200 after a copy of an earlier one": WITH_LENGTH + WITH_LENGTH,
}
# Responses that precede the one that is cut, and are taken out first.
EARLIER_COUNTS = {"a 200 after a copy of an earlier one": 1}
HEAD_END = b"\r\n\r\n"
# Only every so many bytes are sent in a mesh.
CUT_STEP = 6
DEADLINE_MS = 700
# Enough for a retry of each request, so that the budget does not decide.
RETRY_SLACK = 10_000
# Nodes have slack for retries once a window has passed since their start.
RETRY_WINDOW_S = 1.0


class CuttingProxy(Proxy):
    """Proxy of a target that closes within responses after `cut_bytes`, if not 0."""

    def __init__(
        self, listen_address: tuple[str, int], upstream_address: tuple[str, int]
    ) -> None:
        super().__init__(listen_address, upstream_address)
        self.cut_bytes = 0
        self.cuts_once = False

    def _before_sending(
        self,
        data: bytes,
        source: socket.socket,
        sink: socket.socket,
        direction: Direction,
    ) -> None:
        if direction is self.directions[0] or not self.cut_bytes:
            return
        count = self.cut_bytes
        if self.cuts_once:
            self.cut_bytes = 0
        sink.sendall(data[:count])
        raise ConnectionAbortedError("cut")


@given("a mesh of {count:d} keyed targets that close after some bytes of a response")
def start_cutting_mesh(context, count: int) -> None:
    """Start a mesh whose proxies do not cut yet."""
    context.mesh = TargetProxyMesh(
        count,
        CuttingProxy,
        retry_slack=RETRY_SLACK,
        retry_window_s=RETRY_WINDOW_S,
    )
    context.add_cleanup(context.mesh.stop)
    context.mesh.start()


@when("the connection is closed after each byte of the head of {response}")
def cut_head(context, response: str) -> None:
    """Parse every part of a response that ends before its head does."""
    data = RESPONSES[response]
    first = data.rindex(b"HTTP/1.1 200") if response in EARLIER_COUNTS else 0
    last = data.rindex(HEAD_END) if b"chunked" not in data else data.index(HEAD_END)
    ends = range(first, last + len(HEAD_END))
    parse_parts(context, data, ends, EARLIER_COUNTS.get(response, 0))


@when("the connection is closed after each byte of the body of {response}")
def cut_body(context, response: str) -> None:
    """Parse every part of a response that ends within its body."""
    data = RESPONSES[response]
    start = data.index(b"X-Response-Signature")
    first = data.index(HEAD_END, start) + len(HEAD_END)
    parse_parts(context, data, range(first, len(data)), 0)


@when("a HEAD request's connection is closed after each byte of a head")
def cut_bodiless_head(context) -> None:
    """Parse every part of a head that belongs to a response without a body."""
    ends = range(WITH_LENGTH.index(HEAD_END) + len(HEAD_END))
    parse_parts(context, WITH_LENGTH, ends, 0, bodiless=True)


@when("an order is sent for each number of bytes of its response's head")
def send_cut_orders(context) -> None:
    """Send an order for each cut."""
    send_cut_requests(context, "/order/1", "POST", once=False)


@when("a read is sent for each number of bytes of its response's head, cut only once")
def send_cut_reads(context) -> None:
    """Send a read for each cut; the next response is whole."""
    send_cut_requests(context, "/read/1", "GET", once=True)


@then("no part counts as a response, however it was divided")
def check_no_response(context) -> None:
    """Check that nothing was parsed from any part."""
    assert context.part_count > 1
    assert not context.found, context.found[:3]


@then("each order ends with 502 or 504 after one run")
def check_cut_orders(context) -> None:
    """Check the statuses, and how often the orders were executed."""
    assert len(context.responses) > 1
    statuses = {response.status for response in context.responses}
    assert statuses <= {502, 504}, statuses
    runs = [run.attempt_id for p in context.mesh.places for run in p.holder.runs]
    assert len(runs) == len(set(runs)) == len(context.responses), runs


@then("each read ends with the whole response")
def check_cut_reads(context) -> None:
    """Check the statuses and the bodies."""
    assert len(context.responses) > 1
    for response in context.responses:
        assert response.status == 200, [r.status for r in context.responses]
        assert response.body.startswith(b"attempt-"), response


def parse_parts(
    context, data: bytes, ends: range, earlier_count: int, bodiless: bool = False
) -> None:
    """Parse parts of data, each at once and byte by byte, and keep what is found."""
    context.found, context.part_count = [], 0
    for end in ends:
        for step in (max(end, 1), 1):
            pieces = [data[i : min(i + step, end)] for i in range(0, end, step)]
            responses = parse_until_closed(pieces, earlier_count, bodiless)
            context.found += [(end, response) for response in responses]
            context.part_count += 1


def parse_until_closed(
    pieces: list[bytes], earlier_count: int, bodiless: bool
) -> list[Response]:
    """Return what a parser finds in bytes after which the connection is closed."""
    parser = ResponseParser(bodiless=bodiless)
    try:
        for piece in pieces:
            feed_parser(parser, piece)
        del parser.responses[:earlier_count]
        feed_parser(parser, b"")
    except (ConnectionError, MalformedMessageError):
        return []
    return parser.responses


def send_cut_requests(context, path: str, method: str, once: bool) -> None:
    """Send a request for each number of bytes after which its response is cut."""
    mesh, context.responses = context.mesh, []
    whole = mesh.call("node-0", path, 1, method, b"b", DEADLINE_MS)
    assert whole.status == 200, whole
    for place in mesh.places:
        place.holder.runs.clear()
    head_bytes = len("HTTP/1.1 200 OK\r\n") + sum(
        len(f"{name}: {value}\r\n") for name, value in whole.headers
    )
    for count in range(1, head_bytes, CUT_STEP):
        set_cut(mesh, count, once)
        response = mesh.call("node-0", path, 1, method, b"b", DEADLINE_MS)
        context.responses.append(response)
        set_cut(mesh, 0, once)


def set_cut(mesh: TargetProxyMesh, count: int, once: bool) -> None:
    """Cut responses after a number of bytes, 0 for none, or only the next one."""
    for proxy in mesh.proxies.values():
        proxy.cut_bytes, proxy.cuts_once = count, once
