"""Steps about targets that name a limit, or leave, by their answers."""

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
from knapweedrock.platform.headers import KEY

WINDOW_S = 4
ONE_KEY = SAMPLED_KEYS[5]
# Time between two limits that a target names one after the other.
LIMIT_INTERVAL_MS = 1500
RESTART_DELAY_S = 0.2


def list_arrivals_ns(context) -> list[int]:
    """List when requests came to the target."""
    return [arrival.at_ns for arrival in context.place.holder.arrivals]


def find_unkeyed_place(context) -> Place:
    """Return the last of the targets without keys."""
    return next(p for p in context.mesh.places[::-1] if not p.holder.keyed)


def start_load(
    context, place: Place, rate: int, ms: int, keys: list[int | None]
) -> None:
    """Begin to offer requests to all nodes in turn."""
    context.place = place
    context.offer = OfferedLoad(context.mesh)
    context.task = gevent.spawn(offer_requests, context.offer, rate, ms, keys)


def set_limit(context, limit: int, after_ms: int) -> None:
    """Let the target name a limit from some time on."""
    gevent.sleep(after_ms / 1000)
    context.place.holder.limits = (str(limit),)
    context.named_ns = context.mesh.clock.now_ns()


def begin_leaving(context, after_ms: int) -> None:
    """Let the target say in its answers that it leaves, from some time on."""
    gevent.sleep(after_ms / 1000)
    context.place.holder.leaving = True
    context.named_ns = context.mesh.clock.now_ns()


def restart_node(context, after_ms: int) -> None:
    """Kill the node beside the target, and start it again."""
    gevent.sleep(after_ms / 1000)
    context.mesh.kill_node(context.place.settings.node_id)
    gevent.sleep(RESTART_DELAY_S)
    context.mesh.start_node(context.place)


@when(
    "the other service gets {rate:d} requests a second for {ms:d} ms"
    " and one of its targets names a limit of {limit:d} after {after_ms:d} ms"
)
def limit_other(context, rate: int, ms: int, limit: int, after_ms: int) -> None:
    """Offer requests without keys, and limit one target."""
    start_load(context, find_unkeyed_place(context), rate, ms, [None])
    set_limit(context, limit, after_ms)
    context.task.get()


@when(
    "the other service gets {rate:d} requests a second for {ms:d} ms and one of its"
    " targets names a limit of {first:d} and then {then:d} after {after_ms:d} ms"
)
def lower_other(
    context, rate: int, ms: int, first: int, then: int, after_ms: int
) -> None:
    """Offer requests without keys, and limit one target twice."""
    start_load(context, find_unkeyed_place(context), rate, ms, [None])
    set_limit(context, first, after_ms)
    set_limit(context, then, LIMIT_INTERVAL_MS)
    context.task.get()


@when(
    "the other service gets {rate:d} requests a second for {ms:d} ms, one of its"
    " targets names a limit of {limit:d} after {after_ms:d} ms and its node restarts"
    " after {restart_ms:d} ms"
)
def limit_and_restart(
    context, rate: int, ms: int, limit: int, after_ms: int, restart_ms: int
) -> None:
    """Limit one target, and restart the node beside it."""
    start_load(context, find_unkeyed_place(context), rate, ms, [None])
    set_limit(context, limit, after_ms)
    restart_node(context, restart_ms - after_ms)
    context.task.get()


@when(
    "one key gets {rate:d} requests a second for {ms:d} ms"
    " and its target names a limit of {limit:d} after {after_ms:d} ms"
)
def limit_one_key(context, rate: int, ms: int, limit: int, after_ms: int) -> None:
    """Offer requests for one key, and limit the target that holds it."""
    start_load(context, context.mesh.find_owner(ONE_KEY), rate, ms, [ONE_KEY])
    set_limit(context, limit, after_ms)
    context.task.get()


@when(
    "{count:d} keys get {rate:d} requests a second for {ms:d} ms"
    " and one target names a limit of {limit:d} after {after_ms:d} ms"
)
def limit_keys(
    context, count: int, rate: int, ms: int, limit: int, after_ms: int
) -> None:
    """Offer requests for keys that lie apart, and limit one target."""
    step = len(SAMPLED_KEYS) * (SAMPLED_KEYS[1] - SAMPLED_KEYS[0]) // count
    keys = [number * step for number in range(count)]
    start_load(context, context.mesh.places[0], rate, ms, keys)
    set_limit(context, limit, after_ms)
    context.task.get()


@when("it names no limit any more and as many come for {ms:d} ms")
def end_limit(context, ms: int) -> None:
    """Let the target name no limit, and offer requests at the same rate."""
    context.place.holder.limits = ()
    offer_requests(context.offer, 100, ms, [None])


@when(
    "the other service gets {rate:d} requests a second for {ms:d} ms"
    " and one of its targets leaves by its answers after {after_ms:d} ms"
)
def leave_other(context, rate: int, ms: int, after_ms: int) -> None:
    """Offer requests without keys, and let one target leave."""
    start_load(context, find_unkeyed_place(context), rate, ms, [None])
    begin_leaving(context, after_ms)
    context.task.get()


@when(
    "one key gets {rate:d} requests a second for {ms:d} ms"
    " and its target leaves by its answers after {after_ms:d} ms"
)
def leave_one_key(context, rate: int, ms: int, after_ms: int) -> None:
    """Offer requests for one key, and let the target that holds it leave."""
    start_load(context, context.mesh.find_owner(ONE_KEY), rate, ms, [ONE_KEY])
    begin_leaving(context, after_ms)
    context.task.get()


@when(
    "the other service gets {rate:d} requests a second for {ms:d} ms, one of its"
    " targets leaves by its answers after {after_ms:d} ms and its node restarts after"
    " {restart_ms:d} ms"
)
def leave_and_restart(
    context, rate: int, ms: int, after_ms: int, restart_ms: int
) -> None:
    """Let one target leave, and restart the node beside it."""
    start_load(context, find_unkeyed_place(context), rate, ms, [None])
    begin_leaving(context, after_ms)
    restart_node(context, restart_ms - after_ms)
    context.task.get()


@given("a member whose target leaves")
def create_leaving_member(context) -> None:
    """Create what the coordinator knows of a member."""
    context.known = create_member("n0", state="draining")


@when("its node starts again and reports the same target as ready")
def report_ready(context) -> None:
    """Report as a process that has heard a heartbeat, and nothing else."""
    reported = create_member("n0", process="later")
    context.member = restore_known_target(reported, context.known)


@then("the coordinator still takes the target as leaving")
def check_still_leaving(context) -> None:
    """Check what the coordinator makes of the report."""
    assert context.member.state == "draining", context.member


@given("a node that has passed on an answer of a target that leaves")
def create_informed_node(context) -> None:
    """Create a node that has had an answer of each of two targets, both leaving."""
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

    def answer(_peer: str, message, *_rest, **_options) -> Forwarded:
        target = next(
            m.target for m in context.members.values() if m.service == message.service
        )
        context.sent.append(target)
        notice = TargetNotice(target, True, 0.0) if context.leaving else None
        return Forwarded(0, 200, [], b"", "", 0.0, 0.0, notice)

    context.node.links.request = answer
    show_board(context, 1)
    request_both(context)
    assert len(context.sent) == 2, context.sent


@when("the mesh still says that the target is ready")
def show_ready(context) -> None:
    """Show a later board on which nothing has changed."""
    context.sent.clear()
    show_board(context, 2)
    request_both(context)


@then("no request is sent to it, with a key or without")
def check_not_sent(context) -> None:
    """Check that neither target was asked."""
    assert not context.sent, context.sent


@then("its next start gets requests")
def check_next_incarnation(context) -> None:
    """Show later starts of both targets, and ask them."""
    context.members = {
        name: member._replace(target=f"{name}@2")
        for name, member in context.members.items()
    }
    show_board(context, 3)
    request_both(context)
    assert len(context.sent) == 2, context.sent


def show_board(context, version: int) -> None:
    """Show the node a board on which one target owns all keys."""
    owner = context.members["n1"]
    row = create_row(0, SAMPLED_KEYS[-1], owner.node_id)._replace(target=owner.target)
    board = Board(1, version, "n1:1", dict(context.members), {SERVICE: [row]})
    context.node.accept_board(board)


def request_both(context) -> None:
    """Let a caller ask for a key, and for something without one."""
    for path, fields in (("/read/1", {KEY: "1"}), ("/list/1", {})):
        fields = {"host": "mesh.example", "x-timeout-remaining": "300", **fields}
        request = Request("GET", path, list(fields.items()), fields, b"", True)
        context.node.router.serve(request, "")


@given("{nodes:d} nodes that choose between two targets, one with a limit of {limit:d}")
def create_crowd(context, nodes: int, limit: int) -> None:
    """Create the nodes."""
    context.crowd = RequestingNodes(nodes, float(limit))


@when("each of them sends {rate:d} requests a second for {seconds:d} s")
def send_all(context, rate: int, seconds: int) -> None:
    """Let time pass."""
    context.crowd.run(rate, seconds)


@then(
    "the limited target was asked for at most {most:d} requests a second"
    " in the last {seconds:d} s"
)
def check_max_rate(context, most: int, seconds: int) -> None:
    """Check how many requests came to the node beside it."""
    context.asked = context.crowd.compute_request_rate(seconds)
    assert context.asked <= most, context.asked


@then("it was never left alone for longer than {ms:d} ms")
def check_gap(context, ms: int) -> None:
    """Check the longest time in which no node asked the limited target."""
    gap_ms = context.crowd.compute_longest_gap_ms()
    assert gap_ms <= ms, gap_ms


@then("for at least {least:d}")
def check_min_rate(context, least: int) -> None:
    """Check that its limit is used."""
    assert context.asked >= least, context.asked


@then("from {ms:d} ms after that the target got at most {most:d} in any 4 s")
def check_busiest_window(context, ms: int, most: int) -> None:
    """Check each window of 4 s that begins with an arrival, or at the first moment.

    A window may reach back before that moment, as far as the limit was known for half
    a second.
    """
    first_ns = context.named_ns + (ms - WINDOW_S * 1000) * NS_PER_MS
    known_ns = max(first_ns, context.named_ns + 500 * NS_PER_MS)
    times = [t for t in list_arrivals_ns(context) if t >= known_ns]
    counts = [
        sum(1 for t in times if start <= t < start + WINDOW_S * NS_PER_S)
        for start in times
    ]
    assert context.mesh.clock.now_ns() > context.named_ns + ms * NS_PER_MS
    assert max(counts, default=0) <= most, max(counts)


@then("it got at least {least:d} in the last {seconds:d} s")
def check_used(context, least: int, seconds: int) -> None:
    """Check that the target's share is used."""
    from_ns = context.offer.ended_ns - seconds * NS_PER_S
    got = sum(1 for t in list_arrivals_ns(context) if t >= from_ns)
    assert got >= least, got


@then("every request was served")
def check_all_served(context) -> None:
    """Check that no request was refused or lost."""
    failed = [r for r in context.offer.results if r.status != 200]
    assert context.offer.results
    assert not failed, (len(failed), len(context.offer.results), failed[:3])


@then("every request of the last {ms:d} ms was served")
def check_last_served(context, ms: int) -> None:
    """Check that no late request was refused or lost."""
    last = context.offer.list_recent(ms)
    assert last and {r.status for r in last} == {200}, last


@then("at least {percent:d} percent of the last {ms:d} ms were served")
def check_share_served(context, percent: int, ms: int) -> None:
    """Check the share of late requests that were served."""
    last = context.offer.list_recent(ms)
    served = sum(1 for r in last if r.status == 200)
    assert served * 100 >= percent * len(last), (served, len(last))


@then("every refusal came within {ms:d} ms, was not run and says when to come back")
def check_refusals(context, ms: int) -> None:
    """Check the refusals against what the targets ran."""
    refused = [r for r in context.offer.results if r.status != 200]
    ran = {run.attempt_id for p in context.mesh.places for run in p.holder.runs}
    assert refused, "nothing was refused"
    wrong = [
        r
        for r in refused
        if r.status != 503
        or r.elapsed_ms > ms
        or not r.retry_after
        or r.attempt_id in ran
    ]
    assert not wrong, (len(wrong), len(refused), wrong[:3])


@then("it got nothing later than {ms:d} ms after that")
def check_nothing_after(context, ms: int) -> None:
    """Check when the last request came to the target."""
    limit_ns = context.named_ns + ms * NS_PER_MS
    late = [t for t in list_arrivals_ns(context) if t > limit_ns]
    assert context.mesh.clock.now_ns() > limit_ns
    assert not late, len(late)
