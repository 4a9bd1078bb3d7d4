"""Steps about endless data from pages of nodes and on links."""

import time
from unittest import mock

import gevent
from behave import given, then, when
from gevent import socket
from gevent.server import StreamServer

from features.support.measures import YIELD_INTERVAL_S, measure, start_sender
from knapweedrock.checker import Address
from knapweedrock.codes import Code
from knapweedrock.emulator.addresses import create_address
from knapweedrock.errors import LinkError
from knapweedrock.mesh import connections
from knapweedrock.operators import client


@when("a page of that node is read within {timeout_ms:d} ms")
def read_page(context, timeout_ms: int) -> None:
    """Read a page as the operator commands do."""
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


@then("it fails with code {code:d}, at most {slack_ms:d} ms after its timeout")
def check_page_failed(context, code: int, slack_ms: int) -> None:
    """Check the code of the failure and the duration of the read."""
    elapsed_s = context.measures.elapsed_s
    assert elapsed_s <= context.timeout_s + slack_ms / 1000, elapsed_s
    assert context.error is not None
    assert context.error.code == Code(code), context.error


@given("a listener for links")
def start_link_listener(context) -> None:
    """Start a listener that accepts links as a node does."""
    context.handshakes = []

    def handle_connection(sock: socket.socket, _address: tuple) -> None:
        start_s = time.monotonic()
        try:
            connections.accept(sock, lambda *_: None)
            failed = False
        except OSError:
            failed = True
        context.handshakes.append((failed, time.monotonic() - start_s))

    context.server = StreamServer(create_address(), handle_connection)
    context.server.start()
    context.add_cleanup(context.server.stop, 0)


@when("a link to that sender is dialled within {timeout_ms:d} ms")
def dial_link(context, timeout_ms: int) -> None:
    """Dial a link to an address where no node listens."""
    context.timeout_s = timeout_ms / 1000
    context.error = None
    address = "{}:{}".format(*context.address)
    with measure(context):
        try:
            connections.dial(address, {}, timeout_ms)
        except OSError as error:
            context.error = error


@when("that listener receives {kind} without end")
def send_to_links(context, kind: str) -> None:
    """Let a separate process send to the listener for links."""
    with measure(context):
        caller = start_sender(context, kind, str(context.server.server_port))
        while caller.poll() is None or not context.handshakes:
            gevent.sleep(YIELD_INTERVAL_S)


@then("it is not opened, and the dial fails at most {slack_ms:d} ms after its timeout")
def check_not_opened(context, slack_ms: int) -> None:
    """Check that the dial failed in time."""
    elapsed_s = context.measures.elapsed_s
    assert elapsed_s <= context.timeout_s + slack_ms / 1000, elapsed_s
    assert context.error is not None


@then("its handshake fails within {limit_ms:d} ms")
def check_handshake(context, limit_ms: int) -> None:
    """Check that the handshake failed in time."""
    [(failed, elapsed_s)] = context.handshakes
    assert failed
    assert elapsed_s * 1000 <= limit_ms, elapsed_s
