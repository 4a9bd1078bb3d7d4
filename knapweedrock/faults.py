"""Cuts for failure tests, empty and unreachable unless a setting allows them."""

from typing import NamedTuple


class Cuts(NamedTuple):
    """Peers and directions whose frames are dropped.

    `send` and `receive` hold node ids; `*` means every peer. `platform_send`
    drops calls before they reach the platform, `platform_receive` its answers.
    """

    send: frozenset[str] = frozenset()
    receive: frozenset[str] = frozenset()
    platform_send: bool = False
    platform_receive: bool = False


class Faults:
    """Current cuts of one process."""

    def __init__(self) -> None:
        self.cuts = Cuts()

    def drops_send(self, peer: str) -> bool:
        """Tell whether frames to the peer are dropped."""
        send = self.cuts.send
        return bool(send) and (peer in send or "*" in send)

    def drops_receive(self, peer: str) -> bool:
        """Tell whether frames from the peer are dropped."""
        receive = self.cuts.receive
        return bool(receive) and (peer in receive or "*" in receive)
