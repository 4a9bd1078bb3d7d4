"""What a demo run showed, checked against the targets' logs."""

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

# Time until no target of an availability zone that is taken out gets requests.
ZONE_OUT_LIMIT_S = 5


class ZoneOut(NamedTuple):
    """An availability zone that was out; times in CLOCK_BOOTTIME ns."""

    zone: str
    from_ns: int
    to_ns: int


class Evidence(NamedTuple):
    """What targets and nodes say after a run.

    `zone_targets` lie in the availability zone that was out; `behind` lists nodes
    that don't hold the newest configuration.
    """

    executions: list[Execution]
    excess: list[Overload]
    zone_out: ZoneOut
    zone_targets: list[str]
    behind: list[str]


class Summary(NamedTuple):
    """Result of a demo run."""

    done: int
    not_run: int
    may_have_run: int
    owners_moved: float
    longest_gap_ms: float
    latency: Latency
    violations: list[Violation]


def create_call(sample: Sample, service: str, keyed: bool) -> Call:
    """Create the history's record of a sample."""
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
    owners: list[list[dict]],
    evidence: Evidence,
) -> Summary:
    """Summarize a run; `owners` holds the tables read one after the other."""
    tally = Tally()
    for sample in samples:
        tally.record_sample(sample)
    moved = sum(
        compute_churn(before, after, KEY_COUNT)
        for before, after in zip(owners, owners[1:], strict=False)
    )
    keyed = [call for call in calls if call.key]
    return Summary(
        tally.outcomes[Outcome.DONE.value],
        tally.outcomes[Outcome.NOT_RUN.value],
        tally.outcomes[Outcome.MAY_HAVE_RUN.value],
        moved,
        find_longest_gap(keyed).longest_ms,
        tally.summarize()["all"],
        list_violations(calls, evidence),
    )


def list_violations(calls: list[Call], evidence: Evidence) -> list[Violation]:
    """List every promise that the run broke."""
    executions, zone_out = evidence.executions, evidence.zone_out
    silent_from_ns = zone_out.from_ns + ZONE_OUT_LIMIT_S * NS_PER_S
    return [
        *check_all(calls, executions),
        *check_no_starts(
            executions, evidence.zone_targets, silent_from_ns, zone_out.to_ns
        ),
        *check_overloads(evidence.excess),
        *(Violation("an answer", f"none: {c}") for c in calls if not c.answered),
        *(Violation("in force everywhere", f"not at {n}") for n in evidence.behind),
    ]


def format_summary(summary: Summary) -> str:
    """Format the closing table."""
    rows = [
        ("requests done", f"{summary.done}"),
        ("requests not run", f"{summary.not_run}"),
        ("requests that may have run", f"{summary.may_have_run}"),
        ("owners moved (share of the key space)", f"{summary.owners_moved:.3f}"),
        ("longest time a key was unavailable", f"{summary.longest_gap_ms:.0f} ms"),
        ("p50", f"{summary.latency.p50_ms:.1f} ms"),
        ("p99", f"{summary.latency.p99_ms:.1f} ms"),
        ("promises broken", f"{len(summary.violations)}"),
    ]
    width = max(len(name) for name, _ in rows)
    lines = [f"{name:{width}}  {value:>10}" for name, value in rows]
    broken = [
        f"broken: {found.promise}: {found.detail}" for found in summary.violations
    ]
    return "\n".join([*lines, *broken])
