"""Parsers of HTTP/1.1 messages as they arrive on a connection."""

from struct import Struct

import httptools

from knapweedrock.clock import create_clock
from knapweedrock.memory.budget import BODY_COPIES, HEADER_BYTES
from knapweedrock.mesh.http import (
    Headers,
    HeadTooLargeError,
    MalformedMessageError,
    Request,
    Response,
)

FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
# A header's colon and the CRLF at the end of its line.
# Lengths of a header's name and value, in front of both.
HEADER_LENGTHS = Struct("<II")
HEADER_SEPARATOR_BYTES = 3
# Limit of all bytes outside the body of a message. The heads of interim responses count
# as part of the response that follows them.
MAX_HEAD_BYTES = 32 << 10
# Eight times the largest body that targets send; a VM of 200 MB can hold 18 bodies of
# this size at once.
MAX_RESPONSE_BODY_BYTES = 4 << 20

read_now_ns = create_clock().now_ns


class ResponseParser:
    """Parses the responses on one connection and collects them in `responses`.

    A `bodiless` response ends with its head, whatever length the head states.
    """

    def __init__(
        self, bodiless: bool = False, max_body_bytes: int = MAX_RESPONSE_BODY_BYTES
    ) -> None:
        self._bodiless = bodiless
        self._max_body_bytes = max_body_bytes
        self.responses: list[Response] = []
        self.has_started = False
        # True if bytes arrived that do not belong to the awaited response.
        self.has_extra_data = False
        self._head_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._reset()

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises `MalformedMessageError`."""
        self.has_started = True
        body_bytes = len(self._body)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.responses:
                # An error of a callback below is the context of the parser's error,
                # which says only where it was raised.
                reason = str(error.__context__ or error)
                raise MalformedMessageError(reason) from error
            self.has_extra_data = True
        if len(self._body) > body_bytes:
            self._head_bytes = 0
        elif not self.responses:
            self._count_head(len(data))

    def finish(self) -> None:
        """Complete a response whose body ends with its connection."""
        if self._has_head and not self._is_framed:
            self._append_response(reusable=False)

    def _reset(self) -> None:
        self._headers: Headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._has_head = False
        self._head_ns = 0
        # True once the head states where the body ends.
        self._is_framed = False
        self._is_closing = False

    def _count_head(self, size: int) -> None:
        """Count bytes received outside a body; raises `MalformedMessageError`."""
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise MalformedMessageError("the head of the response is too large")

    def on_message_begin(self) -> None:
        """Start a response."""
        if self.responses:
            self.has_extra_data = True
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header, or a trailer after the body."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEAD_BYTES:
            raise MalformedMessageError("the head of the response is too large")
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        status = self._parser.get_status_code()
        if status < FIRST_STATUS:
            raise MalformedMessageError(f"the status {status:03} is below 100")
        self._has_head = True
        self._head_ns = read_now_ns()
        for name, _ in self._headers:
            if name.lower() in ("content-length", "transfer-encoding"):
                self._is_framed = True
        if self._bodiless and status >= FIRST_FINAL_STATUS:
            # The parser still expects a body, so the connection can't be used again.
            self._append_response(reusable=False)

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""
        if len(self._body) + len(data) > self._max_body_bytes:
            raise MalformedMessageError("the body of the response is too large")
        self._body += data

    def on_message_complete(self) -> None:
        """Handle the end of a response."""
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self._reset()
            return
        if self._bodiless:
            return
        self._append_response(reusable=bool(self._parser.should_keep_alive()))

    def _append_response(self, reusable: bool) -> None:
        status = self._parser.get_status_code()
        body = bytes(self._body)
        self.responses.append(
            Response(status, self._headers, body, reusable, self._head_ns)
        )
        self._head_bytes = 0
        self._has_head = False


class RequestParser:
    """Parses the requests on one caller's connection and collects them in `requests`.

    A head may have up to `max_head_bytes`.
    """

    def __init__(self) -> None:
        self.max_head_bytes = MAX_HEAD_BYTES
        self.requests: list[Request] = []
        self.in_head = False
        self.in_body = False
        self.body_bytes = 0
        self.expects_continue = False
        # Bytes received since the last bytes of a body or the last end of a request.
        self._overhead_bytes = 0
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises `MalformedMessageError`."""
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if isinstance(error.__context__, HeadTooLargeError):
                raise error.__context__ from None
            raise MalformedMessageError(str(error)) from error
        if self._overhead_bytes > self.max_head_bytes:
            raise HeadTooLargeError(
                "the request has more bytes outside its body than its head may have"
            )

    def measure(self) -> int:
        """Return about how many bytes of memory the received requests take."""
        size = sum(measure_request(request) for request in self.requests)
        if self.is_idle():
            return size
        size += len(self._raw_headers) + len(self._headers) * HEADER_BYTES
        return size + len(self._body) * BODY_COPIES

    def is_idle(self) -> bool:
        """Return whether no request has begun."""
        return not self.in_head and not self.in_body

    def on_message_begin(self) -> None:
        """Start a request."""
        self.in_head = True
        self.body_bytes = 0
        self.expects_continue = False
        self._head_bytes = 0
        self._target: list[bytes] = []
        # Headers as received. They are decoded once the head is whole, as decoded ones
        # cost many times their text.
        self._raw_headers = bytearray()
        self._headers: Headers = []
        self._fields: dict[str, str] = {}
        self._body = bytearray()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.max_head_bytes:
            raise HeadTooLargeError("the head of the request is too large")

    def on_url(self, data: bytes) -> None:
        """Handle a part of the request target."""
        self._count_head(len(data))
        self._target.append(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header, or a trailer after the body."""
        self._count_head(len(name) + len(value) + HEADER_SEPARATOR_BYTES)
        if not self.in_head:
            self._add_header(name, value)
            return
        self._raw_headers += HEADER_LENGTHS.pack(len(name), len(value))
        self._raw_headers += name
        self._raw_headers += value

    def _add_header(self, name: bytes, value: bytes) -> None:
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        self._headers.append((key, text))
        self._fields[key] = text

    def _decode_headers(self) -> None:
        raw, offset = bytes(self._raw_headers), 0
        self._raw_headers = bytearray()
        while offset < len(raw):
            name_bytes, value_bytes = HEADER_LENGTHS.unpack_from(raw, offset)
            offset += HEADER_LENGTHS.size
            name = raw[offset : offset + name_bytes]
            offset += name_bytes
            self._add_header(name, raw[offset : offset + value_bytes])
            offset += value_bytes

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        self._decode_headers()
        self.in_head = False
        self.in_body = True
        self.expects_continue = "100-continue" in self._fields.get("expect", "")

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""
        self.body_bytes += len(data)
        self._overhead_bytes = 0
        self._body += data

    def on_message_complete(self) -> None:
        """Handle the end of a request."""
        self.in_head = False
        self.in_body = False
        self._overhead_bytes = 0
        body, self._body = bytes(self._body), bytearray()
        self.requests.append(
            Request(
                self._parser.get_method().decode("latin-1"),
                b"".join(self._target).decode("latin-1"),
                self._headers,
                self._fields,
                body,
                bool(self._parser.should_keep_alive()),
            )
        )


def measure_request(request: Request) -> int:
    """Return about how many bytes of memory a request takes."""
    return len(request.headers) * HEADER_BYTES + len(request.body) * BODY_COPIES
