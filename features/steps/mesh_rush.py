"""Steps about rushes on neighbouring keys."""

from behave import given, then, when

from features.support.rush import Counts, Load, Rush, Service
from knapweedrock.mesh.snapshots import KEY_COUNT

FIRST_KEY = 30_000
# The objective and the deadline of a request, as multiples of its work.
OBJECTIVE_WORKS = 3.3
DEADLINE_WORKS = 8.5


@given(
    "{targets:d} keyed targets of {slots:d} slots get {per_s:d} requests a second "
    "of {work_ms:d} ms"
)
def give_service(context, targets: int, slots: int, per_s: int, work_ms: int) -> None:
    """Describe a service and its load."""
    context.targets, context.slots = targets, slots
    objective_ms, deadline_ms = OBJECTIVE_WORKS * work_ms, DEADLINE_WORKS * work_ms
    context.load = Load(per_s, work_ms, objective_ms, deadline_ms, ())


@given(
    "after {at_s:d} s {percent:d} % of the requests are for {keys:d} neighbouring keys"
)
def give_rush(context, at_s: int, percent: int, keys: int) -> None:
    """Add a rush that lasts until the end."""
    rush = Rush(at_s * 1000, 1_000_000, percent / 100, keys, FIRST_KEY)
    context.load = context.load._replace(rushes=(rush,))


@when("{seconds:d} s pass, with {seeds:d} different seeds")
def play(context, seconds: int, seeds: int) -> None:
    """Let time pass for each seed."""
    context.counts: list[Counts] = []
    context.slowest_ms = 0.0
    context.seconds = seconds
    for seed in range(seeds):
        service = Service(context.targets, context.slots, context.load, seed)
        context.counts.append(service.run(seconds))
        context.slowest_ms = max(context.slowest_ms, service.slowest_ms)


@then("from {after:d} s after the rush began at least {percent:d} % are served in time")
def check_served(context, after: int, percent: int) -> None:
    """Check the seconds whose requests had time to be answered."""
    first = context.load.rushes[0].at_ms // 1000 + after
    last = context.seconds - round(context.load.objective_ms / 1000)
    shares = [counts.find_share(first, last) for counts in context.counts]
    assert sum(shares) / len(shares) >= percent / 100, shares


@then("no decision takes longer than {ms:d} ms")
def check_decisions(context, ms: int) -> None:
    """Check the processor time of the slowest decision."""
    assert context.slowest_ms < ms, context.slowest_ms


@given("{percent:d} % of the targets are slow at a time, others the next moment")
def give_slowness(context, percent: int) -> None:
    """Let targets be slow by turns."""
    context.load = context.load._replace(slow_share=percent / 100)


@then("fewer than {percent:d} % of all keys have moved")
def check_moved(context, percent: int) -> None:
    """Check how many keys changed hands, of the mean seed."""
    moved = [counts.moved / KEY_COUNT for counts in context.counts]
    assert sum(moved) / len(moved) < percent / 100, moved
