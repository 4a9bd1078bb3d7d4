"""Exchanges with the target: pooled connections and answers that are checked."""

from knapweedrock.clock import NS_PER_MS, NS_PER_S, Clock
from knapweedrock.codes import NOT_RUN_STATUSES, Code
from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError, RefusalError
from knapweedrock.mesh.http import (
    Answer,
    AnswerParser,
    Connection,
    Headers,
    MalformedMessageError,
    dial,
    encode_request,
)
from knapweedrock.platform.headers import ATTEMPT_ID, NOT_EXECUTED, SIGNATURE

DIAL_TIMEOUT_S = 0.4
IDLE_LIMIT_S = 4.0
IDLE_SHARE = 0.7
IDLE_CHECK_NS = 2 * NS_PER_MS
MAX_SKIPPED_ANSWERS = 3
FIRST_FAILURE_STATUS = 300


class BrokenExchangeError(KnapweedrockError):
    """An exchange that broke after the request may have arrived."""


class TimeoutExchangeError(BrokenExchangeError):
    """An exchange without an answer in time."""


class Exchanges:
    """Connections to one target, each with one exchange at a time."""

    def __init__(
        self, address: tuple[str, int], clock: Clock, counters: Counters
    ) -> None:
        self.address = address
        self.limit = 0
        self._clock = clock
        self._counters = counters
        self._idle: list[Connection] = []
        self._open = 0

    def drop_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._drop(self._idle.pop())

    def run(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        attempt_id: str,
        timeout_s: float,
    ) -> Answer:
        """Send a request and return the target's whole answer to it.

        Raises `RefusalError` where surely nothing was sent, `ConnectionRefusedError`
        where no process listens, and `BrokenExchangeError`.
        """
        end_ns = self._clock.now_ns() + int(timeout_s * NS_PER_S)
        connection = self._take_idle() or self._dial(timeout_s)
        done = False
        try:
            data = encode_request(method, path, headers, body)
            parser = AnswerParser(bodiless=method == "HEAD")
            answer = self._exchange(connection, parser, data, attempt_id, end_ns)
            done = answer.reusable
        finally:
            if done:
                self._keep(connection, answer)
            else:
                self._drop(connection)
        return answer

    def _exchange(
        self,
        connection: Connection,
        parser: AnswerParser,
        data: bytes,
        attempt_id: str,
        end_ns: int,
    ) -> Answer:
        try:
            connection.send(data, self._find_left_s(end_ns))
            for _ in range(MAX_SKIPPED_ANSWERS):
                answer = connection.read(parser, self._find_left_s(end_ns))
                if is_own(answer, attempt_id, is_new=not connection.idle_since_ns):
                    break
                # An answer to an earlier request; the connection is used up.
                parser.extra = True
                self._counters.count("target_answers_crossed")
            else:
                raise MalformedMessageError("answers to other requests came")
        except TimeoutError as error:
            raise TimeoutExchangeError(Code.ANSWER_LOST, "no answer in time") from error
        except OSError as error:
            code = Code.ANSWER_TRUNCATED if parser.began else Code.ANSWER_LOST
            raise BrokenExchangeError(code, str(error)) from error
        except MalformedMessageError as error:
            raise BrokenExchangeError(Code.ANSWER_TRUNCATED, str(error)) from error
        if parser.extra or parser.answers:
            answer = answer._replace(reusable=False)
        return answer

    def _find_left_s(self, end_ns: int) -> float:
        return (end_ns - self._clock.now_ns()) / NS_PER_S

    def _take_idle(self) -> Connection | None:
        now_ns = self._clock.now_ns()
        while self._idle:
            connection = self._idle.pop()
            idle_ns = now_ns - connection.idle_since_ns
            is_fresh = idle_ns < IDLE_CHECK_NS or connection.is_clean()
            if idle_ns < connection.idle_limit_ns and is_fresh:
                return connection
            self._drop(connection)
        return None

    def _dial(self, timeout_s: float) -> Connection:
        if self.limit and self._open >= self.limit:
            raise RefusalError(Code.OVERLOADED, "all connections are in use", 50)
        self._open += 1
        try:
            connection = dial(self.address, min(timeout_s, DIAL_TIMEOUT_S))
        except ConnectionRefusedError:
            self._open -= 1
            raise
        except OSError as error:
            self._open -= 1
            raise RefusalError(Code.TARGET_UNREACHABLE, str(error), 200) from error
        except BaseException:
            self._open -= 1
            raise
        self._counters.count("target_connects")
        return connection

    def _keep(self, connection: Connection, answer: Answer) -> None:
        connection.idle_since_ns = self._clock.now_ns()
        connection.idle_limit_ns = int(find_idle_limit_s(answer) * NS_PER_S)
        self._idle.append(connection)

    def _drop(self, connection: Connection) -> None:
        self._open -= 1
        connection.close()


def is_own(answer: Answer, attempt_id: str, is_new: bool) -> bool:
    """Tell whether an answer belongs to the request that waits for one.

    A failure may leave the id out, but only on a new connection: on one that was used
    before it may be a second copy of an earlier answer.
    """
    found = answer.find(ATTEMPT_ID)
    if found or not attempt_id:
        return found == attempt_id
    return is_new and answer.status >= FIRST_FAILURE_STATUS


def is_sound(answer: Answer) -> bool:
    """Tell whether an answer is the target's own and unchanged.

    A status that promises that nothing has run is the target's only with its word.
    """
    if answer.find("content-encoding"):
        return False
    if answer.status in NOT_RUN_STATUSES:
        return bool(answer.find(NOT_EXECUTED))
    return answer.status >= FIRST_FAILURE_STATUS or bool(answer.find(SIGNATURE))


def find_idle_limit_s(answer: Answer) -> float:
    """Find how long the connection may stay idle after an answer."""
    for item in answer.find("keep-alive").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return min(int(value) * IDLE_SHARE, IDLE_LIMIT_S)
    return IDLE_LIMIT_S
