"""Steps about requests whose link to another node is in trouble."""

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
from knapweedrock.mesh.http import ResponseParser
from knapweedrock.mesh.links import Links
from knapweedrock.mesh.messages import Done, Forward, Forwarded, Probe, Resumed
from knapweedrock.mesh.sessions import AnswerCache, Session

ENTRY = "node-0"
ANSWER_TIMEOUT_S = 8.0
SEND_TIMEOUT_S = 1.0
# What a request may take beyond its time.
SLACK_MS = 200
POLL_S = 0.02
# Requests whose runs are looked at, by kind.
REQUESTS_BY_KIND = {
    "order": ("POST", "/order/1", b"body"),
    "read": ("GET", "/read/1", b""),
}


@given("a mesh of {nodes:d} nodes behind proxies whose targets work for {work_ms:d} ms")
def start_proxied_mesh(context, nodes: int, work_ms: int) -> None:
    """Start nodes that dial each other through proxies."""
    context.mesh = ProxiedMesh(nodes)
    context.add_cleanup(context.mesh.stop)
    context.mesh.start()
    for place in context.mesh.places:
        place.holder.work_ms = float(work_ms)


@when("a {kind} is at work at a target beside another node")
def start_request(context, kind: str) -> None:
    """Send a request for a key of another node and wait until its target runs it."""
    choose_key(context)
    send(context, kind)
    context.mesh.wait_until(lambda: context.owner.holder.requests)


def choose_key(context) -> None:
    """Choose a key whose target is beside another node than the entry."""
    context.key = context.mesh.find_remote_key(ENTRY)
    context.owner = context.mesh.find_owner(context.key)


def send(context, kind: str) -> None:
    """Send a request for the key at the entry."""
    method, path, body = REQUESTS_BY_KIND[kind]
    data, context.attempt_id = context.mesh.encode_call(
        path, context.key, method, body, LONG_TIMEOUT_MS
    )
    context.connection = context.mesh.open_connection(ENTRY)
    context.connection.send(data, SEND_TIMEOUT_S)


@when("the link to that node is held up for {ms:d} ms")
def block_link(context, ms: int) -> None:
    """Let no byte pass for a while, neither on open connections nor on new ones."""
    proxy = find_proxy(context)
    for direction in proxy.directions:
        direction.open.clear()
    gevent.spawn_later(ms / 1000, proxy.restore)


@when("the link to that node is silent for good")
def silence_link(context) -> None:
    """Let open connections carry nothing any more, while new ones work."""
    find_proxy(context).silence()


@when("the link to that node is reset")
def reset_link(context) -> None:
    """Reset the open connections."""
    find_proxy(context).reset()


def find_proxy(context):
    """Return the proxy before the node beside the target that is at work."""
    return context.mesh.proxies[context.owner.settings.node_id]


@when("the node where it entered is told to stop")
def stop_entry(context) -> None:
    """Begin to stop the node in order."""
    gevent.spawn(context.mesh.nodes[ENTRY].stop)


@then("its caller gets the target's own answer")
def check_answer(context) -> None:
    """Read the answer that the caller gets."""
    try:
        answer = context.connection.read(ResponseParser(), ANSWER_TIMEOUT_S)
    finally:
        context.connection.close()
    assert answer.status == 200, answer
    assert answer.body.decode().startswith(context.attempt_id), answer


@then("it ran once and nothing was cut")
def check_ran_once(context) -> None:
    """Check the runs of all targets."""
    holders = [place.holder for place in context.mesh.places]
    ran = [run.attempt_id for holder in holders for run in holder.runs]
    cut = [attempt_id for holder in holders for attempt_id in holder.cut]
    assert ran.count(context.attempt_id) == 1, ran
    assert not cut, cut


@when("the link to a node falls silent for good before an order is sent to it")
def silence_before(context) -> None:
    """Use the link once, silence it, and send an order over it."""
    choose_key(context)
    used = context.mesh.call(
        ENTRY, "/read/1", context.key, remaining_ms=LONG_TIMEOUT_MS
    )
    assert used.status == 200, used
    find_proxy(context).silence()
    send(context, "order")


@when("its caller leaves after {ms:d} ms")
def disconnect_caller(context, ms: int) -> None:
    """Close the caller's connection."""
    gevent.sleep(ms / 1000)
    context.connection.close()


@when("the node where it entered is killed")
def kill_entry(context) -> None:
    """End the node without a word."""
    context.mesh.kill_node(ENTRY)


@then("its target's work is cut within {seconds:d} s")
def check_cancelled(context, seconds: int) -> None:
    """Wait until the target has given the request up."""
    holder = context.owner.holder
    context.mesh.wait_until(lambda: context.attempt_id in holder.cut, seconds)


@when("an order is at work at a target whose VM is then cut off for good")
def isolate_vm(context) -> None:
    """Let nothing pass to or from a VM that does not coordinate."""
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
    """Read the answer, in time."""
    answer = context.connection.read(ResponseParser(), seconds)
    context.connection.close()
    assert answer.status == status, answer


@given("two nodes that are linked through a proxy")
def start_linked_nodes(context) -> None:
    """Open the links of two nodes, and use them once."""
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


@when("the second node answers {size:d} bytes, which the proxy takes {ms:d} ms later")
def answer_late(context, size: int, ms: int) -> None:
    """Ask for a large answer that waits for the way back."""
    context.size = size
    context.answered = Event()

    def answer(_sender, _message) -> Forwarded:
        context.answered.set()
        return create_answer(0, size).message

    context.second.handlers[Forward] = answer
    context.proxy.directions[1].open.clear()
    gevent.spawn_later(ms / 1000, context.proxy.restore)
    context.asked = gevent.spawn(
        context.first.request, context.peer, create_forward(), ANSWER_TIMEOUT_S * 1000
    )


@when("the second node stops within {seconds:d} s as soon as it has answered")
def stop_second(context, seconds: int) -> None:
    """Stop the links of the second node."""
    assert context.answered.wait(SEND_TIMEOUT_S), "it was not asked"
    context.second.stop(seconds * 1000)


@then("the first node gets the whole answer")
def check_whole_answer(context) -> None:
    """Check the size of the answer."""
    answer = context.asked.get(timeout=ANSWER_TIMEOUT_S)
    assert len(answer.body) == context.size, len(answer.body)


@when("the proxy takes no more bytes")
def block_requests(context) -> None:
    """Hold up what goes to the second node."""
    context.proxy.directions[0].open.clear()


@then("requests of {size:d} bytes fail within {ms:d} ms, each on time")
def check_timeouts(context, size: int, ms: int) -> None:
    """Send more than the system buffers, and measure each request."""
    message = create_forward(body=bytes(size))
    sent = [gevent.spawn(time_request, context, message, ms) for _ in range(3)]
    gevent.joinall(sent, timeout=ANSWER_TIMEOUT_S)
    for task in sent:
        assert task.successful(), "it still waits, or was answered"
        assert task.value < ms + SLACK_MS, task.value


def time_request(context, message, timeout_ms: int) -> float:
    """Send a request that is not answered, and return how long it took, in ms."""
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
    """Wait until new requests would not be sent over it."""
    with gevent.Timeout(seconds, AssertionError("the link counts as open")):
        while context.first.is_open(context.peer):
            gevent.sleep(POLL_S)


@given("a session that has taken the requests {first:d} to {last:d}")
def create_session(context, first: int, last: int) -> None:
    """Create a session on a connection."""
    context.cache = AnswerCache(FakeClock())
    context.session = Session("peer/1", context.cache)
    context.former = mock.Mock()
    context.session.resume(context.former, 0, [])
    for number in range(first, last + 1):
        context.session.record_request(number)


@given("a session that has taken no requests yet")
def create_new_session(context) -> None:
    """Create a session whose peer may have sent requests before."""
    context.session = Session("peer/1", AnswerCache(FakeClock()))


@then("nothing is known of any of them, and none counts as unseen")
def check_unknown(context) -> None:
    """Check what the sender is told."""
    assert context.resumed == Resumed([], context.awaited), context.resumed


@given("1 is at work, 2 was answered and the answer of 3 is not kept any more")
def set_request_states(context) -> None:
    """Put the requests in three states."""
    context.session.running[1] = mock.Mock()
    context.cache.add("peer/1", create_answer(2))


@when("the sender resumes and awaits 1, 2, 3 and 9")
def resume_session(context) -> None:
    """Resume over another connection."""
    context.awaited = [1, 2, 3, 9]
    context.resumed = context.session.resume(mock.Mock(), 10, context.awaited)


@when("the sender resumes and awaits 1, 2, 3 and 9, and then once more")
def resume_twice(context) -> None:
    """Resume over two connections, one after the other."""
    awaited = [1, 2, 3, 9]
    context.told = [
        context.session.resume(mock.Mock(), number, awaited).never_received
        for number in (10, 11)
    ]


@then("9 never came, both times")
def check_reported_twice(context) -> None:
    """Check what the sender is told each time."""
    assert context.told == [[9], [9]], context.told


@then("9 never came and nothing is known of 3")
def check_resumed(context) -> None:
    """Check what the sender is told."""
    assert context.resumed == Resumed([9], [3]), context.resumed
    assert 1 in context.session.running


@then("the answer to 2 is sent again")
def check_sent_again(context) -> None:
    """Check the answers that go over the new connection."""
    numbers = [f.number for f in context.session.list_answers(context.awaited)]
    assert numbers == [2], numbers


@then("nothing of its former connection is taken")
def check_previous_connection(context) -> None:
    """Check that the former connection was ended."""
    context.former.shut_down.assert_called_once()


def create_answer(number: int, size: int = 0) -> Frame:
    """Create the answer to a request."""
    return Frame(number, True, Forwarded(0, 200, [], bytes(size), "", 0.0, 0.0))


@given("answers of {size:d} bytes that are kept")
def create_cache(context, size: int) -> None:
    """Create a cache of answers."""
    context.clock, context.size = FakeClock(), size
    context.cache = AnswerCache(context.clock)
    context.last = 0


@when("{count:d} of them are sent at once")
def add_answers(context, count: int) -> None:
    """Keep some answers."""
    for _ in range(count):
        context.last += 1
        context.cache.add("peer/1", create_answer(context.last, context.size))


@when("{seconds:d} s pass and one more is sent")
def add_answer_later(context, seconds: int) -> None:
    """Let time pass and keep another answer."""
    context.clock.advance_ms(seconds * 1000)
    add_answers(context, 1)


@then("at most {count:d} are kept, the last ones")
def check_cached(context, count: int) -> None:
    """Check which answers are found."""
    numbers = range(1, context.last + 1)
    cached = [n for n in numbers if context.cache.get("peer/1", n) is not None]
    assert 0 < len(cached) <= count, cached
    assert cached == list(numbers)[-len(cached) :], cached


@then("both ends of the link end if nobody confirms their bytes for {seconds:d} s")
def check_user_timeout(context, seconds: int) -> None:
    """Check the limit that the system keeps for each connection."""
    (link,) = context.first._links.values()
    (accepted,) = context.second.accepted
    for connection in (link._connection, accepted):
        limit_ms = connection._sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        assert limit_ms == seconds * 1000, limit_ms


@then("no repeat was counted at the node where it entered")
def check_no_repeat(context) -> None:
    """Look at the counters of the entry."""
    counts = context.mesh.nodes[ENTRY].counters.counts
    repeats = {name: n for (name, _), n in counts.items() if name.startswith("retries")}
    assert not repeats, repeats


@when("a new connection takes some 240 ms and the second node does not answer")
def delay_connection(context) -> None:
    """End the link, and make each way of the next one slow."""
    (link,) = context.first._links.values()
    link.close("the scenario closes it")
    context.second.handlers[Forward] = lambda _sender, _message: gevent.sleep(
        ANSWER_TIMEOUT_S
    )
    for direction in context.proxy.directions:
        direction.delay_s = 0.12


@then("a request with {ms:d} ms fails in time")
def check_timeout(context, ms: int) -> None:
    """Measure the request."""
    elapsed_ms = time_request(context, create_forward(), ms)
    assert elapsed_ms < ms + SLACK_MS / 2, elapsed_ms
