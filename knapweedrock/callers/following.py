"""Following of a key to its owner while the owner changes.

Only refusals that surely did not run are followed, so any request may be. One for
want of room is sent again after its `Retry-After` as long as such refusals are few.
"""

import random

from knapweedrock.callers.attempts import (
    Routed,
    attempt,
    create_refused,
    find_uncertain,
    settle,
)
from knapweedrock.callers.budgets import create_retry_budgets
from knapweedrock.callers.requests import CallerRequest
from knapweedrock.codes import Code
from knapweedrock.environment import Environment
from knapweedrock.nodes.messages import Delivered
from knapweedrock.nodes.view import ViewVersion, hash_key

FIRST_PAUSE_MS = 5.0
LONGEST_JITTER_RATIO = 1.5
LONGEST_PAUSE_MS = 80.0
LONGEST_FOLLOW_MS = 4000
LEAST_ATTEMPT_MS = 10.0
MAX_FOLLOWING = 1024
RETRY_AFTER_MS = 500

# Refusals that end once the key has its next owner.
FOLLOWED = frozenset(
    {
        Code.NOT_OWNER,
        Code.NO_OWNER,
        Code.LEASE_LAPSED,
        Code.MOVING,
        Code.ZONE_OUT,
        Code.LEAVING,
        Code.CONFIG_STALE,
        Code.NO_LIVE_TARGET,
        Code.TARGET_UNREACHABLE,
        Code.TARGET_FENCED,
        Code.PEER_UNREACHABLE,
    }
)
# Losses after which only an idempotent request may be sent again.
LOST = frozenset({Code.PEER_LOST, Code.ANSWER_LOST, Code.ANSWER_TRUNCATED})
# Refusals by a target or for want of its slots: sent again only while they are few.
LOADED = frozenset({Code.OVERLOADED, Code.QUEUE_TIMEOUT, Code.TARGET_SHED})


class Follower:
    """Brings keyed requests to the owner of their key."""

    def __init__(self, env: Environment) -> None:
        self._env = env
        self._budgets = create_retry_budgets()
        self._rooms = create_retry_budgets()
        self._following = 0

    def follow(self, request: CallerRequest) -> Routed:
        """Send the request to the owner until it is settled or must be given up."""
        self._budgets[request.route.service].earn()
        self._rooms[request.route.service].earn()
        pause_ms = FIRST_PAUSE_MS
        uncertain: Routed | None = None
        while True:
            lost_before = uncertain is not None
            version = self._env.views.version
            routed = self._send(request)
            if routed.delivered.code == Code.DONE:
                return routed
            uncertain = find_uncertain(routed) or uncertain
            delivered = routed.delivered
            wait_ms = find_wait_ms(delivered, pause_ms)
            if not self._may_repeat(request, delivered, wait_ms, lost_before):
                return settle(routed, uncertain)
            if not self._wait(request, version, wait_ms):
                return settle(give_up(routed), uncertain)
            self._env.counters.count("caller_retries", service=request.route.service)
            pause_ms = min(pause_ms * 2, LONGEST_PAUSE_MS)

    def dump(self) -> dict[str, object]:
        """Return requests that wait for an owner, and the budgets."""
        tokens = {name: budget.tokens for name, budget in self._budgets.items()}
        rooms = {name: budget.tokens for name, budget in self._rooms.items()}
        return {
            "following": self._following,
            "retry_tokens": tokens,
            "room_tokens": rooms,
        }

    def _send(self, request: CallerRequest) -> Routed:
        views = self._env.views
        service = request.route.service
        held = views.find_range(service, hash_key(request.key))
        owner = views.view["members"].get(held["owner"]) if held else None
        if owner is not None:
            return Routed(attempt(self._env, request, owner), owner)
        return Routed(create_refused(Code.NO_OWNER), None)

    def _may_repeat(
        self,
        request: CallerRequest,
        delivered: Delivered,
        wait_ms: float,
        lost_before: bool,
    ) -> bool:
        code, service = Code(delivered.code), request.route.service
        if code in LOADED:
            is_rare = self._rooms[service].charge()
            return is_rare and has_time_for_room(request, wait_ms)
        if code in FOLLOWED:
            return bool(self._env.views.find_members(service))
        if code in LOST and request.idempotent:
            return is_link_loss(code, lost_before) or self._budgets[service].spend()
        return False

    def _wait(
        self, request: CallerRequest, version: ViewVersion, pause_ms: float
    ) -> bool:
        """Wait for a newer view or the pause; tell whether to send again."""
        deadline = request.deadline
        if deadline.remaining_ms() < pause_ms + LEAST_ATTEMPT_MS:
            return False
        if deadline.elapsed_ms() > LONGEST_FOLLOW_MS:
            return False
        if self._following >= MAX_FOLLOWING:
            return False
        self._following += 1
        try:
            self._env.views.wait_newer(version, pause_ms)
        finally:
            self._following -= 1
        return True


def is_link_loss(code: Code, lost_before: bool) -> bool:
    """Tell whether a request was first lost with its link.

    All that was on a lost link is sent again once: that is no load of its own making,
    and more than a budget would bear.
    """
    return code == Code.PEER_LOST and not lost_before


def find_wait_ms(delivered: Delivered, pause_ms: float) -> float:
    """Find the wait before the next attempt; for room, the owner says how long."""
    if delivered.code in LOADED:
        least_ms = max(pause_ms, delivered.retry_after_ms)
        return least_ms * random.uniform(1, LONGEST_JITTER_RATIO)
    return pause_ms * random.uniform(0.5, 1)


def has_time_for_room(request: CallerRequest, wait_ms: float) -> bool:
    """Tell whether half of the request's time is left after the wait for room.

    Less could end in the queue or at the target, where a refusal is cheaper.
    """
    deadline = request.deadline
    return deadline.elapsed_ms() + 2 * wait_ms <= deadline.remaining_ms()


def give_up(routed: Routed) -> Routed:
    """Say when to come back, unless the owner's node did."""
    delivered = routed.delivered
    if delivered.retry_after_ms:
        return routed
    return routed._replace(delivered=delivered._replace(retry_after_ms=RETRY_AFTER_MS))


def create_follower(env: Environment) -> Follower:
    """Create the follower of a node."""
    return Follower(env)
