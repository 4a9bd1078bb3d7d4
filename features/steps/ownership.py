"""Steps about ownership on a mesh of real processes, checked by its history."""

import random
from collections import Counter

import gevent
from behave import given, step, then, when

from features.support.builders import create_layout
from features.support.calls import Request
from features.support.mesh import start_mesh
from features.support.owners import (
    SERVICE,
    create_callers,
    is_balanced,
    is_covered,
    list_running_names,
    read_ranges,
)
from features.support.processes import wait_for
from knapweedrock.codes import Outcome
from knapweedrock.history import check_all, find_longest_gap, find_owner, measure_gaps
from knapweedrock.nodes.view import hash_key

OFFER_RATE = 60
ORDER_SHARE = 0.3
READ_RATE = 250
DEADLINE_MS = 800
SETTLE_S = 1.0


@given("a mesh of {count:d} {fencing} targets in {zones:d} zones")
def start_balanced(context, count, fencing, zones):
    """Start a whole mesh and wait until it serves."""
    names = tuple(f"zone-{letter}" for letter in "abcd"[:zones])
    layout = create_layout({SERVICE: count}, names, fenced=fencing == "fenced")
    start_mesh(context, layout)
    wait_for(lambda: is_balanced(context.mesh), 30, "the ranges are balanced")
    context.random = random.Random(0)
    context.before = read_ranges(context.mesh)
    context.lost = set()


@given("each target takes {work_ms:d} ms for a request")
def slow_targets(context, work_ms):
    """Let requests be in flight when something is lost."""
    for name in context.mesh.vms:
        context.mesh.change_target(name, work_ms=work_ms)


@given(
    "callers offer reads and orders on {keys:d} keys for {seconds:d} s "
    "with seed {seed:d}"
)
def offer_mixed(context, keys, seconds, seed):
    """Offer a mixed load in the background."""
    start_callers(context, keys, seconds, seed, OFFER_RATE, ORDER_SHARE)


@given("callers offer reads on {keys:d} keys for {seconds:d} s with seed {seed:d}")
def offer_reads(context, keys, seconds, seed):
    """Offer reads in the background, each key several times a second."""
    start_callers(context, keys, seconds, seed, READ_RATE, 0.0)


def start_callers(context, keys, seconds, seed, rate, order_share) -> None:
    """Start callers at all nodes and note the seed."""
    print(f"seed {seed}")
    context.random = random.Random(seed)
    create_callers(context, seed)
    names = [f"key-{index}" for index in range(keys)]
    context.keys = names
    context.callers.start_offer(names, SERVICE, rate, seconds, order_share, DEADLINE_MS)
    gevent.sleep(SETTLE_S)


@when("a caller asks for {count:d} keys at the node that does not own them")
def ask_elsewhere(context, count):
    """Send each key's request to a node that is not its owner."""
    mesh = context.mesh
    create_callers(context)
    names = list_running_names(mesh)
    for index in range(count):
        key = f"key-{index}"
        owner = mesh.find_owner(SERVICE, key)
        assert owner in names, owner
        other = next(name for name in names if name != owner)
        context.callers.send(Request(SERVICE, key), other)


@then("each answer is the owner's whole answer to its own request")
def check_own_answers(context):
    """Check status, identity and the target that ran each request."""
    runs = {run.tag: run for run in context.mesh.fetch_all_executions()}
    for answered in context.callers.history:
        assert answered.status == 200 and answered.own_answer, answered
        owner = context.mesh.find_owner(SERVICE, answered.key)
        assert runs[answered.tag].target == owner != answered.node, answered


@then("within {seconds:d} s every key is served by a living owner")
def check_covered(context, seconds):
    """Wait for a full table, then ask for every key."""
    wait_for(lambda: is_covered(context.mesh), seconds, "every range is owned")
    for key in context.keys:
        wait_for(lambda key=key: is_served(context, key), seconds, f"{key} is served")


def is_served(context, key: str) -> bool:
    """Tell whether a read of the key is answered."""
    node = context.random.choice(context.mesh.list_running()).spec.node_id
    return context.callers.send(Request(SERVICE, key), node).status == 200


@then("no range of a living owner changed hands by the loss of others")
def check_kept(context):
    """Check that ranges moved only from the lost."""
    after = {entry["start"]: entry["owner"] for entry in read_ranges(context.mesh)}
    kept = [r for r in context.at_loss if r["owner"] not in context.lost]
    moved = [r for r in kept if after[r["start"]] != r["owner"]]
    assert kept, "no living owner had a range"
    assert not moved, moved[:3]


@then("tokens never went back in the platform")
def check_tokens(context):
    """Check that each range's token is at least the one before."""
    after = read_ranges(context.mesh)
    assert after, "the platform holds no ranges"
    for entry in after:
        assert entry["token"] >= context.tokens[entry["start"]], entry


@then("no key went longer than {limit:d} ms without an answer")
def check_gaps(context, limit):
    """Check the longest gap over all keys."""
    context.callers.wait()
    gap = find_longest_gap(context.callers.history)
    print(f"longest gap {gap}")
    assert gap.longest_ms <= limit, (gap, describe_answers(context))


@then("the keys of living owners never went longer than {limit:d} ms")
def check_living_gaps(context, limit):
    """Check the keys whose owner was not lost."""
    former = {key: find_owner(context.at_loss, hash_key(key)) for key in context.keys}
    kept = [key for key, owner in former.items() if owner not in context.lost]
    assert kept, "every key was the lost owners'"
    gaps = measure_gaps(context.callers.history)
    for key in kept:
        assert gaps[key].longest_ms <= limit, (gaps[key], former[key])


def describe_answers(context) -> dict[int, int]:
    """Count the answers by code."""
    return dict(Counter(found.code for found in context.callers.history))


@step("the history of all calls keeps every promise")
def check_history(context):
    """Check callers' history against the logs of all targets."""
    context.callers.wait()
    violations = check_all(context.callers.history, context.mesh.fetch_all_executions())
    print(f"answers by code {describe_answers(context)}")
    assert not violations, violations[:5]


@then("at least {changes:d} owners changed and {done:d} requests were done")
def check_happened(context, changes, done):
    """Check that the run was no empty one."""
    before = {entry["start"]: entry["token"] for entry in context.before}
    after = read_ranges(context.mesh)
    changed = sum(1 for entry in after if before.get(entry["start"]) != entry["token"])
    assert changed >= changes, changed
    finished = [c for c in context.callers.history if c.outcome == Outcome.DONE.value]
    assert len(finished) >= done, (len(finished), describe_answers(context))
