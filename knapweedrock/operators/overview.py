"""Overview of a cell: its members, tables, and what is not right with it."""

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

from knapweedrock.nodes.view import HASH_SPACE, Table

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

LATE_HEARTBEAT_MS = 1500


class Trouble(NamedTuple):
    """What is not right, and the action that mends it."""

    trouble: str
    action: str


Overview = dict[str, Any]
TroubleFinder = Callable[[Overview], Iterator[Trouble]]

TROUBLE_FINDERS: list[TroubleFinder] = []


def trouble_finder(finder: TroubleFinder) -> TroubleFinder:
    """Register a finder of what is not right."""
    TROUBLE_FINDERS.append(finder)
    return finder


def create_overview(env: "Environment", coordinator: dict[str, Any]) -> Overview:
    """Create the overview from this node's view and the coordinator's status."""
    view = env.views.view
    configuration = env.configuration.value
    overview: Overview = {
        "cell": view["cell"],
        "node_id": env.settings.node_id,
        "coordinator": view["coordinator"],
        "standby": view["standby"],
        "epoch": view["epoch"],
        "count": view["count"],
        "configuration_version": env.configuration.version,
        "lease_remaining_ms": find_lease_ms(env),
        "coordinator_heard": bool(coordinator.get("in_office")),
        "kept_elsewhere": coordinator.get("kept_elsewhere") or {},
        "waiting_for": coordinator.get("waiting_for") or "",
        "zones": {name: zone["state"] for name, zone in configuration["zones"].items()},
        "services": sorted(configuration["services"]),
        "keyed": sorted(
            name for name, item in configuration["services"].items() if item["keyed"]
        ),
        "members": describe_members(env, coordinator),
        "tables": {name: describe_table(t) for name, t in view["tables"].items()},
    }
    overview["troubles"] = [
        trouble._asdict() for finder in TROUBLE_FINDERS for trouble in finder(overview)
    ]
    return overview


def find_lease_ms(env: "Environment") -> int:
    """Return the milliseconds left of this node's lease, at least 0."""
    return max(int(env.lease.remaining_ms()), 0) if hasattr(env, "lease") else 0


def describe_members(
    env: "Environment", coordinator: dict[str, Any]
) -> dict[str, dict[str, Any]]:
    """Describe each member, with what the coordinator heard of it."""
    heard = coordinator.get("members", {})
    members = env.views.view["members"]
    return {
        name: {"state": "joining", **members.get(name, {}), **heard.get(name, {})}
        for name in sorted(members.keys() | heard.keys())
    }


def describe_table(table: Table) -> dict[str, Any]:
    """Describe a table by its owners' shares of the key space."""
    ranges = table["ranges"]
    ends = [item["start"] for item in ranges[1:]] + [HASH_SPACE]
    shares: dict[str, float] = {}
    for item, end in zip(ranges, ends, strict=False):
        share = (end - item["start"]) / HASH_SPACE
        shares[item["owner"]] = shares.get(item["owner"], 0.0) + share
    return {
        "ranges": len(ranges),
        "unowned_share": round(shares.pop("", 0.0), 6),
        "moving": sum(bool(item.get("moving")) for item in ranges),
        "hot": sum(bool(item.get("hot")) for item in ranges),
        "shares": {name: round(share, 6) for name, share in sorted(shares.items())},
    }


@trouble_finder
def find_no_coordinator(overview: Overview) -> Iterator[Trouble]:
    """Tell that the cell has no coordinator, or that it is not heard."""
    if overview["waiting_for"]:
        yield Trouble(
            f"the cell waits for {overview['waiting_for']}",
            "start those nodes again at their former addresses; if they are gone for "
            f"good, apply a ticket with cells {overview['cell']} and lost_voters",
        )
    elif not overview["coordinator"]:
        yield Trouble(
            "the node knows no coordinator",
            "check the platform's address and that peers reach one another",
        )
    elif not overview["coordinator_heard"]:
        yield Trouble(
            f"coordinator {overview['coordinator']} does not answer",
            "wait 2 seconds for a successor, then ask another node",
        )


@trouble_finder
def find_no_lease(overview: Overview) -> Iterator[Trouble]:
    """Tell that the node that was asked holds no lease."""
    if not overview["lease_remaining_ms"]:
        yield Trouble(
            f"node {overview['node_id']} holds no lease and refuses work",
            "check that it reaches its coordinator; restart it if it stays so",
        )


@trouble_finder
def find_no_configuration(overview: Overview) -> Iterator[Trouble]:
    """Tell that no configuration is in force."""
    if not overview["configuration_version"]:
        yield Trouble("no configuration is in force", "apply a first ticket")


@trouble_finder
def find_missing_members(overview: Overview) -> Iterator[Trouble]:
    """Tell which members are late or without a target."""
    for name, member in overview["members"].items():
        if member.get("last_heard_ms", 0) > LATE_HEARTBEAT_MS:
            yield Trouble(
                f"node {name} was not heard for {member['last_heard_ms']} ms",
                "check its VM and the network to it; its keys move by themselves",
            )
        elif member.get("state") == "joining":
            yield Trouble(
                f"no target announced itself to node {name}",
                "check that its target runs and knows the node's target address",
            )


@trouble_finder
def find_old_versions(overview: Overview) -> Iterator[Trouble]:
    """Tell which members hold an older configuration."""
    wanted = overview["configuration_version"]
    for name, member in overview["members"].items():
        version = member.get("config_version", wanted)
        if version < wanted:
            yield Trouble(
                f"node {name} holds configuration {version}, not {wanted}",
                "wait for its next heartbeat; check its links if it stays so",
            )


@trouble_finder
def find_unknown_zones(overview: Overview) -> Iterator[Trouble]:
    """Tell which members stand in a zone that no ticket created."""
    zones = {member.get("zone") for member in overview["members"].values()}
    for zone in sorted(filter(None, zones - overview["zones"].keys())):
        yield Trouble(
            f"zone {zone} has nodes and is not in the configuration",
            f"apply a ticket with zone {zone}",
        )


@trouble_finder
def find_zones_out(overview: Overview) -> Iterator[Trouble]:
    """Tell which zones are out."""
    for zone, state in sorted(overview["zones"].items()):
        if state == "out":
            yield Trouble(
                f"zone {zone} is out", f"apply a ticket that sets zone {zone} to in"
            )


@trouble_finder
def find_kept_elsewhere(overview: Overview) -> Iterator[Trouble]:
    """Tell which services have targets here though another cell keeps their keys."""
    for service, cell in sorted(overview["kept_elsewhere"].items()):
        yield Trouble(
            f"the keys of {service} are kept by cell {cell or 'unknown'}, so its "
            f"targets in cell {overview['cell']} get none",
            f"start these nodes with cell {cell or 'of the others'}, or let "
            "the targets announce another service",
        )


@trouble_finder
def find_unserved(overview: Overview) -> Iterator[Trouble]:
    """Tell which services have no living target, or keys without an owner."""
    served = {
        member.get("service")
        for member in overview["members"].values()
        if member.get("state") == "serving"
    }
    for service in overview["services"]:
        if service not in served:
            yield Trouble(
                f"no target serves {service}", f"start targets that announce {service}"
            )
    for service, table in overview["tables"].items():
        if table["unowned_share"] and service in served:
            yield Trouble(
                f"{table['unowned_share']:.1%} of the keys of {service} have no owner",
                "wait for the coordinator; see its dump if it lasts above 2 seconds",
            )
