"""Steps about requests whose link to another node is blocked, silent or broken."""

import socket
from unittest import mock

import gevent
from behave import given, then, when
from gevent.event import Event

from features.support.mesh_builders import FakeClock, create_forward
from features.support.mesh_harness import SAMPLED_KEYS
from features.support.mesh_proxied import LONG_TIMEOUT_MS, ProxiedMesh
from features.support.proxies import Proxy
from knapweedrock.clock import NS_PER_MS, create_clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.emulator.addresses import create_address
from knapweedrock.errors import LinkError
from knapweedrock.mesh.frames import Frame
from knapweedrock.mesh.http_parsers import ResponseParser
from knapweedrock.mesh.links import Links
from knapweedrock.mesh.messages import Done, Forward, Forwarded, Probe, Resumed
from knapweedrock.mesh.sessions import AnswerCache, Session

ENTRY = "node-0"
ANSWER_TIMEOUT_S = 8.0
SEND_TIMEOUT_S = 1.0
# Time by which a request may exceed its timeout.
SLACK_MS = 200
POLL_S = 0.02
# Method, path and body of the requests, by kind.
REQUESTS_BY_KIND = {
    "order": ("POST", "/order/1", b"body"),
    "read": ("GET", "/read/1", b""),
}


@given(
    "a mesh of {nodes:d} nodes behind proxies whose targets take {work_ms:d} ms"
    " for each request"
)
def start_proxied_mesh(context, nodes: int, work_ms: int) -> None:
    """Start nodes that connect to each other through proxies."""
    context.mesh = ProxiedMesh(nodes)
    context.add_cleanup(context.mesh.stop)
    context.mesh.start()
    for place in context.mesh.places:
        place.holder.work_ms = float(work_ms)


@when("a {kind} is in progress at another node's target")
def start_request(context, kind: str) -> None:
    """Send a request for a key of another node and wait until its target runs it."""
    choose_key(context)
    send(context, kind)
    context.mesh.wait_until(lambda: context.owner.holder.requests)


def choose_key(context) -> None:
    """Choose a key whose target is beside a node other than the entry node."""
    context.key = context.mesh.find_remote_key(ENTRY)
    context.owner = context.mesh.find_owner(context.key)


def send(context, kind: str) -> None:
    """Send a request for the key to the entry node."""
    method, path, body = REQUESTS_BY_KIND[kind]
    data, context.attempt_id = context.mesh.encode_call(
        path, context.key, method, body, LONG_TIMEOUT_MS
    )
    context.connection = context.mesh.open_connection(ENTRY)
    context.connection.send(data, SEND_TIMEOUT_S)


@when("the entry node's link to the other node is blocked for {ms:d} ms")
def block_link(context, ms: int) -> None:
    """Block open and new connections for a while."""
    proxy = find_proxy(context)
    for direction in proxy.directions:
        direction.open.clear()
    gevent.spawn_later(ms / 1000, proxy.restore)


@when("the entry node's link to the other node is permanently silent")
def silence_link(context) -> None:
    """Drop all data on open connections, while new connections work."""
    find_proxy(context).silence()


@when("the entry node's link to the other node is reset")
def reset_link(context) -> None:
    """Reset the open connections."""
    find_proxy(context).reset()


def find_proxy(context):
    """Return the proxy in front of the node beside the chosen target."""
    return context.mesh.proxies[context.owner.settings.node_id]


@when("the entry node is told to stop")
def stop_entry(context) -> None:
    """Start a graceful shutdown of the node."""
    gevent.spawn(context.mesh.nodes[ENTRY].stop)


@then("its caller gets the target's own answer")
def check_answer(context) -> None:
    """Read and check the answer that the caller gets."""
    try:
        answer = context.connection.read(ResponseParser(), ANSWER_TIMEOUT_S)
    finally:
        context.connection.close()
    assert answer.status == 200, answer
    assert answer.body.decode().startswith(context.attempt_id), answer


@then("it was executed once and nothing was cancelled")
def check_ran_once(context) -> None:
    """Check the completed and cancelled requests of all targets."""
    holders = [place.holder for place in context.mesh.places]
    ran = [run.attempt_id for holder in holders for run in holder.runs]
    cut = [attempt_id for holder in holders for attempt_id in holder.interrupted]
    assert ran.count(context.attempt_id) == 1, ran
    assert not cut, cut


@when("the link to a node becomes permanently silent before an order is sent to it")
def silence_before(context) -> None:
    """Use the link once, silence it, and send an order over it."""
    choose_key(context)
    used = context.mesh.call(
        ENTRY, "/read/1", context.key, remaining_ms=LONG_TIMEOUT_MS
    )
    assert used.status == 200, used
    find_proxy(context).silence()
    send(context, "order")


@when("its caller disconnects after {ms:d} ms")
def disconnect_caller(context, ms: int) -> None:
    """Close the caller's connection."""
    gevent.sleep(ms / 1000)
    context.connection.close()


@when("the entry node is killed")
def kill_entry(context) -> None:
    """Kill the node without a shutdown."""
    context.mesh.kill_node(ENTRY)


@then("its target cancels it within {seconds:d} s")
def check_cancelled(context, seconds: int) -> None:
    """Wait until the target has cancelled the request."""
    holder = context.owner.holder
    context.mesh.wait_until(lambda: context.attempt_id in holder.interrupted, seconds)


@when("an order is in progress at a target whose VM then becomes unreachable")
def isolate_vm(context) -> None:
    """Block all proxies while a VM without the coordinator runs the order."""
    mesh = context.mesh
    mesh.wait_until(mesh.find_coordinator)
    lost = next(name for name in mesh.nodes if name != mesh.find_coordinator())
    context.entry = mesh.find_coordinator()
    context.owner = mesh.find_place(lost)
    context.key = next(
        key for key in SAMPLED_KEYS if mesh.find_owner(key) is context.owner
    )
    data, context.attempt_id = mesh.encode_call(
        "/order/1", context.key, "POST", b"body", LONG_TIMEOUT_MS
    )
    context.connection = mesh.open_connection(context.entry)
    context.connection.send(data, SEND_TIMEOUT_S)
    mesh.wait_until(lambda: context.owner.holder.requests)
    for proxy in mesh.proxies.values():
        for direction in proxy.directions:
            direction.open.clear()


@then("its caller gets status {status:d} within {seconds:d} s")
def check_status(context, status: int, seconds: int) -> None:
    """Read the answer within the time limit and check its status."""
    answer = context.connection.read(ResponseParser(), seconds)
    context.connection.close()
    assert answer.status == status, answer


@given("two nodes that are linked through a proxy")
def start_linked_nodes(context) -> None:
    """Open the links of two nodes and send a probe over them."""
    context.proxy = Proxy(create_address(), create_address())
    context.first, context.second = (
        Links(name, address, create_clock(), Counters())
        for name, address in (
            ("first", create_address()),
            ("second", context.proxy.upstream_address),
        )
    )
    for started in (context.second, context.first, context.proxy):
        started.start()
    for ended in (context.proxy.stop, context.first.abort, context.second.abort):
        context.add_cleanup(ended)
    context.peer = str(context.proxy.listen_address)
    assert context.first.request(context.peer, Probe(), SEND_TIMEOUT_S * 1000) == Done()


@when("the second node answers {size:d} bytes, which the proxy reads {ms:d} ms later")
def answer_late(context, size: int, ms: int) -> None:
    """Request a large answer while the direction back is blocked."""
    context.size = size
    context.answered = Event()

    def answer(_sender, _message) -> Forwarded:
        context.answered.set()
        return create_answer(0, size).message

    context.second.handlers[Forward] = answer
    context.proxy.directions[1].open.clear()
    gevent.spawn_later(ms / 1000, context.proxy.restore)
    context.request = gevent.spawn(
        context.first.request, context.peer, create_forward(), ANSWER_TIMEOUT_S * 1000
    )


@when("the second node stops within {seconds:d} s as soon as it has answered")
def stop_second(context, seconds: int) -> None:
    """Stop the links of the second node."""
    assert context.answered.wait(SEND_TIMEOUT_S), "the node received no request"
    context.second.stop(seconds * 1000)


@then("the first node gets the complete answer")
def check_whole_answer(context) -> None:
    """Check the size of the answer."""
    answer = context.request.get(timeout=ANSWER_TIMEOUT_S)
    assert len(answer.body) == context.size, len(answer.body)


@when("the proxy stops reading")
def block_requests(context) -> None:
    """Block the direction to the second node."""
    context.proxy.directions[0].open.clear()


@then("requests of {size:d} bytes fail within {ms:d} ms, each on time")
def check_timeouts(context, size: int, ms: int) -> None:
    """Send more data than the kernel buffers, and measure each request."""
    message = create_forward(body=bytes(size))
    sent = [gevent.spawn(time_request, context, message, ms) for _ in range(3)]
    gevent.joinall(sent, timeout=ANSWER_TIMEOUT_S)
    for task in sent:
        assert task.successful(), "the request is still pending, or was answered"
        assert task.value < ms + SLACK_MS, task.value


def time_request(context, message, timeout_ms: int) -> float:
    """Send a request that is not answered and return its duration in ms."""
    clock = create_clock()
    start_ns = clock.now_ns()
    try:
        context.first.request(context.peer, message, timeout_ms, resumable=True)
        raise AssertionError("the request was answered")
    except LinkError as error:
        assert error.code == Code.PEER_LOST, error
    return (clock.now_ns() - start_ns) / NS_PER_MS


@then("the link is known to be silent within {seconds:d} s")
def check_link_silent(context, seconds: int) -> None:
    """Wait until the link is not used for new requests."""
    with gevent.Timeout(seconds, AssertionError("the link is still used")):
        while context.first.is_open(context.peer):
            gevent.sleep(POLL_S)


@given("a session that has received the requests {first:d} to {last:d}")
def create_session(context, first: int, last: int) -> None:
    """Create a session on a connection and record requests."""
    context.cache = AnswerCache(FakeClock())
    context.session = Session("peer/1", context.cache)
    context.previous_connection = mock.Mock()
    context.session.resume(context.previous_connection, 0, [])
    for number in range(first, last + 1):
        context.session.record_request(number)


@given("a session that has received no requests yet")
def create_new_session(context) -> None:
    """Create a session whose peer may have sent requests to an earlier session."""
    context.session = Session("peer/1", AnswerCache(FakeClock()))


@then("all of them are reported as unknown, and none as never received")
def check_unknown(context) -> None:
    """Check the answer to the sender."""
    assert context.resumed == Resumed([], context.awaited), context.resumed


@given("1 is running, 2 was answered and the answer to 3 is no longer cached")
def set_request_states(context) -> None:
    """Mark one request as running and add the answer to another."""
    context.session.running[1] = mock.Mock()
    context.cache.add("peer/1", create_answer(2))


@when("the sender resumes and awaits 1, 2, 3 and 9")
def resume_session(context) -> None:
    """Resume the session on another connection."""
    context.awaited = [1, 2, 3, 9]
    context.resumed = context.session.resume(mock.Mock(), 10, context.awaited)


@when("the sender resumes and awaits 1, 2, 3 and 9, and then once more")
def resume_twice(context) -> None:
    """Resume the session on two connections, one after the other."""
    awaited = [1, 2, 3, 9]
    context.never_received = [
        context.session.resume(mock.Mock(), number, awaited).never_received
        for number in (10, 11)
    ]


@then("9 is reported as never received, both times")
def check_reported_twice(context) -> None:
    """Check both answers to the sender."""
    assert context.never_received == [[9], [9]], context.never_received


@then("9 is reported as never received and 3 as unknown")
def check_resumed(context) -> None:
    """Check the answer to the sender, and that request 1 is still running."""
    assert context.resumed == Resumed([9], [3]), context.resumed
    assert 1 in context.session.running


@then("the answer to 2 is sent again")
def check_sent_again(context) -> None:
    """Check which answers are sent on the new connection."""
    numbers = [f.number for f in context.session.list_answers(context.awaited)]
    assert numbers == [2], numbers


@then("the previous connection is shut down")
def check_previous_connection(context) -> None:
    """Check that the previous connection was shut down once."""
    context.previous_connection.shut_down.assert_called_once()


def create_answer(number: int, size: int = 0) -> Frame:
    """Create the answer to a request."""
    return Frame(number, True, Forwarded(0, 200, [], bytes(size), "", 0.0, 0.0))


@given("a cache for answers of {size:d} bytes")
def create_cache(context, size: int) -> None:
    """Create a cache of answers."""
    context.clock, context.size = FakeClock(), size
    context.cache = AnswerCache(context.clock)
    context.last = 0


@when("{count:d} answers are sent at once")
def add_answers(context, count: int) -> None:
    """Add some answers to the cache."""
    for _ in range(count):
        context.last += 1
        context.cache.add("peer/1", create_answer(context.last, context.size))


@when("{seconds:d} s pass and another answer is sent")
def add_answer_later(context, seconds: int) -> None:
    """Let time pass and add another answer to the cache."""
    context.clock.advance_ms(seconds * 1000)
    add_answers(context, 1)


@then("at most {count:d} answers are cached, the most recent ones")
def check_cached(context, count: int) -> None:
    """Check which answers are still cached."""
    numbers = range(1, context.last + 1)
    cached = [n for n in numbers if context.cache.get("peer/1", n) is not None]
    assert 0 < len(cached) <= count, cached
    assert cached == list(numbers)[-len(cached) :], cached


@then(
    "both ends close the connection if their data is not acknowledged for {seconds:d} s"
)
def check_user_timeout(context, seconds: int) -> None:
    """Check the TCP user timeout of the socket at each end."""
    (link,) = context.first._links.values()
    (accepted,) = context.second.accepted
    for connection in (link._connection, accepted):
        limit_ms = connection._sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        assert limit_ms == seconds * 1000, limit_ms


@then("no retry was counted at the entry node")
def check_no_repeat(context) -> None:
    """Check the retry counters of the entry node."""
    counts = context.mesh.nodes[ENTRY].counters.counts
    repeats = {name: n for (name, _), n in counts.items() if name.startswith("retries")}
    assert not repeats, repeats


@when("a new connection takes about 240 ms and the second node does not answer")
def delay_connection(context) -> None:
    """Close the link, and delay both directions of the next connection."""
    (link,) = context.first._links.values()
    link.close("the scenario closes it")
    context.second.handlers[Forward] = lambda _sender, _message: gevent.sleep(
        ANSWER_TIMEOUT_S
    )
    for direction in context.proxy.directions:
        direction.delay_s = 0.12


@then("a request with a timeout of {ms:d} ms fails in time")
def check_timeout(context, ms: int) -> None:
    """Measure the duration of the request."""
    elapsed_ms = time_request(context, create_forward(), ms)
    assert elapsed_ms < ms + SLACK_MS / 2, elapsed_ms
