"""Ways of an operator's command to the configuration: by a node or the platform."""

import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, Protocol

import gevent
import msgspec

from knapweedrock.checker import Address
from knapweedrock.configuration import Configuration, create_configuration
from knapweedrock.environment import Environment
from knapweedrock.errors import KnapweedrockError
from knapweedrock.operators.application import (
    Applied,
    apply_ticket,
    find_used_zones,
)
from knapweedrock.operators.client import fetch_json
from knapweedrock.operators.reviews import review_ticket
from knapweedrock.operators.tickets import Ticket
from knapweedrock.platform.interface import Platform, create_platform
from knapweedrock.settings import NodeSettings, OperatorSettings

POLL_S = 0.2
APPLY_TIMEOUT_MS = 30_000
COMMAND_NAME = "operator"


class Lag(NamedTuple):
    """A place where a configuration version is not in force, and why."""

    place: str
    reason: str


class Held(NamedTuple):
    """A configuration and its version."""

    version: int
    value: Configuration


class Source(Protocol):
    """One way to read and change the configuration."""

    def apply(self, ticket: Ticket) -> Applied:
        """Apply a ticket."""

    def read(self) -> Held:
        """Read the configuration."""

    def review(self, ticket: Ticket) -> None:
        """Raise all reasons to refuse a ticket, and change nothing."""

    def find_lags(self, version: int) -> list[Lag]:
        """List where the version is not in force."""


SourceFactory = Callable[[OperatorSettings], Source]

SOURCES: dict[str, SourceFactory] = {}


def source(name: str) -> Callable[[SourceFactory], SourceFactory]:
    """Register a way under the setting that chooses it."""

    def register(factory: SourceFactory) -> SourceFactory:
        SOURCES[name] = factory
        return factory

    return register


class NodeSource:
    """The way by a node, which knows the members of its cell."""

    def __init__(self, address: Address, secret: str) -> None:
        self.address = address
        self.secret = secret

    def fetch(self, method: str, target: str, **more: Any) -> dict[str, Any]:
        """Fetch a page of the node."""
        return fetch_json(self.address, method, target, secret=self.secret, **more)

    def apply(self, ticket: Ticket) -> Applied:
        """Apply a ticket."""
        answer = self.fetch(
            "POST",
            "/tickets",
            body=msgspec.json.encode(ticket),
            timeout_ms=APPLY_TIMEOUT_MS,
        )
        return Applied(answer["number"], answer["version"], answer["repeated"])

    def read(self) -> Held:
        """Read the configuration in force at the node."""
        answer = self.fetch("GET", "/tickets")
        return Held(answer["version"], answer["value"])

    def review(self, ticket: Ticket) -> None:
        """Raise all reasons to refuse a ticket, and change nothing."""
        review_ticket(self.read().value, ticket)

    def find_lags(self, version: int) -> list[Lag]:
        """List the members of the node's cell where the version is not in force."""
        overview = self.fetch("GET", "/status")
        if not overview["coordinator_heard"]:
            return [Lag(f"cell {overview['cell']}", "its coordinator does not answer")]
        if not overview["members"]:
            return [Lag(f"cell {overview['cell']}", "it has no members yet")]
        return [
            Lag(f"node {name}", f"holds version {member.get('config_version', 0)}")
            for name, member in overview["members"].items()
            if member.get("config_version", 0) < version
        ]


@source("node")
def create_node_source(settings: OperatorSettings) -> Source:
    """Create the way by a node."""
    return NodeSource(settings.node, settings.secret)


class PlatformSource:
    """The way straight to the platform, which knows the status of every cell."""

    def __init__(self, platform: Platform, group: str) -> None:
        self.platform = platform
        self.group = group

    def apply(self, ticket: Ticket) -> Applied:
        """Apply a ticket."""
        return apply_ticket(self.platform, self.group, ticket)

    def read(self) -> Held:
        """Read the accepted configuration."""
        stored = self.platform.get(f"config/{self.group}")
        return Held(*stored) if stored else Held(0, create_configuration())

    def review(self, ticket: Ticket) -> None:
        """Raise all reasons to refuse a ticket, and change nothing."""
        used_zones = find_used_zones(self.platform, ticket)
        review_ticket(self.read().value, ticket, used_zones)

    def find_lags(self, version: int) -> list[Lag]:
        """List the cells and nodes where the version is not in force."""
        cells = self.platform.list("status/")
        if not cells:
            return [Lag("all cells", "no cell has written its status")]
        return [
            lag
            for name, stored in sorted(cells.items())
            for lag in list_cell_lags(name.partition("/")[2], stored.value, version)
        ]


def list_cell_lags(cell: str, status: dict[str, Any], version: int) -> Iterator[Lag]:
    """Yield where a version is not in force in a cell."""
    versions = [int(number) for number in status.get("config_versions", {})]
    if versions and min(versions) >= version:
        return
    behind = status.get("behind", [])
    for name in behind:
        yield Lag(f"node {name}", f"cell {cell} says that it is behind")
    if not behind:
        held = max(versions, default=0)
        yield Lag(f"cell {cell}", f"its status says version {held}")


@source("platform")
def create_platform_source(settings: OperatorSettings) -> Source:
    """Create the way straight to the platform."""
    env = Environment(create_stand_in_settings(settings), COMMAND_NAME)
    return PlatformSource(create_platform(env), settings.group)


def create_stand_in_settings(settings: OperatorSettings) -> NodeSettings:
    """Create the settings that a platform client needs outside a node."""
    unused = settings.platform
    return NodeSettings(
        node_id=COMMAND_NAME,
        cell="",
        group=settings.group,
        zone="",
        region="",
        caller=unused,
        peer=unused,
        target=unused,
        operator=unused,
        platform_kind=settings.platform_kind,
        platform=settings.platform,
        secret=settings.secret,
        faults_enabled=False,
        drain_ms=0,
        choice_policy="",
        copies_enabled=False,
    )


def create_source(settings: OperatorSettings) -> Source:
    """Create the way that the settings choose."""
    name = "node" if settings.node else "platform"
    return SOURCES[name](settings)


def wait_in_force(way: Source, version: int, wait_s: float) -> list[Lag]:
    """Wait until a version is in force everywhere; return where it is not."""
    deadline = time.monotonic() + wait_s
    lags = ask_lags(way, version)
    while lags and time.monotonic() < deadline:
        gevent.sleep(POLL_S)
        lags = ask_lags(way, version)
    return lags


def ask_lags(way: Source, version: int) -> list[Lag]:
    """Ask where a version is not in force; an answer that fails is one such place.

    The ticket is accepted already, so a failure here must not look like its refusal.
    """
    try:
        return way.find_lags(version)
    except KnapweedrockError as error:
        return [Lag("an unknown number of nodes", str(error))]
