"""Operators' commands: tickets, status, dump and owner."""

import time
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

from knapweedrock.codes import Code
from knapweedrock.configuration import Configuration
from knapweedrock.errors import KnapweedrockError, TicketError
from knapweedrock.operators.client import fetch_json
from knapweedrock.operators.files import read_ticket_file
from knapweedrock.operators.sources import create_source, wait_in_force
from knapweedrock.operators.tickets import KINDS, list_touched
from knapweedrock.operators.writers import write_result
from knapweedrock.settings import OperatorSettings
from knapweedrock.status import ExitStatus


def check_file(settings: OperatorSettings, path: Path) -> ExitStatus:
    """Check a ticket file by itself, and against the configuration if one is named."""
    ticket = read_ticket_file(path)
    compared = bool(settings.node or settings.platform)
    if compared:
        create_source(settings).review(ticket)
    value = {
        "number": ticket["number"],
        "touches": list_touched(ticket),
        "compared": compared,
    }
    write_result("checked", value, settings.as_json)
    return ExitStatus.SUCCESS


def apply_file(settings: OperatorSettings, path: Path) -> ExitStatus:
    """Apply a ticket file and, if asked, wait until it is in force everywhere."""
    ticket = read_ticket_file(path)
    way = create_source(settings)
    applied = way.apply(ticket)
    started = time.monotonic()
    waits = settings.wait_s > 0
    lags = wait_in_force(way, applied.version, settings.wait_s) if waits else []
    value = {
        **applied._asdict(),
        "in_force": waits and not lags,
        "waited_s": round(time.monotonic() - started, 3),
        "lags": [lag._asdict() for lag in lags],
    }
    write_result("applied", value, settings.as_json)
    if lags:
        raise TicketError(Code.TICKET_NOT_IN_FORCE)
    return ExitStatus.SUCCESS


def show_ticket(settings: OperatorSettings, number: int) -> ExitStatus:
    """Show what is known of one ticket."""
    held = create_source(settings).read()
    for item in list_numbers(held.value):
        if item["number"] == number:
            objects = {path: find_state(held.value, path) for path in item["objects"]}
            write_result("ticket", {**item, "objects": objects}, settings.as_json)
            return ExitStatus.SUCCESS
    detail = f"ticket {number} is neither recent nor the last to touch an object"
    raise TicketError(Code.TICKET_UNKNOWN_REFERENCE, detail)


def list_tickets(settings: OperatorSettings) -> ExitStatus:
    """List the tickets that the configuration knows of."""
    held = create_source(settings).read()
    value = {"version": held.version, "tickets": list_numbers(held.value)}
    write_result("tickets", value, settings.as_json)
    return ExitStatus.SUCCESS


def list_numbers(configuration: Configuration) -> list[dict[str, Any]]:
    """List known ticket numbers in order, each with the objects it touched last."""
    digests = {item["number"]: item["digest"] for item in configuration["recent"]}
    objects: dict[int, list[str]] = {number: [] for number in digests}
    for path, number in sorted(configuration["touched"].items()):
        objects.setdefault(number, []).append(path)
    return [
        {"number": number, "digest": digests.get(number, ""), "objects": paths}
        for number, paths in sorted(objects.items())
    ]


def find_state(configuration: Configuration, path: str) -> Any:
    """Find the state of an object now; a deleted one says so."""
    kind, _, name = path.partition("/")
    return configuration[kind].get(name, "deleted") if kind in KINDS else "unknown"


def show_page(settings: OperatorSettings, subject: str, target: str) -> ExitStatus:
    """Show a page of a node."""
    if settings.node is None:
        raise KnapweedrockError(Code.SETTING_INVALID, "--node: found nothing")
    value = fetch_json(settings.node, "GET", target, secret=settings.secret)
    write_result(subject, value, settings.as_json)
    return ExitStatus.SUCCESS


def show_status(settings: OperatorSettings) -> ExitStatus:
    """Show a cell, and what is not right with it."""
    return show_page(settings, "status", "/status")


def show_dump(settings: OperatorSettings) -> ExitStatus:
    """Show a node's whole state."""
    return show_page(settings, "dump", "/dump")


def show_owner(settings: OperatorSettings, key: str, service: str) -> ExitStatus:
    """Show who owns a key."""
    query = urlencode({"service": service, "key": key})
    return show_page(settings, "owner", f"/owner?{query}")
