"""Steps about frames and links between nodes."""

import cbor2
import gevent
import websockets.exceptions
from behave import given, then, when
from hypothesis import strategies as st
from websockets.sync.client import connect

from features.support.builders_nodes import create_linked_environments
from features.support.examples import feed_examples
from knapweedrock.codes import Code
from knapweedrock.errors import LinkError
from knapweedrock.faults import Cuts
from knapweedrock.nodes.frames import Frame, decode_frame, encode_frame
from knapweedrock.nodes.messages import (
    AskPromise,
    Deliver,
    Delivered,
    Heartbeat,
    Lease,
    Probe,
    Release,
    get_kind,
)
from knapweedrock.nodes.view import HASH_SPACE

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
    """Decode bytes and check that nothing but a message or a refusal results."""
    try:
        frame = decode_frame(data)
    except LinkError as error:
        assert error.code == Code.BAD_FRAME
        return
    assert get_kind(type(frame.message)) > 0


@when("any bytes and any CBOR values are decoded as frames")
def decode_anything(context):
    """Decode random bytes, random values and nearly right frames."""
    context.checked = 0

    def decode_bytes(data):
        check_refused_or_typed(data)
        context.checked += 1

    def decode_values(values):
        check_refused_or_typed(cbor2.dumps(list(values)))
        context.checked += 1

    def decode_nearly(kind, fields):
        check_refused_or_typed(cbor2.dumps([1, False, kind, fields]))
        context.checked += 1

    frames = st.tuples(VALUES, st.booleans(), VALUES, VALUES)
    feed_examples(decode_bytes, st.binary(max_size=200))
    feed_examples(decode_values, frames)
    feed_examples(decode_nearly, st.integers(0, 40), st.lists(VALUES, max_size=12))


@then("each is a checked message or is refused with code 304")
def check_all_decoded(context):
    """Check that all examples ran; each has checked itself."""
    assert context.checked >= 300, context.checked


@when("frames of every kind of message are encoded and decoded")
def decode_encoded(context):
    """Send typed messages through the codec."""
    context.pairs = []

    def encode_deliver(headers, body, key):
        deliver = Deliver(
            "s", key, "GET", "/p", headers, body, 5.5, "", True, "c", (1, 2)
        )
        delivered = Delivered(0, 200, headers, body, "", 0, (1, 2))
        context.pairs += [
            (message, decode_frame(encode_frame(Frame(7, True, message))).message)
            for message in (deliver, delivered)
        ]

    feed_examples(encode_deliver, HEADERS, st.binary(max_size=100), TEXT)
    for message in (
        Probe(),
        Lease(3, 4, 1000, 5),
        AskPromise("c", 1, "n/1", True),
        Release(1, 2, "i", "s", [(0, 5), (HASH_SPACE - 1, HASH_SPACE)], 100),
        Heartbeat("c", "n", "i", 1, 2, 3, 4, True, None, [("s", 2**64 - 1, 0.5)]),
    ):
        frame = decode_frame(encode_frame(Frame(7, False, message)))
        context.pairs.append((message, frame.message))


@then("each message equals the one that was sent")
def check_pairs(context):
    """Compare what was sent with what was decoded."""
    assert len(context.pairs) > 100
    for sent, decoded in context.pairs:
        assert sent == decoded, (sent, decoded)


@given("two nodes that share a secret, and their links")
def open_links(context):
    """Open the links of two environments on loopback."""
    context.first, context.second = create_linked_environments("a secret")
    for env in (context.first, context.second):
        env.links.start()
        context.add_cleanup(env.links.stop)
    assert ask_second(context) is not None


def ask_second(context, timeout_ms: int = 2000):
    """Send a probe from the first node to the second."""
    settings_of_second = context.second.settings
    return context.first.links.request(
        str(settings_of_second.peer), settings_of_second.node_id, Probe(), timeout_ms
    )


@when("a stranger without the secret dials a node")
def dial_as_stranger(context):
    """Dial with a wrong secret."""
    url = f"ws://{context.second.settings.peer}/"
    headers = {"Knapweedrock-Node": "x", "Authorization": "Bearer wrong"}
    try:
        connect(url, additional_headers=headers, proxy=None).close()
        context.status = 101
    except websockets.exceptions.InvalidStatus as error:
        context.status = error.response.status_code


@then("it is refused with status {status:d}")
def check_status(context, status):
    """Check how the stranger was refused."""
    assert context.status == status, context.status


@when("a peer sends a broken frame")
def send_broken(context):
    """Send text and noise under the right secret."""
    url = f"ws://{context.second.settings.peer}/"
    headers = {"Knapweedrock-Node": "x", "Authorization": "Bearer a secret"}
    context.dropped = 0
    for data in ("text", b"\xff\x00noise", cbor2.dumps([1, False, 99, []])):
        with connect(url, additional_headers=headers, proxy=None) as connection:
            connection.send(data)
            try:
                connection.recv(timeout=2)
                connection.recv(timeout=2)
            except websockets.exceptions.ConnectionClosed:
                context.dropped += 1


@then("its link is dropped and the other node is still answered")
def check_dropped(context):
    """Check that only the hostile links were dropped."""
    assert context.dropped == 3, context.dropped
    assert ask_second(context) is not None


@when("all frames from the second node are dropped")
def cut_second(context):
    """Drop the answers, as a network that has lost track of the connection."""
    context.second.faults.cuts = Cuts(send=frozenset("*"))


@then("a request to it fails as possibly handled within 1 s")
def check_silent(context):
    """Check the code and the time of the failure."""
    before = context.first.clock.now_ns()
    with gevent.Timeout(5):
        try:
            ask_second(context, timeout_ms=4000)
            raise AssertionError("the request was answered")
        except LinkError as error:
            assert error.code == Code.PEER_LOST, error
    elapsed_ms = (context.first.clock.now_ns() - before) / 1e6
    assert elapsed_ms < 1000, elapsed_ms


@when("the first node's connection to the second is closed")
def close_connection(context):
    """Close it while its reader waits, and note its descriptor right after."""
    (context.link,) = context.first.links.links.values()
    context.link.close("the scenario closes it")
    context.descriptor = context.link.connection.fileno()


@then("its descriptor is open until its reader has ended")
def check_descriptor(context):
    """Check that the reader closes what it watches."""
    assert context.descriptor >= 0
    context.link.reader.join(2)
    assert context.link.connection.fileno() < 0
