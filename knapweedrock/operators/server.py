"""HTTP server for operators: secret, limits, and errors as numbered answers."""

import hmac
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

import logbook
from gevent.pywsgi import WSGIServer

from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.operators import views  # noqa: F401  registers the pages
from knapweedrock.operators.handler import NumberedHandler
from knapweedrock.operators.pages import (
    PAGES,
    Answer,
    Page,
    Request,
    answer_error,
    answer_errors,
)
from knapweedrock.operators.tickets import MAX_TICKET_BYTES
from knapweedrock.sockets import create_http_server

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

MAX_BODY_BYTES = MAX_TICKET_BYTES
MAX_QUERY_FIELDS = 20
REASONS = {200: "OK", 401: "Unauthorized", 404: "Not Found", 503: "Unavailable"}

log = logbook.Logger("operators")

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Application:
    """WSGI application that answers operators."""

    def __init__(self, env: "Environment") -> None:
        self.env = env

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        answer = self.answer(environ)
        self.env.counters.count("operator_answers", code=str(int(answer.code)))
        reason = REASONS.get(answer.status, "Answer")
        start_response(f"{answer.status} {reason}", list_headers(answer))
        return [answer.body]

    def answer(self, environ: dict[str, Any]) -> Answer:
        """Answer one request, whatever goes wrong."""
        try:
            found = find_page(environ)
            if not found.public:
                check_secret(self.env.settings.secret, environ)
            return found.handler(self.env, read_request(environ))
        except KnapweedrockError as error:
            return answer_error(error)
        except ExceptionGroup as group:
            return answer_errors(list_errors(group))
        except Exception as error:  # the process goes on, whatever a page does
            log.exception("page failed", path=environ.get("PATH_INFO", ""))
            return answer_error(KnapweedrockError(Code.INTERNAL, repr(error)))


def list_errors(group: ExceptionGroup) -> list[KnapweedrockError]:
    """List the errors of a group; raise it again if it holds others."""
    known, others = group.split(KnapweedrockError)
    if others:
        return [KnapweedrockError(Code.INTERNAL, repr(others))]
    return list(known.exceptions)


def find_page(environ: dict[str, Any]) -> Page:
    """Find the page that is asked for."""
    method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
    found = PAGES.get(("GET" if method == "HEAD" else method, path))
    if found:
        return found
    others = sorted(m for m, p in PAGES if p == path)
    if others:
        detail = f"{path} takes " + " and ".join(others)
        raise KnapweedrockError(Code.BAD_REQUEST, detail)
    raise KnapweedrockError(Code.BAD_PATH)


def check_secret(secret: str, environ: dict[str, Any]) -> None:
    """Refuse a caller without the shared secret, in constant time."""
    if not secret:
        return
    given = environ.get("HTTP_AUTHORIZATION", "")
    expected = f"Bearer {secret}"
    if not hmac.compare_digest(given.encode("latin-1"), expected.encode()):
        raise KnapweedrockError(Code.PEER_UNAUTHENTICATED)


def read_request(environ: dict[str, Any]) -> Request:
    """Read the request, with a limit on its body."""
    try:
        body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
        fields = parse_qsl(environ["QUERY_STRING"], max_num_fields=MAX_QUERY_FIELDS)
    except (OSError, ValueError) as error:
        raise KnapweedrockError(Code.BAD_REQUEST, str(error)) from None
    if len(body) > MAX_BODY_BYTES:
        detail = f"found more than {MAX_BODY_BYTES} bytes"
        raise KnapweedrockError(Code.BODY_TOO_LARGE, detail)
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(reversed(fields)),
        environ.get("CONTENT_TYPE", ""),
        body,
    )


def list_headers(answer: Answer) -> list[tuple[str, str]]:
    """List the headers of an answer."""
    headers = [
        ("Content-Type", answer.content_type),
        ("Content-Length", str(len(answer.body))),
        ("Knapweedrock-Code", str(int(answer.code))),
    ]
    if answer.code == Code.PEER_UNAUTHENTICATED:
        headers.append(("WWW-Authenticate", "Bearer"))
    if answer.retry_after_ms:
        headers.append(("Retry-After", str(-(-answer.retry_after_ms // 1000))))
        headers.append(("Retry-After-Ms", str(answer.retry_after_ms)))
    return headers


def create_server(env: "Environment") -> WSGIServer:
    """Create the server on the operator address; it has `start` and `stop`."""
    server = create_http_server(env.settings.operator, Application(env))
    server.handler_class = NumberedHandler
    return server
