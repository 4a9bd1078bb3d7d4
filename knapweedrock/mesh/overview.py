"""Overview of the mesh as one node sees it, with the problems that it finds."""

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, TypedDict

from knapweedrock.mesh.messages import Member, Row
from knapweedrock.mesh.snapshots import KEY_COUNT

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

SHARE_DIGITS = 6


class MemberState(TypedDict):
    """State of a member: a node and its target."""

    zone: str
    service: str
    state: str
    slots: int
    cold: bool
    limit: float | None
    peer: str
    process: str
    target: str


class TableState(TypedDict):
    """Distribution of a service's keys; each share is a fraction of all keys."""

    rows: int
    moving: int
    unowned_share: float
    shares: dict[str, float]


class Trouble(TypedDict):
    """A problem, and the action that an operator takes against it."""

    trouble: str
    action: str


class Overview(TypedDict):
    """State of a mesh; `lease_ms` is the remaining lease of the node that answers.

    `era` is the era of the store in which the coordinator's term began.
    """

    node_id: str
    process: str
    coordinator: str
    epoch: int
    version: int
    era: int
    lease_ms: int
    configuration_version: int
    zones_out: list[str]
    services: list[str]
    members: dict[str, MemberState]
    tables: dict[str, TableState]
    troubles: list[Trouble]


TroubleFinder = Callable[[Overview], Iterator[Trouble]]

TROUBLE_FINDERS: list[TroubleFinder] = []


def trouble_finder(finder: TroubleFinder) -> TroubleFinder:
    """Register a finder of troubles; troubles are shown in order of registration."""
    TROUBLE_FINDERS.append(finder)
    return finder


def create_overview(node: "Node") -> Overview:
    """Create the overview of the mesh from a node's state."""
    board, configuration = node.board, node.configuration
    overview: Overview = {
        "node_id": node.settings.node_id,
        "process": node.process,
        "coordinator": get_coordinator_name(node),
        "epoch": board.epoch,
        "version": board.version,
        "era": board.era,
        "lease_ms": max(node.get_remaining_lease_ms(), 0),
        "configuration_version": node.config_watcher.version,
        "zones_out": sorted(node.zones_out),
        "services": sorted(configuration.services) if configuration else [],
        "members": {
            name: describe_member(member)
            for name, member in sorted(board.members.items())
        },
        "tables": {
            service: describe_table(rows)
            for service, rows in sorted(board.tables.items())
        },
        "troubles": [],
    }
    for find in TROUBLE_FINDERS:
        overview["troubles"] += find(overview)
    return overview


def get_coordinator_name(node: "Node") -> str:
    """Return the coordinator's name, or its address if it is no member yet."""
    peer = node.board.coordinator
    for name, member in node.board.members.items():
        if member.peer == peer:
            return name
    return peer


def describe_member(member: Member) -> MemberState:
    """Convert a member to its state in the overview."""
    return {
        "zone": member.zone,
        "service": member.service,
        "state": member.state,
        "slots": member.slots,
        "cold": member.cold,
        "limit": member.limit,
        "peer": member.peer,
        "process": member.process,
        "target": member.target,
    }


def describe_table(rows: list[Row]) -> TableState:
    """Count the rows of a table, and compute the share of the keys of each node."""
    counts: dict[str, int] = {}
    for row in rows:
        counts[row.node_id] = counts.get(row.node_id, 0) + row.end - row.start + 1
    counts.pop("", None)
    shares = {
        name: round(count / KEY_COUNT, SHARE_DIGITS)
        for name, count in sorted(counts.items())
    }
    return {
        "rows": len(rows),
        "moving": sum(bool(row.next_node) for row in rows),
        "unowned_share": round(1 - sum(counts.values()) / KEY_COUNT, SHARE_DIGITS),
        "shares": shares,
    }


@trouble_finder
def find_missing_coordinator(overview: Overview) -> Iterator[Trouble]:
    """Report that the node knows no coordinator."""
    if not overview["coordinator"]:
        yield {
            "trouble": "the node has heard of no coordinator",
            "action": "check the store's address and that nodes reach one another",
        }


@trouble_finder
def find_missing_lease(overview: Overview) -> Iterator[Trouble]:
    """Report that the node that answers holds no lease."""
    if not overview["lease_ms"]:
        yield {
            "trouble": f"node {overview['node_id']} holds no lease",
            "action": "check that it reaches its coordinator; until then its target "
            "loses its keys",
        }


@trouble_finder
def find_missing_configuration(overview: Overview) -> Iterator[Trouble]:
    """Report that no configuration is in force."""
    if not overview["configuration_version"]:
        yield {
            "trouble": "no configuration is in force",
            "action": "write the first one into the store",
        }


@trouble_finder
def find_zones_out(overview: Overview) -> Iterator[Trouble]:
    """Report the availability zones that are out of service."""
    for zone in overview["zones_out"]:
        yield {
            "trouble": f"zone {zone} is out",
            "action": f"remove its entry from the store to bring zone {zone} back",
        }


@trouble_finder
def find_absent_targets(overview: Overview) -> Iterator[Trouble]:
    """Report the nodes without a target that can serve."""
    for name, member in overview["members"].items():
        if member["service"] and member["state"] == "absent":
            yield {
                "trouble": f"the target beside node {name} is not heard",
                "action": "check that it runs and sends heartbeats to its node",
            }


@trouble_finder
def find_unserved_keys(overview: Overview) -> Iterator[Trouble]:
    """Report services without a ready target, or with keys that have no owner."""
    ready = {
        member["service"]
        for member in overview["members"].values()
        if member["state"] == "ready" and member["zone"] not in overview["zones_out"]
    }
    for service in overview["services"]:
        if service not in ready:
            yield {
                "trouble": f"no target of {service} is ready",
                "action": f"start targets of {service}, or bring their zone back",
            }
    for service, table in overview["tables"].items():
        if table["unowned_share"]:
            yield {
                "trouble": f"{table['unowned_share']:.1%} of the keys of {service} "
                "have no owner",
                "action": "wait for the coordinator; see its dump if it lasts above "
                "10 seconds",
            }
