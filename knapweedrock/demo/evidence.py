"""What targets and nodes of a local mesh say after a run."""

from typing import TypedDict

from knapweedrock.emulator.local_mesh import LocalMesh, Place
from knapweedrock.history import Execution, Overload

ORDER_METHOD = "POST"


class OwnedRange(TypedDict):
    """Keys from `start` on and the node that owns them."""

    start: int
    owner: str


def read_executions(mesh: LocalMesh) -> list[Execution]:
    """Read what all targets truly ran."""
    return [found for place in mesh.places for found in read_target_executions(place)]


def read_target_executions(place: Place) -> list[Execution]:
    """Read what one target truly ran."""
    return [
        Execution(
            place.settings.node_id,
            run.attempt_id,
            run.attempt_id if run.method == ORDER_METHOD else "",
            str(run.key) if place.holder.keyed else "",
            run.token,
            run.began_ns,
            run.ended_ns,
            True,
            run.attempt_id,
        )
        for run in place.holder.runs
    ]


def read_overloads(mesh: LocalMesh) -> list[Overload]:
    """Read when targets were given more than they have slots for."""
    return [
        Overload(
            place.settings.node_id, overflow.at_ns, overflow.in_flight, overflow.slots
        )
        for place in mesh.places
        for overflow in place.holder.slot_overflows
    ]


def read_owners(mesh: LocalMesh, service: str) -> list[OwnedRange]:
    """Read who owns the keys of a service, as the newest board says."""
    boards = [node.board for node in mesh.nodes.values()]
    newest = max(boards, key=lambda board: (board.epoch, board.version))
    rows = newest.tables.get(service, [])
    return [{"start": row.start, "owner": row.node_id} for row in rows]


def list_stale_nodes(mesh: LocalMesh) -> list[str]:
    """List the nodes for which an availability zone is still out."""
    return [name for name, node in mesh.nodes.items() if node.zones_out]
