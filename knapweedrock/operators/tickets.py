"""Tickets: their type, what they touch, and their digest."""

import hashlib
from typing import Any, NotRequired, TypedDict

import msgspec

from knapweedrock.configuration import Cell, Rule, Service, Zone
from knapweedrock.errors import TicketError

MAX_TICKET_BYTES = 262_144
KINDS = ("services", "zones", "rules", "cells")


class Ticket(TypedDict):
    """A numbered change with the whole new state of each object that it touches.

    `delete` lists objects as `services/NAME`, `zones/NAME`, `rules/NAME` or
    `cells/NAME`.
    """

    number: int
    services: NotRequired[list[Service]]
    zones: NotRequired[list[Zone]]
    cells: NotRequired[list[Cell]]
    rules: NotRequired[list[Rule]]
    delete: NotRequired[list[str]]


def list_touched(ticket: Ticket) -> list[str]:
    """List the objects that a ticket sets or deletes."""
    touched = [
        f"{kind}/{item['name']}" for kind in KINDS for item in ticket.get(kind, [])
    ]
    return touched + ticket.get("delete", [])


def create_digest(ticket: Ticket) -> str:
    """Compute a digest that is equal for tickets with the same effect."""
    ordered: dict[str, Any] = {
        kind: sorted(ticket.get(kind, []), key=lambda item: item["name"])
        for kind in KINDS
    }
    ordered["delete"] = sorted(ticket.get("delete", []))
    ordered["number"] = ticket["number"]
    body = msgspec.json.encode(ordered, order="sorted")
    return hashlib.sha256(body).hexdigest()


def group_errors(errors: list[TicketError]) -> ExceptionGroup:
    """Group the errors of one ticket."""
    return ExceptionGroup("the ticket is refused", errors)
