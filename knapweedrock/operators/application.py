"""Application of a ticket: one conditional update of the configuration or none."""

import random
import time
from typing import NamedTuple

import gevent

from knapweedrock.codes import Code
from knapweedrock.configuration import create_configuration
from knapweedrock.errors import PlatformError, TicketError
from knapweedrock.operators.reviews import is_repeated, review_ticket
from knapweedrock.operators.tickets import Ticket
from knapweedrock.platform.interface import Platform

MAX_ATTEMPTS = 60
APPLY_DEADLINE_S = 15.0
BACKOFF_FIRST_MS = 10
BACKOFF_MAX_MS = 400
RETRIED = frozenset(
    {
        Code.PLATFORM_CONFLICT,
        Code.PLATFORM_UNAVAILABLE,
        Code.PLATFORM_RATE_LIMITED,
        Code.PLATFORM_BAD_ANSWER,
    }
)


class Applied(NamedTuple):
    """A ticket that is accepted, and the configuration version that holds it."""

    number: int
    version: int
    repeated: bool


def apply_ticket(
    platform: Platform,
    group: str,
    ticket: Ticket,
    known_zones: frozenset[str] = frozenset(),
) -> Applied:
    """Apply a checked ticket whole, or change nothing and raise.

    `known_zones` are zones in which the caller of this knows nodes.
    Raises an ExceptionGroup of TicketError for a refused ticket, TicketError
    `TICKET_LOST_RACE` when others kept winning, and PlatformError when the
    platform does not answer; a ticket left open by that may be sent again.
    """
    deadline = time.monotonic() + APPLY_DEADLINE_S
    for attempt in range(MAX_ATTEMPTS):
        try:
            return try_apply(platform, group, ticket, known_zones)
        except PlatformError as error:
            last = error
        if last.code not in RETRIED or time.monotonic() > deadline:
            break
        wait_backoff(attempt)
    if last.code == Code.PLATFORM_CONFLICT:
        raise TicketError(Code.TICKET_LOST_RACE) from last
    raise last


def wait_backoff(attempt: int) -> None:
    """Wait a random time that grows with the attempts."""
    limit_ms = min(BACKOFF_FIRST_MS * 2 ** min(attempt, 10), BACKOFF_MAX_MS)
    gevent.sleep(random.uniform(BACKOFF_FIRST_MS / 2, limit_ms) / 1000)


def try_apply(
    platform: Platform, group: str, ticket: Ticket, known_zones: frozenset[str]
) -> Applied:
    """Apply a ticket to the configuration that the platform holds now."""
    name = f"config/{group}"
    stored = platform.get(name)
    before = stored.value if stored else create_configuration()
    version = stored.version if stored else 0
    if is_repeated(before, ticket):
        return Applied(ticket["number"], version, True)
    used_zones = known_zones | find_used_zones(platform, ticket)
    after = review_ticket(before, ticket, used_zones)
    written = platform.put(name, after, version)
    return Applied(ticket["number"], written.version, False)


def find_used_zones(platform: Platform, ticket: Ticket) -> frozenset[str]:
    """Find the zones with nodes, where the ticket deletes zones."""
    if not any(path.startswith("zones/") for path in ticket.get("delete", [])):
        return frozenset()
    cells = [stored.value for stored in platform.list("cells/").values()]
    statuses = [stored.value for stored in platform.list("status/").values()]
    voters = [voter for cell in cells for voter in cell.get("voters", {}).values()]
    zones = {voter["zone"] for voter in voters}
    return frozenset(zones.union(*(status.get("zones", []) for status in statuses)))
