"""Messages of HTTP/1.1, and their encoding."""

from typing import NamedTuple

JSON_HEADERS = [("Content-Type", "application/json")]
BODILESS_STATUSES = frozenset({204, 304})
REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

Headers = list[tuple[str, str]]


class MalformedMessageError(Exception):
    """Received bytes are not a valid HTTP message, or exceed a limit."""


class HeadTooLargeError(MalformedMessageError):
    """A request has more bytes outside its body than a head may have."""


class Response(NamedTuple):
    """A whole response; `reusable` says whether its connection can be used again.

    `head_ns` is the machine's clock at the end of the head.
    """

    status: int
    headers: Headers
    body: bytes
    reusable: bool
    head_ns: int = 0

    def get_header(self, name: str) -> str:
        """Return the value of a header by its lower-case name, or an empty string."""
        for field, value in self.headers:
            if field.lower() == name:
                return value
        return ""


class Request(NamedTuple):
    """A whole request as a caller sent it; header names are in lower case.

    `target` is HTTP's request target: the path with its query.
    """

    method: str
    target: str
    headers: Headers
    fields: dict[str, str]
    body: bytes
    keep_alive: bool


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Encode a request with a body of known length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_response(status: int, headers: Headers, body: bytes, closes: bool) -> bytes:
    """Encode a response with a body of known length."""
    length = None if status in BODILESS_STATUSES else len(body)
    return encode_head(status, headers, length, closes) + body


def encode_head_response(
    status: int, headers: Headers, length: int, closes: bool
) -> bytes:
    """Encode a response to HEAD; `length` is used if the headers state none."""
    has_length = any(name.lower() == "content-length" for name, _ in headers)
    return encode_head(status, headers, None if has_length else length, closes)


def encode_head(
    status: int, headers: Headers, length: int | None, closes: bool
) -> bytes:
    """Encode the status line and headers of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if closes:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
