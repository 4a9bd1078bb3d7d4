"""One request and its answer on one connection."""

import re
from functools import lru_cache
from typing import TYPE_CHECKING

from knapweedrock.clock import NS_PER_S
from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.headers import DROPPED_HEADERS
from knapweedrock.sockets import receive_within, send_whole
from knapweedrock.targets.connections import Connection
from knapweedrock.targets.parser import Answer, AnswerParser, MalformedAnswerError

if TYPE_CHECKING:
    from knapweedrock.clock import Clock

RECEIVE_BYTES = 65536
CACHED_HEADERS = 4096
MAX_CACHED_CHARACTERS = 128
MIN_TIMEOUT_S = 0.001
REQUEST_LINE = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+ /[^\x00-\x20\x7f]*")
FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FIELD_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
OWN_HEADERS = DROPPED_HEADERS | {"host"}


class BrokenExchangeError(KnapweedrockError):
    """An exchange whose connection broke after the request may have arrived."""


class SilentExchangeError(KnapweedrockError):
    """An exchange without an answer in time; it can be read on."""


def encode_head(method: str, path: str, headers: list[tuple[str, str]]) -> str:
    """Encode what stays the same in each attempt; raises `BAD_REQUEST`.

    Headers that belong to one connection or to this node are left out.
    """
    line = f"{method} {path}"
    if not REQUEST_LINE.fullmatch(line):
        raise KnapweedrockError(Code.BAD_REQUEST, "the method or path is malformed")
    lines = [f"{line} HTTP/1.1"]
    for name, value in headers:
        is_short = len(value) <= MAX_CACHED_CHARACTERS
        encode = encode_short_header if is_short else encode_header
        header = encode(name, value)
        if header:
            lines.append(header)
    return "\r\n".join(lines)


def encode_header(name: str, value: str) -> str:
    """Encode a header, or nothing for one that stays here; raises `BAD_REQUEST`."""
    if name.lower() in OWN_HEADERS:
        return ""
    if not FIELD_NAME.fullmatch(name) or not FIELD_VALUE.fullmatch(value):
        raise KnapweedrockError(Code.BAD_REQUEST, f"the header {name!r} is malformed")
    return f"{name}: {value}"


encode_short_header = lru_cache(CACHED_HEADERS)(encode_header)


class Exchange:
    """One request on one connection, until its answer is whole."""

    def __init__(
        self, clock: "Clock", connection: Connection, request_id: str, is_head: bool
    ) -> None:
        self.clock = clock
        self.connection = connection
        self.request_id = request_id
        self.parser = AnswerParser(is_head)

    def send(self, data: bytes, until_ns: int) -> None:
        """Send the request; raises `BrokenExchangeError`."""
        try:
            send_whole(self.connection.sock, data, self._find_left_s(until_ns))
        except OSError as error:
            raise BrokenExchangeError(Code.ANSWER_LOST, str(error)) from error

    def read(self, until_ns: int) -> Answer:
        """Read until the answer is whole.

        Raises `SilentExchangeError`, after which it can be called again, and
        `BrokenExchangeError`.
        """
        while True:
            data = self._receive(until_ns)
            if not data:
                raise BrokenExchangeError(self._code(), "the connection was closed")
            try:
                answer = self.parser.feed_data(data)
            except MalformedAnswerError as error:
                raise BrokenExchangeError(Code.ANSWER_TRUNCATED, str(error)) from error
            if answer is not None:
                self._check_identity(answer)
                return answer

    def _receive(self, until_ns: int) -> bytes:
        left_s = self._find_left_s(until_ns)
        try:
            return receive_within(self.connection.sock, RECEIVE_BYTES, left_s)
        except TimeoutError as error:
            raise SilentExchangeError(self._code(), "no answer in time") from error
        except OSError as error:
            raise BrokenExchangeError(self._code(), str(error)) from error

    def _find_left_s(self, until_ns: int) -> float:
        return max((until_ns - self.clock.now_ns()) / NS_PER_S, MIN_TIMEOUT_S)

    def _code(self) -> Code:
        return Code.ANSWER_TRUNCATED if self.parser.began else Code.ANSWER_LOST

    def _check_identity(self, answer: Answer) -> None:
        """Refuse the answer to another request, where the target names it."""
        for name, value in answer.headers:
            if name.lower() == "request-id" and value != self.request_id:
                raise BrokenExchangeError(
                    Code.ANSWER_LOST, "an answer to another request came"
                )
