"""Log lines of decisions on requests, bounded for each kind of decision."""

from collections.abc import Callable
from typing import Any

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_S, Clock
from knapweedrock.counters import Counters

# Lines a second of a kind, and how many may come at once.
FAILURE_RATE = 100.0
FAILURE_BURST = 300.0
SUCCESS_RATE = 2.0
SUCCESS_BURST = 4.0
REPORT_S = 5.0

log = Logger("requests")


class Allowance:
    """Token bucket of one kind of line."""

    __slots__ = ("at_ns", "burst", "left_out", "rate", "tokens")

    def __init__(self, rate: float, burst: float, now_ns: int) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.at_ns = now_ns
        self.left_out = 0

    def take(self, now_ns: int) -> bool:
        """Take one line; tell whether it may be written."""
        earned = (now_ns - self.at_ns) / NS_PER_S * self.rate
        self.tokens = min(self.burst, self.tokens + earned)
        self.at_ns = now_ns
        if self.tokens < 1:
            self.left_out += 1
            return False
        self.tokens -= 1
        return True


class Decisions:
    """Writes decisions; few of the good ones, most of the failed."""

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._counters = counters
        self._allowances: dict[str, Allowance] = {}

    def start(self) -> None:
        """Report now and then what was left out."""
        gevent.spawn(self._run_reports)

    def note_failure(
        self, kind: str, attempt_id: str, describe: Callable[[], dict[str, Any]]
    ) -> None:
        """Note a decision against a request; `describe` gives its inputs."""
        self._note(kind, attempt_id, describe, FAILURE_RATE, FAILURE_BURST)

    def note_success(
        self, kind: str, attempt_id: str, describe: Callable[[], dict[str, Any]]
    ) -> None:
        """Note a request that went well; a few a second stand for all."""
        self._note(kind, attempt_id, describe, SUCCESS_RATE, SUCCESS_BURST)

    def report(self) -> None:
        """Write how many lines of each kind were left out since the last time."""
        for kind, allowance in self._allowances.items():
            if allowance.left_out:
                log.info("decisions left out", kind=kind, count=allowance.left_out)
                allowance.left_out = 0

    def _note(
        self,
        kind: str,
        attempt_id: str,
        describe: Callable[[], dict[str, Any]],
        rate: float,
        burst: float,
    ) -> None:
        now_ns = self._clock.now_ns()
        allowance = self._allowances.get(kind)
        if allowance is None:
            allowance = self._allowances[kind] = Allowance(rate, burst, now_ns)
        if allowance.take(now_ns):
            log.info(kind, id=attempt_id, **describe())
        else:
            self._counters.count("log_lines_left_out", kind=kind)

    def _run_reports(self) -> None:
        while True:
            gevent.sleep(REPORT_S)
            self.report()
