"""Causes of all failed requests in some logs, by service and over time."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from knapweedrock.codes import Code
from knapweedrock.operators.story import REQUEST_PART, LogLine

FAILURE_MESSAGE = "request failed"
LEFT_OUT_MESSAGE = "decisions left out"
OTHER_CAUSE = "other"
# Failures are counted in intervals of this length.
INTERVAL_S = 2

CAUSES: dict[str, frozenset[Code]] = {
    "full queue": frozenset({Code.OVERLOADED, Code.QUEUE_TIMEOUT}),
    "refused by target": frozenset({Code.TARGET_SHED}),
    "no holder of the key": frozenset(
        {
            Code.NOT_OWNER,
            Code.NO_OWNER,
            Code.MOVING,
            Code.LEAVING,
            Code.TARGET_FENCED,
            Code.ZONE_OUT,
        }
    ),
    "unreachable": frozenset(
        {
            Code.PEER_UNREACHABLE,
            Code.PEER_LOST,
            Code.TARGET_UNREACHABLE,
            Code.NO_LIVE_TARGET,
        }
    ),
    "quota of the workspace": frozenset({Code.QUOTA_EXCEEDED, Code.QUOTA_UNKNOWN}),
    "no configuration": frozenset({Code.CONFIG_STALE}),
    "no answer in time": frozenset(
        {Code.ANSWER_LOST, Code.ANSWER_TRUNCATED, Code.DEADLINE_PASSED}
    ),
    "error of the target": frozenset({Code.DONE}),
}
CAUSES_BY_CODE = {code.name: cause for cause, codes in CAUSES.items() for code in codes}


class FailureGroup(NamedTuple):
    """Failed requests of a service with the same cause, and how long they took."""

    service: str
    cause: str
    count: int
    median_ms: float
    longest_ms: float


class FailureSummary(NamedTuple):
    """All failures of some logs.

    `by_interval` counts causes by the time in seconds of the day at which an interval
    begins. `left_out` is the number of log lines of failures that nodes suppressed.
    """

    groups: list[FailureGroup]
    by_interval: dict[int, Counter[str]]
    left_out: int


def summarize_failures(lines: Iterable[LogLine]) -> FailureSummary:
    """Summarize the failed requests in log lines, the most frequent cause first."""
    times_ms: dict[tuple[str, str], list[float]] = {}
    by_interval: dict[int, Counter[str]] = {}
    left_out = 0
    for line in lines:
        fields = line.fields
        if fields.get("part") != REQUEST_PART:
            continue
        message = fields.get("message")
        if message == LEFT_OUT_MESSAGE and fields.get("kind") == FAILURE_MESSAGE:
            left_out += fields.get("count", 0)
        if message != FAILURE_MESSAGE:
            continue
        cause = CAUSES_BY_CODE.get(fields.get("code", ""), OTHER_CAUSE)
        group = (fields.get("service", ""), cause)
        times_ms.setdefault(group, []).append(fields.get("ms", 0.0))
        start_s = int(line.time_s) // INTERVAL_S * INTERVAL_S
        by_interval.setdefault(start_s, Counter())[cause] += 1
    groups = [create_group(*group, durations) for group, durations in times_ms.items()]
    groups.sort(key=lambda group: (-group.count, group.service, group.cause))
    return FailureSummary(groups, dict(sorted(by_interval.items())), left_out)


def create_group(service: str, cause: str, times_ms: list[float]) -> FailureGroup:
    """Create the group of requests that took these times, of which there is one."""
    ordered = sorted(times_ms)
    median_ms = ordered[len(ordered) // 2]
    return FailureGroup(service, cause, len(ordered), median_ms, ordered[-1])


def format_summary(summary: FailureSummary) -> str:
    """Format a summary as two tables for people."""
    output = [
        f"{'service':16} {'cause':22} {'requests':>8} {'median':>8} {'longest':>8}"
    ]
    output += [
        f"{group.service:16} {group.cause:22} {group.count:8}"
        f" {group.median_ms:5.0f} ms {group.longest_ms:5.0f} ms"
        for group in summary.groups
    ]
    causes = [*CAUSES, OTHER_CAUSE]
    output += ["", "  ".join([f"{'time':8}", *causes])]
    output += [
        "  ".join([format_time(start_s), *(f"{counts[c]:{len(c)}}" for c in causes)])
        for start_s, counts in summary.by_interval.items()
    ]
    if summary.left_out:
        output.append(f"{summary.left_out} failures have no line: too many at once")
    return "\n".join(output)


def format_time(second_of_day: int) -> str:
    """Format a second of the day as a time of day."""
    minutes, seconds = divmod(second_of_day, 60)
    return f"{minutes // 60:02}:{minutes % 60:02}:{seconds:02}"
