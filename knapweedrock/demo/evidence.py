"""Records of the targets and nodes of a local mesh, read after a run."""

from typing import TypedDict

from knapweedrock.emulator.local_mesh import LocalMesh, Place
from knapweedrock.history import Execution, Overload

ORDER_METHOD = "POST"


class OwnedRange(TypedDict):
    """The first key of a range and the node that owns the range."""

    start: int
    owner: str


def read_executions(mesh: LocalMesh) -> list[Execution]:
    """Read the executions of all targets."""
    return [
        execution
        for place in mesh.places
        for execution in read_target_executions(place)
    ]


def read_target_executions(place: Place) -> list[Execution]:
    """Read the executions of one target."""
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
    """Read the times at which targets had more requests in flight than slots."""
    return [
        Overload(
            place.settings.node_id, overflow.at_ns, overflow.in_flight, overflow.slots
        )
        for place in mesh.places
        for overflow in place.holder.slot_overflows
    ]


def read_owners(mesh: LocalMesh, service: str) -> list[OwnedRange]:
    """Read the owners of a service's keys from the newest board."""
    boards = [node.board for node in mesh.nodes.values()]
    newest = max(boards, key=lambda board: (board.epoch, board.version))
    rows = newest.tables.get(service, [])
    return [{"start": row.start, "owner": row.node_id} for row in rows]


def list_stale_nodes(mesh: LocalMesh) -> list[str]:
    """List the nodes on which an availability zone is out of service."""
    return [name for name, node in mesh.nodes.items() if node.zones_out]
