"""Targets of the model: service times, speeds, refusals and calls of their own."""

import math
from collections.abc import Callable

import gevent

from knapweedrock.clock import Clock
from knapweedrock.codes import Code
from knapweedrock.emulator.target import EmulatedTarget
from knapweedrock.errors import PlatformError
from knapweedrock.mesh.callers import Reply
from knapweedrock.mesh.http import JSON_HEADERS, Headers, Request, Response
from knapweedrock.model.patterns import Kind, ServiceSpec
from knapweedrock.platform.headers import ATTEMPT_ID, REMAINING_MS, SIGNATURE
from knapweedrock.timers import Timeout

NETWORK_MS = 0.3
# Shape of the log-normal distribution of service times.
SERVICE_TIME_SIGMA = 0.5
FAILED_CALL_STATUS = 500
TIMED_OUT_STATUS = 504

# Sends a call of a kind with its remaining time in ms; returns whether it was served.
CallSender = Callable[[str, float], bool]


class ModelHeartbeatClient:
    """Sends heartbeats to the node beside the target, while a node runs there."""

    def __init__(self, target: "ModelTarget") -> None:
        self._target = target

    def send(self, path: str, body: bytes) -> Response:
        """Send a heartbeat and return the node's response."""
        gevent.sleep(NETWORK_MS / 1000)
        handle = self._target.heartbeat_handler
        if handle is None:
            raise PlatformError(Code.TARGET_UNREACHABLE, "connection refused")
        reply = handle(create_request("POST", path, JSON_HEADERS, body), "")
        return Response(reply.status, reply.headers, reply.body, True)


class ModelTarget(EmulatedTarget):
    """A target that its node calls without a network.

    `speed` divides its service times.
    """

    def __init__(
        self, spec: ServiceSpec, zone: str, number: int, clock: Clock, seed: int
    ) -> None:
        address = ("127.0.0.1", number + 1)
        super().__init__(spec.name, zone, address, ("", 0), clock, seed)
        self.slots = spec.slots
        self.speed = spec.speeds[number % len(spec.speeds)]
        self.keyed = spec.keyed
        # Handler of the node beside the target; None while no node runs there.
        self.heartbeat_handler: Callable[[Request, str], Reply] | None = None
        self.kinds: dict[str, Kind] = {}
        self.send_call: CallSender = lambda _kind, _remaining_ms: True
        self._up = False

    def request(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        _attempt_id: str,
        timeout_s: float,
    ) -> Response:
        """Run a request of the node; takes the place of its HTTP client."""
        gevent.sleep(NETWORK_MS / 1000)
        if not self._up:
            raise ConnectionRefusedError("the target is down")
        try:
            with Timeout(timeout_s):
                reply = self._serve(create_request(method, path, headers, body), "")
        except TimeoutError:
            return Response(TIMED_OUT_STATUS, [(SIGNATURE, "signed")], b"", True)
        return Response(reply.status, reply.headers, reply.body, True)

    def is_up(self) -> bool:
        """Return whether the target runs."""
        return self._up

    def _open(self) -> None:
        self._up = True

    def _close(self) -> None:
        self._up = False

    def _create_heartbeat_client(self) -> ModelHeartbeatClient:
        return ModelHeartbeatClient(self)

    def _work(self, request: Request) -> int:
        kind = self.kinds[request.target.split("/")[1]]
        mu = math.log(kind.work_ms / self.speed) - SERVICE_TIME_SIGMA**2 / 2
        work_ms = self._random.lognormvariate(mu, SERVICE_TIME_SIGMA)
        gevent.sleep(work_ms / 1000)
        remaining_ms = float(request.fields.get(REMAINING_MS, 0)) - work_ms
        for name, share in kind.calls:
            is_needed = self._random.random() < share
            if is_needed and not self.send_call(name, remaining_ms):
                return FAILED_CALL_STATUS
        return 200


def create_request(method: str, path: str, headers: Headers, body: bytes) -> Request:
    """Create a request as a node or target receives it."""
    pairs = [(name.lower(), value) for name, value in headers]
    return Request(method, path, pairs, dict(pairs), body, True)


def create_headers(attempt_id: str, remaining_ms: float) -> Headers:
    """Create the headers that every request to a node has."""
    return [(ATTEMPT_ID, attempt_id), (REMAINING_MS, f"{remaining_ms:.1f}")]
