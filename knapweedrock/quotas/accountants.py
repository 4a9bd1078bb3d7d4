"""Order in which the nodes of a mesh account for a workspace."""

from collections.abc import Iterable
from hashlib import blake2b

# Nodes that may be asked for one workspace: the accountant and those that follow it.
MAX_CANDIDATES = 4
HASH_BYTES = 8


class AccountantOrder:
    """Order of accountants by rendezvous hashing.

    All nodes with the same candidates get the same order, and the loss of one candidate
    changes the accountant only of the workspaces that it accounted for.
    """

    def __init__(self, node_ids: Iterable[str] = ()) -> None:
        self.node_ids = frozenset(node_ids)
        self._orders: dict[str, list[str]] = {}

    def list_candidates(self, workspace: str) -> list[str]:
        """List the first nodes that account for a workspace, the accountant first."""
        order = self._orders.get(workspace)
        if order is None:
            names = sorted(self.node_ids, key=lambda name: rank(workspace, name))
            order = self._orders[workspace] = names[:MAX_CANDIDATES]
        return order

    def is_accountant(self, workspace: str, node_id: str) -> bool:
        """Return whether a node is the first in the order for a workspace."""
        return self.list_candidates(workspace)[:1] == [node_id]


def rank(workspace: str, node_id: str) -> tuple[bytes, str]:
    """Return a sort key by hash, which all nodes compute alike."""
    text = f"{workspace}\0{node_id}"
    return blake2b(text.encode(), digest_size=HASH_BYTES).digest(), node_id
