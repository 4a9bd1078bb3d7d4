"""Steps about duplicated responses, and refusals that confirm nothing."""

from behave import given, then, when
from gevent import socket

from features.support.mesh_builders import OTHER_SERVICE, create_forward
from features.support.offline_node import OfflineNode
from features.support.servers import start_listener
from knapweedrock.clock import create_clock
from knapweedrock.codes import INFO, Outcome, parse_code
from knapweedrock.counters import Counters
from knapweedrock.mesh.http import Response
from knapweedrock.mesh.http_client import BrokenExchangeError, HttpClient
from knapweedrock.platform.headers import ATTEMPT_ID, NOT_EXECUTED

TIMEOUT_S = 0.4
KEY = 7
EMPTY_BODY = b"Content-Length: 0\r\n\r\n"
ORDER_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: order-1\r\nX-Response-Signature: s\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)
DUPLICATES = {
    "a 503 without an id": b"HTTP/1.1 503 Busy\r\n" + EMPTY_BODY,
    "a 500 without an id": b"HTTP/1.1 500 Error\r\n" + EMPTY_BODY,
    "a 429 without an id": b"HTTP/1.1 429 Many\r\n" + EMPTY_BODY,
    "a 503 that names no request": b"HTTP/1.1 503 Busy\r\nX-Attempt-Id:\r\n"
    + EMPTY_BODY,
    "a 200 without an id": b"HTTP/1.1 200 OK\r\n" + EMPTY_BODY,
}


class DuplicatingTarget:
    """Answers the first request, and repeats that response before the next one."""

    def __init__(self, response_bytes: bytes) -> None:
        self._response = response_bytes

    def serve(self, sock: socket.socket, _address: tuple) -> None:
        """Respond to the requests on one connection."""
        is_first = True
        while sock.recv(65536):
            sock.sendall(
                self._response if is_first else self._response + ORDER_RESPONSE
            )
            is_first = False


@given("a target that sends a late duplicate of {response} on a reused connection")
def start_duplicating_target(context, response: str) -> None:
    """Start the target and create a client of it."""
    context.target = DuplicatingTarget(DUPLICATES[response])
    address = start_listener(context, context.target.serve)
    context.client = HttpClient(address, create_clock(), Counters())


@when("a health check without an id and then an order are sent to it")
def send_health_check_and_order(context) -> None:
    """Send both requests on one connection."""
    request, headers = context.client.request, [("host", "t")]
    request("GET", "/health", headers, b"", "", TIMEOUT_S)
    context.response = context.error = None
    try:
        context.response = request("POST", "/x", headers, b"b", "order-1", TIMEOUT_S)
    except BrokenExchangeError as error:
        context.error = error


@then("the duplicate is not taken as the response to the order")
def check_order_response(context) -> None:
    """Check that the order got its own response."""
    assert context.error is None, context.error
    assert context.response.get_header(ATTEMPT_ID) == "order-1", context.response
    assert not context.response.reusable


@given("an offline node whose target answers {status:d}")
def create_node_with_status(context, status: int) -> None:
    """Create a node whose target sends a status and the attempt id alone."""
    create_node_with_response(context, status, [])


@given("an offline node whose target answers 503 and confirms that it executed nothing")
def create_node_with_refusal(context) -> None:
    """Create a node whose target confirms that it executed nothing."""
    create_node_with_response(context, 503, [(NOT_EXECUTED, "1")])


@given("an offline node whose target works for {ms:d} ms and answers {response}")
def create_node_with_keyed_refusal(context, ms: int, response: str) -> None:
    """Create a node whose target refuses requests for keys that it holds."""
    context.node = OfflineNode(4, ms, {"list": 1}).node
    context.node.holds.may_serve = lambda *_args: True
    refusal = Response(
        int(response.split()[0]), [(ATTEMPT_ID, "a1"), (NOT_EXECUTED, "1")], b"", True
    )
    context.node.gateway.http_client.request = lambda *_args: refusal


@when("{count:d} requests for one key are sent to it, one after the other")
def deliver_keyed_requests(context, count: int) -> None:
    """Deliver requests to the node beside the target."""
    request = create_forward(service=OTHER_SERVICE, key=KEY)
    for _ in range(count):
        context.node.gateway.deliver(request)


@then("the expected service time of a request is still {ms:d} ms")
def check_service_time(context, ms: int) -> None:
    """Check the service time that the admission expects."""
    assert context.node.gateway.admission.service_ms == ms


@then("the load of the key is that of {count:d} requests of {ms:d} ms")
def check_key_load(context, count: int, ms: int) -> None:
    """Check the load that was recorded for the refused requests."""
    spent_ms = context.node.gateway.load_meter._key_ms[KEY]
    assert spent_ms == count * ms, spent_ms


@when("an order is sent to it")
def deliver_order(context) -> None:
    """Deliver an order to the node beside the target."""
    order = create_forward(
        service=OTHER_SERVICE, key=-1, method="POST", idempotent=False
    )
    context.result = context.node.gateway.deliver(order)


@then("the order is reported as {outcome}")
def check_outcome(context, outcome: str) -> None:
    """Check whether the order is reported as executed."""
    expected = {
        "possibly run": Outcome.MAY_HAVE_RUN,
        "not run": Outcome.NOT_RUN,
    }[outcome]
    code = parse_code(context.result.code)
    assert INFO[code].outcome is expected, (code, context.result)


def create_node_with_response(
    context, status: int, headers: list[tuple[str, str]]
) -> None:
    """Create a node whose target sends the same response to every request."""
    context.node = OfflineNode(4, 5.0, {"list": 1}).node
    response = Response(status, [(ATTEMPT_ID, "a1"), *headers], b"", True)
    context.node.gateway.http_client.request = lambda *_args: response
