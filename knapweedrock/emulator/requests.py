"""A request as a target stand-in reads it, and the answers that it makes."""

import hashlib
from typing import Any, NamedTuple

import msgspec

CRASH_PATH = "/crash"
MAX_ANSWER_BYTES = 64 << 20


class WorkRequest(NamedTuple):
    """One ordinary request to the stand-in.

    `work_ms` is -1 where the request does not choose; `answer_bytes` pads the
    answer; `crashes` marks a request that crashes the target.
    """

    request_id: str
    order_id: str
    key: str
    token: int
    lease_until_ns: int
    deadline_ms: float
    method: str
    path: str
    body: bytes
    work_ms: float
    answer_bytes: int
    crashes: bool


class WorkAnswer(NamedTuple):
    """Status, headers and body of an answer."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


def read_request(environ: dict[str, Any]) -> WorkRequest:
    """Read an ordinary request; raises ValueError where a header is malformed."""
    get = environ.get
    path = get("PATH_INFO", "/")
    query = get("QUERY_STRING", "")
    return WorkRequest(
        request_id=get("HTTP_REQUEST_ID", ""),
        order_id=get("HTTP_IDEMPOTENCY_KEY", ""),
        key=get("HTTP_SERVICE_KEY", ""),
        token=int(get("HTTP_FENCING_TOKEN") or 0),
        lease_until_ns=int(get("HTTP_LEASE_UNTIL") or 0),
        deadline_ms=float(get("HTTP_REQUEST_DEADLINE_MS") or 60_000),
        method=get("REQUEST_METHOD", "GET"),
        path=f"{path}?{query}" if query else path,
        body=environ["wsgi.input"].read(),
        work_ms=float(get("HTTP_WORK_MS") or -1),
        answer_bytes=min(int(get("HTTP_ANSWER_BYTES") or 0), MAX_ANSWER_BYTES),
        crashes=CRASH_PATH in path or "HTTP_CRASH_TARGET" in environ,
    )


def create_answer(
    status: str, value: Any, headers: list[tuple[str, str]] | None = None
) -> WorkAnswer:
    """Create an answer with a JSON body."""
    body = msgspec.json.encode(value)
    listed = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    return WorkAnswer(status, listed + (headers or []), body)


def create_refusal(status: str, reason: str) -> WorkAnswer:
    """Create an answer to a request that did not run."""
    return create_answer(status, {"refused": reason}, [("Not-Run", "true")])


def create_unfinished(request: WorkRequest) -> WorkAnswer:
    """Create the answer to a request that was given up while it ran."""
    value = {"unfinished": True, "path": request.path, "key": request.key}
    headers = [("Request-Id", request.request_id)]
    return create_answer("504 Gateway Timeout", value, headers)


def create_echo(request: WorkRequest, incarnation: str) -> WorkAnswer:
    """Create the answer that repeats the identity of its request."""
    value = {
        "request_id": request.request_id,
        "order_id": request.order_id,
        "key": request.key,
        "method": request.method,
        "path": request.path,
        "digest": hashlib.sha256(request.body).hexdigest(),
        "incarnation": incarnation,
    }
    if request.answer_bytes:
        value["padding"] = "x" * request.answer_bytes
    return create_answer("200 OK", value, [("Request-Id", request.request_id)])


def encode_answer(answer: WorkAnswer) -> bytes:
    """Encode an answer as it goes over the wire."""
    lines = [f"HTTP/1.1 {answer.status}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    return "\r\n".join([*lines, "", ""]).encode() + answer.body
