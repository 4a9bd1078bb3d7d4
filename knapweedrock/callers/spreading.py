"""Spreading of requests over the targets of a service not divided by key."""

from knapweedrock.callers.attempts import (
    Routed,
    attempt,
    create_refused,
    find_uncertain,
    settle,
)
from knapweedrock.callers.budgets import create_copy_budgets, create_retry_budgets
from knapweedrock.callers.choice import create_policy, find_candidates
from knapweedrock.callers.copies import Race
from knapweedrock.callers.following import LOADED, LOST, is_link_loss
from knapweedrock.callers.latencies import create_latencies
from knapweedrock.callers.loads import create_loads
from knapweedrock.callers.requests import CallerRequest
from knapweedrock.codes import INFO, Code, Outcome
from knapweedrock.environment import Environment
from knapweedrock.nodes.messages import Delivered
from knapweedrock.nodes.view import Member

COPY_QUANTILE = 0.97
COPY_MEDIANS = 1.25
COPY_UNKNOWN_MS = 250.0
TRIAL_MEDIANS = 0.5
LEAST_COPY_MS = 2.0
LEAST_ATTEMPT_MS = 10.0
SERVER_ERROR = 500

# Ends of an attempt whose time says how slow the target is.
MEASURED = frozenset({Code.ANSWER_LOST, Code.PEER_LOST, Code.QUEUE_TIMEOUT})


class Spreader:
    """Sends unkeyed requests to chosen targets, each at most once to one target."""

    def __init__(self, env: Environment) -> None:
        self._env = env
        self._loads = create_loads(env.clock)
        self._choose = create_policy(env, self._loads)
        self._latencies = create_latencies(env.clock)
        self._retries = create_retry_budgets()
        self._copies = create_copy_budgets()

    def spread(self, request: CallerRequest) -> Routed:
        """Send the request to one target after another until it is settled."""
        service = request.route.service
        self._retries[service].earn()
        self._copies[service].earn()
        tried: set[str] = set()
        routed = self._send(request, tried)
        uncertain = find_uncertain(routed)
        while self._may_repeat(request, routed, tried):
            self._env.counters.count("caller_retries", service=service)
            routed = self._send(request, tried)
            uncertain = find_uncertain(routed) or uncertain
        return settle(routed, uncertain)

    def dump(self) -> dict[str, object]:
        """Return loads by node, latencies and budgets by service."""
        return {
            "loads": {name: load.dump() for name, load in self._loads.items()},
            "latencies": {name: each.dump() for name, each in self._latencies.items()},
            "retry_tokens": {n: each.tokens for n, each in self._retries.items()},
            "copy_tokens": {n: each.tokens for n, each in self._copies.items()},
        }

    def _send(self, request: CallerRequest, tried: set[str]) -> Routed:
        members = find_candidates(self._env, request.route.service, tried)
        if not members:
            return Routed(create_refused(Code.NO_LIVE_TARGET), None)
        covered = len(members) > 1 and self._may_copy(request)
        member, trial = self._choose(members, covered)
        tried.add(member["node_id"])
        if not covered:
            return self._attempt(request, member)
        delay_ms = self._copy_delay_ms(request, trial)
        race = Race(
            lambda: self._send_copy(request, tried), is_done, delay_ms, combine_attempts
        )
        return race.run(lambda: self._attempt(request, member))

    def _may_copy(self, request: CallerRequest) -> bool:
        return request.idempotent and self._env.settings.copies_enabled

    def _copy_delay_ms(self, request: CallerRequest, trial: bool) -> float:
        latencies = self._latencies[request.route.service]
        usual_ms = latencies.quantile_ms(0.5)
        tail_ms = latencies.quantile_ms(COPY_QUANTILE) or COPY_UNKNOWN_MS
        if trial and usual_ms:
            return max(usual_ms * TRIAL_MEDIANS, LEAST_COPY_MS)
        return max(tail_ms, COPY_MEDIANS * usual_ms, LEAST_COPY_MS)

    def _send_copy(self, request: CallerRequest, tried: set[str]) -> Routed | None:
        service = request.route.service
        members = find_candidates(self._env, service, tried)
        if not members or request.deadline.remaining_ms() < LEAST_ATTEMPT_MS:
            return None
        if not self._copies[service].spend():
            self._env.counters.count("caller_copies_denied", service=service)
            return None
        self._env.counters.count("caller_copies", service=service)
        member, _ = self._choose(members, False)
        tried.add(member["node_id"])
        routed = self._attempt(request, member)
        if is_done(routed):
            self._env.counters.count("caller_copies_won", service=service)
        return routed

    def _attempt(self, request: CallerRequest, member: Member) -> Routed:
        load = self._loads[member["node_id"]]
        number = load.begin()
        try:
            delivered = attempt(self._env, request, member)
        except BaseException:
            load.abandon(number)
            raise
        done = delivered.code == Code.DONE and delivered.status < SERVER_ERROR
        taken_ms = load.end(number, done or delivered.code in MEASURED)
        if done:
            self._latencies[request.route.service].record(taken_ms)
        elif delivered.code != Code.DONE:
            load.avoid(delivered.retry_after_ms)
        return Routed(delivered, member)

    def _may_repeat(
        self, request: CallerRequest, routed: Routed, tried: set[str]
    ) -> bool:
        delivered, service = routed.delivered, request.route.service
        if is_done(routed) or not may_send_again(request, delivered):
            return False
        if request.deadline.remaining_ms() < LEAST_ATTEMPT_MS:
            return False
        if not find_candidates(self._env, service, tried):
            return False
        if is_link_loss(Code(delivered.code), len(tried) > 1):
            return True
        if delivered.code in LOADED or delivered.code in LOST:
            return self._retries[service].spend()
        return True


def is_done(routed: Routed) -> bool:
    """Tell whether the target answered."""
    return routed.delivered.code == Code.DONE


def combine_attempts(first: Routed, second: Routed) -> Routed:
    """Combine the results of an attempt and its copy, neither of them an answer."""
    return settle(second, find_uncertain(first))


def may_send_again(request: CallerRequest, delivered: Delivered) -> bool:
    """Tell whether another attempt can't run a request twice."""
    info = INFO[Code(delivered.code)]
    if info.outcome == Outcome.NOT_RUN:
        return info.retry
    return request.idempotent and delivered.code in LOST


def create_spreader(env: Environment) -> Spreader:
    """Create the spreader of a node."""
    return Spreader(env)
