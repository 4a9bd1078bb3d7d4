"""Log of the outcomes of requests, with a rate limit for each kind of line."""

from collections.abc import Callable
from typing import Any

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_S, Clock
from knapweedrock.counters import Counters

# Lines per second of one kind, and how many of them may be written at once.
FAILURE_LINES_PER_S = 100.0
FAILURE_BURST_LINES = 300.0
SUCCESS_LINES_PER_S = 2.0
SUCCESS_BURST_LINES = 4.0
REPORT_INTERVAL_S = 5.0

log = Logger("requests")


class TokenBucket:
    """Token bucket for one kind of line; `rate` is in lines per second."""

    __slots__ = ("burst", "rate", "refilled_ns", "suppressed_count", "tokens")

    def __init__(self, rate: float, burst: float, now_ns: int) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_ns = now_ns
        self.suppressed_count = 0

    def try_consume(self, now_ns: int) -> bool:
        """Consume the token of a line; return whether the line may be written."""
        earned = (now_ns - self.refilled_ns) / NS_PER_S * self.rate
        self.tokens = min(self.burst, self.tokens + earned)
        self.refilled_ns = now_ns
        if self.tokens < 1:
            self.suppressed_count += 1
            return False
        self.tokens -= 1
        return True


class RequestLog:
    """Logs most of the failed requests and a sample of the successful ones."""

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._counters = counters
        self._buckets: dict[str, TokenBucket] = {}

    def start(self) -> None:
        """Start logging the counts of suppressed lines periodically."""
        gevent.spawn(self._log_suppressed_regularly)

    def log_failure(
        self, kind: str, attempt_id: str, describe: Callable[[], dict[str, Any]]
    ) -> None:
        """Log a failed request; `describe` returns the fields of the line."""
        self._log(kind, attempt_id, describe, FAILURE_LINES_PER_S, FAILURE_BURST_LINES)

    def log_success(
        self, kind: str, attempt_id: str, describe: Callable[[], dict[str, Any]]
    ) -> None:
        """Log a successful request, of which only a few per second are written."""
        self._log(kind, attempt_id, describe, SUCCESS_LINES_PER_S, SUCCESS_BURST_LINES)

    def log_suppressed(self) -> None:
        """Log how many lines of each kind were suppressed since the last call."""
        for kind, bucket in self._buckets.items():
            if bucket.suppressed_count:
                log.info("decisions left out", kind=kind, count=bucket.suppressed_count)
                bucket.suppressed_count = 0

    def _log(
        self,
        kind: str,
        attempt_id: str,
        describe: Callable[[], dict[str, Any]],
        rate: float,
        burst: float,
    ) -> None:
        now_ns = self._clock.now_ns()
        bucket = self._buckets.get(kind)
        if bucket is None:
            bucket = self._buckets[kind] = TokenBucket(rate, burst, now_ns)
        if bucket.try_consume(now_ns):
            log.info(kind, id=attempt_id, **describe())
        else:
            self._counters.count("log_lines_left_out", kind=kind)

    def _log_suppressed_regularly(self) -> None:
        while True:
            gevent.sleep(REPORT_INTERVAL_S)
            self.log_suppressed()
