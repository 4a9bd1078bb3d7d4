"""Steps about duplicated responses, and refusals that confirm nothing."""

from collections import Counter

from behave import given, then, when
from gevent import socket
from gevent.pool import Pool

from features.support.mesh_builders import OTHER_SERVICE, create_forward
from features.support.mesh_harness import Mesh
from features.support.mesh_proxied import TargetProxyMesh
from features.support.offline_node import OfflineNode
from features.support.proxies import TargetProxy
from features.support.servers import start_listener
from knapweedrock.clock import create_clock
from knapweedrock.codes import INFO, NOT_RUN_STATUSES, Outcome, parse_code
from knapweedrock.counters import Counters
from knapweedrock.mesh.http import Headers, Response
from knapweedrock.mesh.http_client import BrokenExchangeError, HttpClient
from knapweedrock.mesh.http_parsers import ResponseParser
from knapweedrock.mesh.sent_attempts import SentAttempts
from knapweedrock.mesh.snapshots import KEY_COUNT
from knapweedrock.platform.headers import ATTEMPT_ID, NOT_EXECUTED

TIMEOUT_S = 0.4
MESH_TIMEOUT_S = 3.0
KEY_STEP = 997
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


SIGNED = b"X-Response-Signature: s\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\n"
# Requests at a time to a mesh.
SENDERS = 10
SHED_SHARE = 0.5


class RefusingTarget:
    """Answers the first attempt of an order with a failure, and repeats that late.

    The copy comes before the next response on the connection. Each later attempt runs.
    """

    def __init__(self, status: int) -> None:
        confirmation = NOT_RUN if status != 500 else SIGNED
        self._failure = b"HTTP/1.1 %d Failure\r\nX-Attempt-Id: order-1\r\n%b" % (
            status,
            confirmation + EMPTY_BODY,
        )
        self.connections = 0
        self._has_failed = False

    def serve(self, sock: socket.socket, _address: tuple) -> None:
        """Respond to the requests on one connection."""
        self.connections += 1
        late_copy = b""
        while request := sock.recv(65536):
            attempt_id = request.partition(b"x-attempt-id: ")[2].partition(b"\r\n")[0]
            response = ORDER_RESPONSE.replace(b"order-1", attempt_id)
            if attempt_id == b"order-1" and not self._has_failed:
                self._has_failed = True
                sock.sendall(self._failure)
                late_copy = self._failure
                continue
            # The copy waits for the next response to the same attempt.
            if attempt_id == b"order-1":
                response = late_copy + response
            sock.sendall(response)


class UnnamedTarget:
    """Answers without ids, each response with the number of its request as its body."""

    def __init__(self) -> None:
        self.requests = 0

    def serve(self, sock: socket.socket, _address: tuple) -> None:
        """Respond to the requests on one connection."""
        late_copy = b""
        while sock.recv(65536):
            self.requests += 1
            head = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 1\r\n\r\n"
            response = head + b"%d" % self.requests
            sock.sendall(late_copy + response)
            late_copy = response


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


@given(
    "a target that answers an order's first attempt with {status:d} and repeats it late"
)
def start_refusing_target(context, status: int) -> None:
    """Start the target and create a client of it."""
    context.target = RefusingTarget(status)
    address = start_listener(context, context.target.serve)
    context.client = HttpClient(address, create_clock(), Counters())


@given("at most {count:d} connection to the target")
def limit_connections(context, count: int) -> None:
    """Limit the connections of the client."""
    context.client.max_connections = count


@given("a target that repeats each response without an id before the next response")
def start_unnamed_target(context) -> None:
    """Start the target and create a client of it."""
    context.target = UnnamedTarget()
    address = start_listener(context, context.target.serve)
    context.client = HttpClient(address, create_clock(), Counters())


@given("a connection that carried {count:d} attempts, the latest of them unexpired")
def record_attempts(context, count: int) -> None:
    """Record attempts whose deadlines are 1 ns apart."""
    context.attempts = SentAttempts()
    for number in range(1, count + 1):
        context.attempts.add(f"a{number}", number)
    context.latest = count


@given("a mesh of {count:d} keyed targets that refuse and repeat their refusals late")
def start_repeating_mesh(context, count: int) -> None:
    """Start a mesh whose targets stand behind proxies that repeat refusals."""
    context.mesh = TargetProxyMesh(count, TargetProxy)
    context.add_cleanup(context.mesh.stop)
    context.mesh.start()
    for place in context.mesh.places:
        place.holder.shed_share = SHED_SHARE
    for proxy in context.mesh.proxies.values():
        proxy.repeat_share = 1.0


@when("the order is sent to it twice")
def send_order_twice(context) -> None:
    """Send both attempts, the second one at once."""
    send_order(context)
    send_order(context)


@when("the order, {count:d} other requests and the order again are sent to it")
def send_order_around_others(context, count: int) -> None:
    """Send other requests over the same connection between the two attempts."""
    send_order(context)
    for number in range(count):
        context.client.request(
            "GET", "/x", create_headers(f"r{number}"), b"", f"r{number}", TIMEOUT_S
        )
    send_order(context)


@when("two requests without an id are sent to it")
def send_unnamed_requests(context) -> None:
    """Send the requests one after the other."""
    context.bodies = [
        context.client.request("GET", "/x", [("host", "t")], b"", "", TIMEOUT_S).body
        for _ in range(2)
    ]


@when("the expired attempts are removed")
def remove_expired_attempts(context) -> None:
    """Remove all attempts but the latest one."""
    context.attempts.remove_expired(context.latest - 1)


@when("{count:d} orders are sent to it")
def send_orders(context, count: int) -> None:
    """Send orders for random keys to all nodes, some at the same time."""
    mesh, context.statuses = context.mesh, {}
    pool = Pool(SENDERS)
    for number in range(count):
        place = mesh.places[number % len(mesh.places)]
        pool.spawn(send_mesh_order, context, place.settings.node_id, number)
    pool.join()


@then("the second attempt gets the response to the run")
def check_second_response(context) -> None:
    """Check that the late copy was not taken for the response."""
    assert context.response.status == 200, context.response
    assert context.response.body == b"body", context.response


@then("the attempts came over {count:d} connections")
def check_connections(context, count: int) -> None:
    """Count the connections of the target."""
    assert context.target.connections == count, context.target.connections


@then("each gets its own response")
def check_unnamed_responses(context) -> None:
    """Check the numbers in the responses."""
    assert context.bodies == [b"1", b"2"], context.bodies


@then("it remembers only the latest one")
def check_remembered(context) -> None:
    """Check the oldest and the latest attempt."""
    assert context.attempts.has(f"a{context.latest}")
    assert not context.attempts.has("a1")
    assert not context.attempts.has(f"a{context.latest - 1}")


@then("no refused order has run, and none has run twice")
def check_runs(context) -> None:
    """Compare the responses to the orders with the runs at the targets."""
    runs = count_runs(context.mesh)
    refused_and_run = [
        attempt_id
        for attempt_id, status in context.statuses.items()
        if status in NOT_RUN_STATUSES and runs[attempt_id]
    ]
    assert not refused_and_run, refused_and_run
    assert max(runs.values()) == 1, runs.most_common(3)
    assert any(proxy.repeat_count for proxy in context.mesh.proxies.values())


@then("some orders were refused, and some have run")
def check_mixture(context) -> None:
    """Check that the targets refused some of the orders and executed others."""
    statuses = Counter(context.statuses.values())
    assert statuses[200], statuses
    assert statuses[503], statuses


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


def send_order(context) -> None:
    """Send an attempt of the order to a single target and keep the response."""
    context.response = context.client.request(
        "POST", "/order", create_headers("order-1"), b"b", "order-1", TIMEOUT_S
    )


def create_headers(attempt_id: str) -> Headers:
    """Create the headers of a request to a single target."""
    return [("host", "t"), (ATTEMPT_ID, attempt_id)]


def send_mesh_order(context, node_id: str, number: int) -> None:
    """Send an order to a node of the mesh and keep the status of the response."""
    mesh, key = context.mesh, number * KEY_STEP % KEY_COUNT
    data, attempt_id = mesh.encode_call("/order/1", key, "POST", b"order", 1500)
    connection = mesh.open_connection(node_id)
    try:
        connection.send(data, MESH_TIMEOUT_S)
        response = connection.read(ResponseParser(), MESH_TIMEOUT_S)
        context.statuses[attempt_id] = response.status
    finally:
        connection.close()


def count_runs(mesh: Mesh) -> Counter[str]:
    """Count how often each attempt was executed."""
    return Counter(run.attempt_id for place in mesh.places for run in place.holder.runs)


def create_node_with_response(
    context, status: int, headers: list[tuple[str, str]]
) -> None:
    """Create a node whose target sends the same response to every request."""
    context.node = OfflineNode(4, 5.0, {"list": 1}).node
    response = Response(status, [(ATTEMPT_ID, "a1"), *headers], b"", True)
    context.node.gateway.http_client.request = lambda *_args: response
