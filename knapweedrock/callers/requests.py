"""Requests of callers, read from the WSGI environment and checked."""

import re
from collections.abc import Callable, Iterable
from typing import NamedTuple

from knapweedrock.callers.deadlines import Deadline, read_allowed_ms
from knapweedrock.callers.heads import Head
from knapweedrock.callers.keys import Parts, find_key
from knapweedrock.callers.rules import Route, RouteTable
from knapweedrock.clock import Clock
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError
from knapweedrock.headers import is_dropped

MAX_BODY_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024


ORDER_ID = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
DOT_SEGMENT = re.compile(r"/(?:\.|%2e){1,2}(?:/|$)", re.IGNORECASE)


class CallerRequest(NamedTuple):
    """A checked request on its way to a target."""

    route: Route
    key: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline: Deadline
    order_id: str
    idempotent: bool
    caller: str


def split_target(target: str) -> tuple[str, str]:
    """Split a request target into path and query, checked for what we forward."""
    path, _, query = target.partition("?")
    if path[:1] != "/" or path.startswith("//"):
        raise RefusalError(Code.BAD_REQUEST, "expected a path that starts with one /")
    if DOT_SEGMENT.search(path):
        raise RefusalError(Code.BAD_REQUEST, "the path has . or .. as a segment")
    return path, query


def strip_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Remove the headers that are not for the next hop."""
    return [pair for pair in headers if not is_dropped(pair[0])]


def strip_named(headers: list[tuple[str, str]], named: str) -> list[tuple[str, str]]:
    """Remove the headers that the Connection header names."""
    if not named or named.lower() in ("close", "keep-alive"):
        return headers
    names = {name.strip().lower() for name in named.split(",")}
    return [pair for pair in headers if pair[0].lower() not in names]


def read_order_id(route: Route, idempotent: bool, given: str) -> str:
    """Read the order id, which non-idempotent requests to keyed services need."""
    if idempotent:
        return ""
    order_id = given.strip().lower()
    if not order_id and not route.keyed:
        return ""
    if not ORDER_ID.fullmatch(order_id):
        raise RefusalError(
            Code.ORDER_ID_INVALID, "Idempotency-Key: expected a UUID of version 7"
        )
    return order_id


def read_body(stream, head: Head, limit: int = MAX_BODY_BYTES) -> bytes:
    """Read the whole body, declared or chunked, up to the limit in bytes."""
    if head.length > limit:
        raise RefusalError(Code.BODY_TOO_LARGE, f"at most {limit} bytes are taken")
    if not head.chunked:
        return stream.read(head.length)
    pieces, size = [], 0
    while piece := stream.read(READ_BYTES):
        size += len(piece)
        if size > limit:
            raise RefusalError(Code.BODY_TOO_LARGE, f"at most {limit} bytes are taken")
        pieces.append(piece)
    return b"".join(pieces)


def read_request(
    head: Head,
    caller: str,
    routes: RouteTable,
    clock: Clock,
    read: Callable[[Deadline], bytes],
) -> CallerRequest:
    """Check a request; `read` is called for its body once the rest is right."""
    path, query = split_target(head.target)
    route = routes.find(path)
    if route is None:
        raise RefusalError(Code.NO_RULE, f"no rule matches {path[:200]}")
    fields = head.fields
    allowed_ms = read_allowed_ms(route, fields.get("request-deadline-ms", ""))
    deadline = Deadline(clock, allowed_ms)
    idempotent = head.method in route.idempotent
    order_id = read_order_id(route, idempotent, fields.get("idempotency-key", ""))
    key = find_key(route, Parts(path, query, fields))
    return CallerRequest(
        route=route,
        key=key,
        method=head.method,
        path=head.target,
        headers=strip_named(strip_headers(head.headers), fields.get("connection", "")),
        body=read(deadline),
        deadline=deadline,
        order_id=order_id,
        idempotent=idempotent,
        caller=caller,
    )
