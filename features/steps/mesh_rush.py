"""Steps about traffic spikes on adjacent keys."""

from behave import given, then, when

from features.support.service_simulation import (
    LoadProfile,
    RequestCounts,
    SimulatedService,
    TrafficSpike,
)
from knapweedrock.mesh.snapshots import KEY_COUNT

FIRST_HOT_KEY = 30_000
# Latency objective and deadline of a request, as multiples of its work time.
OBJECTIVE_WORK_TIMES = 3.3
DEADLINE_WORK_TIMES = 8.5


@given(
    "{targets:d} keyed targets with {slots:d} slots get {per_s:d} requests per second "
    "of {work_ms:d} ms"
)
def define_service(context, targets: int, slots: int, per_s: int, work_ms: int) -> None:
    """Define the simulated service and its load."""
    context.targets, context.slots = targets, slots
    objective_ms, deadline_ms = (
        OBJECTIVE_WORK_TIMES * work_ms,
        DEADLINE_WORK_TIMES * work_ms,
    )
    context.load = LoadProfile(per_s, work_ms, objective_ms, deadline_ms, ())


@given("after {at_s:d} s {percent:d} % of the requests are for {keys:d} adjacent keys")
def add_spike(context, at_s: int, percent: int, keys: int) -> None:
    """Add a traffic spike that lasts until the end of the simulation."""
    spike = TrafficSpike(at_s * 1000, 1_000_000, percent / 100, keys, FIRST_HOT_KEY)
    context.load = context.load._replace(spikes=(spike,))


@when("{seconds:d} s are simulated with each of {seeds:d} seeds")
def run_simulation(context, seconds: int, seeds: int) -> None:
    """Simulate the service once with each seed."""
    context.counts: list[RequestCounts] = []
    context.slowest_decision_ms = 0.0
    context.seconds = seconds
    for seed in range(seeds):
        service = SimulatedService(context.targets, context.slots, context.load, seed)
        context.counts.append(service.run(seconds))
        context.slowest_decision_ms = max(
            context.slowest_decision_ms, service.slowest_decision_ms
        )


@then(
    "from {settle_s:d} s after the start of the spike at least {percent:d} % are "
    "served in time"
)
def check_served_in_time(context, settle_s: int, percent: int) -> None:
    """Check the mean share served in time, leaving out requests still in flight."""
    first_second = context.load.spikes[0].start_ms // 1000 + settle_s
    end_second = context.seconds - round(context.load.objective_ms / 1000)
    shares = [
        counts.compute_in_time_share(first_second, end_second)
        for counts in context.counts
    ]
    assert sum(shares) / len(shares) >= percent / 100, shares


@then("no planning round takes longer than {ms:d} ms")
def check_decisions(context, ms: int) -> None:
    """Check the processor time of the slowest planning round."""
    assert context.slowest_decision_ms < ms, context.slowest_decision_ms


@given(
    "{percent:d} % of the targets are slow at any time, different ones in each period"
)
def slow_targets(context, percent: int) -> None:
    """Make a share of the targets slow, with other targets each period."""
    context.load = context.load._replace(slow_target_share=percent / 100)


@then("fewer than {percent:d} % of all keys have moved")
def check_moved_key_share(context, percent: int) -> None:
    """Check the share of keys that moved, as the mean of all seeds."""
    shares = [counts.moved_keys / KEY_COUNT for counts in context.counts]
    assert sum(shares) / len(shares) < percent / 100, shares
