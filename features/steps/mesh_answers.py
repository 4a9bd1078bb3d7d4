"""Steps for complete, broken and lost answers of targets."""

from unittest import mock

import gevent
from behave import given, then, when

from features.support.mesh_builders import (
    OTHER_SERVICE,
    FakeClock,
    create_forward,
)
from features.support.mesh_harness import SAMPLED_KEYS, Mesh
from knapweedrock.codes import INFO, Code, Outcome
from knapweedrock.mesh.definitions import Route, WeightedService
from knapweedrock.mesh.http import encode_request
from knapweedrock.mesh.http_parsers import ResponseParser
from knapweedrock.mesh.node import KILL_MARGIN_MS
from knapweedrock.mesh.quarantine import Quarantine
from knapweedrock.mesh.routed_requests import RoutedRequestFactory
from knapweedrock.platform.headers import REMAINING_MS

TIMEOUT_S = 0.4
# Delay before the rest of a request is sent.
LATE_PART_DELAY_S = 0.2
ANSWER_TIMEOUT_S = 5.0


@given("a mesh without a configuration")
def start_unconfigured(context) -> None:
    """Start a node with a store that has no configuration."""
    context.mesh = Mesh(1)
    context.add_cleanup(context.mesh.stop)
    context.mesh.objects.remove("config", "main")
    place = context.mesh.places[0]
    place.front.start()
    place.holder.start()
    context.mesh.start_node(place)


@given("requests that were in flight at crashes")
def create_quarantine(context) -> None:
    """Create an empty record of requests in flight at crashes."""
    context.quarantine = Quarantine(FakeClock())


@given("a route with two services of weights {first:d} and {second:d}")
def create_route(context, first: int, second: int) -> None:
    """Create a route with two weighted services."""
    services = (WeightedService("one", first), WeightedService("two", second))
    context.route = Route("r", "h", "/", True, 1000, 300, 1, services, 2)
    context.jobs = RoutedRequestFactory("orders", FakeClock())


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


@when("a request arrives before the configuration")
def send_early(context) -> None:
    """Send a request to the node without a configuration."""
    context.answer = context.mesh.call("node-0", "/read/1", 1)


@when("one was in flight three times, and another succeeded in between")
def count_crashes(context) -> None:
    """Count three crashes with two requests in flight, one of which once succeeds."""
    for _ in range(2):
        context.quarantine.record_crash(["guilty", "innocent"])
    context.quarantine.clear("innocent")
    context.quarantine.record_crash(["guilty", "innocent"])


@when("services are chosen for {count:d} requests")
def choose_parts(context, count: int) -> None:
    """Choose a service for each request."""
    context.chosen = [
        context.jobs._choose_service(context.route).service for _ in range(count)
    ]


@then("its target got method, path, query and body unchanged")
def check_unchanged(context) -> None:
    """Check the request that the target received."""
    seen = context.seen
    assert (seen.method, seen.target) == ("POST", "/order/1?a=b%20c")
    assert seen.body == b"the order"
    assert seen.fields["x-own"] == "kept"


@then("it got the service of the entry node as caller")
def check_caller(context) -> None:
    """Check the caller header that the target received."""
    entered = context.mesh.find_place(context.entry).settings.service
    callers = [v for k, v in context.seen.headers if k == "x-caller-service"]
    assert callers == [entered], callers


@then("it got less time than the caller set")
def check_time(context) -> None:
    """Check the remaining time that the target received."""
    remaining = [v for k, v in context.seen.headers if k == "x-timeout-remaining"]
    assert len(remaining) == 1, remaining
    assert 800 < int(remaining[0]) < 1200, remaining


@then("the answer is {status:d} with a retry time")
def check_retry_after(context, status: int) -> None:
    """Check the status and the retry time of the refusal."""
    assert context.answer.status == status, context.answer
    assert float(context.answer.get_header("retry-after")) > 0


@then("only the first is refused")
def check_refused(context) -> None:
    """Check which of the two requests is refused."""
    assert context.quarantine.is_quarantined("guilty")
    assert not context.quarantine.is_quarantined("innocent")


@then("each service got its share within {percent:d} percent")
def check_shares(context, percent: int) -> None:
    """Compare the counts with the weights."""
    for service in context.route.weighted_services:
        share = context.chosen.count(service.service) / len(context.chosen) * 100
        assert abs(share - service.weight) <= percent, (service, share)


@when("a target crashes, a retry finds it down, and then the crash is checked twice")
def crash_beside_repeat(context) -> None:
    """Let a retry be refused before the broken exchange is checked."""
    place = context.mesh.places[0]
    context.gateway = next(iter(context.mesh.nodes.values())).gateway
    name = place.holder.target
    place.holder.crash()
    answer = context.mesh.call("node-0", "/read/1", 1, remaining_ms=200)
    assert answer.status in (503, 504), answer
    for _ in range(2):
        context.gateway._check_crash(name, ["guilty"])


@then("one crash is recorded for the request in flight")
def check_counted(context) -> None:
    """Check how many crashes the request is charged with."""
    assert len(context.gateway.quarantine._crash_times_ns.get("guilty", [])) == 1


@when("a peer sends its node a request before the configuration")
def deliver_early(context) -> None:
    """Deliver a request to the node once its cold target has sent a heartbeat."""
    mesh = context.mesh
    node = next(iter(mesh.nodes.values()))
    mesh.wait_until(lambda: node.target.name)
    context.result = node.gateway.deliver(create_forward(key=-1))


@then("the request is refused as not run")
def check_refused_early(context) -> None:
    """Check the outcome of the refusal."""
    code = Code(context.result.code)
    assert INFO[code].outcome is Outcome.NOT_RUN, context.result


@then("no target executed a request")
def check_ran_nothing_early(context) -> None:
    """Check the runs of all targets."""
    gevent.sleep(0.1)
    assert not [run for place in context.mesh.places for run in place.holder.runs]


@when("a node stops while it has {state} a request")
def stop_beside_request(context, state) -> None:
    """Send a request, or most of it, right before the node stops listening."""
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
    """Stop a node gracefully, and then all its tasks, as a process exit does."""
    with mock.patch("knapweedrock.mesh.node.LEAVE_NOTICE_MS", 1):
        node.stop()
    # A process exit closes the connections before peers can notice anything else.
    node.callers.drop_connections()
    node.abort()


@given(
    "a mesh in which the VM of a target without keys has a network link of {mbps:d}"
    " Mbit/s"
)
def start_slow_link(context, mbps: int) -> None:
    """Start a mesh of two nodes, one of them on a VM with a slow network link."""
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
    """Stop a node while answers are queued for its network link."""
    mesh = context.mesh
    holder = mesh.places[1].holder
    holder.padding = bytes(size * 1000)
    context.calls = [
        gevent.spawn(mesh.call, "node-0", f"/list/{number}") for number in range(count)
    ]
    ran = len(holder.runs) + count
    mesh.wait_until(lambda: len(holder.runs) >= ran)
    end_process(mesh.nodes.pop("node-1"))


@then("each of them gets its complete answer")
def check_whole_answers(context) -> None:
    """Check the answers that the callers received."""
    size = len(context.mesh.places[1].holder.padding)
    answers = [call.get(timeout=ANSWER_TIMEOUT_S) for call in context.calls]
    assert all(a.status == 200 and len(a.body) > size for a in answers), answers


@then("the request is answered before the node has ended")
def check_answered(context) -> None:
    """Read the answer after the node has had time to end."""
    gevent.sleep(TIMEOUT_S)
    try:
        answer = context.connection.read(ResponseParser(), ANSWER_TIMEOUT_S)
    except OSError as error:
        raise AssertionError(f"no answer: {error}") from error
    finally:
        context.connection.close()
    assert answer.status == 200, answer
    assert answer.body.decode().startswith(context.attempt_id), answer


@given("a node with a target on a VM with a network link of {mbps:d} Mbit/s")
def start_node_with_link(context, mbps: int) -> None:
    """Start a mesh and limit the network link of the node with the unkeyed target."""
    context.mesh = Mesh(1, 1)
    context.add_cleanup(context.mesh.stop)
    context.mesh.start()
    context.node = context.mesh.nodes["node-1"]
    context.node.settings = context.node.settings._replace(link_mbps=mbps)


@when("{size:d} bytes of answers are queued for its network link")
def fill_link(context, size: int) -> None:
    """Add a peer that has not received its answers yet."""
    peer = mock.Mock(unsent_bytes=size)
    context.node.links.accepted.add(peer)
    context.peer = peer


def deliver_one(context, objective_ms: int):
    """Deliver a request without a key, and remove the queued answers."""
    request = create_forward(
        service=OTHER_SERVICE,
        key=-1,
        path="/list/1",
        objective_ms=float(objective_ms),
        remaining_ms=objective_ms * 2.0,
    )
    result = context.node.gateway.deliver(request)
    context.node.links.accepted.discard(context.peer)
    return result


@then(
    "a request with an objective of {objective_ms:d} ms is refused with a retry time"
    " of {retry_ms:d} ms"
)
def check_link_refusal(context, objective_ms: int, retry_ms: int) -> None:
    """Check the refusal of a node with a full network link."""
    result = deliver_one(context, objective_ms)
    assert result.code == Code.OVERLOADED, result
    assert result.retry_after_ms == retry_ms, result


@then("a request with an objective of {objective_ms:d} ms is served")
def check_link_done(context, objective_ms: int) -> None:
    """Check that a short queue for the network link causes no refusal."""
    result = deliver_one(context, objective_ms)
    assert result.code == Code.DONE, result


@when("a node stops within {seconds:d} s while its request waits at another node")
def stop_beside_waiting(context, seconds: int) -> None:
    """Stop a node in less time than its request takes."""
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


@when(
    "the rest of a request with {deadline_ms:d} ms arrives {late_ms:d} ms after the"
    " listener of a node that ends in {end_ms:d} ms is closed"
)
def send_late_rest(context, deadline_ms: int, late_ms: int, end_ms: int) -> None:
    """Send most of a request to a node, stop it, and send the rest."""
    mesh = context.mesh
    node = mesh.nodes.pop("node-0")
    shutdown_ms = end_ms + KILL_MARGIN_MS
    node.settings = node.settings._replace(shutdown_ms=shutdown_ms)
    key = next(key for key in SAMPLED_KEYS if mesh.find_owner(key) is mesh.places[1])
    data, context.attempt_id = mesh.encode_call(
        "/order/1", key, "POST", b"body", deadline_ms
    )
    context.connection = mesh.open_connection("node-0")
    context.connection.send(data[:-2], TIMEOUT_S)
    gevent.sleep(LATE_PART_DELAY_S)
    context.end = gevent.spawn(end_process, node)
    gevent.sleep(late_ms / 1000)
    context.connection.send(data[-2:], TIMEOUT_S)


@then("{count:d} of the targets ran it")
def check_runs(context, count: int) -> None:
    """Count the executions of the request at all targets."""
    runs = [
        run
        for place in context.mesh.places
        for run in place.holder.runs
        if run.attempt_id == context.attempt_id
    ]
    assert len(runs) == count, runs


@then("the request is answered with status {status:d} before the node has ended")
def check_last_answer(context, status: int) -> None:
    """Check the status of the answer, and that the node has ended."""
    try:
        answer = context.connection.read(ResponseParser(), ANSWER_TIMEOUT_S)
    except OSError as error:
        raise AssertionError(f"no answer: {error}") from error
    assert answer.status == status, answer
    context.end.get(timeout=ANSWER_TIMEOUT_S)


@when("a target whose next heartbeat would grant it a key becomes silent")
def silence_next_owner(context) -> None:
    """Remove the grants of a target that owns keys, and make the target silent."""
    remove_grants(context)
    context.node.target.silent = True


@when("a target gets a key with its next heartbeat, which is due in {ms:d} ms")
def delay_next_heartbeat(context, ms: int) -> None:
    """Remove the grants of a target that owns keys just after its heartbeat."""
    remove_grants(context)
    target = context.node.target
    target.heartbeat_interval_ms = ms
    target.last_heartbeat_ns = context.mesh.clock.now_ns()


@then(
    "a request for the key that may take {remaining_ms:d} ms is refused within {ms:d}"
    " ms, to be sent again after {low:d} to {high:d} ms"
)
def check_refused_until(
    context, remaining_ms: int, ms: int, low: int, high: int
) -> None:
    """Check that a request whose wait would be in vain is told when to come back."""
    began_ns = context.mesh.clock.now_ns()
    request = create_forward(key=context.key, remaining_ms=float(remaining_ms))
    result = context.node.gateway.deliver(request)
    elapsed_ms = (context.mesh.clock.now_ns() - began_ns) / 1e6
    assert INFO[Code(result.code)].outcome is Outcome.NOT_RUN, result
    assert elapsed_ms < ms, elapsed_ms
    assert low <= result.retry_after_ms <= high, result.retry_after_ms


def remove_grants(context) -> None:
    """Remove the grants of a target that owns keys, and stop its heartbeats."""
    mesh = context.mesh
    place = mesh.places[0]
    context.key = next(key for key in SAMPLED_KEYS if mesh.find_owner(key) is place)
    context.node = mesh.nodes["node-0"]
    holds = context.node.holds
    holds.granted = holds.granted._replace(rows=())
    place.holder.silent_heartbeats = True


@then("a request for the key is refused by its node within {ms:d} ms")
def check_refused_soon(context, ms: int) -> None:
    """Check that the request does not wait for a heartbeat of the silent target."""
    began_ns = context.mesh.clock.now_ns()
    result = context.node.gateway.deliver(create_forward(key=context.key))
    elapsed_ms = (context.mesh.clock.now_ns() - began_ns) / 1e6
    assert INFO[Code(result.code)].outcome is Outcome.NOT_RUN, result
    assert elapsed_ms < ms, elapsed_ms


@when(
    "a node that ends in {end_ms:d} ms gets a request that may take {remaining_ms:d} ms"
)
def deliver_at_end(context, end_ms: int, remaining_ms: int) -> None:
    """Deliver a request to a stopping node."""
    mesh = context.mesh
    context.place = mesh.places[0]
    key = next(key for key in SAMPLED_KEYS if mesh.find_owner(key) is context.place)
    gateway = mesh.nodes["node-0"].gateway
    gateway.shutdown_deadline_ns = mesh.clock.now_ns() + int(end_ms * 1e6)
    request = create_forward(key=key, remaining_ms=float(remaining_ms))
    context.result = gateway.deliver(request)


@then("its target got a remaining time of at most {ms:d} ms")
def check_told_time(context, ms: int) -> None:
    """Check the remaining time that the target received."""
    assert context.result.code == Code.DONE, context.result
    remaining = context.place.holder.requests[-1].fields[REMAINING_MS]
    assert 0 < int(remaining) <= ms, remaining
