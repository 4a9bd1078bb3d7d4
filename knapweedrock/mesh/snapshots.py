"""What the coordinator knows of a service's targets when it decides on their keys."""

from collections import Counter
from collections.abc import Collection, Mapping
from typing import NamedTuple

from knapweedrock.mesh.messages import Member, Row, RowLoad

KEY_COUNT = 65536
# Rows that the answer to a heartbeat names, with some room for those that are cut.
MAX_ROWS_PER_TARGET = 140


class CompletedMove(NamedTuple):
    """Keys that a node was given a moment ago, and the load that they brought before.

    The node's own reports show this load only after some time.
    """

    start: int
    end: int
    node_id: str
    load: float


class Snapshot(NamedTuple):
    """What the coordinator knows of a service's targets.

    `loads` holds the measured load of rows by node, each node's in the order of keys,
    `unheld` the rows that surely nobody holds, and `released` what targets let go, as
    `(start, end, handover)`.
    """

    members: dict[str, Member]
    zones_out: Collection[str]
    loads: dict[str, list[RowLoad]]
    unheld: Collection[Row]
    released: Collection[tuple[int, int, str]]
    # When each member's target sent a heartbeat, in ms of the coordinator's clock, and
    # the time between two.
    heartbeat_at_ms: dict[str, float] = {}
    heartbeat_interval_ms: float = 1000.0
    # What each node was given a moment ago.
    completed_moves: Mapping[str, list[CompletedMove]] = {}


def list_members_at_row_limit(rows: list[Row]) -> set[str]:
    """Find the members that own so many rows that they are to get no more."""
    counts = Counter(row.next_node or row.node_id for row in rows)
    return {name for name, count in counts.items() if count >= MAX_ROWS_PER_TARGET}


def list_eligible_members(snapshot: Snapshot) -> list[Member]:
    """List the members whose targets may own keys."""
    return [
        member
        for member in snapshot.members.values()
        if member.state == "ready" and member.zone not in snapshot.zones_out
    ]
