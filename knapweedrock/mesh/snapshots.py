"""The state of a service on which the coordinator bases its ownership decisions."""

from collections import Counter
from collections.abc import Collection, Mapping
from typing import NamedTuple

from knapweedrock.mesh.messages import Member, Row, RowLoad

KEY_COUNT = 65536
# A target with this many rows gets no more. The response to a heartbeat has room for
# this many rows, and for some more that result from splits.
MAX_ROWS_PER_TARGET = 140


class CompletedMove(NamedTuple):
    """Keys that recently moved to a node, with their load before the move.

    The node's own reports include this load only after some time.
    """

    start: int
    end: int
    node_id: str
    load: float


class Snapshot(NamedTuple):
    """State of one service's targets, rows and loads at one time.

    `loads` holds the measured loads of rows by node, in the order of keys. `unheld`
    holds the rows that no target can still hold. `released` holds the key ranges that
    targets have released, as `(start, end, handover)`.
    """

    members: dict[str, Member]
    zones_out: Collection[str]
    loads: dict[str, list[RowLoad]]
    unheld: Collection[Row]
    released: Collection[tuple[int, int, str]]
    # Time of the last heartbeat of each member's target, in ms of the coordinator's
    # clock, and the interval between heartbeats.
    heartbeat_at_ms: dict[str, float] = {}
    heartbeat_interval_ms: float = 1000.0
    # Nodes whose targets may be ready soon, and then get their rows again.
    returning: Collection[str] = ()
    # Recently completed moves by destination node.
    completed_moves: Mapping[str, list[CompletedMove]] = {}
    # Era of the store in which the coordinator's term began.
    era: int = 0


def list_at_row_limit(rows: list[Row]) -> set[str]:
    """List the members that own so many rows that they must get no more."""
    counts = Counter(row.next_node or row.node_id for row in rows)
    return {name for name, count in counts.items() if count >= MAX_ROWS_PER_TARGET}


def list_eligible_members(snapshot: Snapshot) -> list[Member]:
    """List the members whose targets may own keys: ready, in a zone that is in use."""
    return [
        member
        for member in snapshot.members.values()
        if member.state == "ready" and member.zone not in snapshot.zones_out
    ]
