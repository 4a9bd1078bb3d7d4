"""Messages between nodes about delivery."""

from typing import NamedTuple

from knapweedrock.nodes.messages import message


@message(40)
class Suspect(NamedTuple):
    """Tell a peer of a fingerprint that was in flight at one crash."""

    fingerprint: str
    remaining_ms: int


@message(41)
class Cleared(NamedTuple):
    """Tell a peer that a suspect ran alone without a crash."""

    fingerprint: str
