"""Steps about the choice of targets, with fakes that have latencies of their own."""

import json
import operator
import random
import time
from collections import Counter
from types import SimpleNamespace

import gevent
from behave import given, then, when

from features.support.builders import create_zone
from features.support.caller_builders import (
    build_caller_request,
    build_configuration,
    build_member,
    build_view,
)
from features.support.choices import register_choices
from features.support.fakes import FakeNodes, create_fake_environment, echo, refuse
from features.support.patches import patch
from features.support.tasks import finish_all
from knapweedrock.callers import spreading
from knapweedrock.callers.spreading import create_spreader
from knapweedrock.codes import INFO, Code, Outcome
from knapweedrock.errors import LinkError
from knapweedrock.nodes.messages import Deliver, Delivered

SEED = 20261203
REFUSING = {
    "target 1 refuses": slice(1),
    "every target refuses": slice(None),
    "all other targets refuse": slice(1, None),
}
STATES = {
    "leaving": {"state": "leaving"},
    "cold": {"cold": True},
    "in a zone out": {"zone": "zone-b"},
}
BOUNDS = {"at most": operator.le, "at least": operator.ge}
SLOWED = "node-1"
MS_PER_S = 1000

register_choices("Refusing", REFUSING)
register_choices("State", STATES)
register_choices("Bound", BOUNDS)


class Targets:
    """Targets with a mean latency, of which some may be slow, erratic or refuse."""

    def __init__(self, mean_ms: float) -> None:
        self.mean_ms = mean_ms
        self.slow_factor = 1.0
        self.erratic_every = 0
        self.running = 0
        self.refusing: dict[str, Code] = {}
        self.silent: set[str] = set()
        self.asked: Counter = Counter()
        self.order: list[str] = []
        self.ran: Counter = Counter()
        self.cancelled = 0
        self.random = random.Random(SEED)

    def serve(self, node_id: str, message: Deliver) -> Delivered:
        """Answer as the target of a node."""
        self.asked[node_id] += 1
        self.order.append(node_id)
        if node_id in self.refusing:
            return refuse(self.refusing[node_id], 100)
        self.ran[message.path] += 1
        self.running += 1
        try:
            if node_id in self.silent:
                gevent.sleep(0.7)
                raise LinkError(Code.PEER_LOST)
            gevent.sleep(self.draw_ms(node_id) / MS_PER_S)
        except gevent.GreenletExit:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
        return echo(message)

    def draw_ms(self, node_id: str) -> float:
        """Draw the latency of one request."""
        if self.erratic_every and self.asked[node_id] % self.erratic_every == 0:
            return 200
        factor = self.slow_factor if node_id == SLOWED else 1
        return self.random.uniform(0.5, 1.5) * self.mean_ms * factor


@given(
    "{count:d} targets that answer in about {mean_ms:d} ms, policy {policy}, "
    "copies {copies}"
)
def start_targets(context, count, mean_ms, policy, copies):
    """Create the spreader of a node whose peers are fakes."""
    random.seed(SEED)
    context.nodes = FakeNodes()
    context.env = create_fake_environment(
        context.nodes, choice_policy=policy, copies_enabled=copies == "on"
    )
    context.env.configuration.replace(1, build_configuration())
    context.targets = Targets(mean_ms)
    context.members = [build_member(i + 1, "catalogue") for i in range(count)]
    for member in context.members:
        name = member["node_id"]
        context.nodes.behaviours[name] = lambda message, name=name: (
            context.targets.serve(name, message)
        )
    context.env.views.replace(build_view(context.members))
    context.spreader = create_spreader(context.env)
    context.results = []


@given("every request in {every:d} of each target takes 200 ms")
def make_erratic(context, every):
    """Make all targets erratic."""
    context.targets.erratic_every = every


@given("second copies are sent after the median")
def copy_early(context):
    """Send copies of about half of the requests, if the budget allows."""
    patch(context, spreading, COPY_QUANTILE=0.5, COPY_MEDIANS=1.0)


@given("{which:Refusing} everything with {name}")
def make_refusing(context, which, name):
    """Make some targets refuse."""
    members = context.members[which]
    context.targets.refusing = {m["node_id"]: Code[name] for m in members}


@given("target 1 is silent for 700 ms and is then lost")
def make_silent(context):
    """Make one target silent."""
    context.targets.silent = {SLOWED}


@given("target 1 is {changes:State}")
def change_first(context, changes):
    """Change the first member in the view, and take a zone out for it."""
    value = build_configuration()
    value["zones"] = {"zone-b": create_zone("zone-b", state="out")}
    context.env.configuration.replace(2, value)
    members = [{**context.members[0], **changes}, *context.members[1:]]
    context.env.views.replace(build_view(members, 2))


def offer(context, rate: int, duration_s: int, **changes) -> None:
    """Offer requests at a rate, whether or not earlier ones have ended."""

    def call(number: int) -> None:
        request = build_caller_request(context.env, "catalogue", number, **changes)
        start = time.monotonic()
        routed = context.spreader.spread(request)
        taken_ms = (time.monotonic() - start) * MS_PER_S
        context.results.append((request, routed.delivered, taken_ms))

    context.first = len(context.results)
    start, calls = time.monotonic(), []
    for index in range(rate * duration_s):
        gevent.sleep(max(0, start + index / rate - time.monotonic()))
        calls.append(gevent.spawn(call, context.first + index))
    finish_all(calls, 10)
    context.taken_ms = [taken for _, _, taken in context.results[context.first :]]


def count_copies(context) -> int:
    """Count the second copies so far."""
    return context.env.counters.total("caller_copies")


@when("{rate:d} requests a second come for {duration_s:d} s")
def offer_calm(context, rate, duration_s):
    """Offer requests while no target is slowed."""
    context.targets.slow_factor = 1.0
    context.targets.order.clear()
    offer(context, rate, duration_s)


@when(
    "{rate:d} requests a second come for {duration_s:d} s while one target is "
    "slowed {factor:d} times"
)
def offer_slowed(context, rate, duration_s, factor):
    """Offer requests while one target is slowed."""
    context.targets.slow_factor = factor
    context.targets.asked.clear()
    offer(context, rate, duration_s)


@given("they are the arm {name}")
def keep_arm(context, name):
    """Keep the targets and their spreader as an arm of a paired trial."""
    if not hasattr(context, "arms"):
        context.arms = {}
    fields = ("env", "targets", "spreader", "results")
    kept = {field: getattr(context, field) for field in fields}
    context.arms[name] = SimpleNamespace(**kept)


@when("one target of the arms {first} and {second} is slowed {factor:d} times")
def slow_arms(context, first, second, factor):
    """Slow one target of two arms."""
    for name in (first, second):
        context.arms[name].targets.slow_factor = factor


@when("{rate:d} requests a second come to each arm for {duration_s:d} s")
def offer_arms(context, rate, duration_s):
    """Offer requests to all arms at once, so that a stall hits all of them."""
    arms = context.arms.values()
    tasks = [gevent.spawn(offer, arm, rate, duration_s) for arm in arms]
    finish_all(tasks)


@when("{rate:d} non-idempotent requests a second come for {duration_s:d} s")
def offer_unsafe(context, rate, duration_s):
    """Offer requests that must not run twice."""
    offer(context, rate, duration_s, idempotent=False, method="POST")


@then("the slowed target got at most {share:d} % of the requests")
def check_share(context, share):
    """Check how many requests the slowed target got."""
    asked = context.targets.asked
    found = 100 * asked[SLOWED] / asked.total()
    print(f"{found:.1f} % of {asked.total()}")
    assert found <= share, asked


@then(
    "the formerly slowed target got at least {share:d} % of the first {first:d} "
    "requests"
)
def check_return(context, share, first):
    """Check that the target is used again."""
    found = 100 * context.targets.order[:first].count(SLOWED) / first
    print(f"{found:.1f} %")
    assert found >= share, found


@then("every answer belongs to its own request")
def check_identity(context):
    """Compare each answer with its request."""
    for request, delivered, _ in context.results:
        assert delivered.code == Code.DONE, delivered
        assert json.loads(delivered.body)["path"] == request.path


@then("at most {share:d} % extra requests were sent")
def check_extra(context, share):
    """Count the copies of all requests so far; the budget may be saved up."""
    found = 100 * count_copies(context) / len(context.results)
    print(f"{found:.1f} % extra")
    assert found <= share, found


@then("copies were sent and every loser was cancelled")
def check_losers(context):
    """Check that no loser ran on, though some may have ended by themselves."""
    copies, cancelled = count_copies(context), context.targets.cancelled
    print(f"{copies} copies, {cancelled} cancelled")
    assert context.targets.running == 0, context.targets.running
    assert 0 < 0.5 * copies <= cancelled <= copies


@then("no request that ran is called not run")
def check_not_run(context):
    """Compare the outcomes with the log of what ran."""
    results = context.results[context.first :]
    ran = [r for r in results if context.targets.ran[r[0].path]]
    assert ran
    for request, delivered, _ in ran:
        outcome = INFO[Code(delivered.code)].outcome
        assert outcome != Outcome.NOT_RUN, (request.path, delivered)


@then("no request ran twice")
def check_single(context):
    """Check the log of what ran."""
    assert context.targets.ran
    assert set(context.targets.ran.values()) == {1}, context.targets.ran


@then("target 1 was asked {holds:Bound} {count:d} times")
def check_asked(context, holds, count):
    """Check how often a target was asked."""
    print(f"{context.targets.asked}")
    assert holds(context.targets.asked[SLOWED], count), context.targets.asked


@then("the targets were asked at most {count:d} times")
def check_all_asked(context, count):
    """Check how often all targets were asked."""
    assert context.targets.asked.total() <= count, context.targets.asked


@then("every answer has the code {name}")
def check_all_codes(context, name):
    """Check the code of all answers."""
    codes = Counter(Code(delivered.code).name for _, delivered, _ in context.results)
    assert set(codes) == {name}, codes


@then("no request took longer than {limit_ms:d} ms")
def check_longest(context, limit_ms):
    """Check the longest time to an answer."""
    longest_ms = max(taken_ms for _, _, taken_ms in context.results)
    print(f"longest {longest_ms:.0f} ms")
    assert longest_ms <= limit_ms, longest_ms
