"""Routing of callers' requests to a target that may serve them, until it is settled."""

import random
from typing import TYPE_CHECKING

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import INFO, Code, Outcome, find_code
from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError, LinkError
from knapweedrock.mesh.budgets import RUN_COST, RetryBudget
from knapweedrock.mesh.callers import Reply, create_refusal
from knapweedrock.mesh.calls import Call, SilentLinkError
from knapweedrock.mesh.choice import Chooser
from knapweedrock.mesh.gateway import RESTART_MS
from knapweedrock.mesh.holds import find_row
from knapweedrock.mesh.http import Request
from knapweedrock.mesh.jobs import Job, Jobs, find_route
from knapweedrock.mesh.messages import Forward, Forwarded, Member, Row
from knapweedrock.platform.headers import ATTEMPT_ID

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

LINK_MARGIN_MS = 30.0
LEAST_MS = 5.0
# Wait for a node or target that is away, as a share of the time left and at most.
AWAY_SHARE = 0.35
AWAY_MS = 500.0
# Wait for a key that is on its way to its next owner.
MOVE_SHARE = 0.6
MOVE_MS = 1000.0
# Pause before a request is sent again where nothing new is heard of its owner.
PAUSE_MS = 120.0
# Time from the loss of a VM until its keys have another owner: the lease runs out, the
# table is written, the next owner's heartbeat comes.
LOSS_MS = 4000.0
LEAST_RETURN_MS = 200.0
START_RETRY_AFTER_MS = 500
DEFAULT_RETRY_AFTER_MS = 200
# Share of the time left after which a caller may be asked to come back.
RETURN_SHARE = 0.3
JITTER = 0.25
SERVER_ERROR = 500

# Refusals that end once the key has its next owner.
FOLLOWED = frozenset(
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
# Refusals while a key is on its way to another owner.
MOVED = frozenset({Code.NOT_OWNER, Code.MOVING, Code.LEAVING, Code.TARGET_FENCED})
# Refusals whose end is known, whether the caller waits for so long or not.
AWAY = frozenset({Code.PEER_UNREACHABLE, Code.TARGET_UNREACHABLE})
# Refusals by the target itself: it was reached, though it did not run the request.
REACHED = frozenset({Code.TARGET_FENCED, Code.TARGET_SHED})
ROOM = frozenset({Code.OVERLOADED, Code.QUEUE_TIMEOUT})

log = Logger("routing")


class Progress:
    """What has become of a request so far."""

    def __init__(self, away_until_ns: int, move_until_ns: int) -> None:
        self.away_until_ns = away_until_ns
        self.move_until_ns = move_until_ns
        self.member: Member | None = None
        self.sent = 0
        self.reached = 0
        self.tried: set[str] = set()
        self.lost: Forwarded | None = None
        # Attempts on silent links, which may still be answered.
        self.open: list[Call] = []
        self.failed: Forwarded | None = None


class Router:
    """Serves callers' requests."""

    def __init__(
        self, node: "Node", clock: Clock, counters: Counters, chooser: Chooser
    ) -> None:
        self.chooser = chooser
        self._node = node
        self._clock = clock
        self._counters = counters
        self._budgets: dict[str, RetryBudget] = {}
        settings = node.settings
        self._jobs = Jobs(settings.service, clock)
        self._latencies = node.histograms.create("request_ms")

    def set_budget(self, ratio: float, slack: float) -> None:
        """Change the budget of repeats of all services."""
        for budget in self._budgets.values():
            budget.change(ratio, slack)

    def serve(self, request: Request, _address: str) -> Reply:
        """Answer one request of a caller."""
        configuration = self._node.configuration
        if configuration is None:
            return create_refusal(Code.CONFIG_STALE, START_RETRY_AFTER_MS)
        route = find_route(configuration, request)
        if route is None:
            self._counters.count("requests_unrouted")
            return create_refusal(Code.NO_RULE, 0)
        try:
            job = self._jobs.create(configuration, route, request)
        except KnapweedrockError as error:
            return create_refusal(error.code, 0)
        began_ns = self._clock.now_ns()
        progress = self._create_progress(job)
        result = self._run(job, progress)
        latency_ms = (self._clock.now_ns() - began_ns) / NS_PER_MS
        self._note(job, progress, result, latency_ms)
        return self._create_reply(job, result)

    def _create_progress(self, job: Job) -> Progress:
        now_ns, left_ms = self._clock.now_ns(), self._find_left_ms(job)
        away_ms = min(AWAY_MS, AWAY_SHARE * left_ms)
        move_ms = min(MOVE_MS, MOVE_SHARE * left_ms)
        return Progress(
            now_ns + int(away_ms * NS_PER_MS), now_ns + int(move_ms * NS_PER_MS)
        )

    def _run(self, job: Job, progress: Progress) -> Forwarded:
        self._find_budget(job).count_request()
        try:
            result = self._send_until_settled(job, progress)
            if progress.open:
                result = self._await_first(job, progress, result)
        finally:
            for call in progress.open:
                call.cancel()
        # Answers of open attempts come past the one that sent them.
        self.chooser.note_leaving(result.notice)
        return settle(result, progress)

    def _await_first(
        self, job: Job, progress: Progress, result: Forwarded | None
    ) -> Forwarded:
        """Return the first good answer: of open attempts, or of those that follow.

        `result` is that of the attempts so far; None where more may follow.
        """
        follower = None
        if result is None:
            follower = gevent.spawn(self._send_until_settled, job, progress, True)
        try:
            return self._find_first(job, progress, follower) or result
        finally:
            if follower is not None:
                # It may leave an attempt open until it has ended.
                follower.kill()

    def _find_first(
        self, job: Job, progress: Progress, follower: gevent.Greenlet | None
    ) -> Forwarded | None:
        """Wait for a good answer; return the follower's result where none comes."""
        found = None
        looked: set[Call] = set()
        while left := [call for call in progress.open if call not in looked]:
            results = {call.get_result(): call for call in left}
            awaited = list(results)
            if follower is not None and found is None:
                awaited.append(follower)
            timeout_s = max(self._find_left_ms(job) + LINK_MARGIN_MS, 0) / 1000
            ready = gevent.wait(awaited, timeout=timeout_s, count=1)
            if not ready:
                break
            if ready[0] is follower:
                found = follower.get()
                if is_good(found):
                    break
                continue
            call = results[ready[0]]
            looked.add(call)
            answer = read_answer(call)
            if answer is not None and is_good(answer):
                return answer
        if follower is not None and found is None:
            found = follower.get()
        return found

    def _send_until_settled(
        self, job: Job, progress: Progress, follows: bool = False
    ) -> Forwarded | None:
        """Send a request to one target after the other, as long as that helps.

        Return None where an attempt is left open and another may follow it, unless
        this `follows` it itself.
        """
        while True:
            remaining_ms = self._find_left_ms(job)
            if remaining_ms < LEAST_MS:
                return create_failed(Code.DEADLINE_PASSED)
            member = self._find_member(job, progress)
            progress.member = member
            progress.sent += 1
            if member is None:
                code = Code.NO_OWNER if job.key >= 0 else Code.NO_LIVE_TARGET
                result = create_failed(code)
            elif self.chooser.is_leaving(member):
                result = create_failed(Code.LEAVING)
            else:
                result = self._send(job, progress, member, remaining_ms)
                self._note_result(member, result)
            if not self._goes_on(job, progress, member, result):
                return result
            if progress.open and not follows:
                return None

    def _goes_on(
        self, job: Job, progress: Progress, member: Member | None, result: Forwarded
    ) -> bool:
        """Note a result; tell whether the request is to be sent once more."""
        code = find_code(result.code)
        if code is Code.DONE:
            if result.status < SERVER_ERROR or not job.route.idempotent:
                return False
            progress.reached += 1
            progress.failed = result
            return self._may_repeat(job, progress, member, RUN_COST)
        if INFO[code].outcome is Outcome.MAY_HAVE_RUN:
            progress.reached += 1
            progress.lost = result
            return job.route.idempotent and self._may_repeat(
                job, progress, member, RUN_COST
            )
        if code in REACHED:
            progress.reached += 1
            if not self._may_repeat(job, progress, member, 1):
                return False
        if job.key < 0 and member is not None:
            progress.tried.add(member.node_id)
            return self._find_member(job, progress) is not None
        if job.key < 0 and not self._has_ready(job):
            return False
        if code is Code.PEER_UNREACHABLE and self._node.links.is_open(member.peer):
            # It was lost on its way, and the peer has been reached again.
            return True
        if code in FOLLOWED:
            until_ns = progress.away_until_ns
            if code in MOVED and job.key >= 0:
                until_ns = progress.move_until_ns
            return_ms = result.retry_after_ms if code in AWAY else 0.0
            return self._wait_for_owner(job, until_ns, return_ms)
        return False

    def _has_ready(self, job: Job) -> bool:
        """Tell whether any target of the service is ready, if out of reach just now."""
        members = self._node.list_members(job.service.name)
        return any(member.state == "ready" for member in members)

    def _may_repeat(
        self, job: Job, progress: Progress, member: Member | None, cost: int
    ) -> bool:
        """Tell whether one more target may be reached for the request."""
        if progress.reached >= job.route.max_attempts:
            return False
        if self._find_left_ms(job) < LEAST_MS * 4:
            return False
        nodes = len(self._node.board.members)
        if not self._find_budget(job).spend(nodes, cost):
            self._counters.count("retries_denied", service=job.service.name)
            return False
        self._counters.count("retries", service=job.service.name)
        if member is not None and job.key < 0:
            progress.tried.add(member.node_id)
            if self._find_member(job, progress) is None:
                progress.tried.clear()
        return True

    def _wait_for_owner(self, job: Job, until_ns: int, return_ms: float) -> bool:
        """Wait for another owner; tell whether to send the request again.

        An owner that is known to be away for longer is not waited for.
        """
        left_ms = (until_ns - self._clock.now_ns()) / NS_PER_MS
        if left_ms <= 0 or return_ms > left_ms or self._node.closing:
            return False
        row = self._find_row(job)
        again_ns = self._clock.now_ns() + int(min(PAUSE_MS, left_ms) * NS_PER_MS)
        while self._find_row(job) == row:
            pause_ms = (again_ns - self._clock.now_ns()) / NS_PER_MS
            if pause_ms <= 0:
                break
            self._node.wait_board(pause_ms / 1000)
        return True

    def _find_row(self, job: Job) -> Row | None:
        return find_row(self._node.find_rows(job.service.name), job.key)

    def _find_member(self, job: Job, progress: Progress) -> Member | None:
        node = self._node
        if job.key < 0:
            members = node.list_members(job.service.name)
            return self.chooser.choose(members, node.zones_out, progress.tried)
        row = self._find_row(job)
        if row is None:
            return None
        return node.board.members.get(row.node_id)

    def _send(
        self, job: Job, progress: Progress, member: Member, remaining_ms: float
    ) -> Forwarded:
        node = self._node
        objective_ms = (job.objective_ns - self._clock.now_ns()) / NS_PER_MS
        message = Forward(
            job.service.name,
            job.key,
            job.request.method,
            job.request.target,
            job.headers,
            job.request.body,
            round(remaining_ms, 1),
            round(objective_ms, 1),
            job.route.priority,
            job.route.idempotent,
            route=job.route.name,
        )
        peer = self.chooser.find_peer(member)
        began_ns = self._clock.now_ns()
        self.chooser.note_sent(member)
        peer.in_flight += 1
        try:
            if member.node_id == node.settings.node_id:
                result = node.gateway.deliver(message)
            else:
                message = node.transit.stamp(message)
                result = node.links.request(
                    member.peer,
                    message,
                    remaining_ms + LINK_MARGIN_MS,
                    cancels=True,
                    # A key has no other target before its owner is given up.
                    leaves=job.route.idempotent and job.key < 0,
                )
        except SilentLinkError as error:
            progress.open.append(error.call)
            return create_failed(error.code, error.detail)
        except KnapweedrockError as error:
            return_ms = self._find_return_ms(member) if job.key >= 0 else 0.0
            return create_failed(error.code, error.detail, return_ms)
        finally:
            peer.in_flight -= 1
        self.chooser.note_notice(member, result.notice)
        latency_ms = (self._clock.now_ns() - began_ns) / NS_PER_MS
        is_done = result.code == Code.DONE
        self.chooser.note_answer(member, result.busy, latency_ms if is_done else 0)
        return result

    def _find_return_ms(self, member: Member) -> float:
        """Find when an owner that is down may be back; 0 where it is not down."""
        down = self._node.links.find_down(member.peer)
        if down is None:
            return 0.0
        down_ms = (self._clock.now_ns() - down.since_ns) / NS_PER_MS
        usual_ms = RESTART_MS if down.refused else LOSS_MS
        return max(usual_ms - down_ms, LEAST_RETURN_MS)

    def _note_result(self, member: Member, result: Forwarded) -> None:
        if is_good(result):
            return
        if find_code(result.code) not in ROOM:
            self.chooser.note_failure(member)

    def _find_left_ms(self, job: Job) -> float:
        return (job.end_ns - self._clock.now_ns()) / NS_PER_MS

    def _find_budget(self, job: Job) -> RetryBudget:
        settings = self._node.settings
        found = self._budgets.get(job.service.name)
        if found is None:
            found = self._budgets[job.service.name] = RetryBudget(
                self._clock, settings.retry_ratio, settings.retry_slack
            )
        return found

    def _create_reply(self, job: Job, result: Forwarded) -> Reply:
        code = find_code(result.code)
        if code is Code.DONE:
            return Reply(result.status, result.headers, result.body)
        left_ms = self._find_left_ms(job)
        wait_ms = result.retry_after_ms or DEFAULT_RETRY_AFTER_MS
        wait_ms *= random.uniform(1, 1 + JITTER)
        if code not in AWAY:
            wait_ms = min(wait_ms, left_ms * RETURN_SHARE)
        return create_refusal(code, wait_ms)

    def _note(
        self, job: Job, progress: Progress, result: Forwarded, latency_ms: float
    ) -> None:
        code = find_code(result.code)
        self._counters.count("requests", code=code.name, service=job.service.name)
        self._latencies.observe(
            latency_ms,
            outcome="good" if is_good(result) else "failed",
            route=job.route.name,
        )
        node = self._node

        def describe() -> dict[str, object]:
            return {
                "route": job.route.name,
                "service": job.service.name,
                "key": job.key,
                "owner": progress.member.node_id if progress.member else "",
                "code": code.name,
                "status": result.status,
                "detail": result.detail,
                "ms": round(latency_ms, 1),
                "left_ms": round(self._find_left_ms(job), 1),
                "sent": progress.sent,
                "reached": progress.reached,
                "configuration": node.configuration.version,
                "board": f"{node.board.epoch}.{node.board.version}",
                "lease_ms": node.get_lease_ms(),
            }

        attempt_id = job.request.fields.get(ATTEMPT_ID, "")
        if is_good(result):
            node.decisions.note_success("request done", attempt_id, describe)
        else:
            node.decisions.note_failure("request failed", attempt_id, describe)


def read_answer(call: Call) -> Forwarded | None:
    """Return the answer to an attempt that is over; None where there is none."""
    try:
        return call.wait(0)
    except LinkError as error:
        log.debug("attempt not answered", reason=error.detail)
        return None


def is_good(result: Forwarded) -> bool:
    """Tell whether a target has answered without an error of its own."""
    return result.code == Code.DONE and result.status < SERVER_ERROR


def create_failed(
    code: Code, detail: str = "", retry_after_ms: float = 0.0
) -> Forwarded:
    """Create the result of an attempt that failed on this side."""
    return Forwarded(int(code), 0, [], b"", detail, retry_after_ms, 0.0)


def settle(final: Forwarded, progress: Progress) -> Forwarded:
    """Return the result that is true of all attempts together.

    A last attempt that did not run says nothing of an earlier one that may have.
    """
    if final.code == Code.DONE:
        return final
    if progress.failed is not None:
        return progress.failed
    if (
        progress.lost is None
        or INFO[find_code(final.code)].outcome is Outcome.MAY_HAVE_RUN
    ):
        return final
    return progress.lost
