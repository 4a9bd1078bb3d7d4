"""Steps for targets that set a limit, or announce that they leave, in their answers."""

import gevent
import msgspec
from behave import given, then, when

from features.support.mesh_builders import (
    OTHER_SERVICE,
    SERVICE,
    create_document,
    create_member,
    create_row,
    create_settings,
)
from features.support.mesh_harness import SAMPLED_KEYS, Place
from features.support.offers import OfferedLoad, offer_requests
from features.support.senders import RequestingNodes
from knapweedrock.clock import NS_PER_MS, NS_PER_S, create_clock
from knapweedrock.emulator.addresses import create_address
from knapweedrock.mesh.coordinator import restore_known_target
from knapweedrock.mesh.http import Request
from knapweedrock.mesh.messages import (
    Board,
    Forwarded,
    PublishConfiguration,
    TargetNotice,
)
from knapweedrock.mesh.node import Node
from knapweedrock.platform.headers import SHARD_KEY

WINDOW_S = 4
ONE_KEY = SAMPLED_KEYS[5]
# Time between two successive limits of a target.
LIMIT_INTERVAL_MS = 1500
RESTART_DELAY_S = 0.2


def list_arrivals_ns(context) -> list[int]:
    """List the arrival times of requests at the target."""
    return [arrival.at_ns for arrival in context.place.holder.arrivals]


def find_unkeyed_place(context) -> Place:
    """Return the last of the targets without keys."""
    return next(p for p in context.mesh.places[::-1] if not p.holder.keyed)


def start_load(
    context, place: Place, rate: int, ms: int, keys: list[int | None]
) -> None:
    """Start to send requests to all nodes in turn."""
    context.place = place
    context.offer = OfferedLoad(context.mesh)
    context.task = gevent.spawn(offer_requests, context.offer, rate, ms, keys)


def set_limit(context, limit: int, after_ms: int) -> None:
    """Set a limit of the target after a delay."""
    gevent.sleep(after_ms / 1000)
    context.place.holder.limits = (str(limit),)
    context.changed_ns = context.mesh.clock.now_ns()


def begin_leaving(context, after_ms: int) -> None:
    """Let the target announce in its answers that it leaves, after a delay."""
    gevent.sleep(after_ms / 1000)
    context.place.holder.leaving = True
    context.changed_ns = context.mesh.clock.now_ns()


def restart_node(context, after_ms: int) -> None:
    """Kill the target's node and restart it."""
    gevent.sleep(after_ms / 1000)
    context.mesh.kill_node(context.place.settings.node_id)
    gevent.sleep(RESTART_DELAY_S)
    context.mesh.start_node(context.place)


@when(
    "the unkeyed service gets {rate:d} requests per second for {ms:d} ms and one of its"
    " targets sets a limit of {limit:d} after {after_ms:d} ms"
)
def limit_other(context, rate: int, ms: int, limit: int, after_ms: int) -> None:
    """Send requests without keys, and limit one target."""
    start_load(context, find_unkeyed_place(context), rate, ms, [None])
    set_limit(context, limit, after_ms)
    context.task.get()


@when(
    "the unkeyed service gets {rate:d} requests per second for {ms:d} ms and one of its"
    " targets sets a limit of {first:d} and then {then:d} after {after_ms:d} ms"
)
def lower_other(
    context, rate: int, ms: int, first: int, then: int, after_ms: int
) -> None:
    """Send requests without keys, and limit one target twice."""
    start_load(context, find_unkeyed_place(context), rate, ms, [None])
    set_limit(context, first, after_ms)
    set_limit(context, then, LIMIT_INTERVAL_MS)
    context.task.get()


@when(
    "the unkeyed service gets {rate:d} requests per second for {ms:d} ms, one of its"
    " targets sets a limit of {limit:d} after {after_ms:d} ms and its node restarts"
    " after {restart_ms:d} ms"
)
def limit_and_restart(
    context, rate: int, ms: int, limit: int, after_ms: int, restart_ms: int
) -> None:
    """Send requests without keys, limit one target, and restart its node."""
    start_load(context, find_unkeyed_place(context), rate, ms, [None])
    set_limit(context, limit, after_ms)
    restart_node(context, restart_ms - after_ms)
    context.task.get()


@when(
    "one key gets {rate:d} requests per second for {ms:d} ms and its target sets a"
    " limit of {limit:d} after {after_ms:d} ms"
)
def limit_one_key(context, rate: int, ms: int, limit: int, after_ms: int) -> None:
    """Send requests for one key, and limit the target that holds it."""
    start_load(context, context.mesh.find_owner(ONE_KEY), rate, ms, [ONE_KEY])
    set_limit(context, limit, after_ms)
    context.task.get()


@when(
    "{count:d} keys get {rate:d} requests per second for {ms:d} ms and one target sets"
    " a limit of {limit:d} after {after_ms:d} ms"
)
def limit_keys(
    context, count: int, rate: int, ms: int, limit: int, after_ms: int
) -> None:
    """Send requests for evenly spaced keys, and limit one target."""
    step = len(SAMPLED_KEYS) * (SAMPLED_KEYS[1] - SAMPLED_KEYS[0]) // count
    keys = [number * step for number in range(count)]
    start_load(context, context.mesh.places[0], rate, ms, keys)
    set_limit(context, limit, after_ms)
    context.task.get()


@when("it removes its limit and as many requests are sent for {ms:d} ms")
def end_limit(context, ms: int) -> None:
    """Remove the target's limit, and send requests at the same rate."""
    context.place.holder.limits = ()
    offer_requests(context.offer, 100, ms, [None])


@when(
    "the unkeyed service gets {rate:d} requests per second for {ms:d} ms and one of its"
    " targets announces in its answers that it leaves after {after_ms:d} ms"
)
def leave_other(context, rate: int, ms: int, after_ms: int) -> None:
    """Send requests without keys, and let one target leave."""
    start_load(context, find_unkeyed_place(context), rate, ms, [None])
    begin_leaving(context, after_ms)
    context.task.get()


@when(
    "one key gets {rate:d} requests per second for {ms:d} ms and its target announces"
    " in its answers that it leaves after {after_ms:d} ms"
)
def leave_one_key(context, rate: int, ms: int, after_ms: int) -> None:
    """Send requests for one key, and let the target that holds it leave."""
    start_load(context, context.mesh.find_owner(ONE_KEY), rate, ms, [ONE_KEY])
    begin_leaving(context, after_ms)
    context.task.get()


@when(
    "the unkeyed service gets {rate:d} requests per second for {ms:d} ms, one of its"
    " targets announces in its answers that it leaves after {after_ms:d} ms and its"
    " node restarts after {restart_ms:d} ms"
)
def leave_and_restart(
    context, rate: int, ms: int, after_ms: int, restart_ms: int
) -> None:
    """Send requests without keys, let one target leave, and restart its node."""
    start_load(context, find_unkeyed_place(context), rate, ms, [None])
    begin_leaving(context, after_ms)
    restart_node(context, restart_ms - after_ms)
    context.task.get()


@given("a member whose target is leaving")
def create_leaving_member(context) -> None:
    """Create the coordinator's record of a draining member."""
    context.known = create_member("n0", state="draining")


@when("its node restarts and reports the same target as ready")
def report_ready(context) -> None:
    """Report like a new process that has received only a heartbeat."""
    reported = create_member("n0", process="later")
    context.member = restore_known_target(reported, context.known)


@then("the coordinator still considers the target as leaving")
def check_still_leaving(context) -> None:
    """Check the member's state after the report."""
    assert context.member.state == "draining", context.member


@given("a node that has forwarded an answer of a leaving target")
def create_informed_node(context) -> None:
    """Create a node that has forwarded answers of two leaving targets."""
    settings = create_settings(0, create_address(), create_address())
    context.node = Node(settings, create_clock())
    document = msgspec.json.encode(create_document())
    context.node.config_watcher.handle_push(PublishConfiguration(1, document, [], 1))
    context.members = {
        "n1": create_member("n1"),
        "n2": create_member("n2", service=OTHER_SERVICE),
    }
    context.sent = []
    context.leaving = True

    def respond(_peer: str, message, *_rest, **_options) -> Forwarded:
        target = next(
            m.target for m in context.members.values() if m.service == message.service
        )
        context.sent.append(target)
        notice = TargetNotice(target, True, 0.0) if context.leaving else None
        return Forwarded(0, 200, [], b"", "", 0.0, 0.0, notice)

    context.node.links.request = respond
    apply_board(context, 1)
    request_both(context)
    assert len(context.sent) == 2, context.sent


@when("the mesh still reports the target as ready")
def apply_unchanged_board(context) -> None:
    """Apply a later board without changes, and send requests again."""
    context.sent.clear()
    apply_board(context, 2)
    request_both(context)


@then("no request is sent to it, with or without a key")
def check_not_sent(context) -> None:
    """Check that neither target was sent a request."""
    assert not context.sent, context.sent


@then("its next incarnation gets requests")
def check_next_incarnation(context) -> None:
    """Apply a board with later incarnations of both targets, and send requests."""
    context.members = {
        name: member._replace(target=f"{name}@2")
        for name, member in context.members.items()
    }
    apply_board(context, 3)
    request_both(context)
    assert len(context.sent) == 2, context.sent


def apply_board(context, version: int) -> None:
    """Apply a board on which one target owns all keys."""
    owner = context.members["n1"]
    row = create_row(0, SAMPLED_KEYS[-1], owner.node_id)._replace(target=owner.target)
    board = Board(1, version, "n1:1", dict(context.members), {SERVICE: [row]})
    context.node.accept_board(board)


def request_both(context) -> None:
    """Send one request with a key and one without."""
    for path, fields in (("/read/1", {SHARD_KEY: "1"}), ("/list/1", {})):
        fields = {"host": "mesh.example", "x-timeout-remaining": "300", **fields}
        request = Request("GET", path, list(fields.items()), fields, b"", True)
        context.node.router.serve(request, "")


@given(
    "{nodes:d} nodes that choose between two targets, one with a limit of {limit:d}"
    " per second"
)
def create_senders(context, nodes: int, limit: int) -> None:
    """Create the nodes."""
    context.senders = RequestingNodes(nodes, float(limit))


@when("each of them sends {rate:d} requests per second for {seconds:d} s")
def send_all(context, rate: int, seconds: int) -> None:
    """Run the nodes at this rate."""
    context.senders.run(rate, seconds)


@then(
    "the limited target was sent at most {max_rate:d} requests per second in the last"
    " {seconds:d} s"
)
def check_max_rate(context, max_rate: int, seconds: int) -> None:
    """Check how many requests were sent to the limited target."""
    context.sent_rate = context.senders.compute_request_rate(seconds)
    assert context.sent_rate <= max_rate, context.sent_rate


@then("no gap between its requests was longer than {ms:d} ms")
def check_gap(context, ms: int) -> None:
    """Check the longest time in which no node sent the limited target a request."""
    gap_ms = context.senders.compute_longest_gap_ms()
    assert gap_ms <= ms, gap_ms


@then("it was sent at least {min_rate:d} requests per second")
def check_min_rate(context, min_rate: int) -> None:
    """Check that the limit is used."""
    assert context.sent_rate >= min_rate, context.sent_rate


@then("from {ms:d} ms later the target got at most {max_count:d} requests in any 4 s")
def check_busiest_window(context, ms: int, max_count: int) -> None:
    """Check each window of 4 s that ends at least `ms` after the limit was set.

    A window begins with an arrival, no earlier than half a second after the limit was
    set.
    """
    first_ns = context.changed_ns + (ms - WINDOW_S * 1000) * NS_PER_MS
    known_ns = max(first_ns, context.changed_ns + 500 * NS_PER_MS)
    times = [t for t in list_arrivals_ns(context) if t >= known_ns]
    counts = [
        sum(1 for t in times if start <= t < start + WINDOW_S * NS_PER_S)
        for start in times
    ]
    assert context.mesh.clock.now_ns() > context.changed_ns + ms * NS_PER_MS
    assert max(counts, default=0) <= max_count, max(counts)


@then("it got at least {min_count:d} requests in the last {seconds:d} s")
def check_used(context, min_count: int, seconds: int) -> None:
    """Check that the target's limit is used."""
    from_ns = context.offer.ended_ns - seconds * NS_PER_S
    count = sum(1 for t in list_arrivals_ns(context) if t >= from_ns)
    assert count >= min_count, count


@then("every request was served")
def check_all_served(context) -> None:
    """Check that no request was refused or lost."""
    failed = [r for r in context.offer.results if r.status != 200]
    assert context.offer.results
    assert not failed, (len(failed), len(context.offer.results), failed[:3])


@then("every request of the last {ms:d} ms was served")
def check_last_served(context, ms: int) -> None:
    """Check that no request of the last part was refused or lost."""
    last = context.offer.list_recent(ms)
    assert last and {r.status for r in last} == {200}, last


@then("at least {percent:d} percent of the requests of the last {ms:d} ms were served")
def check_share_served(context, percent: int, ms: int) -> None:
    """Check the share of the last requests that were served."""
    last = context.offer.list_recent(ms)
    served = sum(1 for r in last if r.status == 200)
    assert served * 100 >= percent * len(last), (served, len(last))


@then(
    "every refusal came within {ms:d} ms with a retry time, and no refused request was"
    " executed"
)
def check_refusals(context, ms: int) -> None:
    """Check the refusals against the requests that the targets ran."""
    refused = [r for r in context.offer.results if r.status != 200]
    ran = {run.attempt_id for p in context.mesh.places for run in p.holder.runs}
    assert refused, "no request was refused"
    wrong = [
        r
        for r in refused
        if r.status != 503
        or r.elapsed_ms > ms
        or not r.retry_after
        or r.attempt_id in ran
    ]
    assert not wrong, (len(wrong), len(refused), wrong[:3])


@then("it got no requests later than {ms:d} ms after that")
def check_nothing_after(context, ms: int) -> None:
    """Check that no request arrived at the target after the time limit."""
    limit_ns = context.changed_ns + ms * NS_PER_MS
    late = [t for t in list_arrivals_ns(context) if t > limit_ns]
    assert context.mesh.clock.now_ns() > limit_ns
    assert not late, len(late)
