"""Review of a ticket against the configuration that it changes."""

from collections.abc import Callable, Iterator
from copy import deepcopy
from typing import NamedTuple

import msgspec

from knapweedrock.codes import Code
from knapweedrock.configuration import Configuration
from knapweedrock.errors import TicketError
from knapweedrock.operators.tickets import (
    KINDS,
    Ticket,
    create_digest,
    group_errors,
    list_touched,
)

MAX_CONFIGURATION_BYTES = 900_000
MAX_RECENT_TICKETS = 512


class Proposal(NamedTuple):
    """A ticket beside the configuration before it and after it."""

    ticket: Ticket
    before: Configuration
    after: Configuration
    used_zones: frozenset[str]


ProposalCheck = Callable[[Proposal], Iterator[TicketError]]

PROPOSAL_CHECKS: list[ProposalCheck] = []


def proposal_check(check: ProposalCheck) -> ProposalCheck:
    """Register a check of a ticket against the configuration."""
    PROPOSAL_CHECKS.append(check)
    return check


def review_ticket(
    before: Configuration, ticket: Ticket, used_zones: frozenset[str] = frozenset()
) -> Configuration:
    """Return the configuration after the ticket; raise all reasons to refuse it."""
    if is_repeated(before, ticket):
        return before
    after = merge_ticket(before, ticket)
    errors = list(check_proposal(Proposal(ticket, before, after, used_zones)))
    if errors:
        raise group_errors(errors)
    return after


def is_repeated(configuration: Configuration, ticket: Ticket) -> bool:
    """Tell whether this very ticket was applied before."""
    record = {"number": ticket["number"], "digest": create_digest(ticket)}
    return record in configuration["recent"]


def merge_ticket(before: Configuration, ticket: Ticket) -> Configuration:
    """Build the configuration as it is after the ticket."""
    after = deepcopy(before)
    for kind in KINDS:
        after.setdefault(kind, {})
        for item in ticket.get(kind, []):
            after[kind][item["name"]] = deepcopy(item)
    for path in ticket.get("delete", []):
        kind, _, name = path.partition("/")
        after[kind].pop(name, None)
    for path in list_touched(ticket):
        after["touched"][path] = ticket["number"]
    record = {"number": ticket["number"], "digest": create_digest(ticket)}
    after["recent"] = [*after["recent"], record][-MAX_RECENT_TICKETS:]
    return after


def check_proposal(proposal: Proposal) -> Iterator[TicketError]:
    """Yield every reason to refuse a ticket."""
    for check in PROPOSAL_CHECKS:
        yield from check(proposal)


@proposal_check
def check_content_same(proposal: Proposal) -> Iterator[TicketError]:
    """Refuse a number that was used with another content."""
    number = proposal.ticket["number"]
    if any(record["number"] == number for record in proposal.before["recent"]):
        detail = f"number: found {number}, already applied with another content"
        yield TicketError(Code.TICKET_CONTENT_DIFFERS, detail)


@proposal_check
def check_number_new(proposal: Proposal) -> Iterator[TicketError]:
    """Refuse a number that is not above the last one of each object."""
    number = proposal.ticket["number"]
    for path in list_touched(proposal.ticket):
        last = proposal.before["touched"].get(path, 0)
        if number <= last:
            detail = f"number: found {number}, expected above {last} for {path}"
            yield TicketError(Code.TICKET_NUMBER_OLD, detail)


@proposal_check
def check_references(proposal: Proposal) -> Iterator[TicketError]:
    """Refuse rules whose service does not exist."""
    services = proposal.after["services"]
    for name, rule in proposal.after["rules"].items():
        if rule["service"] not in services:
            detail = (
                f"rules/{name}.service: found {rule['service']!r}, expected a service "
                "that exists after this ticket"
            )
            yield TicketError(Code.TICKET_UNKNOWN_REFERENCE, detail)


@proposal_check
def check_deletions(proposal: Proposal) -> Iterator[TicketError]:
    """Refuse to delete what does not exist or is in use."""
    for path in proposal.ticket.get("delete", []):
        kind, _, name = path.partition("/")
        if name not in proposal.before.get(kind, {}):
            detail = f"delete: found {path}, expected an object that exists"
            yield TicketError(Code.TICKET_UNKNOWN_REFERENCE, detail)
        if kind == "zones" and name in proposal.used_zones:
            detail = f"delete: found {path}, expected a zone without nodes"
            yield TicketError(Code.TICKET_UNKNOWN_REFERENCE, detail)


@proposal_check
def check_keys(proposal: Proposal) -> Iterator[TicketError]:
    """Refuse rules without a key for services divided by key."""
    services = proposal.after["services"]
    for name, rule in proposal.after["rules"].items():
        service = services.get(rule["service"])
        if service and service["keyed"] and "key" not in rule:
            detail = (
                f"rules/{name}.key: found nothing, expected a key, since service "
                f"{rule['service']} is divided by key"
            )
            yield TicketError(Code.TICKET_MALFORMED, detail)


@proposal_check
def check_prefixes(proposal: Proposal) -> Iterator[TicketError]:
    """Refuse two rules with the same path prefix."""
    seen: dict[str, str] = {}
    for name, rule in sorted(proposal.after["rules"].items()):
        prefix = rule["path_prefix"].rstrip("/")
        if prefix in seen:
            detail = (
                f"rules/{name}.path_prefix: found {rule['path_prefix']!r}, expected "
                f"one other than that of rules/{seen[prefix]}"
            )
            yield TicketError(Code.TICKET_MALFORMED, detail)
        seen[prefix] = name


@proposal_check
def check_size(proposal: Proposal) -> Iterator[TicketError]:
    """Refuse a configuration that outgrows the platform's values."""
    size = len(msgspec.json.encode(proposal.after))
    if size > MAX_CONFIGURATION_BYTES:
        detail = (
            f"found a configuration of {size} bytes after this ticket, expected at "
            f"most {MAX_CONFIGURATION_BYTES}"
        )
        yield TicketError(Code.TICKET_TOO_LARGE, detail)
