"""Recent latencies of a service, kept as counts in logarithmic buckets."""

import math
from collections import defaultdict

from knapweedrock.clock import NS_PER_S, Clock

BUCKETS = 160
BUCKETS_PER_DOUBLING = 8
SMALLEST_MS = 0.05
WINDOW_S = 5
REFRESH_REQUESTS = 64
MIN_SAMPLES = 20


def find_bucket(latency_ms: float) -> int:
    """Find the bucket of a latency."""
    if latency_ms <= SMALLEST_MS:
        return 0
    place = int(BUCKETS_PER_DOUBLING * math.log2(latency_ms / SMALLEST_MS)) + 1
    return min(place, BUCKETS - 1)


def find_bound_ms(bucket: int) -> float:
    """Return the upper bound of a bucket in milliseconds."""
    return SMALLEST_MS * 2 ** (bucket / BUCKETS_PER_DOUBLING)


class Latencies:
    """Latencies of the present and the former window, with cached quantiles."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rotate_ns = clock.now_ns() + WINDOW_S * NS_PER_S
        self._now = [0] * BUCKETS
        self._former = [0] * BUCKETS
        self._until_refresh = 0
        self._cached: dict[float, float] = {}

    def record(self, latency_ms: float) -> None:
        """Count one latency."""
        self._now[find_bucket(latency_ms)] += 1
        self._until_refresh -= 1
        if self._until_refresh <= 0:
            self._refresh()

    def quantile_ms(self, share: float) -> float:
        """Return the latency that this share stays under; 0 with too few samples."""
        found = self._cached.get(share)
        if found is None:
            found = self._cached[share] = self._compute(share)
        return found

    def dump(self) -> dict[str, object]:
        """Return counts by the buckets' bounds in milliseconds, and quantiles."""
        counts = [a + b for a, b in zip(self._now, self._former, strict=True)]
        return {
            "p50_ms": round(self._compute(0.5), 3),
            "p95_ms": round(self._compute(0.95), 3),
            "p99_ms": round(self._compute(0.99), 3),
            "buckets": {
                f"{find_bound_ms(bucket):.3g}": count
                for bucket, count in enumerate(counts)
                if count
            },
        }

    def _refresh(self) -> None:
        self._until_refresh = REFRESH_REQUESTS
        self._cached.clear()
        now = self._clock.now_ns()
        if now >= self._rotate_ns:
            self._rotate_ns = now + WINDOW_S * NS_PER_S
            self._former, self._now = self._now, [0] * BUCKETS

    def _compute(self, share: float) -> float:
        total = sum(self._now) + sum(self._former)
        if total < MIN_SAMPLES:
            return 0.0
        left = math.ceil(total * share)
        for bucket in range(BUCKETS):
            left -= self._now[bucket] + self._former[bucket]
            if left <= 0:
                return find_bound_ms(bucket)
        return find_bound_ms(BUCKETS - 1)


def create_latencies(clock: Clock) -> defaultdict[str, Latencies]:
    """Create latencies by service."""
    return defaultdict(lambda: Latencies(clock))
