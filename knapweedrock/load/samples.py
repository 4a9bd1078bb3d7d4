"""Samples of finished requests, and their tally."""

from bisect import bisect_right
from collections import Counter
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

from knapweedrock.clock import NS_PER_S
from knapweedrock.codes import Outcome
from knapweedrock.documents import Count

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
NS_PER_US = 1000
US_PER_MS = 1000
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
NO_CODE = -1


class Sample(NamedTuple):
    """One finished request.

    Times are in ns of CLOCK_BOOTTIME, and `code` is -1 without a result code. `tag`
    is the name of the request, which replaces `{tag}` in its path. `own_answer` is
    false if the response had to repeat the tag and the key, but did not.
    """

    kind: str
    key: str
    address: str
    intended_ns: int
    end_ns: int
    status: int
    code: int
    outcome: str
    retry_after: bool
    tag: str = ""
    order_id: str = ""
    own_answer: bool = True


class Latency(NamedTuple):
    """Latencies of requests done, measured from the intended send time."""

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class Second(TypedDict):
    """Requests due in one second of a run, and how many of them were done."""

    second: Count
    offered: Count
    done: Count


class Bucket(TypedDict):
    """Requests done with a latency below a bound and not below the previous one.

    The last bucket has no bound.
    """

    below_ms: float | None
    count: Count


class Tally:
    """Counts by outcome, code and second, and latencies by kind of request.

    Seconds are counted from `start_ns`.
    """

    def __init__(self, start_ns: int = 0) -> None:
        self.start_ns = start_ns
        self._offered: Counter[int] = Counter()
        self._done: Counter[int] = Counter()
        self._buckets = [0] * (len(BUCKETS_MS) + 1)
        self.outcomes: Counter[str] = Counter()
        self.codes: Counter[int] = Counter()
        self.addresses: Counter[str] = Counter()
        self.unsent = 0
        self._histograms: dict[str, HdrHistogram] = {}

    def record_due(self, due_ns: int) -> None:
        """Count a request that is due."""
        self._offered[self._compute_second(due_ns)] += 1

    def record_sample(self, sample: Sample) -> None:
        """Count a sample, and its latency only if the request was done."""
        self.outcomes[sample.outcome] += 1
        self.codes[sample.code] += 1
        self.addresses[sample.address] += 1
        if sample.outcome != Outcome.DONE.value:
            return
        value_us = max(1, (sample.end_ns - sample.intended_ns) // NS_PER_US)
        self._get_histogram(sample.kind).record_value(min(value_us, MAX_LATENCY_US))
        self._buckets[bisect_right(BUCKETS_MS, value_us / US_PER_MS)] += 1
        self._done[self._compute_second(sample.intended_ns)] += 1

    def list_seconds(self) -> list[Second]:
        """List the requests offered and done, by the second in which they were due."""
        return [
            {"second": second, "offered": offered, "done": self._done[second]}
            for second, offered in sorted(self._offered.items())
        ]

    def list_buckets(self) -> list[Bucket]:
        """List the numbers of requests done, by latency."""
        return [
            {"below_ms": bound, "count": count}
            for bound, count in zip((*BUCKETS_MS, None), self._buckets, strict=True)
        ]

    def _compute_second(self, at_ns: int) -> int:
        return (at_ns - self.start_ns) // NS_PER_S

    def summarize(self) -> dict[str, Latency]:
        """Summarize latencies by kind of request, and of all requests as `all`."""
        total = create_histogram()
        for histogram in self._histograms.values():
            total.add(histogram)
        histograms = {"all": total, **self._histograms}
        return {
            kind: summarize_histogram(histograms[kind]) for kind in sorted(histograms)
        }

    def _get_histogram(self, kind: str) -> HdrHistogram:
        histogram = self._histograms.get(kind)
        if histogram is None:
            histogram = self._histograms[kind] = create_histogram()
        return histogram


def create_histogram() -> HdrHistogram:
    """Create an empty histogram of latencies in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def summarize_histogram(histogram: HdrHistogram) -> Latency:
    """Return the percentiles of a histogram in milliseconds."""
    values = [
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    ]
    return Latency(histogram.total_count, *values, histogram.max_value / 1000)
