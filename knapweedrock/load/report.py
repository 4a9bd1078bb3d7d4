"""Report of a load run, and its formatters."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from knapweedrock.codes import Code, Outcome
from knapweedrock.load.samples import Bucket, Latency, Second, Tally

FORMAT = "knapweedrock load report"
VERSION = 1

Formatter = Callable[["LoadReport"], str]

FORMATTERS: dict[str, Formatter] = {}


class LoadReport(NamedTuple):
    """Results of a load run.

    `offered` counts all arrivals, `unsent` the requests that were not sent because
    too many were in flight, `unanswered` the requests without a response at the end
    of the run.
    """

    seed: int
    rate: float
    duration_s: float
    offered: int
    done: int
    not_run: int
    may_have_run: int
    unsent: int
    unanswered: int
    codes: dict[str, int]
    latency: dict[str, Latency]
    seconds: list[Second]
    histogram: list[Bucket]


def formatter(name: str) -> Callable[[Formatter], Formatter]:
    """Register a function that formats the report, under the name of its format."""

    def register(function: Formatter) -> Formatter:
        FORMATTERS[name] = function
        return function

    return register


def create_report(
    tally: Tally, offered: int, seed: int, rate: float, duration_s: float
) -> LoadReport:
    """Create the report of a load run from its tally."""
    counted = sum(tally.outcomes.values()) + tally.unsent
    return LoadReport(
        seed,
        rate,
        duration_s,
        offered,
        tally.outcomes[Outcome.DONE.value],
        tally.outcomes[Outcome.NOT_RUN.value],
        tally.outcomes[Outcome.MAY_HAVE_RUN.value],
        tally.unsent,
        offered - counted,
        {format_code(code): count for code, count in sorted(tally.codes.items())},
        tally.summarize(),
        tally.list_seconds(),
        tally.list_buckets(),
    )


def format_code(code: int) -> str:
    """Format a result code with its name, or the lack of a code."""
    try:
        return f"{code} {Code(code).name}"
    except ValueError:
        return "no answer" if code < 0 else f"{code} unknown"


@formatter("json")
def format_json(report: LoadReport) -> str:
    """Format the report as JSON."""
    header = {"format": FORMAT, "version": VERSION}
    document = (
        header
        | report._asdict()
        | {"latency": {kind: value._asdict() for kind, value in report.latency.items()}}
    )
    return msgspec.json.format(msgspec.json.encode(document)).decode()


@formatter("text")
def format_text(report: LoadReport) -> str:
    """Format the report as text for people."""
    lines = [
        f"offered {report.offered} requests in {report.duration_s:g} s "
        f"(rate {report.rate:g}/s, seed {report.seed})",
        f"  done          {report.done}",
        f"  not run       {report.not_run}",
        f"  may have run  {report.may_have_run}",
        f"  unsent        {report.unsent}",
        f"  unanswered    {report.unanswered}",
        "codes",
        *(f"  {name:24} {count}" for name, count in report.codes.items()),
        "latency of requests done, from the intended send time, in ms",
        "  kind       count      p50      p90      p99    p99.9      max",
        *(format_latency(kind, latency) for kind, latency in report.latency.items()),
    ]
    return "\n".join(lines)


def format_latency(kind: str, latency: Latency) -> str:
    """Format the latencies of one kind of request as a line."""
    values = (
        latency.p50_ms,
        latency.p90_ms,
        latency.p99_ms,
        latency.p999_ms,
        latency.max_ms,
    )
    columns = " ".join(f"{value:8.2f}" for value in values)
    return f"  {kind:8} {latency.count:7d} {columns}"
