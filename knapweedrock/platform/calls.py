"""Single calls to the platform: counted, limited in rate and in time."""

import gevent
import logbook

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.counters import Counters
from knapweedrock.faults import Faults
from knapweedrock.platform.exchange import (
    Answer,
    AnswerLostError,
    Exchanger,
    NotSentError,
    create_exchanger,
)
from knapweedrock.platform.rates import Limits, TokenBucket
from knapweedrock.settings import Address

LATENCY_FACTOR = 3

log = logbook.Logger("platform")


class RateReachedError(NotSentError):
    """This client's own rate leaves no room for the call within its deadline."""


class Caller:
    """Makes calls, each at most once, and watches whether the platform answers."""

    def __init__(
        self,
        exchanger: Exchanger,
        client: str,
        limits: Limits,
        counters: Counters,
        faults: Faults,
        clock: Clock,
    ) -> None:
        self._exchanger = exchanger
        self._client_line = f"Client: {client}\r\n"
        self._reads = TokenBucket(limits.reads_per_s, limits.reads_burst, clock)
        self._writes = TokenBucket(limits.writes_per_s, limits.writes_burst, clock)
        self._counters = counters
        self._faults = faults
        self._clock = clock
        self.latency_ms = 0.0
        self.reachable = True

    def start_deadline(self, timeout_ms: float) -> int:
        """Return the time at which a timeout that starts now ends."""
        return self._clock.now_ns() + int(timeout_ms * NS_PER_MS)

    def left_ms(self, deadline_ns: int) -> float:
        """Return the milliseconds left until a deadline."""
        return (deadline_ns - self._clock.now_ns()) / NS_PER_MS

    def call(
        self,
        method: str,
        path: str,
        deadline_ns: int,
        wait_ms: float = 0,
        version: int | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Make one call; `wait_ms` is the time that a watch asks the platform for.

        Raises `NotSentError` or `AnswerLostError`.
        """
        self._await_turn(method, deadline_ns)
        limit_ms = wait_ms + self._limit_ms(self.left_ms(deadline_ns) - wait_ms)
        ends_ns = self.start_deadline(limit_ms)
        if self._faults.cuts.platform_send:
            self._wait_until(ends_ns)
            raise self._note_failure(NotSentError("cut before the platform"))
        headers = self._client_line
        if version is not None:
            headers += f"If-Version: {version}\r\n"
        self._counters.count("platform_calls", method=method)
        verb = "PUT" if method == "put" else "GET"
        started_ns = self._clock.now_ns()
        try:
            answer = self._exchanger.exchange(
                verb, path, headers, body, max(0.001, limit_ms / 1000)
            )
        except (NotSentError, AnswerLostError) as error:
            spent_ms = -self.left_ms(started_ns)
            self.latency_ms = max(self.latency_ms, spent_ms - wait_ms)
            raise self._note_failure(error) from error
        if self._faults.cuts.platform_receive:
            self._wait_until(ends_ns)
            raise self._note_failure(AnswerLostError("cut after the platform"))
        if method != "watch":
            self.latency_ms = -self.left_ms(started_ns)
        self._note_success()
        return answer

    def _await_turn(self, method: str, deadline_ns: int) -> None:
        bucket = self._writes if method == "put" else self._reads
        wait_ms = bucket.reserve(self.left_ms(deadline_ns))
        if wait_ms is None:
            self._counters.count("platform_rate_reached", method=method)
            raise RateReachedError("the client's own rate is reached")
        if wait_ms:
            gevent.sleep(wait_ms / 1000)

    def _limit_ms(self, left_ms: float) -> float:
        """Leave time to try again when a connection turns out to be silent."""
        usual_ms = min(left_ms, LATENCY_FACTOR * self.latency_ms)
        return max(left_ms / 2, usual_ms)

    def _wait_until(self, deadline_ns: int) -> None:
        gevent.sleep(max(0.0, self.left_ms(deadline_ns) / 1000))

    def _note_failure(self, error: Exception) -> Exception:
        if self.reachable:
            log.warning("platform does not answer: {}", error)
        self.reachable = False
        return error

    def _note_success(self) -> None:
        if not self.reachable:
            log.info("platform answers again")
        self.reachable = True


def create_caller(
    address: Address,
    client: str,
    limits: Limits,
    counters: Counters,
    faults: Faults,
    clock: Clock,
) -> Caller:
    """Create a caller that has not called yet."""
    exchanger = create_exchanger(address)
    return Caller(exchanger, client, limits, counters, faults, clock)
