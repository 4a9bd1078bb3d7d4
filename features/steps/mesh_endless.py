"""Steps about bytes that do not end, from targets, stores and callers."""

import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest import mock

import gevent
from behave import given, then, when
from gevent import socket, subprocess
from gevent.server import StreamServer

from features.support import endless
from features.support.endless import CHUNKED, GET, REQUEST
from features.support.servers import start_socket_server
from knapweedrock.checker import Address, parse_address
from knapweedrock.clock import create_clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.emulator.addresses import create_address
from knapweedrock.errors import LinkError, PlatformError
from knapweedrock.mesh import callers, connections
from knapweedrock.mesh.callers import CallerServer, Reply
from knapweedrock.mesh.definitions import Limits
from knapweedrock.mesh.exchanges import BrokenExchangeError, Exchanges
from knapweedrock.mesh.gateway import PROBE_TIMEOUT_S
from knapweedrock.mesh.http import AnswerParser, Request, dial
from knapweedrock.operators import client
from knapweedrock.platform.store import Listing, Store, Stored

MB = 1_000_000
TURN_S = 0.005
PIECE_S = 0.1
APART_S = 0.002
HEAD = endless.HEAD
LISTING = (
    '{"items":[{"metadata":{"name":"one","revision":3},"specification":7}],'
    '"atRevision":5}'
)
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"


class Measures:
    """What a piece of work took: time, memory at its peak, turns of others."""

    def __init__(self) -> None:
        self.took_s = 0.0
        self.peak_bytes = 0
        self.longest_wait_s = 0.0


@contextmanager
def measure(context) -> Iterator[None]:
    """Measure what is done in the block."""
    measures = context.measures = Measures()

    def take_turns() -> None:
        while True:
            began_s = time.monotonic()
            gevent.sleep(TURN_S)
            waited_s = time.monotonic() - began_s
            measures.longest_wait_s = max(measures.longest_wait_s, waited_s)

    others = gevent.spawn(take_turns)
    gevent.sleep(TURN_S)
    tracemalloc.start()
    began_s = time.monotonic()
    try:
        yield
    finally:
        measures.took_s = time.monotonic() - began_s
        _, measures.peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        gevent.sleep(2 * TURN_S)
        others.kill()


def start_sender(context, *arguments: str) -> subprocess.Popen:
    """Start a process that sends without end, and end it with the scenario."""
    command = [sys.executable, endless.__file__, *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)

    def end() -> None:
        process.kill()
        process.wait()
        process.stdout.close()

    context.add_cleanup(end)
    return process


@given("a sender of {kind} without end")
def give_sender(context, kind: str) -> None:
    """Start a server whose answers do not end."""
    process = start_sender(context, kind)
    context.address = ("127.0.0.1", int(process.stdout.readline()))


def send_slowly(sock: socket.socket) -> bytes:
    """Send an answer in pieces with pauses and return its body."""
    sock.sendall(HEAD)
    for piece in (
        b"Content-Le",
        b"ngth: 5\r\n",
        b"\r\n",
        *(b"%d" % n for n in range(5)),
    ):
        gevent.sleep(PIECE_S)
        sock.sendall(piece)
    return b"01234"


def send_chunks(sock: socket.socket) -> bytes:
    """Send an answer in small chunks and return its body."""
    chunk = b"a\r\n0123456789\r\n"
    sock.sendall(HEAD + endless.CHUNKED + chunk * 100_000 + b"0\r\n\r\n")
    return b"0123456789" * 100_000


def send_apart(sock: socket.socket) -> bytes:
    """Send the sizes of chunks, 50000 bytes with what extends them, on their own."""
    sock.sendall(HEAD + endless.CHUNKED)
    for piece in [b"1;" + b"x" * 1000 + b"\r\n", b"a\r\n"] * 50:
        gevent.sleep(APART_S)
        sock.sendall(piece)
    sock.sendall(b"0\r\n\r\n")
    return b"a" * 50


def send_sized(sock: socket.socket, size: int, before: bytes = HEAD) -> bytes:
    """Send an answer with a body of a size and return the body."""
    body = b"a" * size
    sock.sendall(before + b"Content-Length: %d\r\n\r\n" % size + body)
    return body


def send_listing(sock: socket.socket) -> bytes:
    """Send a listing of the store in 15 pieces."""
    body = LISTING.encode()
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
    step = -(-len(body) // 15)
    for start in range(0, len(body), step):
        gevent.sleep(PIECE_S)
        sock.sendall(body[start : start + step])
    return body


ANSWERS: dict[str, Callable[[socket.socket], bytes]] = {
    "an answer a piece each 100 ms": send_slowly,
    "a listing in 1500 ms": send_listing,
    "nothing at all": lambda _sock: b"",
    "1000000 bytes in chunks of 10 bytes": send_chunks,
    "chunks whose sizes come apart": send_apart,
    "3000000 bytes of known length": lambda sock: send_sized(sock, 3_000_000),
    "3000 bytes of known length": lambda sock: send_sized(sock, 3000),
    "40 interim answers before its own": lambda sock: send_sized(
        sock, 9, INTERIM * 40 + HEAD
    ),
    "a head of 16000 bytes": lambda sock: send_sized(
        sock, 9, HEAD + b"X-Long: " + b"a" * 16_000 + b"\r\n"
    ),
}


@given("a target that sends {kind}")
def give_sound_target(context, kind: str) -> None:
    """Start a target whose answer ends."""

    def answer(sock: socket.socket, _address: tuple) -> None:
        while sock.recv(endless.READ_BYTES):
            context.body = ANSWERS[kind](sock)

    context.address = tuple(parse_address(start_socket_server(context, answer)))


def send_request(context, timeout_ms: int) -> None:
    """Send a request to a target."""
    context.timeout_s = timeout_ms / 1000
    context.exchanges = Exchanges(context.address, create_clock(), Counters())
    context.answer = context.error = None
    try:
        context.answer = context.exchanges.run(
            "GET", "/x", [("host", "t")], b"", "a1", context.timeout_s
        )
    except BrokenExchangeError as error:
        context.error = error


@when("a request of {timeout_ms:d} ms is sent to that sender")
def send_measured(context, timeout_ms: int) -> None:
    """Send a request and measure what it takes."""
    with measure(context):
        send_request(context, timeout_ms)


@when("a request of {timeout_ms:d} ms is sent to that target")
def send_to_sound(context, timeout_ms: int) -> None:
    """Send a request to a target whose answer ends."""
    send_request(context, timeout_ms)


@when(
    "a request of {timeout_ms:d} ms is sent to that target while the process stands "
    "still for {still_ms:d} ms"
)
def send_standing_still(context, timeout_ms: int, still_ms: int) -> None:
    """Let the answer come while nothing in the process runs but its sender."""
    run = gevent.spawn(send_request, context, timeout_ms)

    def stand_still() -> None:
        """Give nobody a turn once the answer has been sent."""
        while not hasattr(context, "body"):
            gevent.sleep(0)
        block(still_ms / 1000)

    gevent.spawn(stand_still)
    run.join(5)


def block(seconds: float) -> None:
    """Keep this thread busy, without a turn for others."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        pass


@when("its node asks that sender for its target's health")
def probe_sender(context) -> None:
    """Put the sender in the place of the target, and let the node ask it."""
    context.node = next(iter(context.mesh.nodes.values()))
    gateway = context.node.gateway
    gateway.exchanges.drop_idle()
    gateway.exchanges.address = context.address
    with measure(context):
        gateway.probe()
        # Its next heartbeat makes it heard again.
        context.was_silent = context.node.target.silent


@then("the target is taken for silent at most {slack_ms:d} ms after the probe's time")
def check_silent(context, slack_ms: int) -> None:
    """Check what the node made of the target, and when."""
    assert context.was_silent
    took_s = context.measures.took_s
    assert took_s <= PROBE_TIMEOUT_S + slack_ms / 1000, took_s


@then("it ends as one that may have run, at most {slack_ms:d} ms after its time")
def check_given_up(context, slack_ms: int) -> None:
    """Check the code and the time of the failure."""
    assert context.measures.took_s <= context.timeout_s + slack_ms / 1000, (
        context.measures.took_s
    )
    assert context.error is not None, str(context.answer)[:200]
    may_have_run = (Code.ANSWER_LOST, Code.ANSWER_TRUNCATED)
    assert context.error.code in may_have_run, context.error


@then("at most {limit:d} MB were taken meanwhile")
def check_memory(context, limit: int) -> None:
    """Check the peak of the memory that was taken."""
    found = context.measures.peak_bytes / MB
    assert found <= limit, f"{found:.1f} MB"


@then("others waited at most {limit_ms:d} ms for their turn")
def check_turns(context, limit_ms: int) -> None:
    """Check how long other tasks of the process had to wait."""
    found_ms = context.measures.longest_wait_s * 1000
    assert found_ms <= limit_ms, f"{found_ms:.0f} ms"


@then("its connection is not kept")
def check_not_kept(context) -> None:
    """Check that no connection stayed open."""
    assert context.exchanges._open == 0, context.exchanges._open


@then("its whole answer is returned")
def check_whole(context) -> None:
    """Check the body that was returned."""
    assert context.answer is not None, context.error
    assert context.answer.body == context.body, len(context.answer.body)


def call_store(context, timeout_ms: int, call: Callable[[Store], object]) -> None:
    """Make a call of the store and measure what it takes."""
    context.timeout_s = timeout_ms / 1000
    context.error = None
    store = Store(context.address, create_clock(), Counters())
    with measure(context):
        try:
            call(store)
        except PlatformError as error:
            context.error = error


@when("an object of that store is read within {timeout_ms:d} ms")
def read_object(context, timeout_ms: int) -> None:
    """Read an object of a store whose answer does not end."""
    call_store(
        context, timeout_ms, lambda store: store.get("kind", "name", context.timeout_s)
    )


@when("an object of {size:d} bytes is written to that store within {timeout_ms:d} ms")
def write_object(context, size: int, timeout_ms: int) -> None:
    """Write more than the system takes before the store reads."""
    value = "a" * size
    call_store(
        context,
        timeout_ms,
        lambda store: store.create("kind", "name", value, context.timeout_s),
    )


@when("a kind of that store is listed within {timeout_ms:d} ms")
def list_within(context, timeout_ms: int) -> None:
    """List a kind in a time."""
    call_store(
        context, timeout_ms, lambda store: store.list_kind("kind", context.timeout_s)
    )


@when("a kind of that store is listed")
def list_slow(context) -> None:
    """List a kind in the usual time."""
    store = Store(context.address, create_clock(), Counters())
    context.listing = store.list_kind("kind")


@then("the listing is whole")
def check_listing(context) -> None:
    """Check what was listed."""
    assert context.listing == Listing([Stored("one", 3, 7)], 5), context.listing


@then("the call fails, {least_ms:d} ms to {most_ms:d} ms after its start")
def check_call_time(context, least_ms: int, most_ms: int) -> None:
    """Check that the call failed, and when."""
    assert context.error is not None
    took_ms = context.measures.took_s * 1000
    assert least_ms <= took_ms <= most_ms, took_ms


@then("the call fails, at most {slack_ms:d} ms after its time")
def check_call_failed(context, slack_ms: int) -> None:
    """Check that the call failed, and when."""
    assert context.error is not None
    took_s = context.measures.took_s
    assert took_s <= context.timeout_s + slack_ms / 1000, took_s


@when("{count:d} objects of {size:d} bytes are written, and watched from before")
def watch_large(context, count: int, size: int) -> None:
    """Watch changes that come in one large answer."""
    before = context.client.list_kind("large").revision
    context.values = {f"name-{number}": "a" * size for number in range(count)}
    for name, value in context.values.items():
        context.objects.write("large", name, value)
    context.changes = context.client.watch("large", before, 1.0).changes


@then("the watch shows all of them whole")
def check_watched(context) -> None:
    """Check the values of the changes."""
    found = {change.item.name: change.item.value for change in context.changes}
    assert found == context.values, [len(value) for value in found.values()]


REQUESTS: dict[str, tuple[bytes, ...]] = {
    "a body whose chunks' sizes come apart": (
        REQUEST + CHUNKED,
        *[b"1;" + b"x" * 4000 + b"\r\n", b"a\r\n"] * 6,
        b"0\r\n\r\n",
    ),
    "a head of 16000 bytes in one piece": (
        REQUEST + b"X-Long: " + b"a" * 16_000 + b"\r\nContent-Length: 4\r\n\r\nbody",
    ),
    "a head in 4 pieces, one each 100 ms": (
        REQUEST,
        b"X-Long: ",
        b"a\r\nContent-Le",
        b"ngth: 4\r\n\r\nbody",
    ),
    "a body in 8 pieces, one each 100 ms": (
        REQUEST + b"Content-Length: 8\r\n\r\n",
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
        REQUEST + CHUNKED + b"a\r\n0123456789\r\n" * 100_000 + b"0\r\n\r\n",
    ),
}


@given(
    "a listener whose callers have {head_ms:d} ms for a head and {whole_ms:d} ms for a "
    "request"
)
def give_listener(context, head_ms: int, whole_ms: int) -> None:
    """Start a listener that takes little time and 1 MiB."""
    context.served = []

    def serve(request: Request, _address: str) -> Reply:
        context.served.append(request.body)
        return Reply(200, [], b"")

    def find_limits() -> Limits:
        return Limits(16_384, 1 << 20, head_ms, 10_000)

    patch = mock.patch.object(
        callers, "REQUEST_TIMEOUT_S", whole_ms / 1000, create=True
    )
    patch.start()
    context.add_cleanup(patch.stop)
    context.server = CallerServer(create_address(), serve, find_limits)
    context.server.start()
    context.add_cleanup(context.server.abort)


@when("a caller sends {kind} to it without end")
def send_endless(context, kind: str) -> None:
    """Let a process send to the listener until it is turned away."""
    caller = start_sender(context, kind, str(context.server.port))
    with measure(context):
        while caller.poll() is None or context.server.has_requests():
            gevent.sleep(TURN_S)
    context.status_line = caller.stdout.readline().decode().strip()


@when("a caller sends {kind}")
def send_within_limits(context, kind: str) -> None:
    """Send one request, in pieces with pauses between them, and another one."""
    connection = dial(("127.0.0.1", context.server.port), 1)
    context.add_cleanup(connection.close)
    if kind.startswith("two requests"):
        connection.send(GET, 1)
        assert connection.read(AnswerParser(), 1).status == 200
        gevent.sleep(0.8)
    for piece in REQUESTS.get(kind, (GET,)):
        connection.send(piece, 1)
        gevent.sleep(PIECE_S)
    context.status = connection.read(AnswerParser(), 2).status
    context.body = {
        "a body of 1000000 bytes in chunks of 10 bytes": b"0123456789" * 100_000,
        "two requests, the second 800 ms after the first": b"",
        "a body whose chunks' sizes come apart": b"aaaaaa",
        "a body in 8 pieces, one each 100 ms": b"somebody",
    }.get(kind, b"body")


@then("the caller is answered with {status:d} and gone within {limit_ms:d} ms")
def check_turned_away(context, status: int, limit_ms: int) -> None:
    """Check what the caller read, and how long its connection lasted."""
    took_ms = context.measures.took_s * 1000
    assert took_ms <= limit_ms, took_ms
    expected = f"HTTP/1.1 {status} "
    assert context.status_line.startswith(expected), context.status_line


@then("nothing was served")
def check_nothing_served(context) -> None:
    """Check that no request came through."""
    assert not context.served, len(context.served)


@then("its requests were served")
def check_served(context) -> None:
    """Check that requests came through."""
    assert len(context.served) > 1000, len(context.served)


@then("it is answered with {status:d} and the listener got its body whole")
def check_body(context, status: int) -> None:
    """Check the answer and the body that was read."""
    assert context.status == status, context.status
    assert context.served[-1] == context.body, context.served[-1][:100]


@when("a page of that node is read within {timeout_ms:d} ms")
def read_page(context, timeout_ms: int) -> None:
    """Read a page as the commands of operators do."""
    context.timeout_s = timeout_ms / 1000
    context.error = None
    with (
        mock.patch.object(client, "TIMEOUT_S", context.timeout_s),
        measure(context),
    ):
        try:
            client.fetch(Address(*context.address), "/status")
        except LinkError as error:
            context.error = error


@then("it fails with code {code:d}, at most {slack_ms:d} ms after its time")
def check_page_failed(context, code: int, slack_ms: int) -> None:
    """Check the code and the time of the failure."""
    took_s = context.measures.took_s
    assert took_s <= context.timeout_s + slack_ms / 1000, took_s
    assert context.error is not None
    assert context.error.code == Code(code), context.error


@given("a listener for links")
def give_link_listener(context) -> None:
    """Start a listener that takes links as a node does."""
    context.handshakes = []

    def take(sock: socket.socket, _address: tuple) -> None:
        began_s = time.monotonic()
        try:
            connections.accept(sock, lambda *_: None)
            failed = False
        except OSError:
            failed = True
        context.handshakes.append((failed, time.monotonic() - began_s))

    context.server = StreamServer(create_address(), take)
    context.server.start()
    context.add_cleanup(context.server.stop, 0)


@when("a link to that sender is dialled within {timeout_ms:d} ms")
def dial_link(context, timeout_ms: int) -> None:
    """Dial a link at an address where no node answers."""
    context.timeout_s = timeout_ms / 1000
    context.error = None
    address = "{}:{}".format(*context.address)
    with measure(context):
        try:
            connections.dial(address, {}, timeout_ms)
        except OSError as error:
            context.error = error


@when("that listener gets {kind} without end")
def send_to_links(context, kind: str) -> None:
    """Let a process send to the listener for links."""
    with measure(context):
        caller = start_sender(context, kind, str(context.server.server_port))
        while caller.poll() is None or not context.handshakes:
            gevent.sleep(TURN_S)


@then("it is not opened, at most {slack_ms:d} ms after its time")
def check_not_opened(context, slack_ms: int) -> None:
    """Check that the dial failed, and when."""
    took_s = context.measures.took_s
    assert took_s <= context.timeout_s + slack_ms / 1000, took_s
    assert context.error is not None


@then("its handshake fails within {limit_ms:d} ms")
def check_handshake(context, limit_ms: int) -> None:
    """Check how the handshake ended, and when."""
    [(failed, took_s)] = context.handshakes
    assert failed
    assert took_s * 1000 <= limit_ms, took_s
