"""Steps about the answers of a target whose bytes are scripted."""

import itertools
import struct

import gevent
from behave import given, then, when
from gevent import socket

from features.support.servers import start_listener
from knapweedrock.clock import create_clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.mesh.http_client import (
    BrokenExchangeError,
    ExchangeTimeoutError,
    HttpClient,
    is_valid,
)
from knapweedrock.platform.headers import ATTEMPT_ID

TIMEOUT_S = 0.4
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n"
WHOLE = HEAD + b"Content-Length: 4\r\n\r\nbody"
STATUS_000 = HEAD.replace(b"200 OK", b"000 Unknown")
ANSWERS = {
    "a complete answer": WHOLE,
    "a truncated body": HEAD + b"Content-Length: 9\r\n\r\nbody",
    "bytes that are not HTTP": b"\x00\x01garbage\r\n\r\n",
    "a reset after half an answer": HEAD + b"Content-Length: 9\r\n\r\nbo",
    "a close without an answer": b"",
    "a reset in an answer without a length": HEAD + b"\r\nbo",
    "nothing": b"",
    "a status of 000": STATUS_000 + b"Content-Length: 4\r\n\r\nbody",
    "a status of 000 without a length": STATUS_000 + b"\r\nbody",
    "a status of 099": STATUS_000.replace(b"000", b"099") + b"\r\nbody",
    "a status of 000 before an answer": STATUS_000
    + b"Content-Length: 0\r\n\r\n"
    + WHOLE,
    "an answer to another request first": WHOLE.replace(b"a1", b"a0") + WHOLE,
    "a second answer": WHOLE + WHOLE,
    "an answer without a length": HEAD + b"Connection: close\r\n\r\nbody",
    "a success without a signature": b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
    b"Content-Length: 4\r\n\r\nbody",
    "an encoded body": HEAD
    + b"Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
}
CLOSED = {
    "a truncated body",
    "a close without an answer",
    "an answer without a length",
    "a status of 000 without a length",
    "a status of 099",
}
RESET = {"a reset after half an answer", "a reset in an answer without a length"}


class ScriptedTarget:
    """A target that answers each request with the same bytes, but for its id."""

    def __init__(self, kind: str) -> None:
        self.connections = 0
        self._kind = kind

    def serve(self, sock: socket.socket, _address: tuple) -> None:
        """Answer the requests of one connection."""
        self.connections += 1
        while request := sock.recv(65536):
            attempt_id = request.partition(b"x-attempt-id: ")[2].partition(b"\r\n")[0]
            sock.sendall(ANSWERS[self._kind].replace(b"a1", attempt_id))
            if self._kind in RESET:
                gevent.sleep(0.05)
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            if self._kind in RESET | CLOSED:
                sock.close()
                return


@given("a target that answers with {kind}")
def start_target(context, kind: str) -> None:
    """Start a target that sends a scripted answer."""
    context.target = ScriptedTarget(kind)
    address = start_listener(context, context.target.serve)
    context.http_client = HttpClient(address, create_clock(), Counters())
    context.answer = context.error = None
    context.attempt_numbers = itertools.count(1)


@when("a request is sent to it")
def send_scripted(context) -> None:
    """Send a request with an attempt id of its own to the scripted target."""
    attempt_id = f"a{next(context.attempt_numbers)}"
    headers = [("host", "t"), (ATTEMPT_ID, attempt_id)]
    try:
        context.answer = context.http_client.request(
            "GET", "/x", headers, b"", attempt_id, TIMEOUT_S
        )
    except BrokenExchangeError as error:
        context.error = error


@then("it ends with code {code:d}")
def check_end(context, code: int) -> None:
    """Check the error code of the exchange."""
    assert context.error is not None, context.answer
    assert context.error.code == Code(code), context.error


@then("it ends with code {code:d} before its timeout")
def check_early_end(context, code: int) -> None:
    """Check the error code, and that the exchange did not wait until its timeout."""
    check_end(context, code)
    assert not isinstance(context.error, ExchangeTimeoutError), context.error


@then("the connection is not reused")
def check_not_reused(context) -> None:
    """Send a second request and count the connections."""
    send_scripted(context)
    assert context.target.connections == 2, context.target.connections


@then("its own answer is returned")
def check_own(context) -> None:
    """Check the body and the attempt id of the answer."""
    assert context.answer.body == b"body"
    assert context.answer.get_header("x-attempt-id") == "a1"


@then("the answer is rejected as invalid")
def check_unsound(context) -> None:
    """Check that the answer would not be forwarded."""
    assert context.answer is not None
    assert not is_valid(context.answer)


@then("both used one connection")
def check_reused(context) -> None:
    """Count the connections."""
    assert context.answer.body == b"body"
    assert context.target.connections == 1
