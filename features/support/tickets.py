"""Tickets of the tests, and operators that race them."""

import random
from typing import NamedTuple

import gevent

from features.support.builders import create_rule, create_service, create_zone
from features.support.memory import MemoryPlatform
from knapweedrock.errors import KnapweedrockError
from knapweedrock.operators.application import Applied, apply_ticket
from knapweedrock.operators.tickets import Ticket

GROUP = "depots"
CONFIG = f"config/{GROUP}"
ZONES = [f"zone-{letter}" for letter in "abcdef"]


class Attempt(NamedTuple):
    """One ticket that an operator sent, and the answer."""

    ticket: Ticket
    applied: Applied | None
    code: int


def create_mesh_ticket(number: int = 10) -> Ticket:
    """Create a ticket with a keyed service, a zone and a rule."""
    return {
        "number": number,
        "services": [create_service("orders")],
        "zones": [create_zone("zone-a"), create_zone("zone-b")],
        "rules": [create_rule("orders")],
    }


def attempt_ticket(platform: MemoryPlatform, ticket: Ticket) -> Attempt:
    """Apply a ticket and record the answer."""
    try:
        return Attempt(ticket, apply_ticket(platform, GROUP, ticket), 0)
    except KnapweedrockError as error:
        return Attempt(ticket, None, int(error.code))
    except ExceptionGroup as group:
        return Attempt(ticket, None, int(group.exceptions[0].code))


def race_tickets(
    platform: MemoryPlatform, operators: int, tickets: int, seed: int
) -> list[Attempt]:
    """Let operators race tickets on shared zones; return all attempts."""
    jobs = [
        gevent.spawn(_operate, platform, tickets, random.Random(f"{seed}/{index}"))
        for index in range(operators)
    ]
    gevent.joinall(jobs, raise_error=True)
    return [attempt for job in jobs for attempt in job.value]


def _operate(
    platform: MemoryPlatform, tickets: int, source: random.Random
) -> list[Attempt]:
    attempts = []
    for turn in range(tickets):
        names = source.sample(ZONES, source.randint(1, 3))
        zones = [
            create_zone(name, state=source.choice(["in", "out"])) for name in names
        ]
        ticket: Ticket = {"number": turn * 10 + source.randint(1, 40), "zones": zones}
        attempts.append(attempt_ticket(platform, ticket))
    return attempts
