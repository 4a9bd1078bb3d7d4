"""Choice of a target for services not divided by key, as a registry of policies.

A policy chooses among members; `covered` says that a second copy will follow
should the chosen one be slow.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Collection
from typing import NamedTuple

from knapweedrock.callers.loads import Load
from knapweedrock.environment import Environment
from knapweedrock.nodes.view import Member

COLD_SHARE = 0.25
EQUAL_FACTOR = 1.5
STRAGGLER_FACTOR = 2.0
STRAGGLER_MIN_MS = 3.0


class Choice(NamedTuple):
    """A chosen member; a trial sends it one request to see if it is fast again."""

    member: Member
    trial: bool = False


Loads = defaultdict[str, Load]
Policy = Callable[[list[Member], bool], Choice]
PolicyFactory = Callable[[Environment, Loads], Policy]

POLICIES: dict[str, PolicyFactory] = {}


def choice_policy(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Register a factory of policies under a name for `--choice-policy`."""

    def register(factory: PolicyFactory) -> PolicyFactory:
        POLICIES[name] = factory
        return factory

    return register


def find_candidates(
    env: Environment, service: str, tried: Collection[str]
) -> list[Member]:
    """List the members that may take new work and were not tried yet."""
    zone_is_out = env.configuration.zone_is_out
    return [
        member
        for member in env.views.find_members(service)
        if member["node_id"] not in tried and not zone_is_out(member["zone"])
    ]


@choice_policy("round-robin")
def create_round_robin(env: Environment, loads: Loads) -> Policy:
    """Create the baseline: each target in turn, whatever its load."""
    turns: dict[str, int] = defaultdict(int)

    def choose(members: list[Member], covered: bool) -> Choice:
        service = members[0]["service"]
        turns[service] += 1
        return Choice(members[turns[service] % len(members)])

    return choose


@choice_policy("two-choices")
def create_two_choices(env: Environment, loads: Loads) -> Policy:
    """Create the choice of the better of two random targets.

    Stragglers and targets that just refused are left alone; a straggler is tried
    with one request at a time, ever more rarely, until it is fast again.
    """

    def choose(members: list[Member], covered: bool) -> Choice:
        now_ns = env.clock.now_ns()
        fit = leave_refusing(members, loads, now_ns)
        usual_ms = find_usual_ms(fit, loads, now_ns)
        slow = find_stragglers(fit, loads, now_ns, usual_ms)
        for member in slow:
            if loads[member["node_id"]].take_probe(now_ns, covered):
                return Choice(member, trial=True)
        fit = leave_cold([member for member in fit if member not in slow])
        if len(fit) == 1:
            return Choice(fit[0])
        first, second = random.sample(fit, 2)
        if score(second, loads, now_ns, usual_ms) < score(
            first, loads, now_ns, usual_ms
        ):
            return Choice(second)
        return Choice(first)

    return choose


def leave_refusing(members: list[Member], loads: Loads, now_ns: int) -> list[Member]:
    """Leave out targets that just refused, unless all did."""
    fit = [m for m in members if loads[m["node_id"]].avoid_until_ns <= now_ns]
    return fit or members


def leave_cold(members: list[Member]) -> list[Member]:
    """Leave out cold targets at random, so that they get a smaller part."""
    fit = [m for m in members if not m["cold"] or random.random() < COLD_SHARE]
    return fit or members


def find_usual_ms(members: list[Member], loads: Loads, now_ns: int) -> float:
    """Return the lower median of the latencies to expect."""
    expected_ms = sorted(loads[m["node_id"]].expected_ms(now_ns) for m in members)
    return expected_ms[(len(expected_ms) - 1) // 2]


def find_stragglers(
    members: list[Member], loads: Loads, now_ns: int, usual_ms: float
) -> list[Member]:
    """List the targets that are much slower than usual."""
    limit_ms = max(STRAGGLER_FACTOR * usual_ms, usual_ms + STRAGGLER_MIN_MS)
    return [m for m in members if loads[m["node_id"]].expected_ms(now_ns) > limit_ms]


def score(member: Member, loads: Loads, now_ns: int, usual_ms: float) -> float:
    """Return the expected wait at a target; lower is better.

    Latencies near the usual one count as equal, so that noise shifts no load.
    """
    load = loads[member["node_id"]]
    expected_ms = load.expected_ms(now_ns)
    if expected_ms < EQUAL_FACTOR * usual_ms:
        expected_ms = usual_ms
    return (len(load.starts) + 1) * expected_ms / max(member["slots"], 1)


def create_policy(env: Environment, loads: Loads) -> Policy:
    """Create the policy that the settings ask for."""
    return POLICIES[env.settings.choice_policy](env, loads)
