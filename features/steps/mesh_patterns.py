"""Steps about load patterns in the model of the mesh."""

import gevent
from behave import then, when
from logbook import NullHandler

from knapweedrock.clock import NS_PER_MS
from knapweedrock.model.mesh import ModelMesh, run_pattern
from knapweedrock.model.outcomes import Outcome
from knapweedrock.model.patterns import PATTERNS
from knapweedrock.model.virtual_time import VirtualLoop, run_in_virtual_time

POLL_S = 0.02
# With more targets, most nodes don't watch the store themselves.
MESH_SCALE = 3
MAX_PUBLISH_S = 20.0
# Time from the start of an outage of the store until the coordinator is lost.
LOSS_DELAY_S = 2.0
SERVED = (Outcome.IN_TIME, Outcome.LATE)


def compute_share(context, kind: str, outcomes, first_s: int, after_s: int) -> float:
    """Return the mean share of some outcomes over all runs."""
    shares = [
        run.compute_share(kind, outcome, first_s, after_s)
        for run in context.runs
        for outcome in outcomes
    ]
    return sum(shares) / len(context.runs)


@when('the pattern "{name}" is run with the seeds {first:d} to {last:d}')
def run_seeds(context, name: str, first: int, last: int) -> None:
    """Run a pattern once for each seed."""
    context.pattern = PATTERNS[name]()
    context.runs = [
        run_pattern(context.pattern, seed) for seed in range(first, last + 1)
    ]


@when('the pattern "{name}" is run twice with the seed {seed:d}')
def run_twice(context, name: str, seed: int) -> None:
    """Run a pattern again with the same seed."""
    context.pattern = PATTERNS[name]()
    context.runs = [run_pattern(context.pattern, seed) for _ in range(2)]


@then("both runs have the same outcomes")
def check_same(context) -> None:
    """Compare all counts of the two runs."""
    first, second = context.runs
    assert first.counts, "no request was sent"
    assert first.counts == second.counts


@then(
    'at least {percent:d} percent of the kind "{kind}" are served in time from second'
    " {first:d} to {after:d}"
)
def check_in_time(context, percent: int, kind: str, first: int, after: int) -> None:
    """Check the share of requests that were served in time."""
    share = compute_share(context, kind, [Outcome.IN_TIME], first, after)
    assert share >= percent / 100, share


@then(
    'at least {percent:d} percent as many of the kind "{kind}" as before second'
    " {before:d} are served in time from second {first:d} to {after:d}"
)
def check_recovery(
    context, percent: int, kind: str, before: int, first: int, after: int
) -> None:
    """Check the share served in time against that before the disturbance."""
    usual = compute_share(context, kind, [Outcome.IN_TIME], 0, before)
    share = compute_share(context, kind, [Outcome.IN_TIME], first, after)
    assert share >= usual * percent / 100, (share, usual)


@then(
    'at least {percent:d} percent of the kind "{kind}" are served from second'
    " {first:d} to {after:d}"
)
def check_served(context, percent: int, kind: str, first: int, after: int) -> None:
    """Check the share of requests that were served at all."""
    share = compute_share(context, kind, SERVED, first, after)
    assert share >= percent / 100, share


@then(
    'at most {percent:d} percent of the kind "{kind}" fail from second {first:d} to'
    " {after:d}"
)
def check_failed(context, percent: int, kind: str, first: int, after: int) -> None:
    """Check the share of requests that failed."""
    share = compute_share(context, kind, [Outcome.FAILED], first, after)
    assert share <= percent / 100, share


@then("the retries stay within the budget of each service")
def check_budget(context) -> None:
    """Check the deliveries beyond the first of each attempt against the budget."""
    pattern = context.pattern
    for run in context.runs:
        for spec in pattern.services:
            sent = run.sent_by_service[spec.name]
            allowed = pattern.retry_ratio * sent + pattern.retry_slack
            repeated = run.delivered_by_service[spec.name] - sent
            assert repeated <= allowed, (spec.name, repeated, allowed)


@when("a configuration is written while the coordinator gets no response of the store")
def write_configuration(context) -> None:
    """Measure how long it takes until all nodes have a new configuration."""

    def run(loop: VirtualLoop) -> float:
        pattern = PATTERNS["calm"]()
        services = [
            spec._replace(target_count=spec.target_count * MESH_SCALE)
            for spec in pattern.services
        ]
        mesh = ModelMesh(pattern._replace(services=tuple(services)), loop, seed=1)
        mesh.start()
        mesh.vms[mesh.find_coordinator()].store.silent = True
        mesh.configure(2)
        written_ns = loop.now_ns()
        with gevent.Timeout(MAX_PUBLISH_S, False):
            while any(n.configuration.version < 2 for n in mesh.nodes.values()):
                gevent.sleep(POLL_S)
        return (loop.now_ns() - written_ns) / NS_PER_MS

    context.elapsed_ms = run_in_virtual_time(run)


@then("all nodes have the new configuration within {ms:d} ms")
def check_configured(context, ms: int) -> None:
    """Check the time until the last node had the configuration."""
    assert context.elapsed_ms <= ms, context.elapsed_ms


@when(
    "the store is away for {outage_s:d} s beside narrow links, and the coordinator"
    " {fate}"
)
def plan_outage(context, outage_s: int, fate: str) -> None:
    """Remember an outage of the store, and whether the coordinator is lost in it."""
    context.outage_s = outage_s
    context.is_lost = {"goes on": False, "is lost meanwhile": True}[fate]


@then(
    "the leadership {result} within {wait_s:d} s of the store's return, with the seeds"
    " {first:d} to {last:d}"
)
def check_leadership(context, result: str, wait_s: int, first: int, last: int) -> None:
    """Check which node coordinates after the outage."""
    for seed in range(first, last + 1):
        before, after, strong_vms = run_outage(context, wait_s, seed)
        if result == "stays":
            assert after == before, (seed, before, after)
        else:
            assert after in strong_vms - {before}, (seed, before, after)


def run_outage(context, wait_s: float, seed: int) -> tuple[str, str, set[str]]:
    """Run an outage; return the coordinators around it, and the strong VMs."""

    def run(loop: VirtualLoop) -> tuple[str, str, set[str]]:
        pattern = PATTERNS["store-outage-beside-narrow-links"]()
        mesh = ModelMesh(pattern, loop, seed)
        mesh.start()
        before = mesh.find_coordinator()
        strong_vms = set(list(mesh.vms)[: pattern.strong_vms])
        mesh.set_store_silent(True)
        gevent.sleep(LOSS_DELAY_S)
        if context.is_lost:
            mesh.kill_node(before)
        gevent.sleep(context.outage_s - LOSS_DELAY_S)
        mesh.set_store_silent(False)
        gevent.sleep(wait_s)
        return before, mesh.find_coordinator(), strong_vms

    with NullHandler().threadbound():
        return run_in_virtual_time(run)
