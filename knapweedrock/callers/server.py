"""HTTP server for callers: any path, with service and key found by the rules."""

import gevent

from knapweedrock.callers.answers import Answer, Origin, create_answer, create_refusal
from knapweedrock.callers.attempts import Routed
from knapweedrock.callers.connections import CallerHandler, CallerServer
from knapweedrock.callers.deadlines import Deadline
from knapweedrock.callers.departures import CallerGoneError
from knapweedrock.callers.requests import CallerRequest, read_body, read_request
from knapweedrock.callers.routing import Router, create_router
from knapweedrock.callers.rules import RouteTable
from knapweedrock.codes import Code
from knapweedrock.environment import Environment
from knapweedrock.errors import RefusalError

BODY_S = 10
MAX_REQUESTS = 2048
MS_PER_S = 1000


class Ingress:
    """The WSGI application that callers reach."""

    def __init__(self, env: Environment) -> None:
        self._env = env
        self._routes = RouteTable(env.configuration)
        self._router: Router = create_router(env)
        self._in_flight = 0

    def __call__(self, environ: dict, start_response) -> list[bytes]:
        """Answer one request."""
        handler = environ["knapweedrock.handler"]
        self._in_flight += 1
        try:
            answer = self._answer(handler, environ)
        finally:
            self._in_flight -= 1
        if handler.server.draining:
            handler.close_connection = True
        start_response(answer.status, answer.headers)
        return [] if handler.command == "HEAD" else [answer.body]

    def dump(self) -> dict[str, object]:
        """Return the state of the ingress."""
        return {"in_flight": self._in_flight, "router": self._router.dump()}

    def _answer(self, handler: CallerHandler, environ: dict) -> Answer:
        self._env.counters.count("caller_requests")
        try:
            if self._in_flight > MAX_REQUESTS:
                raise RefusalError(Code.OVERLOADED, "too many requests at this node")
            request = self._read(handler, environ)
        except RefusalError as error:
            return self._refuse(handler, error)
        try:
            routed = self._route(handler, request)
        except CallerGoneError:
            self._env.counters.count("caller_departures")
            handler.close_connection = True
            return create_refusal(Code.CANCELLED, "")
        code = Code(routed.delivered.code)
        if code != Code.DONE:
            self._env.counters.count("caller_refusals", code=code.name)
        return create_answer(routed.delivered, request.method, self._locate(routed))

    def _route(self, handler: CallerHandler, request: CallerRequest) -> Routed:
        # An order runs to its end, so that a repeated one finds its answer.
        if not request.idempotent:
            return self._router.route(request)
        with handler.departure:
            return self._router.route(request)

    def _read(self, handler: CallerHandler, environ: dict) -> CallerRequest:
        if self._env.configuration.version == 0:
            raise RefusalError(Code.CONFIG_STALE)
        head = handler.head

        def read(deadline: Deadline) -> bytes:
            if not head.chunked and not head.length:
                return b""
            limit_s = min(BODY_S, max(deadline.remaining_ms(), 1) / MS_PER_S)
            try:
                with gevent.Timeout(limit_s, TimeoutError("body took too long")):
                    return read_body(environ["wsgi.input"], head)
            except OSError as error:
                raise RefusalError(Code.BAD_REQUEST, f"body: {error}") from None

        caller = handler.client_address[0]
        return read_request(head, caller, self._routes, self._env.clock, read)

    def _refuse(self, handler: CallerHandler, error: RefusalError) -> Answer:
        if handler.has_unread_body():
            handler.abandon_body()
        self._env.counters.count("caller_refusals", code=error.code.name)
        return create_refusal(error.code, error.detail, error.retry_after_ms)

    def _locate(self, routed: Routed) -> Origin:
        owner = routed.member["caller"] if routed.member else ""
        version = self._env.views.version
        return Origin(owner, f"{version.epoch}.{version.count}")


def create_server(env: Environment) -> CallerServer:
    """Create the server for callers; it listens once started."""
    ingress = Ingress(env)
    env.dumps["callers"] = ingress
    return CallerServer(env, ingress)
