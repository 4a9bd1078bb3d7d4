"""The record of a cell in the platform: coordinator, epoch and voters."""

from typing import TYPE_CHECKING, TypedDict

from knapweedrock.codes import Code
from knapweedrock.errors import PlatformError
from knapweedrock.platform.interface import Platform, Stored

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

MAX_VOTERS = 5


class VoterRecord(TypedDict):
    """Peer address and availability zone of a voter."""

    peer: str
    zone: str


class CellRecord(TypedDict):
    """Value of `cells/<cell>`."""

    cell: str
    epoch: int
    coordinator: str
    incarnation: str
    peer: str
    voters: dict[str, VoterRecord]


def name_cell(cell: str) -> str:
    """Return the platform's name of a cell's record."""
    return f"cells/{cell}"


def name_table(service: str, cell: str) -> str:
    """Return the platform's name of a service's table in a cell."""
    return f"tables/{service}/{cell}"


def name_keeper(service: str) -> str:
    """Return the platform's name of the record of the cell that keeps a service."""
    return f"keepers/{service}"


def name_status(cell: str) -> str:
    """Return the platform's name of a cell's status."""
    return f"status/{cell}"


def name_configuration(group: str) -> str:
    """Return the platform's name of the configuration."""
    return f"config/{group}"


class KeeperRecord(TypedDict):
    """Value of `keepers/<service>`: the cell whose table holds the service's keys."""

    service: str
    cell: str


def read_cell(platform: Platform, cell: str) -> Stored | None:
    """Read the record of a cell; None where the cell was never founded."""
    return platform.get(name_cell(cell))


def found_cell(env: "Environment") -> Stored | None:
    """Write the first record of the cell, with this node as its only voter.

    Returns None when another node founded it first.
    """
    settings = env.settings
    record: CellRecord = {
        "cell": settings.cell,
        "epoch": 1,
        "coordinator": settings.node_id,
        "incarnation": env.incarnation,
        "peer": str(settings.peer),
        "voters": {
            settings.node_id: {"peer": str(settings.peer), "zone": settings.zone}
        },
    }
    try:
        return env.platform.put(name_cell(settings.cell), record, 0)
    except PlatformError as error:
        if error.code != Code.PLATFORM_CONFLICT:
            raise
        return None


def count_majority(voters: dict[str, VoterRecord]) -> int:
    """Return how many voters are more than half."""
    return len(voters) // 2 + 1


def choose_voter_change(
    voters: dict[str, VoterRecord], candidates: dict[str, VoterRecord], own: str
) -> dict[str, VoterRecord] | None:
    """Choose the next set of voters, at most one different; None when it is good.

    Candidates are the living members that stay, the coordinator `own` among them. A
    voter that came back with another address is another process: it leaves the set
    before it joins again.
    """
    wanted = plan_voters(voters, candidates, own)
    for node_id, record in wanted.items():
        if node_id not in voters:
            return {**voters, node_id: record}
    leaving = [name for name, record in voters.items() if wanted.get(name) != record]
    # Those that are gone leave first, so that the living keep their majority.
    leaving.sort(key=lambda name: candidates.get(name) == voters[name])
    if not leaving:
        return None
    return {name: voters[name] for name in voters if name != leaving[0]}


def plan_voters(
    voters: dict[str, VoterRecord], candidates: dict[str, VoterRecord], own: str
) -> dict[str, VoterRecord]:
    """Plan the whole set of voters: `own`, odd, spread over zones, few changes."""
    count = min(MAX_VOTERS, len(candidates))
    count -= 1 - count % 2
    chosen: dict[str, VoterRecord] = {}
    per_zone: dict[str, int] = {}
    remaining = dict(candidates)
    while len(chosen) < count and remaining:
        best = min(
            remaining,
            key=lambda name: (
                name != own,
                per_zone.get(remaining[name]["zone"], 0),
                name not in voters,
                name,
            ),
        )
        record = remaining.pop(best)
        chosen[best] = record
        per_zone[record["zone"]] = per_zone.get(record["zone"], 0) + 1
    return chosen
