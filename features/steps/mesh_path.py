"""Steps that send requests through a whole mesh."""

import itertools
from collections import Counter

import gevent
from behave import given, then, when

from features.support.mesh_harness import Mesh
from knapweedrock.clock import NS_PER_S
from knapweedrock.emulator.target import CRASH_PATH

CRASH_KEY = 777


def start_mesh(context, keyed: int, unkeyed: int = 0, work_ms: float = 5.0) -> None:
    """Start a mesh and stop it at the end of the scenario."""
    context.mesh = Mesh(keyed, unkeyed)
    context.add_cleanup(context.mesh.stop)
    for place in context.mesh.places:
        place.holder.work_ms = work_ms
    context.mesh.start()


@given("a mesh of {keyed:d} keyed targets")
def start_keyed_mesh(context, keyed: int) -> None:
    """Start a mesh of one keyed service."""
    start_mesh(context, keyed)


@given("a mesh of {keyed:d} keyed targets whose work takes {work_ms:d} ms")
def start_slow_mesh(context, keyed: int, work_ms: int) -> None:
    """Start a mesh whose targets take some time for each request."""
    start_mesh(context, keyed, work_ms=work_ms)


@given("a mesh of {keyed:d} keyed and {unkeyed:d} unkeyed targets")
def start_mesh_of_two_services(context, keyed: int, unkeyed: int) -> None:
    """Start a mesh of a keyed service and one without keys."""
    start_mesh(context, keyed, unkeyed)


@when("requests for {count:d} keys are sent to every node")
def send_keyed_requests(context, count: int) -> None:
    """Send requests for keys at equal distances to every node."""
    mesh = context.mesh
    context.responses = [
        (key, mesh.call(name, f"/read/{key}", key))
        for name in mesh.nodes
        for key in range(0, 65536, 65536 // count)
    ]


@when("{count:d} requests for the unkeyed service are sent to every node")
def send_unkeyed_requests(context, count: int) -> None:
    """Send requests without keys to every node."""
    mesh = context.mesh
    context.responses = [
        (None, mesh.call(name, f"/list/{n}"))
        for name in mesh.nodes
        for n in range(count)
    ]


@when("a caller disconnects {ms:d} ms after it has sent a read")
def disconnect_early(context, ms: int) -> None:
    """Send a read and close the connection during its execution."""
    mesh = context.mesh
    connection = mesh.open_connection(next(iter(mesh.nodes)))
    data, context.attempt_id = mesh.encode_call("/read/1", 40000, "GET", b"", 1500)
    connection.send(data, 1)
    gevent.sleep(ms / 1000)
    connection.close()


@when("a request arrives for a path without a route")
def send_unrouted_request(context) -> None:
    """Send a request that no route matches."""
    mesh = context.mesh
    context.status = mesh.call(next(iter(mesh.nodes)), "/nowhere/1", 1).status


@then("every request is served by the target that holds its key")
def check_done_by_holder(context) -> None:
    """Check that the holder of each key executed the request."""
    for key, response in context.responses:
        assert response.status == 200, (key, response)
        attempt_id = response.get_header("x-attempt-id")
        holder = context.mesh.find_owner(key).holder
        assert any(run.attempt_id == attempt_id for run in holder.runs), (key, response)


@then("every request succeeds")
def check_all_done(context) -> None:
    """Check that all responses have status 200."""
    assert context.responses
    assert {response.status for _, response in context.responses} == {200}


@then("no key was held by two targets")
def check_no_double_owners(context) -> None:
    """Check that the sampler saw no key with two holders."""
    assert not context.mesh.double_owners, context.mesh.double_owners[:3]


@then("its execution is cancelled within {ms:d} ms")
def check_cancelled(context, ms: int) -> None:
    """Check that the target lost the connection while it executed the request."""
    mesh = context.mesh

    def is_cancelled() -> bool:
        return any(
            context.attempt_id in place.holder.interrupted for place in mesh.places
        )

    mesh.wait_until(is_cancelled, ms / 1000)


@then("the response status is {status:d}")
def check_status(context, status: int) -> None:
    """Check the status of the response."""
    assert context.status == status, context.status


@when(
    "a request that crashes its target is sent to each node in turn for {seconds:d} s"
)
def send_crashing_request(context, seconds: int) -> None:
    """Send the same request to the nodes in turn."""
    mesh = context.mesh
    context.statuses = []
    end_ns = mesh.clock.now_ns() + seconds * NS_PER_S
    node_ids = itertools.cycle(mesh.nodes)
    while mesh.clock.now_ns() < end_ns:
        response = mesh.call(next(node_ids), CRASH_PATH, CRASH_KEY, remaining_ms=800)
        context.statuses.append(response.status)
        gevent.sleep(0.05)


@then("the targets crashed {count:d} times")
def check_crashes(context, count: int) -> None:
    """Check the number of crashes of all targets together."""
    crashes = [place.holder.crashes for place in context.mesh.places]
    assert sum(crashes) == count, (crashes, context.statuses)


@then("it is refused as not run from then on, and other requests for its key succeed")
def check_quarantine(context) -> None:
    """Check the last 3 responses, and another request for the same key."""
    assert set(context.statuses[-3:]) == {503}, context.statuses
    for name in context.mesh.nodes:
        response = context.mesh.call(name, "/read/1", CRASH_KEY)
        assert response.status == 200, response


@when("all responses of the unkeyed targets are lost and {count:d} requests arrive")
def lose_responses(context, count: int) -> None:
    """Send reads whose responses get lost."""
    mesh = context.mesh
    holders = [place.holder for place in mesh.places if not place.holder.keyed]
    for holder in holders:
        holder.lost_response_share = 1.0
    name = next(iter(mesh.nodes))
    context.statuses = [mesh.call(name, f"/list/{n}").status for n in range(count)]
    attempt_ids = (run.attempt_id for holder in holders for run in holder.runs)
    context.execution_counts = Counter(attempt_ids)


@then("no request was executed more than {max_count:d} times")
def check_execution_counts(context, max_count: int) -> None:
    """Check how often each attempt id was executed."""
    assert max(context.execution_counts.values()) <= max_count, context.execution_counts


@then("at least one was executed {count:d} times, and none was reported as not run")
def check_retried(context, count: int) -> None:
    """Check that retries were made at all, and the statuses of the responses."""
    assert count in context.execution_counts.values(), context.execution_counts
    assert set(context.statuses) <= {502, 504}, context.statuses
