"""Answers to callers: a target's whole answer, or a numbered refusal."""

import json
import time
from email.utils import formatdate
from functools import lru_cache
from http.client import responses
from typing import NamedTuple

from knapweedrock.codes import INFO, Code, Outcome
from knapweedrock.headers import is_dropped
from knapweedrock.nodes.messages import Delivered

DEFAULT_RETRY_AFTER_MS = 250
MS_PER_S = 1000
BODILESS = frozenset({204, 304})
OWN_PREFIX = "knapweedrock-"
CACHED_NAMES = 4096
CACHED_STATUSES = 1024
DONE_HEADERS = (
    ("Knapweedrock-Code", str(int(Code.DONE))),
    ("Knapweedrock-Outcome", str(Outcome.DONE)),
)


class Answer(NamedTuple):
    """A whole HTTP answer."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


class DateLine:
    """The Date header, formatted once a second."""

    def __init__(self) -> None:
        self._second = 0
        self._line = ""

    def find(self) -> str:
        """Return the header line of the present time."""
        second = int(time.time())
        if second != self._second:
            self._second = second
            self._line = f"Date: {formatdate(second, usegmt=True)}"
        return self._line


DATES = DateLine()


class Origin(NamedTuple):
    """Where an answer came from: the owner's caller address and the view's version.

    Both are empty where they are not known.
    """

    owner: str = ""
    view: str = ""


NOWHERE = Origin()


@lru_cache(CACHED_NAMES)
def is_own(name: str) -> bool:
    """Tell whether only a node says this in an answer."""
    return name.lower().startswith(OWN_PREFIX)


@lru_cache(CACHED_NAMES)
def is_date(name: str) -> bool:
    """Tell whether this is the header of the time."""
    return name.lower() == "date"


@lru_cache(CACHED_STATUSES)
def format_status(status: int) -> str:
    """Write a status with its usual reason."""
    return f"{status} {responses.get(status, 'Unknown')}"


def name_result(code: Code, outcome: Outcome, origin: Origin) -> list[tuple[str, str]]:
    """List the headers that every answer carries."""
    headers = [*DONE_HEADERS]
    if code is not Code.DONE:
        headers = [
            ("Knapweedrock-Code", str(int(code))),
            ("Knapweedrock-Outcome", str(outcome)),
        ]
    if origin.owner:
        headers.append(("Knapweedrock-Owner", origin.owner))
    if origin.view:
        headers.append(("Knapweedrock-View", origin.view))
    return headers


def create_refusal(
    code: Code, detail: str, retry_after_ms: int = 0, origin: Origin = NOWHERE
) -> Answer:
    """Create the answer to a request that is given up."""
    info = INFO[code]
    headers = name_result(code, info.outcome, origin)
    headers.append(("Content-Type", "application/json"))
    if info.retry:
        wait_ms = retry_after_ms or DEFAULT_RETRY_AFTER_MS
        headers.append(("Retry-After", str(max(1, -(-wait_ms // MS_PER_S)))))
        headers.append(("Retry-After-Ms", str(wait_ms)))
    fields = {
        "code": int(code),
        "name": code.name,
        "outcome": str(info.outcome),
        "detail": detail or info.meaning,
    }
    body = json.dumps(fields).encode()
    headers.append(("Content-Length", str(len(body))))
    return Answer(format_status(info.http_status), headers, body)


def pass_on(delivered: Delivered, method: str, origin: Origin) -> Answer:
    """Create the answer that hands over a target's own answer whole."""
    headers = [
        (name, value)
        for name, value in delivered.headers
        if not is_dropped(name) and not is_own(name)
    ]
    headers += name_result(Code.DONE, Outcome.DONE, origin)
    if method == "HEAD":
        headers += find_length(delivered)
    elif delivered.status not in BODILESS:
        headers.append(("Content-Length", str(len(delivered.body))))
    body = b"" if delivered.status in BODILESS else delivered.body
    return Answer(format_status(delivered.status), headers, body)


def find_length(delivered: Delivered) -> list[tuple[str, str]]:
    """Find the length that the target gave in its answer to HEAD."""
    return [
        (name, value)
        for name, value in delivered.headers
        if name.lower() == "content-length"
    ]


def create_answer(delivered: Delivered, method: str, origin: Origin) -> Answer:
    """Create the answer for what the node beside the target said."""
    if delivered.code == Code.DONE:
        return pass_on(delivered, method, origin)
    return create_refusal(
        Code(delivered.code), delivered.detail, delivered.retry_after_ms, origin
    )


def encode_answer(answer: Answer, closes: bool) -> bytes:
    """Encode an answer; raises `ValueError` for a header with a line break."""
    lines = [f"HTTP/1.1 {answer.status}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    if not any(is_date(name) for name, _ in answer.headers):
        lines.append(DATES.find())
    if closes:
        lines.append("Connection: close")
    head = "\r\n".join(lines) + "\r\n\r\n"
    if head.count("\n") != len(lines) + 1 or head.count("\r") != len(lines) + 1:
        raise ValueError("a header has a line break")
    return head.encode("latin-1") + answer.body
