"""Text plots of load reports: latencies, and requests served per second."""

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple, TypedDict

from knapweedrock.documents import read_document
from knapweedrock.load.report import FORMAT, VERSION
from knapweedrock.load.samples import Bucket, Second

BAR_WIDTH = 24
MAX_ROWS = 30
BAR_CHARACTER = "#"


class LoadDocument(TypedDict):
    """The fields of a load report that plots use."""

    seconds: list[Second]
    histogram: list[Bucket]


class NamedReport(NamedTuple):
    """A load report with the name of its file."""

    name: str
    document: LoadDocument


def read_load_report(path: Path) -> NamedReport:
    """Read a report of `load --json`; raises `REPORT_MALFORMED`."""
    return NamedReport(path.name, read_document(path, FORMAT, VERSION, LoadDocument))


def plot_reports(reports: list[NamedReport]) -> str:
    """Plot reports side by side, one column each."""
    names = [report.name for report in reports]
    latency_shares = [
        compute_latency_shares(report.document["histogram"]) for report in reports
    ]
    row_width_s = compute_row_width_s(report.document["seconds"] for report in reports)
    served_shares = [
        compute_served_shares(report.document["seconds"], row_width_s)
        for report in reports
    ]
    latency_table = format_columns("below ms", names, latency_shares)
    second_table = format_columns("second", names, served_shares)
    return (
        f"share of the requests done by latency\n{latency_table}\n\n"
        f"share served of the requests due in each {row_width_s} s\n{second_table}"
    )


def compute_latency_shares(buckets: list[Bucket]) -> dict[float, float]:
    """Compute the share of requests in each bucket, without empty ones at the end."""
    total = sum(bucket["count"] for bucket in buckets)
    last = max((i for i, bucket in enumerate(buckets) if bucket["count"]), default=-1)
    return {
        bucket["below_ms"] or float("inf"): bucket["count"] / total
        for bucket in buckets[: last + 1]
    }


def compute_row_width_s(reports: Iterable[list[Second]]) -> int:
    """Compute how many seconds a row covers, so that at most MAX_ROWS are needed."""
    last_second = max(
        (item["second"] for seconds in reports for item in seconds), default=0
    )
    return last_second // MAX_ROWS + 1


def compute_served_shares(
    seconds: list[Second], row_width_s: int
) -> dict[float, float]:
    """Compute the share of requests served in each row, by its first second."""
    offered: dict[float, int] = {}
    done: dict[float, int] = {}
    for item in seconds:
        row_start_s = item["second"] // row_width_s * row_width_s
        offered[row_start_s] = offered.get(row_start_s, 0) + item["offered"]
        done[row_start_s] = done.get(row_start_s, 0) + item["done"]
    return {
        row_start_s: done[row_start_s] / max(count, 1)
        for row_start_s, count in offered.items()
    }


def format_columns(
    title: str, names: list[str], columns: list[dict[float, float]]
) -> str:
    """Format shares as a table with a row per key and a column per report."""
    header = [name[: BAR_WIDTH + 7].ljust(BAR_WIDTH + 7) for name in names]
    lines = ["  ".join([f"{title:>8}", *header]).rstrip()]
    for row in sorted({row for column in columns for row in column}):
        cells = [format_share(column.get(row)) for column in columns]
        lines.append("  ".join([f"{row:8g}", *cells]).rstrip())
    return "\n".join(lines)


def format_share(share: float | None) -> str:
    """Format a share as a bar and a percentage, or as blanks if there is none."""
    if share is None:
        return " " * (BAR_WIDTH + 7)
    bar = BAR_CHARACTER * round(min(max(share, 0), 1) * BAR_WIDTH)
    return f"{bar:{BAR_WIDTH}} {share:6.1%}"
