"""Route each request of a caller to a target, and retry until its result is final."""

import random
from typing import TYPE_CHECKING

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import INFO, Code, Outcome, parse_code
from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError, RefusalError
from knapweedrock.mesh.attempts import (
    Progress,
    create_failure,
    get_attempt_result,
    is_success,
    resolve_result,
)
from knapweedrock.mesh.budgets import RetryBudgets, create_budget_terms
from knapweedrock.mesh.callers import Reply, create_refusal
from knapweedrock.mesh.calls import Call, SilentLinkError
from knapweedrock.mesh.gateway import RESTART_RETRY_MS
from knapweedrock.mesh.holds import find_row
from knapweedrock.mesh.http import Request
from knapweedrock.mesh.messages import Forward, Forwarded, Member, Row
from knapweedrock.mesh.routed_requests import (
    RoutedRequest,
    RoutedRequestFactory,
    find_route,
)
from knapweedrock.mesh.selection import TargetSelector
from knapweedrock.platform.headers import ATTEMPT_ID

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

# Time after the request's deadline in which a peer's response is still awaited.
LINK_MARGIN_MS = 30.0
# No attempt is started with less time than this before the deadline.
MIN_REMAINING_MS = 5.0
# Limits of the wait for an unreachable node or target: a share of the remaining time,
# and a maximum.
UNREACHABLE_WAIT_SHARE = 0.35
MAX_UNREACHABLE_WAIT_MS = 500.0
# Limits of the wait for a key that is moving to its next owner.
MOVE_WAIT_SHARE = 0.6
MAX_MOVE_WAIT_MS = 1000.0
# Pause before a retry when the board shows no change of the owner.
RETRY_PAUSE_MS = 120.0
# Time from the loss of a VM until its keys have another owner: the lease expires, the
# table is written, and the next owner sends a heartbeat.
FAILOVER_MS = 4000.0
MIN_RECOVERY_MS = 200.0
# Retry-After of a node that has no configuration yet.
START_RETRY_AFTER_MS = 500
DEFAULT_RETRY_AFTER_MS = 200
# Maximum of Retry-After, as a share of the request's remaining time.
RETRY_AFTER_SHARE = 0.3
RETRY_AFTER_JITTER = 0.25

# Refusals that end once the key has a new owner.
AWAIT_OWNER_CODES = frozenset(
    {
        Code.CONFIG_STALE,
        Code.NOT_OWNER,
        Code.NO_OWNER,
        Code.MOVING,
        Code.ZONE_OUT,
        Code.LEAVING,
        Code.NO_LIVE_TARGET,
        Code.TARGET_UNREACHABLE,
        Code.TARGET_FENCED,
        Code.PEER_UNREACHABLE,
    }
)
# Refusals while a key is moving to another owner.
KEY_MOVE_CODES = frozenset(
    {Code.NOT_OWNER, Code.MOVING, Code.LEAVING, Code.TARGET_FENCED}
)
# Refusals whose expected end goes into Retry-After, even after the caller's deadline.
EXPECTED_END_CODES = frozenset(
    {Code.PEER_UNREACHABLE, Code.TARGET_UNREACHABLE, Code.MOVING}
)
# Refusals by the target itself: the request reached the target but was not executed.
TARGET_REFUSAL_CODES = frozenset({Code.TARGET_FENCED, Code.TARGET_SHED})
# Refusals for lack of capacity, which do not count as failures of the target.
CAPACITY_CODES = frozenset({Code.OVERLOADED, Code.QUEUE_TIMEOUT})

log = Logger("routing")


class Router:
    """Routes callers' requests and retries them within their deadlines and budgets."""

    def __init__(
        self, node: "Node", clock: Clock, counters: Counters, selector: TargetSelector
    ) -> None:
        self.selector = selector
        self._node = node
        self._clock = clock
        self._counters = counters
        settings = node.settings
        self.budgets = RetryBudgets(clock, create_budget_terms(settings))
        self._request_factory = RoutedRequestFactory(settings.service, clock)
        self._latencies = node.histograms.create("request_ms")

    def serve(self, request: Request, _address: str) -> Reply:
        """Route a caller's request and return the reply to it."""
        configuration = self._node.configuration
        if configuration is None:
            return create_refusal(Code.CONFIG_STALE, START_RETRY_AFTER_MS)
        route = find_route(configuration, request)
        if route is None:
            self._counters.count("requests_unrouted")
            return create_refusal(Code.NO_RULE, 0)
        try:
            routed = self._request_factory.create(configuration, route, request)
        except KnapweedrockError as error:
            self._counters.count("requests_rejected", code=error.code.name)
            return create_refusal(error.code, 0)
        if self._node.is_too_late(routed.deadline_ns):
            self._counters.count(
                "requests", code=Code.LEAVING.name, service=routed.service.name
            )
            return create_refusal(Code.LEAVING, RESTART_RETRY_MS)
        start_ns = self._clock.now_ns()
        progress = self._create_progress(routed)
        result = self._charge_quota(routed, configuration.version)
        if result is None:
            result = self._execute(routed, progress)
        latency_ms = (self._clock.now_ns() - start_ns) / NS_PER_MS
        self._record_request(routed, progress, result, latency_ms)
        return self._create_reply(routed, result)

    def _create_progress(self, routed: RoutedRequest) -> Progress:
        now_ns, remaining_ms = self._clock.now_ns(), self._compute_remaining_ms(routed)
        unreachable_wait_ms = min(
            MAX_UNREACHABLE_WAIT_MS, UNREACHABLE_WAIT_SHARE * remaining_ms
        )
        move_wait_ms = min(MAX_MOVE_WAIT_MS, MOVE_WAIT_SHARE * remaining_ms)
        return Progress(
            now_ns + int(unreachable_wait_ms * NS_PER_MS),
            now_ns + int(move_wait_ms * NS_PER_MS),
        )

    def _charge_quota(self, routed: RoutedRequest, version: int) -> Forwarded | None:
        """Charge the request to its workspace; return the result if that fails."""
        workspace = routed.workspace
        if workspace is None or not workspace.is_limited:
            return None
        remaining_ms = self._compute_remaining_ms(routed)
        try:
            wait_ms = self._node.quotas.charge(workspace, version, remaining_ms)
        except RefusalError as error:
            return create_failure(error.code, error.detail, error.retry_after_ms)
        if wait_ms:
            gevent.sleep(wait_ms / 1000)
        return None

    def _execute(self, routed: RoutedRequest, progress: Progress) -> Forwarded:
        if routed.key >= 0 or not routed.service.keyed:
            self.budgets.count_request(routed.service)
        try:
            result = self._send_until_final(routed, progress)
            if progress.open_calls:
                result = self._await_first_success(routed, progress, result)
        finally:
            for call in progress.open_calls:
                call.cancel()
        # `_send_attempt` records the notices of all responses except those to attempts
        # that it left open.
        self.selector.record_leaving(result.notice)
        return resolve_result(result, progress)

    def _await_first_success(
        self, routed: RoutedRequest, progress: Progress, result: Forwarded | None
    ) -> Forwarded:
        """Return the first successful result of the open attempts and of new ones.

        `result` is the result of the attempts so far, or None if further attempts may
        be made.
        """
        retry_task = None
        if result is None:
            retry_task = gevent.spawn(self._send_until_final, routed, progress, True)
        try:
            return self._wait_for_success(routed, progress, retry_task) or result
        finally:
            if retry_task is not None:
                # The retry task may add to the open attempts until it has ended.
                retry_task.kill()

    def _wait_for_success(
        self,
        routed: RoutedRequest,
        progress: Progress,
        retry_task: gevent.Greenlet | None,
    ) -> Forwarded | None:
        """Wait for a successful result; without one, return that of the retry task."""
        task_result = None
        checked: set[Call] = set()
        while unchecked := [
            call for call in progress.open_calls if call not in checked
        ]:
            calls = {call.get_result(): call for call in unchecked}
            waitables = list(calls)
            if retry_task is not None and task_result is None:
                waitables.append(retry_task)
            timeout_s = (
                max(self._compute_remaining_ms(routed) + LINK_MARGIN_MS, 0) / 1000
            )
            ready = gevent.wait(waitables, timeout=timeout_s, count=1)
            if not ready:
                break
            if ready[0] is retry_task:
                task_result = retry_task.get()
                if is_success(task_result):
                    break
                continue
            call = calls[ready[0]]
            checked.add(call)
            result = get_attempt_result(call)
            if result is not None and is_success(result):
                return result
        if retry_task is not None and task_result is None:
            task_result = retry_task.get()
        return task_result

    def _send_until_final(
        self, routed: RoutedRequest, progress: Progress, ignore_open_calls: bool = False
    ) -> Forwarded | None:
        """Send a request to one target after another until a retry makes no sense.

        Return None as soon as an attempt is left open and another may be made, unless
        `ignore_open_calls` is set.
        """
        while True:
            remaining_ms = self._compute_remaining_ms(routed)
            if remaining_ms < MIN_REMAINING_MS:
                return create_failure(Code.DEADLINE_PASSED)
            member = self._select_member(routed, progress)
            progress.member = member
            progress.sent_count += 1
            if member is None:
                code = Code.NO_OWNER if routed.key >= 0 else Code.NO_LIVE_TARGET
                result = create_failure(code)
            elif self.selector.is_leaving(member):
                result = create_failure(Code.LEAVING)
            else:
                result = self._send_attempt(routed, progress, member, remaining_ms)
                self._record_result(member, result)
            if not self._should_retry(routed, progress, member, result):
                return result
            if progress.open_calls and not ignore_open_calls:
                return None

    def _should_retry(
        self,
        routed: RoutedRequest,
        progress: Progress,
        member: Member | None,
        result: Forwarded,
    ) -> bool:
        """Record an attempt's result and return whether to send the request again."""
        code = parse_code(result.code)
        if code is Code.DONE:
            if is_success(result) or not routed.route.idempotent:
                return False
            progress.reached_count += 1
            progress.failed_result = result
            return self._spend_retry(routed, progress, member, was_executed=True)
        if INFO[code].outcome is Outcome.MAY_HAVE_RUN:
            progress.reached_count += 1
            progress.lost_result = result
            return routed.route.idempotent and self._spend_retry(
                routed, progress, member, was_executed=True
            )
        if code in TARGET_REFUSAL_CODES:
            progress.reached_count += 1
            if not self._spend_retry(routed, progress, member):
                return False
            if code is Code.TARGET_SHED and routed.key >= 0:
                # The key has no other target.
                return True
        if routed.key < 0 and member is not None:
            progress.tried_node_ids.add(member.node_id)
            return self._select_member(routed, progress) is not None
        if routed.key < 0 and not self._has_ready_target(routed):
            return False
        if code is Code.PEER_UNREACHABLE and self._node.links.is_open(member.peer):
            # The request was lost in transit, and the link to the peer is open again.
            return True
        if code in AWAIT_OWNER_CODES:
            deadline_ns = progress.unreachable_deadline_ns
            if code in KEY_MOVE_CODES and routed.key >= 0:
                deadline_ns = progress.move_deadline_ns
            recovery_ms = result.retry_after_ms if code in EXPECTED_END_CODES else 0.0
            return self._wait_for_new_owner(routed, deadline_ns, recovery_ms)
        return False

    def _has_ready_target(self, routed: RoutedRequest) -> bool:
        """Return whether any target of the service is ready, even if unreachable."""
        members = self._node.list_members(routed.service.name)
        return any(member.state == "ready" for member in members)

    def _spend_retry(
        self,
        routed: RoutedRequest,
        progress: Progress,
        member: Member | None,
        was_executed: bool = False,
    ) -> bool:
        """Return whether the request may be sent again, and charge the retry if so."""
        if progress.reached_count >= routed.route.max_attempts:
            return False
        if self._compute_remaining_ms(routed) < MIN_REMAINING_MS * 4:
            return False
        if not self.budgets.spend(routed.service, was_executed):
            self._counters.count("retries_denied", service=routed.service.name)
            return False
        self._counters.count("retries", service=routed.service.name)
        if member is not None and routed.key < 0:
            progress.tried_node_ids.add(member.node_id)
            if self._select_member(routed, progress) is None:
                progress.tried_node_ids.clear()
        return True

    def _wait_for_new_owner(
        self, routed: RoutedRequest, deadline_ns: int, recovery_ms: float
    ) -> bool:
        """Wait for another owner and return whether to send the request again.

        Return False at once if the owner is expected back only after the deadline.
        """
        remaining_ms = (deadline_ns - self._clock.now_ns()) / NS_PER_MS
        if remaining_ms <= 0 or recovery_ms > remaining_ms or self._node.closing:
            return False
        row = self._find_row(routed)
        retry_at_ns = self._clock.now_ns() + int(
            min(RETRY_PAUSE_MS, remaining_ms) * NS_PER_MS
        )
        while self._find_row(routed) == row:
            pause_ms = (retry_at_ns - self._clock.now_ns()) / NS_PER_MS
            if pause_ms <= 0:
                break
            self._node.wait_for_board(pause_ms / 1000)
        return True

    def _find_row(self, routed: RoutedRequest) -> Row | None:
        return find_row(self._node.get_rows(routed.service.name), routed.key)

    def _select_member(
        self, routed: RoutedRequest, progress: Progress
    ) -> Member | None:
        node = self._node
        if routed.key < 0:
            members = node.list_members(routed.service.name)
            return self.selector.select(
                members, node.zones_out, progress.tried_node_ids
            )
        row = self._find_row(routed)
        if row is None:
            return None
        return node.board.members.get(row.node_id)

    def _send_attempt(
        self,
        routed: RoutedRequest,
        progress: Progress,
        member: Member,
        remaining_ms: float,
    ) -> Forwarded:
        node = self._node
        objective_ms = (routed.objective_ns - self._clock.now_ns()) / NS_PER_MS
        message = Forward(
            routed.service.name,
            routed.key,
            routed.request.method,
            routed.request.target,
            routed.headers,
            routed.request.body,
            round(remaining_ms, 1),
            round(objective_ms, 1),
            routed.priority,
            routed.route.idempotent,
            route=routed.route.name,
        )
        stats = self.selector.get_stats(member)
        start_ns = self._clock.now_ns()
        self.selector.record_sent(member)
        stats.in_flight += 1
        try:
            if member.node_id == node.settings.node_id:
                result = node.gateway.deliver(message)
            else:
                message = node.transit.stamp(message)
                result = node.links.request(
                    member.peer,
                    message,
                    remaining_ms + LINK_MARGIN_MS,
                    resumable=True,
                    # A key has no other target until its owner is declared lost.
                    interruptible=routed.route.idempotent and routed.key < 0,
                )
        except SilentLinkError as error:
            progress.open_calls.append(error.call)
            return create_failure(error.code, error.detail)
        except KnapweedrockError as error:
            recovery_ms = self._compute_recovery_ms(member) if routed.key >= 0 else 0.0
            return create_failure(error.code, error.detail, recovery_ms)
        finally:
            stats.in_flight -= 1
        self.selector.record_notice(member, result.notice)
        latency_ms = (self._clock.now_ns() - start_ns) / NS_PER_MS
        is_done = result.code == Code.DONE
        self.selector.record_response(
            member, result.load_per_slot, latency_ms if is_done else 0
        )
        return result

    def _compute_recovery_ms(self, member: Member) -> float:
        """Return the time in which an owner that is down may recover; 0 if it is up."""
        outage = self._node.links.get_outage(member.peer)
        if outage is None:
            return 0.0
        outage_ms = (self._clock.now_ns() - outage.since_ns) / NS_PER_MS
        expected_ms = RESTART_RETRY_MS if outage.refused else FAILOVER_MS
        return max(expected_ms - outage_ms, MIN_RECOVERY_MS)

    def _record_result(self, member: Member, result: Forwarded) -> None:
        if is_success(result):
            return
        if parse_code(result.code) not in CAPACITY_CODES:
            self.selector.record_failure(member)

    def _compute_remaining_ms(self, routed: RoutedRequest) -> float:
        return (routed.deadline_ns - self._clock.now_ns()) / NS_PER_MS

    def _create_reply(self, routed: RoutedRequest, result: Forwarded) -> Reply:
        code = parse_code(result.code)
        if code is Code.DONE:
            return Reply(result.status, result.headers, result.body)
        remaining_ms = self._compute_remaining_ms(routed)
        wait_ms = result.retry_after_ms or DEFAULT_RETRY_AFTER_MS
        wait_ms *= random.uniform(1, 1 + RETRY_AFTER_JITTER)
        if code not in EXPECTED_END_CODES:
            wait_ms = min(wait_ms, remaining_ms * RETRY_AFTER_SHARE)
        return create_refusal(code, wait_ms)

    def _record_request(
        self,
        routed: RoutedRequest,
        progress: Progress,
        result: Forwarded,
        latency_ms: float,
    ) -> None:
        code = parse_code(result.code)
        self._counters.count("requests", code=code.name, service=routed.service.name)
        self._latencies.observe(
            latency_ms,
            outcome="good" if is_success(result) else "failed",
            route=routed.route.name,
        )
        node = self._node

        def describe() -> dict[str, object]:
            return {
                "route": routed.route.name,
                "service": routed.service.name,
                "key": routed.key,
                "owner": progress.member.node_id if progress.member else "",
                "code": code.name,
                "status": result.status,
                "detail": result.detail,
                "ms": round(latency_ms, 1),
                "left_ms": round(self._compute_remaining_ms(routed), 1),
                "sent": progress.sent_count,
                "reached": progress.reached_count,
                "configuration": node.configuration.version,
                "board": f"{node.board.epoch}.{node.board.version}",
                "lease_ms": node.get_remaining_lease_ms(),
            }

        attempt_id = routed.request.fields.get(ATTEMPT_ID, "")
        if is_success(result):
            node.request_log.log_success("request done", attempt_id, describe)
        else:
            node.request_log.log_failure("request failed", attempt_id, describe)
