"""Types of the configuration that operators' tickets change."""

from typing import Literal, NotRequired, TypedDict

from knapweedrock.differences import Change, History

KEPT_CONFIGURATIONS = 8


class Service(TypedDict):
    """A service: how its requests are divided and bounded.

    `keyed` services give each key one owner. `longest_request_ms` bounds every
    request's deadline; on targets that do not check fencing tokens a takeover
    waits this long more.
    """

    name: str
    keyed: bool
    longest_request_ms: int
    default_deadline_ms: NotRequired[int]


class Zone(TypedDict):
    """An availability zone and whether it takes new work."""

    name: str
    region: str
    state: Literal["in", "out"]


class KeySource(TypedDict):
    """Where a request carries its key: a header, a query field or a path segment."""

    kind: Literal["header", "query", "segment"]
    name: str


class Rule(TypedDict):
    """How requests below a path prefix reach a service.

    The longest matching prefix wins. `idempotent` lists the methods that may be
    sent again; all others need an order id.
    """

    name: str
    path_prefix: str
    service: str
    key: NotRequired[KeySource]
    idempotent: NotRequired[list[str]]


class Cell(TypedDict):
    """Operators' word on a cell: voters that are dead for good.

    Each is named `NODE@IP:PORT` by its peer address, so that a node of the same name
    at another address is not meant.
    """

    name: str
    lost_voters: list[str]


class TicketRecord(TypedDict):
    """Digest of an applied ticket, kept so that a repeated one is recognised."""

    number: int
    digest: str


class Configuration(TypedDict):
    """The whole value of `config/<group>`.

    `touched` maps `services/NAME`, `zones/NAME`, `rules/NAME` and `cells/NAME` to the
    number of the ticket that last touched it, deleted objects included.
    """

    services: dict[str, Service]
    zones: dict[str, Zone]
    rules: dict[str, Rule]
    cells: dict[str, Cell]
    touched: dict[str, int]
    recent: list[TicketRecord]


def create_configuration() -> Configuration:
    """Create an empty configuration."""
    return {
        "services": {},
        "zones": {},
        "rules": {},
        "cells": {},
        "touched": {},
        "recent": [],
    }


class ConfigurationHolder:
    """The configuration in force at this process, which never goes back."""

    def __init__(self) -> None:
        self.version = 0
        self.value = create_configuration()
        self.history: History[int] = History(KEPT_CONFIGURATIONS)

    def replace(self, version: int, value: Configuration) -> bool:
        """Take a higher version; tell whether it was taken."""
        if version <= self.version:
            return False
        self.version = version
        self.value = value
        self.history.add(version, value)
        return True

    def find_change(self, base: int) -> Change:
        """Find how the configuration differs from a version that a peer holds."""
        return self.history.find_change(base, self.value)

    def list_lost_voters(self, cell: str) -> list[str]:
        """List the voters of a cell that operators declared lost, `NODE@IP:PORT`."""
        found = self.value["cells"].get(cell)
        return found["lost_voters"] if found else []

    def zone_is_out(self, zone: str) -> bool:
        """Tell whether the zone is configured to take no new work."""
        found = self.value["zones"].get(zone)
        return found is not None and found["state"] == "out"
