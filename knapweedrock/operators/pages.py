"""Registry of the pages that a node shows to operators."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from knapweedrock.codes import INFO, Code
from knapweedrock.errors import KnapweedrockError

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

JSON_TYPE = "application/json"


class Request(NamedTuple):
    """An operator's request; `query` holds the first value of each field."""

    method: str
    path: str
    query: dict[str, str]
    content_type: str
    body: bytes


class Answer(NamedTuple):
    """Answer to an operator."""

    status: int
    content_type: str
    body: bytes
    code: Code = Code.DONE
    retry_after_ms: int = 0


Handler = Callable[["Environment", Request], Answer]


class Page(NamedTuple):
    """A handler and whether strangers may call it."""

    handler: Handler
    public: bool


PAGES: dict[tuple[str, str], Page] = {}


def page(method: str, path: str, public: bool = False) -> Callable[[Handler], Handler]:
    """Register the handler of a method and path."""

    def register(handler: Handler) -> Handler:
        PAGES[(method, path)] = Page(handler, public)
        return handler

    return register


def answer_json(value: Any, status: int = 200) -> Answer:
    """Answer with JSON."""
    return Answer(status, JSON_TYPE, msgspec.json.encode(value))


def answer_error(error: KnapweedrockError) -> Answer:
    """Answer with one error."""
    return answer_errors([error])


def answer_errors(errors: list[KnapweedrockError]) -> Answer:
    """Answer with errors; the first one gives the code and the status."""
    first = errors[0]
    info = INFO[first.code]
    value = {
        **describe_error(first),
        "outcome": info.outcome.value,
        "errors": [describe_error(error) for error in errors],
    }
    retry_after_ms = getattr(first, "retry_after_ms", 0) or 1000 * info.retry
    return Answer(
        info.http_status,
        JSON_TYPE,
        msgspec.json.encode(value),
        first.code,
        retry_after_ms,
    )


def describe_error(error: KnapweedrockError) -> dict[str, Any]:
    """Describe one error as plain data."""
    return {
        "code": int(error.code),
        "name": error.code.name,
        "detail": error.detail,
    }
