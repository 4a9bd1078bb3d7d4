"""Steps about frames and links between nodes."""

from collections.abc import Iterator

import cbor2
import gevent
import websockets.exceptions
from behave import given, then, when
from hypothesis import strategies as st
from websockets.sync.client import connect

from features.support.examples import feed_examples
from features.support.mesh_builders import (
    FakeClock,
    create_forward,
    create_member,
    create_row,
)
from knapweedrock.clock import create_clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.emulator.addresses import create_address
from knapweedrock.errors import LinkError
from knapweedrock.mesh.attempts import Progress, resolve_result
from knapweedrock.mesh.calls import Call
from knapweedrock.mesh.frames import Frame, decode_frame, encode_frame
from knapweedrock.mesh.link import Link
from knapweedrock.mesh.links import NODE_HEADER, Links
from knapweedrock.mesh.messages import (
    BoardChange,
    Cancel,
    ChargeQuota,
    CrashReport,
    Done,
    Failed,
    Forwarded,
    Probe,
    Publish,
    PublishConfiguration,
    Published,
    QuotaCharged,
    ReadBoard,
    ReadConfiguration,
    ReadCrashes,
    RememberedCrashes,
    Renew,
    Renewed,
    Resume,
    Resumed,
    RowLoad,
    get_type_id,
    list_message_types,
)
from knapweedrock.mesh.tables import encode_rows

TEXT = st.text(max_size=20)
HEADERS = st.lists(st.tuples(TEXT, TEXT), max_size=3)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.binary(max_size=20)
    | TEXT,
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=10,
)


def check_refused_or_typed(data: bytes) -> None:
    """Decode bytes and check that the result is a message or a `BAD_FRAME` error."""
    try:
        frame = decode_frame(data)
    except LinkError as error:
        assert error.code == Code.BAD_FRAME
        return
    assert get_type_id(type(frame.message)) > 0


@when("random bytes and random CBOR values are decoded as frames")
def decode_anything(context):
    """Decode random bytes, random values and malformed frames."""
    context.checked = 0

    def decode_bytes(data):
        check_refused_or_typed(data)
        context.checked += 1

    def decode_values(values):
        check_refused_or_typed(cbor2.dumps(list(values)))
        context.checked += 1

    def decode_malformed(kind, fields):
        check_refused_or_typed(cbor2.dumps([1, False, kind, fields]))
        context.checked += 1

    frames = st.tuples(VALUES, st.booleans(), VALUES, VALUES)
    feed_examples(decode_bytes, st.binary(max_size=200))
    feed_examples(decode_values, frames)
    feed_examples(decode_malformed, st.integers(0, 60), st.lists(VALUES, max_size=12))


@then("each is a validated message or is rejected with code 304")
def check_all_decoded(context):
    """Check that all examples ran, as each of them checks its own result."""
    assert context.checked >= 300, context.checked


@when("frames of every message type are encoded and decoded")
def decode_encoded(context):
    """Encode and decode a message of every type."""
    context.pairs = []

    def encode_forward(headers, body, path):
        forward = create_forward(headers=headers, body=body, path=path)
        forwarded = Forwarded(0, 200, headers, body, path, 0.0, 1.5)
        context.pairs += [
            (message, decode_frame(encode_frame(Frame(7, True, message))).message)
            for message in (forward, forwarded)
        ]

    feed_examples(encode_forward, HEADERS, st.binary(max_size=100), TEXT)
    for message in create_control_messages():
        frame = decode_frame(encode_frame(Frame(7, False, message)))
        context.pairs.append((message, frame.message))


def create_control_messages():
    """Create messages of every type but `Forward` and `Forwarded`."""
    member, row = create_member("n1"), create_row(0, 65535, "n1")
    change = BoardChange(
        3, 0, 1, "n1:1", [member], ["n2"], {"orders": encode_rows([row])}
    )
    loads = [RowLoad(0, 9, 1.5, (3, 5))]
    released, unheld = [(0, 9, "mark")], [(0, 9, 7)]
    return [
        Failed(201, "full"),
        Done(),
        Probe(),
        Cancel(9),
        Resume([3, 9]),
        Resumed([9], [3]),
        Renew(member, 3, 1, 2, 5, released, unheld, loads, 120),
        Renew(
            *(member, 3, 1, 2, 5, released, unheld, loads, 120),
            zones_era=2,
            kept_zones=[("zone-a", 900)],
            kept=[(10, 19, 1_000_003)],
        ),
        Renewed(3, 6000.0, "n1:1", change, 17, 3700.0),
        Renewed(3, 0.0, "n1:1", None, 17, 0.0),
        Renewed(3, 6000.0, "n1:1", None, 17, 3700.0, False, 2),
        Publish(change),
        Published(3, 1),
        PublishConfiguration(2, b"{}", ["zone-a"], 5),
        PublishConfiguration(2, b"{}", ["zone-a"], 5, 2, [("zone-b", 900)]),
        CrashReport(["a", "b"]),
        ReadBoard(),
        ReadConfiguration(),
        ReadCrashes(),
        ChargeQuota("blue", 7, 20.0, 40.0, True),
        QuotaCharged(True, 12.5, 0.0, True),
        RememberedCrashes({"a": [1500.0, 20.0]}),
    ]


@then("each message equals the one that was sent")
def check_pairs(context):
    """Compare each message with its decoded copy."""
    assert len(context.pairs) > 100
    kinds = {type(sent) for sent, _ in context.pairs}
    assert kinds == set(list_message_types()), set(list_message_types()) - kinds
    for sent, decoded in context.pairs:
        assert sent == decoded, (sent, decoded)


@given("the links of two nodes")
def open_links(context):
    """Open the links of two nodes on loopback."""
    context.first, context.second = (
        Links(name, create_address(), create_clock(), Counters())
        for name in ("first", "second")
    )
    for links in (context.first, context.second):
        links.start()
        context.add_cleanup(links.abort)
    assert ask_second(context) is not None


def ask_second(context, timeout_ms: int = 2000):
    """Send a probe from the first node to the second."""
    peer = str(context.second.address)
    return context.first.request(peer, Probe(), timeout_ms)


@when("a client that gives no node name dials a node")
def dial_without_name(context):
    """Open a WebSocket without the node header."""
    try:
        connect(f"ws://{context.second.address}/", proxy=None).close()
        context.status = 101
    except websockets.exceptions.InvalidStatus as error:
        context.status = error.response.status_code


@then("it is rejected with status {status:d}")
def check_status(context, status):
    """Check the status that the client got."""
    assert context.status == status, context.status


@when("a peer sends a malformed frame")
def send_broken(context):
    """Send text, random bytes and an unknown message type under a node name."""
    url = f"ws://{context.second.address}/"
    headers = {NODE_HEADER: "x"}
    context.dropped = 0
    for data in ("text", b"\xff\x00noise", cbor2.dumps([1, False, 99, []])):
        with connect(url, additional_headers=headers, proxy=None) as connection:
            connection.send(data)
            try:
                connection.recv(timeout=2)
                connection.recv(timeout=2)
            except websockets.exceptions.ConnectionClosed:
                context.dropped += 1


@then("its link is closed and the other node is still answered")
def check_dropped(context):
    """Check that only the links of the hostile peer were closed."""
    assert context.dropped == 3, context.dropped
    assert ask_second(context) is not None


@when("all frames from the second node are dropped")
def drop_answers(context):
    """Drop the answers, like a network that has lost the state of the connection."""
    context.second._send_answer = lambda _connection, _frame: None


@then("a request to it fails as possibly handled within 1 s")
def check_silent(context):
    """Check the code and the time of the failure."""
    start_ns = create_clock().now_ns()
    with gevent.Timeout(5):
        try:
            ask_second(context, timeout_ms=4000)
            raise AssertionError("the request was answered")
        except LinkError as error:
            assert error.code == Code.PEER_LOST, error
    elapsed_ms = (create_clock().now_ns() - start_ns) / 1e6
    assert elapsed_ms < 1000, elapsed_ms


@when("the second node answers with error code {code:d}")
def refuse_requests(context, code):
    """Answer each request with a failure."""
    context.second.handlers[CrashReport] = lambda _sender, _message: Failed(code, "new")


@then("a request to it fails with code {code:d}")
def check_refusal(context, code):
    """Check the code of the failure."""
    try:
        context.first.request(str(context.second.address), CrashReport([]), 1000)
        raise AssertionError("the request was answered")
    except LinkError as error:
        assert error.code == code, error


@then("the router treats an answer with code {code:d} as possibly executed")
def check_resolved(context, code):
    """Resolve a failure that follows a lost answer."""
    progress = Progress(0, 0)
    progress.lost_result = Forwarded(Code.ANSWER_LOST, 0, [], b"", "", 0, 0.0)
    final = Forwarded(code, 0, [], b"", "", 0, 0.0)
    assert resolve_result(final, progress) is final


@when("the first node's connection to the second is closed")
def close_connection(context):
    """Close the connection while its reader waits, and record its descriptor."""
    (context.link,) = context.first._links.values()
    context.connection = context.link._connection
    context.link.close("the scenario closes it")
    context.descriptor = context.connection.fileno()


@then("its descriptor is open until its reader has ended")
def check_descriptor(context):
    """Check that the descriptor is open, and closed by the reader afterwards."""
    assert context.descriptor >= 0
    with gevent.Timeout(2):
        while context.connection.fileno() >= 0:
            gevent.sleep(0.01)


class SlowConnection:
    """Connection whose number of received bytes is set by the scenario."""

    def __init__(self) -> None:
        self.received_bytes = 0
        self.unsent_bytes = 0

    def receive(self) -> Iterator[bytes]:
        """Block without yielding a frame."""
        gevent.sleep(60)
        yield from ()

    def send(self, _data: bytes) -> None:
        """Send nothing."""

    def shut_down(self) -> None:
        """Do nothing."""


@given("a link with a pending request")
def create_pending_link(context) -> None:
    """Create a link with an unanswered request."""
    context.clock, context.connection = FakeClock(), SlowConnection()
    context.link = Link("n1:1", context.connection, context.clock, Counters())
    context.link.awaiting_since_ns = context.clock.now_ns()
    context.link.pending[1] = Call(1)


@when("some bytes of a frame arrive every {ms:d} ms for {seconds:d} s")
def receive_slowly(context, ms: int, seconds: int) -> None:
    """Add received bytes, and check the link as often as its watch does."""
    for passed_ms in range(0, seconds * 1000, 100):
        context.clock.advance_ms(100)
        if passed_ms % ms == 0:
            context.connection.received_bytes += 1000
        context.link.check_silence()


@when("nothing arrives for {seconds:d} s")
def receive_nothing(context, seconds: int) -> None:
    """Let time pass while the link is checked."""
    for _ in range(seconds * 10):
        context.clock.advance_ms(100)
        context.link.check_silence()


@then("the link is open")
def check_open(context) -> None:
    """Check that the link is not closed."""
    assert not context.link.closed


@then("the link is closed as silent")
def check_closed(context) -> None:
    """Check that the request on the link has failed."""
    assert context.link.closed
    assert context.link.pending[1].ready()
