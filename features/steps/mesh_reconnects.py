"""Steps about connections that arrive late, break twice or are refused."""

from contextlib import suppress
from time import monotonic
from unittest import mock

import gevent
from behave import given, then, when

from features.support.mesh_builders import create_forward
from features.support.mesh_harness import Mesh
from features.support.mesh_proxied import (
    LONG_TIMEOUT_MS,
    ProxiedMesh,
    create_long_timeout_document,
)
from knapweedrock.clock import create_clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.emulator.addresses import create_address
from knapweedrock.errors import LinkError
from knapweedrock.mesh.connections import Connection, dial
from knapweedrock.mesh.frames import Frame, decode_frame, encode_frame
from knapweedrock.mesh.gateway import Gateway
from knapweedrock.mesh.http_client import HttpClient
from knapweedrock.mesh.http_parsers import ResponseParser
from knapweedrock.mesh.links import NODE_HEADER, Links
from knapweedrock.mesh.messages import Forward, Forwarded, Resume, Resumed
from knapweedrock.mesh.sessions import RESUME_TIMEOUT_MS

SENDER = "first/1"
DIAL_TIMEOUT_MS = 1000
ANSWER_TIMEOUT_S = 8.0
SETTLE_S = 0.3
POLL_S = 0.02


def create_answer(size: int = 0) -> Forwarded:
    """Create a complete answer."""
    return Forwarded(0, 200, [], bytes(size), "", 0.0, 0.0)


@given("a node that other nodes dial")
def start_node(context) -> None:
    """Start the links of one node with a handler that takes long."""
    context.links = Links("second/1", create_address(), create_clock(), Counters())
    context.links.start()
    context.add_cleanup(context.links.abort)
    # Each scenario has its own lists, as its handlers may end during the next scenario.
    began, ended = context.began, context.ended = [], []

    def work(_sender, message) -> Forwarded:
        began.append(message.path)
        try:
            gevent.sleep(ANSWER_TIMEOUT_S)
        finally:
            ended.append(message.path)
        return create_answer()

    context.links.handlers[Forward] = work


def open_connection(context) -> Connection:
    """Dial the node as a peer does."""
    address = "{}:{}".format(*context.links.address)
    connection = dial(address, {NODE_HEADER: SENDER}, DIAL_TIMEOUT_MS)
    context.add_cleanup(connection.close)
    return connection


def send(connection: Connection, number: int, message) -> None:
    """Send a request."""
    connection.send(encode_frame(Frame(number, False, message)))


@when("a node opens two connections and only the second one gets through")
def open_two_connections(context) -> None:
    """Open both connections, but resume only on the second."""
    context.first, context.second = open_connection(context), open_connection(context)
    send(context.second, 2, Resume([]))


@when("the node is told that request 7 was never received")
def report_never_received(context) -> None:
    """Resume on a third connection as if the second was lost after request 6."""
    send(context.second, 6, create_forward(path="/6"))
    gevent.sleep(SETTLE_S)
    third = open_connection(context)
    send(third, 8, Resume([6, 7]))
    with gevent.Timeout(ANSWER_TIMEOUT_S):
        frame = decode_frame(next(third.receive()))
    assert frame.message == Resumed([7], []), frame


@when("request 9 is running")
def start_request_9(context) -> None:
    """Send a request on the second connection."""
    send(context.second, 9, create_forward(path="/9"))
    gevent.sleep(SETTLE_S)
    assert context.began == ["/9"], context.began


@when("the data that it sent on the first connection arrives late")
def deliver_late(context) -> None:
    """Send the data of the first connection only now."""
    send(context.first, 1, Resume([]))
    send(context.first, 7, create_forward(path="/7"))
    gevent.sleep(SETTLE_S)


@then("request 7 does not run")
def check_not_run(context) -> None:
    """Check which requests have started."""
    assert "/7" not in context.began, context.began


@then("request 9 is still running")
def check_at_work(context) -> None:
    """Check that no handler has ended."""
    assert not context.ended, context.ended


@when("a request of {seconds:d} s is running")
def start_long_request(context, seconds: int) -> None:
    """Send a resumable request whose handler takes some seconds."""

    def work(_sender, _message) -> Forwarded:
        gevent.sleep(seconds)
        return create_answer()

    send_resumable(context, work)


def send_resumable(context, work) -> None:
    """Send a resumable request to the second node."""
    context.second.handlers[Forward] = work
    context.request = gevent.spawn(
        context.first.request,
        context.peer,
        create_forward(),
        ANSWER_TIMEOUT_S * 1000,
        resumable=True,
    )
    gevent.sleep(SETTLE_S / 3)


@when("the connection is reset, and again 1.8 s later with the proxy blocked for 0.6 s")
def reset_twice(context) -> None:
    """Reset the connection twice; reconnecting takes 0.6 s the second time."""
    context.proxy.reset()
    gevent.sleep(1.8)
    for direction in context.proxy.directions:
        direction.open.clear()
    context.proxy.reset()
    gevent.spawn_later(0.6, context.proxy.restore)


@when("the second node has answered, delayed by 1.5 s, and listens no longer")
def answer_and_stop(context) -> None:
    """Stop the second node while its answer is in transit."""
    context.proxy.directions[1].open.clear()
    gevent.spawn_later(1.5, context.proxy.restore)
    send_resumable(context, lambda _sender, _message: create_answer(1000))
    # The node refuses connections once its listener is closed; so must the proxy.
    context.proxy._server.close()
    gevent.spawn(context.second.stop, 3000)


@then("the request is answered")
def check_answered(context) -> None:
    """Wait for the answer."""
    answer = context.request.get(timeout=ANSWER_TIMEOUT_S)
    assert answer.status == 200, answer


@when("a request is lost, and the report of it comes 1.2 s after the next connection")
def lose_request(context) -> None:
    """Silence the open connection, and delay the answer to `Resume` on the next one."""
    context.proxy.silence()
    links = context.second
    resume = links._resume_session

    def resume_slowly(sender, connection, frame):
        if frame.message.awaited:
            context.proxy.directions[1].open.clear()
            gevent.spawn_later(1.2, context.proxy.restore)
        return resume(sender, connection, frame)

    links._resume_session = resume_slowly
    send_resumable(context, lambda _sender, _message: create_answer())


@then("the request fails as not handled within {seconds:d} s")
def check_not_handled(context, seconds: int) -> None:
    """Wait for the failure and check its code."""
    try:
        context.request.get(timeout=seconds)
    except LinkError as error:
        assert error.code == Code.PEER_UNREACHABLE, error
    except gevent.Timeout as error:
        raise AssertionError("the request is still pending") from error
    else:
        raise AssertionError("the request was answered")


@when("a node requests {size:d} bytes and never reads them")
def request_unread_answer(context, size: int) -> None:
    """Request a large answer on a connection that is not read."""
    context.links.handlers[Forward] = lambda _sender, _message: create_answer(size)
    connection = open_connection(context)
    send(connection, 1, Resume([]))
    send(connection, 2, create_forward())
    gevent.sleep(SETTLE_S)
    assert context.links.count_unsent_bytes() > 0


@then("no answer is queued for that node after {seconds:d} s")
def check_nothing_unsent(context, seconds: int) -> None:
    """Check that no unsent bytes count against the VM's link."""
    gevent.sleep(seconds)
    assert context.links.count_unsent_bytes() == 0, context.links.count_unsent_bytes()


@given("a gateway whose target accepts 1 connection")
def create_gateway(context) -> None:
    """Create a gateway that may open one connection."""
    context.node = mock.MagicMock()
    context.gateway = Gateway.__new__(Gateway)
    exchanges = HttpClient(create_address(), create_clock(), Counters())
    exchanges.max_connections = 1
    context.gateway.http_client = exchanges
    context.gateway._node = context.node
    context.gateway._target = context.node.target
    context.node.target.silent = False


@when("the target is probed while a request uses that connection")
def probe_target(context) -> None:
    """Probe the target while its only connection is in use."""
    context.gateway.http_client._open_count = 1
    context.gateway.probe()


@then("the target does not count as silent")
def check_not_silent(context) -> None:
    """Check the state that the probe recorded."""
    assert context.node.target.silent is False


@given("a mesh of 2 nodes with targets of a service without keys")
def start_unkeyed_mesh(context) -> None:
    """Start an entry node and two nodes with targets of a service without keys."""
    context.mesh = UnkeyedMesh()
    context.add_cleanup(context.mesh.stop)
    context.mesh.start()


class UnkeyedMesh(ProxiedMesh):
    """One entry node and two nodes with targets without keys, behind proxies."""

    def __init__(self) -> None:
        Mesh.__init__(self, 1, 2)
        self.configure(create_long_timeout_document())
        self.proxies = {}
        self.places = [self._put_proxy(place) for place in self.places]


@when("the link to the first target is blocked for 1.2 s of the 1.5 s that it works")
def block_first_link(context) -> None:
    """Block the link while the first target works; the other target takes longer."""
    mesh = context.mesh
    for place in mesh.places:
        place.holder.work_ms = 1500.0
    data, context.attempt_id = mesh.encode_call(
        "/list/1", None, "GET", b"", LONG_TIMEOUT_MS
    )
    context.connection = mesh.open_connection("node-0")
    context.connection.send(data, 5)
    mesh.wait_until(lambda: any(p.holder.requests for p in mesh.places))
    context.place = next(p for p in mesh.places if p.holder.requests)
    for place in mesh.places:
        if place is not context.place:
            place.holder.work_ms = 5000.0
    proxy = mesh.proxies[context.place.settings.node_id]
    for direction in proxy.directions:
        direction.open.clear()
    gevent.spawn_later(1.2, proxy.restore)


@then("the caller gets the first target's answer within {seconds:d} s")
def check_first_answer(context, seconds: int) -> None:
    """Read the answer within the time limit."""
    with gevent.Timeout(seconds, AssertionError("no answer in time")):
        answer = context.connection.read(ResponseParser(), ANSWER_TIMEOUT_S)
    assert answer.status == 200, answer


@when("a node's session ends while its next connection is open but unused")
def end_session(context) -> None:
    """Open two connections and close the used one for longer than a session lasts."""
    used, context.second = open_connection(context), open_connection(context)
    send(used, 1, Resume([]))
    gevent.sleep(SETTLE_S)
    used.close()
    gevent.sleep(RESUME_TIMEOUT_MS / 1000 + SETTLE_S)


@when("request 9 is running on that connection, and the node resumes on another one")
def resume_elsewhere(context) -> None:
    """Use the open connection, then resume on a third one."""
    send(context.second, 8, Resume([]))
    start_request_9(context)
    third = open_connection(context)
    send(third, 10, Resume([9]))
    with gevent.Timeout(ANSWER_TIMEOUT_S):
        context.resumed = decode_frame(next(third.receive())).message


@then("the node is told that request 9 is known")
def check_request_known(context) -> None:
    """Check the answer to `Resume`."""
    assert context.resumed == Resumed([], []), context.resumed


@given("a node whose VM has a link of {mbps:f} Mbit/s")
def start_paced_node(context, mbps: float) -> None:
    """Start the links of a node with paced answers."""
    context.links = Links(
        "second/1", create_address(), create_clock(), Counters(), None, mbps
    )
    context.links.start()
    context.add_cleanup(context.links.abort)


@when("a node requests {count:d} answers of {size:d} bytes and resumes twice meanwhile")
def request_paced_answers(context, count: int, size: int) -> None:
    """Request answers that wait for their turn, and resume on two more connections."""
    context.links.handlers[Forward] = lambda _sender, _message: create_answer(size)
    context.began_s, context.awaited = monotonic(), set(range(2, 2 + count))
    connection = open_connection(context)
    send(connection, 1, Resume([]))
    gevent.spawn(receive_answers, connection, context.awaited)
    for number in sorted(context.awaited):
        send(connection, number, create_forward())
    for number in (100, 101):
        gevent.sleep(SETTLE_S)
        connection = open_connection(context)
        send(connection, number, Resume(sorted(context.awaited)))
        gevent.spawn(receive_answers, connection, context.awaited)


def receive_answers(connection: Connection, awaited: set[int]) -> None:
    """Remove the number of each received answer until the connection ends."""
    with suppress(OSError, LinkError):
        for data in connection.receive():
            awaited.discard(decode_frame(data).number)


@then("it has all answers within {seconds:d} s")
def check_all_answered(context, seconds: int) -> None:
    """Wait for the last answer."""
    remaining_s = context.began_s + seconds - monotonic()
    with gevent.Timeout(remaining_s, AssertionError("answers are missing")):
        while context.awaited:
            gevent.sleep(POLL_S)
