"""Checks of a demo run against the targets' logs, and its summary."""

from typing import NamedTuple

from knapweedrock.clock import NS_PER_S
from knapweedrock.codes import Outcome
from knapweedrock.history import (
    Call,
    Execution,
    Overload,
    Violation,
    check_all,
    check_no_starts,
    check_overloads,
    compute_churn,
    find_longest_gap,
)
from knapweedrock.load.samples import Latency, Sample, Tally
from knapweedrock.mesh.snapshots import KEY_COUNT

# Time within which the targets of a zone that is taken out of service get their last
# requests.
EVACUATION_TIMEOUT_S = 5


class ZoneOutage(NamedTuple):
    """An availability zone that was out of service; times are CLOCK_BOOTTIME in ns."""

    zone: str
    from_ns: int
    to_ns: int


class Evidence(NamedTuple):
    """Records of targets and nodes, read after a run.

    `zone_targets` are the targets in the zone that was out of service. `stale_nodes`
    are the nodes on which a zone is still out of service.
    """

    executions: list[Execution]
    overloads: list[Overload]
    zone_outage: ZoneOutage
    zone_targets: list[str]
    stale_nodes: list[str]


class Summary(NamedTuple):
    """Results of a demo run; `moved_share` is a share of the key space."""

    done: int
    not_run: int
    may_have_run: int
    moved_share: float
    longest_gap_ms: float
    latency: Latency
    violations: list[Violation]


def create_call(sample: Sample, service: str, keyed: bool) -> Call:
    """Convert a sample of the load to a call for the checks of histories."""
    return Call(
        sample.tag,
        sample.order_id,
        service,
        sample.key if keyed else "",
        "POST" if sample.order_id else "GET",
        sample.address,
        sample.intended_ns,
        sample.intended_ns,
        sample.end_ns,
        sample.status,
        sample.code,
        sample.outcome,
        sample.status > 0,
        sample.own_answer,
    )


def summarize(
    samples: list[Sample],
    calls: list[Call],
    owner_tables: list[list[dict]],
    evidence: Evidence,
) -> Summary:
    """Summarize a run; `owner_tables` holds successive tables of a service."""
    tally = Tally()
    for sample in samples:
        tally.record_sample(sample)
    moved_share = sum(
        compute_churn(before, after, KEY_COUNT)
        for before, after in zip(owner_tables, owner_tables[1:], strict=False)
    )
    keyed = [call for call in calls if call.key]
    return Summary(
        tally.outcomes[Outcome.DONE.value],
        tally.outcomes[Outcome.NOT_RUN.value],
        tally.outcomes[Outcome.MAY_HAVE_RUN.value],
        moved_share,
        find_longest_gap(keyed).longest_ms,
        tally.summarize()["all"],
        list_violations(calls, evidence),
    )


def list_violations(calls: list[Call], evidence: Evidence) -> list[Violation]:
    """List the violations of guarantees in a run."""
    executions, zone_outage = evidence.executions, evidence.zone_outage
    no_requests_after_ns = zone_outage.from_ns + EVACUATION_TIMEOUT_S * NS_PER_S
    return [
        *check_all(calls, executions),
        *check_no_starts(
            executions, evidence.zone_targets, no_requests_after_ns, zone_outage.to_ns
        ),
        *check_overloads(evidence.overloads),
        *(Violation("an answer", f"no response: {c}") for c in calls if not c.answered),
        *(
            Violation("in force everywhere", f"zone still out on {n}")
            for n in evidence.stale_nodes
        ),
    ]


def format_summary(summary: Summary) -> str:
    """Format the summary as a table, followed by the violations."""
    rows = [
        ("requests done", f"{summary.done}"),
        ("requests not run", f"{summary.not_run}"),
        ("requests that may have run", f"{summary.may_have_run}"),
        ("owners moved (share of the key space)", f"{summary.moved_share:.3f}"),
        ("longest time a key was unavailable", f"{summary.longest_gap_ms:.0f} ms"),
        ("p50", f"{summary.latency.p50_ms:.1f} ms"),
        ("p99", f"{summary.latency.p99_ms:.1f} ms"),
        ("promises broken", f"{len(summary.violations)}"),
    ]
    width = max(len(name) for name, _ in rows)
    lines = [f"{name:{width}}  {value:>10}" for name, value in rows]
    violations = [
        f"broken: {violation.promise}: {violation.detail}"
        for violation in summary.violations
    ]
    return "\n".join([*lines, *violations])
