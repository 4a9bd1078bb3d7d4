"""Attempts of one request at the target, each in a slot of its own."""

from typing import TYPE_CHECKING

import gevent
from gevent.queue import Queue

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError, RefusalError
from knapweedrock.targets.admission import Admission
from knapweedrock.targets.connections import Connection, ConnectionPool
from knapweedrock.targets.control import Control
from knapweedrock.targets.crashes import Crashes, InFlight
from knapweedrock.targets.exchange import (
    BrokenExchangeError,
    Exchange,
    SilentExchangeError,
)
from knapweedrock.targets.parser import Answer
from knapweedrock.targets.work import Work

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

SILENCE_MS = 500
ABANDONED_RETRY_MS = 200


class Attempt:
    """One sending of a request: its id, its connection, when it began."""

    def __init__(self, work: Work, exchange: Exchange, began_ns: int) -> None:
        self.work = work
        self.exchange = exchange
        self.began_ns = began_ns
        self.displaced = False

    def displace(self) -> None:
        """Break the exchange off, so that its request is sent again later."""
        self.displaced = True
        self.exchange.connection.shut_down()


class DisplacedError(KnapweedrockError):
    """An attempt that was broken off here, to relieve the target."""


class Attempts:
    """Sends requests; every attempt ends by giving its slot back exactly once."""

    def __init__(
        self,
        env: "Environment",
        pool: ConnectionPool,
        control: Control,
        admission: Admission,
        crashes: Crashes,
    ) -> None:
        self.env = env
        self.pool = pool
        self.control = control
        self.admission = admission
        self.crashes = crashes
        self.sent: dict[str, Attempt] = {}
        self.answered_ns = 0

    def run(self, work: Work) -> Answer:
        """Send a request whose slot is taken, and return its whole answer.

        Raises `RefusalError` where nothing was sent, `BrokenExchangeError` and
        `SilentExchangeError`.
        """
        attempt = self._begin(work, fresh=False)
        if not work.request.idempotent or not attempt.exchange.connection.was_idle:
            return self._finish(attempt)
        silent_ns = attempt.began_ns + SILENCE_MS * NS_PER_MS
        if silent_ns >= work.deadline_ns:
            return self._finish(attempt)
        try:
            return self._read(attempt, silent_ns)
        except SilentExchangeError:
            return self._run_second(attempt)

    def has_sent(self, service: str, ranges: list[tuple[int, int]]) -> bool:
        """Tell whether work on the ranges is or may be at the target."""
        return any(
            attempt.work.request.service == service
            and any(start <= attempt.work.key_hash < end for start, end in ranges)
            for attempt in self.sent.values()
        )

    def note_doubt(self) -> None:
        """Have it found out whether the target is still there."""
        self.crashes.note_break(self._list_in_flight())

    def displace_excess(self) -> None:
        """Break off idempotent attempts, the youngest first, down to the limit."""
        excess = self.admission.in_flight - self.admission.ramp.get_limit()
        for attempt in reversed(list(self.sent.values())):
            if excess <= 0:
                return
            if attempt.work.request.idempotent and not attempt.displaced:
                self.env.counters.count("target_attempts_displaced")
                attempt.displace()
                excess -= 1

    def _begin(self, work: Work, fresh: bool) -> Attempt:
        """Take a connection and send; the slot is given back on failure."""
        try:
            connection = self._connect(work, fresh)
        except BaseException:
            self.admission.release()
            raise
        try:
            work.authorize()
            request_id = work.create_request_id()
            data = work.encode(request_id)
        except BaseException:
            self.pool.keep(connection)
            self.admission.release()
            raise
        is_head = work.request.method == "HEAD"
        exchange = Exchange(self.env.clock, connection, request_id, is_head)
        attempt = Attempt(work, exchange, self.env.clock.now_ns())
        self.sent[request_id] = attempt
        work.mark_sent()
        try:
            exchange.send(data, work.deadline_ns)
        except BaseException as error:
            self._abandon(attempt, error)
            raise
        return attempt

    def _connect(self, work: Work, fresh: bool) -> Connection:
        if not fresh:
            known = self.pool.closed_idle
            connection = self.pool.take_idle(trusted_only=not work.request.idempotent)
            if self.pool.closed_idle != known:
                self.crashes.note_break(self._list_in_flight())
            if connection:
                return connection
        try:
            return self.pool.dial(work.get_left_ms())
        except RefusalError:
            self.crashes.note_break(self._list_in_flight())
            raise

    def _finish(self, attempt: Attempt) -> Answer:
        return self._read(attempt, attempt.work.deadline_ns, is_last=True)

    def _read(self, attempt: Attempt, until_ns: int, is_last: bool = False) -> Answer:
        """Read the answer and settle the attempt, unless only silence was found."""
        try:
            answer = attempt.exchange.read(until_ns)
        except SilentExchangeError as error:
            if is_last:
                self._abandon(attempt, error)
            raise
        except BaseException as error:
            if not attempt.displaced:
                self._abandon(attempt, error)
                raise
            displaced = DisplacedError(Code.ANSWER_LOST, "broken off under overload")
            self._abandon(attempt, displaced)
            raise displaced from error
        self._settle(attempt, answer)
        return answer

    def _settle(self, attempt: Attempt, answer: Answer) -> None:
        connection = attempt.exchange.connection
        if answer.reusable:
            self.pool.give_back(connection)
        else:
            self.pool.drop(connection)
        del self.sent[attempt.exchange.request_id]
        self.answered_ns = self.env.clock.now_ns()
        served_ms = (self.answered_ns - attempt.began_ns) / NS_PER_MS
        self.admission.release(served_ms)

    def _abandon(self, attempt: Attempt, error: BaseException) -> None:
        """Drop the connection; the slot is free once the target runs it no more."""
        self.pool.drop(attempt.exchange.connection)
        if isinstance(error, KnapweedrockError):
            attempt.work.lost = error
        if isinstance(error, BrokenExchangeError):
            self.crashes.note_break(self._list_in_flight(), attempt.began_ns)
        gevent.spawn(self._cancel, attempt)

    def _list_in_flight(self) -> list[InFlight]:
        return [
            InFlight(attempt.work.fingerprint, attempt.began_ns)
            for attempt in self.sent.values()
        ]

    def _cancel(self, attempt: Attempt) -> None:
        request_id = attempt.exchange.request_id
        try:
            while not self.control.cancel(request_id):
                if self.env.clock.now_ns() >= attempt.work.deadline_ns:
                    break
                gevent.sleep(ABANDONED_RETRY_MS / 1000)
        finally:
            del self.sent[request_id]
            self.admission.release()

    def _run_second(self, first: Attempt) -> Answer:
        """Send a copy on a fresh connection and take the first whole answer."""
        self.env.counters.count("target_connections_silent")
        self.pool.drop_idle()
        if not self.admission.try_acquire():
            self._abandon(first, SilentExchangeError(Code.ANSWER_LOST))
            work = first.work
            self.admission.acquire(work.request.caller, work.deadline_ns)
            return self._run_copy(work)
        results: Queue = Queue()
        runners = [
            gevent.spawn(self._run_into, results, self._finish, first),
            gevent.spawn(self._run_into, results, self._run_copy, first.work),
        ]
        try:
            return self._take_first(results, len(runners))
        finally:
            gevent.killall(runners)

    def _run_copy(self, work: Work) -> Answer:
        self.env.counters.count("target_copies")
        return self._finish(self._begin(work, fresh=True))

    def _run_into(self, results: Queue, run, argument) -> None:
        try:
            results.put(run(argument))
        except KnapweedrockError as error:
            results.put(error)

    def _take_first(self, results: Queue, count: int) -> Answer:
        error: KnapweedrockError | None = None
        for _ in range(count):
            result = results.get()
            if isinstance(result, Answer):
                return result
            if error is None or not isinstance(error, BrokenExchangeError):
                error = result
        raise error
