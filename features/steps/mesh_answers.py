"""Steps about answers of targets, good and broken."""

import struct
from unittest import mock

import gevent
from behave import given, then, when
from gevent import socket

from features.support.mesh_builders import (
    OTHER_SERVICE,
    FakeClock,
    create_forward,
)
from features.support.mesh_harness import SAMPLED_KEYS, Mesh
from features.support.servers import start_listener
from knapweedrock.clock import create_clock
from knapweedrock.codes import INFO, Code, Outcome
from knapweedrock.counters import Counters
from knapweedrock.mesh.definitions import Route, WeightedService
from knapweedrock.mesh.http import ResponseParser, encode_request
from knapweedrock.mesh.http_client import BrokenExchangeError, HttpClient, is_valid
from knapweedrock.mesh.node import KILL_MARGIN_MS
from knapweedrock.mesh.quarantine import Quarantine
from knapweedrock.mesh.routed_requests import RoutedRequestFactory
from knapweedrock.platform.headers import REMAINING

TIMEOUT_S = 0.4
# Time after which the rest of a request is sent.
LATE_PART_DELAY_S = 0.2
ANSWER_TIMEOUT_S = 5.0
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n"
WHOLE = HEAD + b"Content-Length: 4\r\n\r\nbody"
ANSWERS = {
    "a whole answer": WHOLE,
    "a body that is cut short": HEAD + b"Content-Length: 9\r\n\r\nbody",
    "bytes that are not HTTP": b"\x00\x01garbage\r\n\r\n",
    "a reset after half an answer": HEAD + b"Content-Length: 9\r\n\r\nbo",
    "a close without an answer": b"",
    "a reset in an answer of no length": HEAD + b"\r\nbo",
    "nothing": b"",
    "an answer to another request first": WHOLE.replace(b"a1", b"a0") + WHOLE,
    "a second answer": WHOLE + WHOLE,
    "an answer of no length": HEAD + b"Connection: close\r\n\r\nbody",
    "a success without its mark": b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
    b"Content-Length: 4\r\n\r\nbody",
    "an encoded body": HEAD
    + b"Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
}
CLOSED = {
    "a body that is cut short",
    "a close without an answer",
    "an answer of no length",
}
RESET = {"a reset after half an answer", "a reset in an answer of no length"}


class ScriptedTarget:
    """Answers each request on a connection with the same bytes."""

    def __init__(self, kind: str) -> None:
        self.connections = 0
        self._kind = kind

    def serve(self, sock: socket.socket, _address: tuple) -> None:
        """Answer what comes on one connection."""
        self.connections += 1
        while sock.recv(65536):
            sock.sendall(ANSWERS[self._kind])
            if self._kind in RESET:
                gevent.sleep(0.05)
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            if self._kind in RESET | CLOSED:
                sock.close()
                return


@given("a target that answers with {kind}")
def start_target(context, kind: str) -> None:
    """Start a target with a script."""
    context.target = ScriptedTarget(kind)
    address = start_listener(context, context.target.serve)
    context.exchanges = HttpClient(address, create_clock(), Counters())
    context.answer = context.error = None


@given("a mesh whose operators have written nothing")
def start_unconfigured(context) -> None:
    """Start a node that finds no configuration."""
    context.mesh = Mesh(1)
    context.add_cleanup(context.mesh.stop)
    context.mesh.objects.remove("config", "main")
    place = context.mesh.places[0]
    place.front.start()
    place.holder.start()
    context.mesh.start_node(place)


@given("requests that were present at crashes")
def create_suspects(context) -> None:
    """Create the memory of crashes."""
    context.suspects = Quarantine(FakeClock())


@given("a route that is shared by {first:d} and {second:d}")
def create_route(context, first: int, second: int) -> None:
    """Create a route with two parts."""
    parts = (WeightedService("one", first), WeightedService("two", second))
    context.route = Route("r", "h", "/", True, 1000, 300, 1, parts, 2)
    context.jobs = RoutedRequestFactory("orders", FakeClock())


@when("a request is sent to it")
def send_scripted(context) -> None:
    """Send a request to the scripted target."""
    try:
        context.answer = context.exchanges.request(
            "GET", "/x", [("host", "t")], b"", "a1", TIMEOUT_S
        )
    except BrokenExchangeError as error:
        context.error = error


@when("a request with a query, a body and a forged caller enters the mesh")
def send_forged(context) -> None:
    """Send a request whose caller claims to be another service."""
    mesh = context.mesh
    context.entry = next(iter(mesh.nodes))
    headers = [
        ("Host", "mesh.example"),
        ("X-Attempt-Id", "forged-1"),
        ("X-Timeout-Remaining", "1200"),
        ("X-Caller-Service", "somebody-else"),
        ("X-Shard-Key", "40000"),
        ("X-Own", "kept"),
    ]
    data = encode_request("POST", "/order/1?a=b%20c", headers, b"the order")
    connection = mesh.open_connection(context.entry)
    connection.send(data, 2)
    assert connection.read(ResponseParser(), 3).status == 200
    connection.close()
    context.seen = next(
        request
        for place in mesh.places
        for request in place.holder.requests
        if request.fields.get("x-attempt-id") == "forged-1"
    )


@when("a request comes before the configuration")
def send_early(context) -> None:
    """Send a request to the node without a configuration."""
    context.answer = context.mesh.call("node-0", "/read/1", 1)


@when("one was there three times, and another succeeded in between")
def count_crashes(context) -> None:
    """Count crashes of two requests."""
    for _ in range(2):
        context.suspects.record_crash(["guilty", "innocent"])
    context.suspects.clear("innocent")
    context.suspects.record_crash(["guilty", "innocent"])


@when("{count:d} requests choose their part")
def choose_parts(context, count: int) -> None:
    """Choose a part for each request."""
    context.chosen = [
        context.jobs._choose_part(context.route).service for _ in range(count)
    ]


@then("it ends with code {code:d}")
def check_end(context, code: int) -> None:
    """Check the code of the failure."""
    assert context.error is not None, context.answer
    assert context.error.code == Code(code), context.error


@then("the connection is not used again")
def check_not_reused(context) -> None:
    """Send a second request and count the connections."""
    send_scripted(context)
    assert context.target.connections == 2, context.target.connections


@then("its own answer is returned")
def check_own(context) -> None:
    """Check the answer."""
    assert context.answer.body == b"body"
    assert context.answer.get_header("x-attempt-id") == "a1"


@then("the answer is not taken for sound")
def check_unsound(context) -> None:
    """Check that the answer would not be passed on."""
    assert context.answer is not None
    assert not is_valid(context.answer)


@then("both came on one connection")
def check_reused(context) -> None:
    """Count the connections."""
    assert context.answer.body == b"body"
    assert context.target.connections == 1


@then("its target got method, path, query and body unchanged")
def check_unchanged(context) -> None:
    """Check what the target got."""
    seen = context.seen
    assert (seen.method, seen.target) == ("POST", "/order/1?a=b%20c")
    assert seen.body == b"the order"
    assert seen.fields["x-own"] == "kept"


@then("it got the service beside which the request entered as caller")
def check_caller(context) -> None:
    """Check the caller that the target was told."""
    entered = context.mesh.find_place(context.entry).settings.service
    callers = [v for k, v in context.seen.headers if k == "x-caller-service"]
    assert callers == [entered], callers


@then("it got less time than the caller gave")
def check_time(context) -> None:
    """Check the time that is left."""
    left = [v for k, v in context.seen.headers if k == "x-timeout-remaining"]
    assert len(left) == 1, left
    assert 800 < int(left[0]) < 1200, left


@then("the answer is {status:d} with a time to come back")
def check_retry_after(context, status: int) -> None:
    """Check the refusal."""
    assert context.answer.status == status, context.answer
    assert float(context.answer.get_header("retry-after")) > 0


@then("only the first is refused")
def check_refused(context) -> None:
    """Check whom the memory refuses."""
    assert context.suspects.is_quarantined("guilty")
    assert not context.suspects.is_quarantined("innocent")


@then("each part got its share within {percent:d} percent")
def check_shares(context, percent: int) -> None:
    """Compare counts with weights."""
    for part in context.route.weighted_services:
        share = context.chosen.count(part.service) / len(context.chosen) * 100
        assert abs(share - part.weight) <= percent, (part, share)


@when(
    "a target crashes, a repeat finds it down, and then the crash is looked into twice"
)
def crash_beside_repeat(context) -> None:
    """Let a repeat be refused before the broken exchange is looked into."""
    place = context.mesh.places[0]
    context.gateway = next(iter(context.mesh.nodes.values())).gateway
    name = place.holder.target
    place.holder.crash()
    answer = context.mesh.call("node-0", "/read/1", 1, remaining_ms=200)
    assert answer.status in (503, 504), answer
    for _ in range(2):
        context.gateway._check_crash(name, ["guilty"])


@then("the request that was there counts for one crash")
def check_counted(context) -> None:
    """Check the crashes that count against the request."""
    assert len(context.gateway.suspects._crash_times_ns.get("guilty", [])) == 1


@when("a peer sends its node a request before the configuration")
def deliver_early(context) -> None:
    """Hand a request to the node whose target has announced itself, cold."""
    mesh = context.mesh
    node = next(iter(mesh.nodes.values()))
    mesh.wait_until(lambda: node.target.name)
    context.result = node.gateway.deliver(create_forward(key=-1))


@then("the request is refused as not run")
def check_refused_early(context) -> None:
    """Check the outcome of the refusal."""
    code = Code(context.result.code)
    assert INFO[code].outcome is Outcome.NOT_RUN, context.result


@then("no target ran anything")
def check_ran_nothing_early(context) -> None:
    """Check the runs of all targets."""
    gevent.sleep(0.1)
    assert not [run for place in context.mesh.places for run in place.holder.runs]


@when("a node stops while it has {state} a request")
def stop_beside_request(context, state) -> None:
    """Send a request, or half of it, right before the node stops listening."""
    mesh = context.mesh
    node = mesh.nodes.pop("node-0")
    data, context.attempt_id = mesh.encode_call("/order/1", 1, "POST", b"body", 3000)
    first = len(data) if state != "half read" else len(data) - 2
    if state == "not accepted":
        patched, name = node.callers, "stop"
    else:
        patched, name = node.callers._server, "close"
        context.connection = mesh.open_connection("node-0")
        warmup, _ = mesh.encode_call("/read/1", 1, "GET", b"", 1000)
        context.connection.send(warmup, TIMEOUT_S)
        assert context.connection.read(ResponseParser(), ANSWER_TIMEOUT_S).status == 200
    stop = getattr(patched, name)

    def stop_with_request() -> None:
        if state == "not accepted":
            context.connection = mesh.open_connection("node-0")
        context.connection.send(data[:first], TIMEOUT_S)
        if first < len(data):
            gevent.spawn_later(
                LATE_PART_DELAY_S, context.connection.send, data[first:], TIMEOUT_S
            )
            gevent.sleep(LATE_PART_DELAY_S / 2)
        stop()

    setattr(patched, name, stop_with_request)
    context.end = gevent.spawn(end_process, node)


def end_process(node) -> None:
    """Stop a node in order, and then all that it runs, as the end of a process does."""
    with mock.patch("knapweedrock.mesh.node.LEAVE_NOTICE_MS", 1):
        node.stop()
    # Connections end with the process, before anything else could be noticed.
    node.callers.drop_connections()
    node.abort()


@given("a mesh in which the VM of a target without keys has a link of {mbps:d} Mbit/s")
def start_slow_link(context, mbps: int) -> None:
    """Start a mesh of two targets, one of them beside a node with a slow link."""
    context.mesh = Mesh(1, 1)
    context.add_cleanup(context.mesh.stop)
    place = context.mesh.places[1]
    settings = place.settings._replace(link_mbps=float(mbps))
    context.mesh.places[1] = place._replace(settings=settings)
    context.mesh.start()


@when(
    "its target has answered {count:d} requests with {size:d} KB each,"
    " and its node stops"
)
def stop_with_answers(context, count: int, size: int) -> None:
    """Stop a node while its link still has answers to take."""
    mesh = context.mesh
    holder = mesh.places[1].holder
    holder.padding = bytes(size * 1000)
    context.calls = [
        gevent.spawn(mesh.call, "node-0", f"/list/{number}") for number in range(count)
    ]
    ran = len(holder.runs) + count
    mesh.wait_until(lambda: len(holder.runs) >= ran)
    end_process(mesh.nodes.pop("node-1"))


@then("each of them gets its whole answer")
def check_whole_answers(context) -> None:
    """Check what the callers got."""
    size = len(context.mesh.places[1].holder.padding)
    answers = [call.get(timeout=ANSWER_TIMEOUT_S) for call in context.calls]
    assert all(a.status == 200 and len(a.body) > size for a in answers), answers


@then("the request is answered before the node has ended")
def check_answered(context) -> None:
    """Read the answer once the node has had the time to end."""
    gevent.sleep(TIMEOUT_S)
    try:
        answer = context.connection.read(ResponseParser(), ANSWER_TIMEOUT_S)
    except OSError as error:
        raise AssertionError(f"no answer: {error}") from error
    finally:
        context.connection.close()
    assert answer.status == 200, answer
    assert answer.body.decode().startswith(context.attempt_id), answer


@given("a node of a VM with {mbps:d} Mbit/s beside a target")
def start_node_with_link(context, mbps: int) -> None:
    """Start a mesh and take the node beside a target without keys."""
    context.mesh = Mesh(1, 1)
    context.add_cleanup(context.mesh.stop)
    context.mesh.start()
    context.node = context.mesh.nodes["node-1"]
    context.node.settings = context.node.settings._replace(link_mbps=mbps)


@when("{size:d} bytes of answers wait for its link")
def fill_link(context, size: int) -> None:
    """Let a peer be slow to take answers."""
    waiting = mock.Mock(unsent_bytes=size)
    context.node.links.accepted.add(waiting)
    context.waiting = waiting


def deliver_one(context, objective_ms: int):
    """Deliver a request without a key, and free the link."""
    request = create_forward(
        service=OTHER_SERVICE,
        key=-1,
        path="/list/1",
        objective_ms=float(objective_ms),
        remaining_ms=objective_ms * 2.0,
    )
    result = context.node.gateway.deliver(request)
    context.node.links.accepted.discard(context.waiting)
    return result


@then(
    "a request with an objective of {objective_ms:d} ms is refused, "
    "to come back in {return_ms:d} ms"
)
def check_link_refusal(context, objective_ms: int, return_ms: int) -> None:
    """Check the refusal of a node whose link is full."""
    result = deliver_one(context, objective_ms)
    assert result.code == Code.OVERLOADED, result
    assert result.retry_after_ms == return_ms, result


@then("a request with an objective of {objective_ms:d} ms is done")
def check_link_done(context, objective_ms: int) -> None:
    """Check that a short wait for the link refuses nothing."""
    result = deliver_one(context, objective_ms)
    assert result.code == Code.DONE, result


@when("a node stops within {seconds:d} s while a request waits at another one")
def stop_beside_waiting(context, seconds: int) -> None:
    """Stop a node in less time than the request takes."""
    mesh = context.mesh
    node = mesh.nodes.pop("node-0")
    shutdown_ms = seconds * 1000 + KILL_MARGIN_MS
    node.settings = node.settings._replace(shutdown_ms=shutdown_ms)
    key = next(key for key in SAMPLED_KEYS if mesh.find_owner(key) is mesh.places[1])
    context.connection = mesh.open_connection("node-0")
    data, _ = mesh.encode_call("/order/1", key, "POST", b"body", 6000)
    context.connection.send(data, TIMEOUT_S)
    gevent.sleep(LATE_PART_DELAY_S)
    context.end = gevent.spawn(end_process, node)


@then("the request is answered with status {status:d} before the node has ended")
def check_last_answer(context, status: int) -> None:
    """Read the answer."""
    try:
        answer = context.connection.read(ResponseParser(), ANSWER_TIMEOUT_S)
    except OSError as error:
        raise AssertionError(f"no answer: {error}") from error
    assert answer.status == status, answer
    context.end.get(timeout=ANSWER_TIMEOUT_S)


@when("a target whose next heartbeat would bring it a key falls silent")
def silence_next_owner(context) -> None:
    """Let a node own keys that its target does not hold yet, and lose its target."""
    mesh = context.mesh
    place = mesh.places[0]
    context.key = next(key for key in SAMPLED_KEYS if mesh.find_owner(key) is place)
    context.node = mesh.nodes["node-0"]
    holds = context.node.holds
    holds.granted = holds.granted._replace(rows=())
    place.holder.silent_heartbeats = True
    context.node.target.silent = True


@then("a request for the key is refused by its node within {ms:d} ms")
def check_refused_soon(context, ms: int) -> None:
    """Check that nobody waits for a heartbeat that does not come."""
    began_ns = context.mesh.clock.now_ns()
    result = context.node.gateway.deliver(create_forward(key=context.key))
    took_ms = (context.mesh.clock.now_ns() - began_ns) / 1e6
    assert INFO[Code(result.code)].outcome is Outcome.NOT_RUN, result
    assert took_ms < ms, took_ms


@when(
    "a node has {left_ms:d} ms left before it ends and gets a request that may take "
    "{remaining_ms:d} ms"
)
def deliver_at_end(context, left_ms: int, remaining_ms: int) -> None:
    """Deliver a request to a node that stops."""
    mesh = context.mesh
    context.place = mesh.places[0]
    key = next(key for key in SAMPLED_KEYS if mesh.find_owner(key) is context.place)
    gateway = mesh.nodes["node-0"].gateway
    gateway.shutdown_deadline_ns = mesh.clock.now_ns() + int(left_ms * 1e6)
    request = create_forward(key=key, remaining_ms=float(remaining_ms))
    context.result = gateway.deliver(request)


@then("its target was told at most {ms:d} ms")
def check_told_time(context, ms: int) -> None:
    """Check the time that the target was given."""
    assert context.result.code == Code.DONE, context.result
    told = context.place.holder.requests[-1].fields[REMAINING]
    assert 0 < int(told) <= ms, told
