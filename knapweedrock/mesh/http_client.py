"""HTTP client of one server: pooled connections, and checks of the responses."""

from knapweedrock.clock import NS_PER_MS, NS_PER_S, Clock
from knapweedrock.codes import NOT_RUN_STATUSES, Code
from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError, RefusalError
from knapweedrock.mesh.http import (
    Headers,
    MalformedMessageError,
    Response,
    encode_request,
)
from knapweedrock.mesh.http_connections import Connection, dial
from knapweedrock.mesh.http_parsers import ResponseParser
from knapweedrock.platform.headers import ATTEMPT_ID, NOT_EXECUTED, SIGNATURE

DIAL_TIMEOUT_S = 0.4
# Idle connections are closed after this time, or after the given share of the server's
# own Keep-Alive timeout.
MAX_IDLE_S = 4.0
KEEP_ALIVE_SHARE = 0.7
# A connection that was idle for less time is reused without a check of its socket.
UNCHECKED_IDLE_NS = 2 * NS_PER_MS
# A request fails after this many responses if all of them belong to earlier requests.
MAX_RESPONSES_READ = 3
FIRST_NON_SUCCESS_STATUS = 300


class BrokenExchangeError(KnapweedrockError):
    """An exchange failed after the request may have reached the server."""


class ExchangeTimeoutError(BrokenExchangeError):
    """The response did not arrive within the timeout."""


class HttpClient:
    """Sends requests to one server over pooled connections, one at a time on each.

    `max_connections` limits the open connections; 0 means no limit.
    """

    def __init__(
        self, address: tuple[str, int], clock: Clock, counters: Counters
    ) -> None:
        self.address = address
        self.max_connections = 0
        self._clock = clock
        self._counters = counters
        self._idle: list[Connection] = []
        self._open_count = 0

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._discard(self._idle.pop())

    def request(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        attempt_id: str,
        timeout_s: float,
    ) -> Response:
        """Send a request and return the server's whole response to it.

        Raises `RefusalError` if certainly nothing was sent, `ConnectionRefusedError` if
        no process listens, and `BrokenExchangeError`.
        """
        deadline_ns = self._clock.now_ns() + int(timeout_s * NS_PER_S)
        connection = self._pop_idle(attempt_id) or self._dial(timeout_s)
        connection.attempts.add(attempt_id, deadline_ns)
        reusable = False
        try:
            data = encode_request(method, path, headers, body)
            parser = ResponseParser(bodiless=method == "HEAD")
            response = self._exchange(connection, parser, data, attempt_id, deadline_ns)
            reusable = response.reusable
        finally:
            if reusable:
                self._return_to_pool(connection, response)
            else:
                self._discard(connection)
        return response

    def _exchange(
        self,
        connection: Connection,
        parser: ResponseParser,
        data: bytes,
        attempt_id: str,
        deadline_ns: int,
    ) -> Response:
        try:
            connection.send(data, self._compute_remaining_s(deadline_ns))
            for _ in range(MAX_RESPONSES_READ):
                response = connection.read(
                    parser, self._compute_remaining_s(deadline_ns)
                )
                if is_response_to(
                    response, attempt_id, is_new=not connection.idle_since_ns
                ):
                    break
                # This response belongs to an earlier request, so the connection is not
                # used again.
                parser.has_extra_data = True
                self._counters.count("target_answers_crossed")
            else:
                raise MalformedMessageError("all responses belong to other requests")
        except TimeoutError as error:
            raise ExchangeTimeoutError(
                Code.ANSWER_LOST, "no response within the timeout"
            ) from error
        except OSError as error:
            code = Code.ANSWER_TRUNCATED if parser.has_started else Code.ANSWER_LOST
            raise BrokenExchangeError(code, str(error)) from error
        except MalformedMessageError as error:
            raise BrokenExchangeError(Code.ANSWER_TRUNCATED, str(error)) from error
        if parser.has_extra_data or parser.responses:
            response = response._replace(reusable=False)
        return response

    def _compute_remaining_s(self, deadline_ns: int) -> float:
        return (deadline_ns - self._clock.now_ns()) / NS_PER_S

    def _pop_idle(self, attempt_id: str) -> Connection | None:
        """Return the connection used last that has not carried the attempt."""
        now_ns = self._clock.now_ns()
        passed_over = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if not is_usable(connection, now_ns):
                self._discard(connection)
            elif connection.attempts.has(attempt_id):
                passed_over.append(connection)
            else:
                found = connection
        if passed_over:
            self._counters.count("target_connections_passed_over")
            self._idle += reversed(passed_over)
        return found

    def _dial(self, timeout_s: float) -> Connection:
        if self._is_full() and self._idle:
            # Only connections that have carried the same attempt are left idle.
            self._discard(self._idle.pop(0))
        if self._is_full():
            raise RefusalError(Code.OVERLOADED, "all connections are in use", 50)
        self._open_count += 1
        try:
            connection = dial(self.address, min(timeout_s, DIAL_TIMEOUT_S))
        except ConnectionRefusedError:
            self._open_count -= 1
            raise
        except OSError as error:
            self._open_count -= 1
            raise RefusalError(Code.TARGET_UNREACHABLE, str(error), 200) from error
        except BaseException:
            self._open_count -= 1
            raise
        self._counters.count("target_connects")
        return connection

    def _is_full(self) -> bool:
        return 0 < self.max_connections <= self._open_count

    def _return_to_pool(self, connection: Connection, response: Response) -> None:
        connection.idle_since_ns = self._clock.now_ns()
        connection.attempts.remove_expired(connection.idle_since_ns)
        if not response.get_header(ATTEMPT_ID):
            connection.attempts.add("", 0)
        connection.idle_limit_ns = int(get_idle_limit_s(response) * NS_PER_S)
        self._idle.append(connection)

    def _discard(self, connection: Connection) -> None:
        self._open_count -= 1
        connection.close()


def is_usable(connection: Connection, now_ns: int) -> bool:
    """Return whether an idle connection is open and within its idle time."""
    idle_ns = now_ns - connection.idle_since_ns
    if idle_ns >= connection.idle_limit_ns:
        return False
    return idle_ns < UNCHECKED_IDLE_NS or connection.is_reusable()


def is_response_to(response: Response, attempt_id: str, is_new: bool) -> bool:
    """Return whether a response belongs to the request with an attempt id.

    Failures may omit the id, but only on a new connection: on a reused connection such
    a failure may be a duplicate of an earlier response.
    """
    response_id = response.get_header(ATTEMPT_ID)
    if response_id or not attempt_id:
        return response_id == attempt_id
    return is_new and response.status >= FIRST_NON_SUCCESS_STATUS


def is_valid(response: Response) -> bool:
    """Return whether a response comes from the target itself and is unchanged.

    A status that says that the request was not executed needs the target's own header
    that confirms it.
    """
    if response.get_header("content-encoding"):
        return False
    if response.status in NOT_RUN_STATUSES:
        return bool(response.get_header(NOT_EXECUTED))
    return response.status >= FIRST_NON_SUCCESS_STATUS or bool(
        response.get_header(SIGNATURE)
    )


def get_idle_limit_s(response: Response) -> float:
    """Return how long the connection may stay idle after a response."""
    for item in response.get_header("keep-alive").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return min(int(value) * KEEP_ALIVE_SHARE, MAX_IDLE_S)
    return MAX_IDLE_S
