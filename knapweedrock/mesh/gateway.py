"""Delivery of requests to the local target."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError, RefusalError
from knapweedrock.headers import HOP_BY_HOP_HEADERS
from knapweedrock.mesh.admission import MAX_KINDS, Admission
from knapweedrock.mesh.definitions import Service
from knapweedrock.mesh.http import Headers, Response
from knapweedrock.mesh.http_client import (
    BrokenExchangeError,
    ExchangeTimeoutError,
    HttpClient,
    is_valid,
)
from knapweedrock.mesh.http_connections import dial
from knapweedrock.mesh.load_meter import LoadMeter
from knapweedrock.mesh.messages import Forward, Forwarded, TargetNotice
from knapweedrock.mesh.notifier import Notifier
from knapweedrock.mesh.pacing import BYTES_PER_MS_PER_MBPS
from knapweedrock.mesh.quarantine import Quarantine, compute_fingerprint
from knapweedrock.mesh.senders import Senders
from knapweedrock.platform.headers import (
    ATTEMPT_ID,
    EXPECTED_INSTANCE,
    INSTANCE_ID,
    NOT_EXECUTED,
    REMAINING_MS,
)
from knapweedrock.platform.reports import decode_report

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

# Time reserved for the way back, so that the target's own response arrives before the
# sender's time-out.
RETURN_MARGIN_MS = 5.0
CONTENT_LENGTH = "content-length"
HEALTHY_STATUS = 200
MISDIRECTED_STATUS = 421
PROBE_TIMEOUT_S = 0.4
MOVING_RETRY_MS = 300
# Weight of one response in the moving average of its route's response sizes.
SIZE_WEIGHT = 0.05
# Within this time a silent target sends a heartbeat again, or its keys get another
# owner.
SILENT_RETRY_MS = 2000
# Time reserved before a stopping node ends, to pass on the target's last responses.
FINAL_RESPONSE_MARGIN_MS = 150.0
# A stopping node accepts a request only if at least this many service times remain.
MIN_SERVICE_TIMES = 2.0
# A node that stops on a running VM has usually restarted after this time.
RESTART_RETRY_MS = 1500
# Longest wait for a heartbeat that brings a grant: a share of the remaining time, and
# an absolute limit.
GRANT_WAIT_SHARE = 0.6
MAX_GRANT_WAIT_MS = 1000.0

log = Logger("gateway")


class Gateway:
    """Checks and admits requests, and sends them to the local target."""

    def __init__(
        self,
        node: "Node",
        clock: Clock,
        counters: Counters,
        admission: Admission,
        report_crash: Callable[[list[str]], None],
    ) -> None:
        self.admission = admission
        self.quarantine = Quarantine(clock)
        self.in_flight: dict[int, str] = {}
        self.load_meter = LoadMeter(clock)
        self._senders = Senders(clock)
        self.closing = False
        # Time at which a stopping node ends; 0 until it stops.
        self.shutdown_deadline_ns = 0
        # Target incarnation whose crash was counted last.
        self._last_crashed = ""
        self._grant_notifier = Notifier()
        self._node = node
        self._clock = clock
        self._counters = counters
        self._report_crash = report_crash
        self._target = node.target
        # Average response size of each route.
        self._response_bytes: dict[str, float] = {}
        self._queue_ms = node.histograms.create("queue_ms")
        self._service_ms = node.histograms.create("service_ms")
        address = node.settings.target
        self.http_client = HttpClient(address or ("0.0.0.0", 0), clock, counters)

    def deliver(self, request: Forward, sender: str = "") -> Forwarded:
        """Deliver a request from a node to the target; return the outcome."""
        self._senders.record(sender)
        try:
            return self._deliver(request)
        except KnapweedrockError as error:
            retry_after_ms = getattr(error, "retry_after_ms", 0)
            self._record_failure(request, error)
            return self._create_failed(error.code, error.detail, retry_after_ms)

    def _record_failure(self, request: Forward, error: KnapweedrockError) -> None:
        self._counters.count("gateway_failures", code=error.code.name)
        node, admission = self._node, self.admission

        def describe() -> dict[str, object]:
            return {
                "route": request.route,
                "service": request.service,
                "key": request.key,
                "priority": request.priority,
                "code": error.code.name,
                "detail": error.detail,
                "target": self._target.name,
                "heartbeat_ms": self._target.get_heartbeat_age_ms(),
                "in_flight": admission.in_flight,
                "waiting": admission.waiting,
                "limit": self._target.limit,
                "service_ms": round(admission.service_ms, 1),
                "cold": admission.is_cold(),
                "remaining_ms": request.remaining_ms,
                "objective_ms": request.objective_ms,
                "board": f"{node.board.epoch}.{node.board.version}",
            }

        attempt_id = find_header(request.headers, ATTEMPT_ID)
        node.request_log.log_failure("delivery failed", attempt_id, describe)

    def _deliver(self, request: Forward) -> Forwarded:
        request = self._cap_remaining(request)
        began_ns = self._clock.now_ns()
        self._wait_for_grant(request)
        request = request.subtract_elapsed(
            (self._clock.now_ns() - began_ns) / NS_PER_MS
        )
        began_ns = self._clock.now_ns()
        self._check_deliverable(request)
        fingerprint = compute_fingerprint(
            request.method, request.path, request.key, request.body
        )
        if self.quarantine.is_quarantined(fingerprint):
            raise RefusalError(Code.QUARANTINED)
        self._wait_for_slot(request)
        sent_ns = self._clock.now_ns()
        service_ms = 0.0
        self._queue_ms.observe((sent_ns - began_ns) / NS_PER_MS)
        try:
            # The target may have left, or the key moved, while the request waited.
            self._check_deliverable(request)
            waited_ms = (sent_ns - began_ns) / NS_PER_MS
            response = self._exchange(
                request, fingerprint, request.remaining_ms - waited_ms
            )
            if not is_refusal(response):
                service_ms = (self._clock.now_ns() - sent_ns) / NS_PER_MS
                self._service_ms.observe(service_ms)
        finally:
            self.in_flight.pop(id(request), None)
            self.admission.release(service_ms, request.route)
            if request.key >= 0:
                elapsed_ms = (self._clock.now_ns() - sent_ns) / NS_PER_MS
                # A refused request counts with the service time that it would need.
                refused_ms = 0.0 if service_ms else self.admission.service_ms
                self.load_meter.add(request.key, max(elapsed_ms, refused_ms))
        return self._handle_response(request, response, fingerprint)

    def _cap_remaining(self, request: Forward) -> Forward:
        """Cap the remaining time of a request at the end of a stopping node.

        The target then times the request out itself. Raises `RefusalError` if the
        request can't be completed before the end.
        """
        if not self.shutdown_deadline_ns:
            return request
        remaining_ms = (
            self.shutdown_deadline_ns - self._clock.now_ns()
        ) / NS_PER_MS - FINAL_RESPONSE_MARGIN_MS
        if remaining_ms < MIN_SERVICE_TIMES * self.admission.service_ms:
            raise RefusalError(Code.LEAVING, "node is stopping", RESTART_RETRY_MS)
        return request._replace(remaining_ms=min(request.remaining_ms, remaining_ms))

    def notify_granted(self) -> None:
        """Wake the requests that wait for a grant to the target."""
        self._grant_notifier.notify_all()

    def _wait_for_grant(self, request: Forward) -> None:
        """Wait for the heartbeat that grants the target a key it already owns.

        Raises `RefusalError` at once if the heartbeat is due after the longest wait.
        """
        wait_ms = min(MAX_GRANT_WAIT_MS, GRANT_WAIT_SHARE * request.remaining_ms)
        until_ns = self._clock.now_ns() + int(wait_ms * NS_PER_MS)
        while request.key >= 0 and not self.closing and self._target.is_usable():
            rows, now_ns = self._node.get_rows(request.service), self._clock.now_ns()
            is_grant_pending = self._node.holds.is_grant_pending(
                request.key, self._target.name, rows, now_ns
            )
            if not is_grant_pending or now_ns >= until_ns:
                return
            due_ms = self._target.compute_heartbeat_due_ms()
            if due_ms > (until_ns - now_ns) / NS_PER_MS:
                raise RefusalError(Code.MOVING, "granted later", int(due_ms))
            self._grant_notifier.wait((until_ns - now_ns) / NS_PER_MS / 1000)

    def _wait_for_slot(self, request: Forward) -> None:
        """Acquire a slot; a refused request still counts as load of its key."""
        self._check_link(request)
        try:
            self.admission.acquire(
                request.priority,
                request.objective_ms,
                request.remaining_ms,
                request.route,
            )
        except RefusalError:
            if request.key >= 0:
                self.load_meter.add(request.key, self.admission.service_ms)
            raise

    def _check_link(self, request: Forward) -> None:
        """Refuse a request if its response would wait too long for the network link.

        Routes with short responses are exempt: short responses overtake long ones.
        """
        typical_bytes = self._response_bytes.get(request.route)
        if typical_bytes is not None and not self._node.links.pacer.is_long(
            typical_bytes
        ):
            return
        drain_ms = self.compute_drain_ms()
        queue_timeout_ms = self.admission.compute_queue_timeout_ms(
            request.objective_ms, request.remaining_ms, request.route
        )
        if drain_ms > queue_timeout_ms:
            raise RefusalError(Code.OVERLOADED, "network link is full", int(drain_ms))

    def compute_drain_ms(self) -> float:
        """Compute how long the network link needs to send the queued responses."""
        link_mbps = self._node.settings.link_mbps
        if not link_mbps:
            return 0.0
        return self._node.links.count_unsent_bytes() / BYTES_PER_MS_PER_MBPS / link_mbps

    def _compute_load_per_slot(self) -> float:
        """Return the load of the target and the network link, in requests per slot."""
        queued_requests = self.compute_drain_ms() / max(self.admission.service_ms, 1.0)
        return self.admission.get_load_per_slot() + queued_requests

    def _check_deliverable(self, request: Forward) -> None:
        """Raise `RefusalError` if the target must not receive the request now."""
        node, target = self._node, self._target
        if self.closing:
            raise RefusalError(Code.LEAVING)
        if not node.config_watcher.is_loaded():
            # The rate of cold targets and the evacuated zones are not known yet.
            raise RefusalError(Code.CONFIG_STALE, "no configuration yet")
        if request.service != node.settings.service or not target.name:
            raise RefusalError(Code.NO_LIVE_TARGET)
        if target.draining:
            raise RefusalError(Code.LEAVING)
        if not target.confirmed:
            # The previous node process may have known that the target is leaving.
            raise RefusalError(Code.NO_LIVE_TARGET, "target not confirmed since start")
        if target.dead_incarnation:
            raise RefusalError(Code.TARGET_UNREACHABLE, "target is down")
        if target.silent:
            raise RefusalError(
                Code.TARGET_UNREACHABLE, "target does not respond", SILENT_RETRY_MS
            )
        if node.is_zone_evacuated():
            raise RefusalError(Code.ZONE_OUT)
        rows = node.get_rows(request.service)
        if request.key >= 0 and not node.holds.may_serve(
            request.key, target.name, rows, self._clock.now_ns()
        ):
            raise RefusalError(Code.NOT_OWNER, "", MOVING_RETRY_MS)

    def _exchange(
        self, request: Forward, fingerprint: str, remaining_ms: float
    ) -> Response:
        if remaining_ms < RETURN_MARGIN_MS:
            raise RefusalError(Code.DEADLINE_PASSED)
        headers = [pair for pair in request.headers if pair[0] != REMAINING_MS]
        attempt_id = find_header(headers, ATTEMPT_ID)
        headers.append((REMAINING_MS, str(int(remaining_ms - RETURN_MARGIN_MS))))
        headers.append((EXPECTED_INSTANCE, self._target.instance))
        name = self._target.name
        self.in_flight[id(request)] = fingerprint
        self._counters.count("target_requests")
        try:
            response = self.http_client.request(
                request.method,
                request.path,
                headers,
                request.body,
                attempt_id,
                remaining_ms / 1000,
            )
        except ConnectionRefusedError as error:
            self._target.mark_dead(name)
            self._node.membership.request_renewal()
            raise RefusalError(
                Code.TARGET_UNREACHABLE, str(error), MOVING_RETRY_MS
            ) from error
        except ExchangeTimeoutError:
            raise
        except BrokenExchangeError:
            self._begin_crash_check(name)
            raise
        self._handle_report(name, response)
        return response

    def _handle_report(self, name: str, response: Response) -> None:
        """Apply the target's report about itself in a response of its own."""
        if response.status == MISDIRECTED_STATUS or not is_valid(response):
            return
        report = decode_report(response.headers)
        if self._target.handle_report(name, report, response.head_ns):
            self._node.membership.request_renewal()

    def _begin_crash_check(self, name: str) -> None:
        """Start a check whether the target has crashed, with the requests in flight."""
        gevent.spawn(self._check_crash, name, list(self.in_flight.values()))

    def _check_crash(self, name: str, fingerprints: list[str]) -> None:
        try:
            connection = dial(self.http_client.address, PROBE_TIMEOUT_S)
        except ConnectionRefusedError:
            self._record_crash(name, fingerprints)
        except OSError as error:
            log.warning("can't connect to target", reason=error)
        else:
            connection.close()

    def _record_crash(self, name: str, fingerprints: list[str]) -> None:
        """Count a crash once per target incarnation, against the requests in flight.

        The target may already be marked as dead: a retry can find it down first.
        """
        if name == self._last_crashed:
            return
        self._last_crashed = name
        self._target.mark_dead(name)
        self.http_client.close_idle()
        self.quarantine.record_crash(fingerprints)
        self._report_crash(fingerprints)
        self._node.membership.request_renewal()

    def _handle_response(
        self, request: Forward, response: Response, fingerprint: str
    ) -> Forwarded:
        """Return the target's response; raise on a refusal or a foreign response."""
        if is_refusal(response):
            self._counters.count("target_refusals", status=str(response.status))
            if response.status == 400:
                return self._create_done(request, response)
            if response.status == MISDIRECTED_STATUS:
                raise RefusalError(Code.TARGET_FENCED, "", MOVING_RETRY_MS)
            retry_after_ms = int(self.admission.get_retry_after_ms())
            raise RefusalError(Code.TARGET_SHED, "", retry_after_ms)
        if not is_valid(response):
            raise KnapweedrockError(Code.ANSWER_TRUNCATED, "not the target's response")
        self.quarantine.clear(fingerprint)
        self._record_size(request.route, len(response.body))
        return self._create_done(request, response)

    def _record_size(self, route: str, size_bytes: int) -> None:
        if route not in self._response_bytes and len(self._response_bytes) >= MAX_KINDS:
            self._response_bytes.clear()
        average_bytes = self._response_bytes.get(route, size_bytes)
        self._response_bytes[route] = (
            average_bytes + (size_bytes - average_bytes) * SIZE_WEIGHT
        )

    def _create_done(self, request: Forward, response: Response) -> Forwarded:
        dropped = (
            HOP_BY_HOP_HEADERS - {CONTENT_LENGTH}
            if request.method == "HEAD"
            else HOP_BY_HOP_HEADERS
        )
        headers = [p for p in response.headers if p[0].lower() not in dropped]
        return Forwarded(
            int(Code.DONE),
            response.status,
            headers,
            response.body,
            "",
            0,
            self._compute_load_per_slot(),
            self._create_notice(),
        )

    def _create_failed(self, code: Code, detail: str, retry_ms: float) -> Forwarded:
        load_per_slot = self._compute_load_per_slot()
        notice = self._create_notice()
        return Forwarded(int(code), 0, [], b"", detail, retry_ms, load_per_slot, notice)

    def _create_notice(self) -> TargetNotice | None:
        """Create the notice of the target's state for the sending nodes, if needed."""
        rate_per_s = self.admission.limit.rate_per_s
        if rate_per_s is None and not self._target.draining:
            return None
        interval_ms = (
            self._senders.compute_interval_ms(rate_per_s) if rate_per_s else 0.0
        )
        return TargetNotice(self._target.name, self._target.draining, interval_ms)

    def fetch_instance(self) -> str:
        """Return the instance id on the target's health page, empty without one."""
        service = self._node.get_own_service()
        if service is None or not self._node.settings.target:
            return ""
        try:
            return self._fetch_health(service).get_header(INSTANCE_ID)
        except (ConnectionRefusedError, KnapweedrockError) as error:
            log.info("no answer from the health page", reason=str(error))
            return ""

    def _fetch_health(self, service: Service) -> Response:
        headers: Headers = [("host", "{}:{}".format(*self.http_client.address))]
        return self.http_client.request(
            "GET", service.health_path, headers, b"", "", PROBE_TIMEOUT_S
        )

    def probe(self) -> None:
        """Check the target's health page, since a late heartbeat proves no failure."""
        node, target = self._node, self._target
        service = node.get_own_service()
        if service is None or not node.settings.target:
            return
        try:
            response = self._fetch_health(service)
        except ConnectionRefusedError:
            target.mark_dead(target.name)
            node.membership.request_renewal()
            return
        except KnapweedrockError as error:
            if error.code is Code.OVERLOADED:
                # All connections are in use, so the target is busy rather than dead.
                return
            if not target.silent and target.name:
                log.warning("target is silent", reason=error.detail)
                target.silent = True
                node.membership.request_renewal()
            return
        if response.get_header(INSTANCE_ID) != target.instance:
            return
        was_usable = target.is_usable()
        report = decode_report(response.headers)
        if report.leaving or report.limit is not None or not report.is_readable:
            # Health pages may omit headers that other responses have.
            target.handle_report(target.name, report, response.head_ns)
        target.mark_alive()
        if response.status == HEALTHY_STATUS:
            target.confirm()
        else:
            target.needs_health_check = not target.confirmed
        target.set_cold(report.cold_ms)
        if target.is_usable() != was_usable:
            node.membership.request_renewal()


def is_refusal(response: Response) -> bool:
    """Return whether the target reports that it did not execute the request."""
    return response.status == MISDIRECTED_STATUS or bool(
        response.get_header(NOT_EXECUTED)
    )


def find_header(headers: Headers, name: str) -> str:
    """Return the value of a header, or an empty string; `name` is in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return ""
