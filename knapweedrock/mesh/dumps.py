"""The complete state of a node as plain data."""

from typing import TYPE_CHECKING, Any, TypedDict

from knapweedrock.mesh.messages import Row
from knapweedrock.mesh.metrics import render_labels
from knapweedrock.mesh.overview import Overview, create_overview

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node


class RowState(TypedDict):
    """Owner of the keys from `start` to `end`, both included."""

    start: int
    end: int
    owner: str
    target: str
    token: int
    next_node: str


class Dump(TypedDict):
    """State of a node.

    `granted` lists the rows that the node has granted to its target. `term_ms` is the
    remaining term if the node coordinates, else 0.
    """

    now_ns: int
    overview: Overview
    settings: dict[str, Any]
    tables: dict[str, list[RowState]]
    granted: list[RowState]
    target: dict[str, Any]
    term_ms: float
    in_flight: int
    waiting: int
    counters: dict[str, float]


def create_dump(node: "Node") -> Dump:
    """Create the dump of a node."""
    target, term, admission = node.target, node.coordinator.term, node.gateway.admission
    return {
        "now_ns": node.clock.now_ns(),
        "overview": create_overview(node),
        "settings": node.settings._asdict(),
        "tables": {
            service: [describe_row(row) for row in rows]
            for service, rows in sorted(node.board.tables.items())
        },
        "granted": [describe_row(row) for row in node.holds.granted.rows],
        "target": {
            "name": target.name,
            "draining": target.draining,
            "silent": target.silent,
            "confirmed": target.confirmed,
            "dead": target.dead_incarnation,
            "heard_ms": target.get_heartbeat_age_ms(),
            "cold": admission.is_cold(),
        },
        "term_ms": max(term.get_remaining_ms(), 0.0) if term.leading else 0.0,
        "in_flight": admission.in_flight,
        "waiting": admission.waiting,
        "counters": {
            name + render_labels(labels): value
            for (name, labels), value in sorted(node.counters.counts.items())
        },
    }


def describe_row(row: Row) -> RowState:
    """Convert a row to its state in the dump."""
    return {
        "start": row.start,
        "end": row.end,
        "owner": row.node_id,
        "target": row.target,
        "token": row.token,
        "next_node": row.next_node,
    }
