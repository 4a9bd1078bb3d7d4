"""One HTTP answer, parsed by geventhttpclient's parser and kept whole or not at all."""

from http.client import HTTPException
from typing import NamedTuple

from geventhttpclient._parser import HTTPResponseParser

FIRST_FINAL_STATUS = 200
MAX_ANSWER_BYTES = 64 << 20


class Answer(NamedTuple):
    """A whole answer; `reusable` tells whether its connection can go on."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    reusable: bool


class MalformedAnswerError(Exception):
    """An answer that is not HTTP, too large, or without a length of its own."""


class AnswerParser(HTTPResponseParser):
    """Parser of the one answer that a connection owes."""

    def __init__(self, is_head: bool) -> None:
        super().__init__()
        self.is_head = is_head
        self.answer: Answer | None = None
        self.began = False
        self.trailing = False
        self._field = ""
        self._value: str | None = None
        self._pairs: list[tuple[str, str]] = []
        self._chunks: list[bytes] = []
        self._size = 0

    def feed_data(self, data: bytes) -> Answer | None:
        """Parse received bytes and return the answer once it is whole."""
        self.began = True
        try:
            self.feed(data)
        except HTTPException as error:
            if self.answer is None:
                raise MalformedAnswerError(str(error)) from error
            self.trailing = True
        if self.answer is not None and self.trailing:
            self.answer = self.answer._replace(reusable=False)
        return self.answer

    def _on_message_begin(self) -> None:
        if self.answer is not None:
            self.trailing = True
        self._pairs = []
        self._chunks = []

    def _on_status(self, text: str) -> None:
        pass

    def _on_header_field(self, text: str) -> None:
        if self._value is None:
            self._field += text
            return
        self._pairs.append((self._field, self._value))
        self._field = text
        self._value = None

    def _on_header_value(self, text: str) -> None:
        self._value = text if self._value is None else self._value + text

    def _on_headers_complete(self) -> bool:
        if self._value is not None:
            self._pairs.append((self._field, self._value))
        self._field, self._value = "", None
        return self.is_head

    def _on_body(self, data: bytes) -> None:
        if self.answer is not None:
            return
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            raise MalformedAnswerError(f"the answer is above {MAX_ANSWER_BYTES} bytes")
        self._chunks.append(bytes(data))

    def _on_message_complete(self) -> None:
        if self.answer is not None or self.get_code() < FIRST_FINAL_STATUS:
            return
        self.answer = Answer(
            self.get_code(),
            self._pairs,
            b"".join(self._chunks),
            bool(self.should_keep_alive()),
        )
