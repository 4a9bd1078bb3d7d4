"""Steps about endless data from targets and stores."""

import time
from collections.abc import Callable

import gevent
from behave import given, then, when
from gevent import socket

from features.support import endless
from features.support.measures import measure, start_sender
from features.support.servers import start_socket_server
from knapweedrock.checker import parse_address
from knapweedrock.clock import create_clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import PlatformError
from knapweedrock.mesh.gateway import PROBE_TIMEOUT_S
from knapweedrock.mesh.http_client import BrokenExchangeError, HttpClient
from knapweedrock.platform.store import Store
from knapweedrock.platform.stored_objects import Listing, StoredObject

MB = 1_000_000
PIECE_INTERVAL_S = 0.1
CHUNK_SIZE_INTERVAL_S = 0.002
HEAD = endless.HEAD
LISTING = (
    '{"items":[{"metadata":{"name":"one","revision":3},"specification":7}],'
    '"atRevision":5}'
)
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"


@given("a sender of {kind} without end")
def start_endless_sender(context, kind: str) -> None:
    """Start a server whose answers never end."""
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
        gevent.sleep(PIECE_INTERVAL_S)
        sock.sendall(piece)
    return b"01234"


def send_chunks(sock: socket.socket) -> bytes:
    """Send an answer in small chunks and return its body."""
    chunk = b"a\r\n0123456789\r\n"
    sock.sendall(HEAD + endless.CHUNKED + chunk * 100_000 + b"0\r\n\r\n")
    return b"0123456789" * 100_000


def send_split_chunk_sizes(sock: socket.socket) -> bytes:
    """Send chunk sizes, in total 50000 bytes with their extensions, on their own."""
    sock.sendall(HEAD + endless.CHUNKED)
    for piece in [b"1;" + b"x" * 1000 + b"\r\n", b"a\r\n"] * 50:
        gevent.sleep(CHUNK_SIZE_INTERVAL_S)
        sock.sendall(piece)
    sock.sendall(b"0\r\n\r\n")
    return b"a" * 50


def send_sized(sock: socket.socket, size: int, before: bytes = HEAD) -> bytes:
    """Send an answer with a body of the given size and return the body."""
    body = b"a" * size
    sock.sendall(before + b"Content-Length: %d\r\n\r\n" % size + body)
    return body


def send_listing(sock: socket.socket) -> bytes:
    """Send a listing of the store in 15 pieces."""
    body = LISTING.encode()
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
    step = -(-len(body) // 15)
    for start in range(0, len(body), step):
        gevent.sleep(PIECE_INTERVAL_S)
        sock.sendall(body[start : start + step])
    return body


ANSWERS: dict[str, Callable[[socket.socket], bytes]] = {
    "an answer in pieces, one every 100 ms": send_slowly,
    "a listing in 1500 ms": send_listing,
    "nothing at all": lambda _sock: b"",
    "1000000 bytes in chunks of 10 bytes": send_chunks,
    "chunks whose sizes arrive separately": send_split_chunk_sizes,
    "3000000 bytes of known length": lambda sock: send_sized(sock, 3_000_000),
    "3000 bytes of known length": lambda sock: send_sized(sock, 3000),
    "40 interim responses before its own": lambda sock: send_sized(
        sock, 9, INTERIM * 40 + HEAD
    ),
    "a head of 16000 bytes": lambda sock: send_sized(
        sock, 9, HEAD + b"X-Long: " + b"a" * 16_000 + b"\r\n"
    ),
}


@given("a server that sends {kind}")
def start_target(context, kind: str) -> None:
    """Start a target whose answer ends."""

    def answer(sock: socket.socket, _address: tuple) -> None:
        while sock.recv(endless.READ_BYTES):
            context.body = ANSWERS[kind](sock)

    context.address = tuple(parse_address(start_socket_server(context, answer)))


def send_request(context, timeout_ms: int) -> None:
    """Send a request to the server and record its answer or its error."""
    context.timeout_s = timeout_ms / 1000
    context.http_client = HttpClient(context.address, create_clock(), Counters())
    context.answer = context.error = None
    try:
        context.answer = context.http_client.request(
            "GET", "/x", [("host", "t")], b"", "a1", context.timeout_s
        )
    except BrokenExchangeError as error:
        context.error = error


@when("a request with a timeout of {timeout_ms:d} ms is sent to that sender")
def send_measured(context, timeout_ms: int) -> None:
    """Send a request and measure its duration and memory."""
    with measure(context):
        send_request(context, timeout_ms)


@when(
    "{count:d} requests with a timeout of {timeout_ms:d} ms are sent to that sender at"
    " the same time"
)
def send_many(context, count: int, timeout_ms: int) -> None:
    """Send requests over connections of one client, and keep their errors."""
    context.timeout_s = timeout_ms / 1000
    client = HttpClient(context.address, create_clock(), Counters())
    context.errors = []

    def send(number: int) -> None:
        try:
            client.request(
                "GET", "/x", [("host", "t")], b"", f"a{number}", context.timeout_s
            )
        except BrokenExchangeError as error:
            context.errors.append(error)

    with measure(context):
        gevent.joinall([gevent.spawn(send, number) for number in range(count)])
    context.request_count = count


@then("all of them fail as possibly executed, at most {ms:d} ms after their timeout")
def check_all_failed(context, ms: int) -> None:
    """Check the number of errors, their codes and the time that they took."""
    codes = {error.code for error in context.errors}
    assert len(context.errors) == context.request_count, context.errors
    assert codes <= {Code.ANSWER_LOST, Code.ANSWER_TRUNCATED}, codes
    elapsed_s = context.measures.elapsed_s
    assert elapsed_s <= context.timeout_s + ms / 1000, elapsed_s


@when("a request with a timeout of {timeout_ms:d} ms is sent to that server")
def send_to_target(context, timeout_ms: int) -> None:
    """Send a request to a server whose answer ends."""
    send_request(context, timeout_ms)


@when(
    "a request with a timeout of {timeout_ms:d} ms is sent to that server while the "
    "process is blocked for {block_ms:d} ms"
)
def send_while_blocked(context, timeout_ms: int, block_ms: int) -> None:
    """Let the answer arrive while the event loop is blocked."""
    run = gevent.spawn(send_request, context, timeout_ms)

    def block_after_answer() -> None:
        """Block the event loop once the answer has been sent."""
        while not hasattr(context, "body"):
            gevent.sleep(0)
        block(block_ms / 1000)

    gevent.spawn(block_after_answer)
    run.join(5)


def block(seconds: float) -> None:
    """Keep this thread busy without yielding to other tasks."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        pass


@when("its node probes that sender as its target")
def probe_sender(context) -> None:
    """Replace the target by the sender, and let the node probe it."""
    context.node = next(iter(context.mesh.nodes.values()))
    gateway = context.node.gateway
    gateway.http_client.close_idle()
    gateway.http_client.address = context.address
    with measure(context):
        gateway.probe()
        # The next heartbeat of the target ends its silence.
        context.was_silent = context.node.target.silent


@then("the target counts as silent at most {slack_ms:d} ms after the probe's timeout")
def check_silent(context, slack_ms: int) -> None:
    """Check the state of the target, and the duration of the probe."""
    assert context.was_silent
    elapsed_s = context.measures.elapsed_s
    assert elapsed_s <= PROBE_TIMEOUT_S + slack_ms / 1000, elapsed_s


@then("it fails as possibly executed, at most {slack_ms:d} ms after its timeout")
def check_broken_exchange(context, slack_ms: int) -> None:
    """Check the code of the failure and the duration of the request."""
    assert context.measures.elapsed_s <= context.timeout_s + slack_ms / 1000, (
        context.measures.elapsed_s
    )
    assert context.error is not None, str(context.answer)[:200]
    may_have_run = (Code.ANSWER_LOST, Code.ANSWER_TRUNCATED)
    assert context.error.code in may_have_run, context.error


@then("at most {limit:d} MB were allocated meanwhile")
def check_memory(context, limit: int) -> None:
    """Check the peak of the allocated memory."""
    found = context.measures.peak_bytes / MB
    assert found <= limit, f"{found:.1f} MB"


@then("other tasks waited at most {limit_ms:d} ms for the event loop")
def check_event_loop(context, limit_ms: int) -> None:
    """Check the longest wait of another task in the process."""
    found_ms = context.measures.longest_wait_s * 1000
    assert found_ms <= limit_ms, f"{found_ms:.0f} ms"


@then("its connection is not kept open")
def check_connection_closed(context) -> None:
    """Check that the number of open connections is 0."""
    assert context.http_client._open_count == 0, context.http_client._open_count


@then("its complete answer is returned")
def check_whole(context) -> None:
    """Check the body that was returned."""
    assert context.answer is not None, context.error
    assert context.answer.body == context.body, len(context.answer.body)


def call_store(context, timeout_ms: int, call: Callable[[Store], object]) -> None:
    """Make a call to the store and measure its duration and memory."""
    context.timeout_s = timeout_ms / 1000
    context.error = None
    store = Store(context.address, create_clock(), Counters())
    with measure(context):
        try:
            call(store)
        except PlatformError as error:
            context.error = error


@when("an object is read from that store within {timeout_ms:d} ms")
def read_object(context, timeout_ms: int) -> None:
    """Read an object from a store whose answer never ends."""
    call_store(
        context, timeout_ms, lambda store: store.get("kind", "name", context.timeout_s)
    )


@when("an object of {size:d} bytes is written to that store within {timeout_ms:d} ms")
def write_object(context, size: int, timeout_ms: int) -> None:
    """Write more data than the kernel buffers until the store reads."""
    value = "a" * size
    call_store(
        context,
        timeout_ms,
        lambda store: store.create("kind", "name", value, context.timeout_s),
    )


@when("the objects of a kind are listed from that store within {timeout_ms:d} ms")
def list_within(context, timeout_ms: int) -> None:
    """List a kind with a given timeout."""
    call_store(
        context, timeout_ms, lambda store: store.list_kind("kind", context.timeout_s)
    )


@when("the objects of a kind are listed from that store")
def list_slow(context) -> None:
    """List a kind with the default timeout."""
    store = Store(context.address, create_clock(), Counters())
    context.listing = store.list_kind("kind")


@then("the listing is complete")
def check_listing(context) -> None:
    """Check the items and the revision of the listing."""
    assert context.listing == Listing([StoredObject("one", 3, 7)], 5), context.listing


@then("the call fails, {min_ms:d} ms to {max_ms:d} ms after its start")
def check_call_time(context, min_ms: int, max_ms: int) -> None:
    """Check that the call failed, and its minimum and maximum duration."""
    assert context.error is not None
    elapsed_ms = context.measures.elapsed_s * 1000
    assert min_ms <= elapsed_ms <= max_ms, elapsed_ms


@then("the call fails, at most {slack_ms:d} ms after its timeout")
def check_call_failed(context, slack_ms: int) -> None:
    """Check that the call failed in time."""
    assert context.error is not None
    elapsed_s = context.measures.elapsed_s
    assert elapsed_s <= context.timeout_s + slack_ms / 1000, elapsed_s


@when("{count:d} objects of {size:d} bytes are written, and watched from before")
def watch_large(context, count: int, size: int) -> None:
    """Watch changes that arrive in one large answer."""
    before = context.client.list_kind("large").revision
    context.values = {f"name-{number}": "a" * size for number in range(count)}
    for name, value in context.values.items():
        context.objects.write("large", name, value)
    context.changes = context.client.watch("large", before, 1.0).changes


@then("the watch returns all of them complete")
def check_watched(context) -> None:
    """Check the values of the changes."""
    found = {change.item.name: change.item.value for change in context.changes}
    assert found == context.values, [len(value) for value in found.values()]
