"""Lookup of the owner of a key, and of the token under which it holds the key."""

from typing import TYPE_CHECKING, TypedDict

from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.mesh.definitions import Configuration
from knapweedrock.mesh.holds import find_row
from knapweedrock.mesh.routed_requests import parse_key

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node


class Owner(TypedDict):
    """Owner of a key, with an empty `node_id` if the key has no owner now.

    `next_node` names the node that the key moves to. `targets` lists the ready targets
    of an unkeyed service.
    """

    service: str
    keyed: bool
    key: int
    node_id: str
    zone: str
    target: str
    token: int
    next_node: str
    epoch: int
    version: int
    targets: list[str]


def find_owner(node: "Node", service: str, key: str) -> Owner:
    """Find the owner of a key.

    Raises `KnapweedrockError` with `CONFIG_STALE`, `UNKNOWN_SERVICE` or `BAD_REQUEST`.
    """
    configuration = node.configuration
    if configuration is None:
        raise KnapweedrockError(Code.CONFIG_STALE)
    name = service or choose_service(configuration)
    definition = configuration.services.get(name)
    if definition is None:
        detail = f"service {name!r} is not in the configuration"
        raise KnapweedrockError(Code.UNKNOWN_SERVICE, detail)
    board = node.board
    owner: Owner = {
        "service": name,
        "keyed": definition.keyed,
        "key": parse_key(key) if definition.keyed else -1,
        "node_id": "",
        "zone": "",
        "target": "",
        "token": 0,
        "next_node": "",
        "epoch": board.epoch,
        "version": board.version,
        "targets": [],
    }
    if not definition.keyed:
        members = node.list_members(name)
        owner["targets"] = sorted(m.target for m in members if m.state == "ready")
        return owner
    row = find_row(node.get_rows(name), owner["key"])
    if row is None:
        return owner
    member = board.members.get(row.node_id)
    return owner | {
        "node_id": row.node_id,
        "zone": member.zone if member else "",
        "target": row.target,
        "token": row.token,
        "next_node": row.next_node,
    }


def choose_service(configuration: Configuration) -> str:
    """Return the keyed service; raise `BAD_REQUEST` unless there is exactly one."""
    keyed = sorted(s.name for s in configuration.services.values() if s.keyed)
    if len(keyed) == 1:
        return keyed[0]
    expected = ", ".join(keyed) or "nothing"
    detail = f"service: found nothing, expected one of {expected}"
    raise KnapweedrockError(Code.BAD_REQUEST, detail)
