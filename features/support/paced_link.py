"""A link that takes what is handed to it one byte after the other."""

import gevent

from knapweedrock.clock import NS_PER_MS, create_clock
from knapweedrock.mesh.pacing import BYTES_PER_MS_PER_MBPS, Pacer

KB = 1000


class PacedLink:
    """Answers through a pacer, and when the last byte of each has left the link."""

    def __init__(self, mbps: float) -> None:
        self.clock = create_clock()
        self.pacer = Pacer(mbps, self.clock)
        self._bytes_per_ms = mbps * BYTES_PER_MS_PER_MBPS
        self._free_ms = 0.0
        # Size in KB of each answer, and how long it took, in the order of leaving.
        self.sent: list[tuple[int, float]] = []

    def start(self, kb: int) -> gevent.Greenlet:
        """Send an answer from a task of its own."""
        return gevent.spawn(self._send, kb, self._get_ms())

    def _get_ms(self) -> float:
        return self.clock.now_ns() / NS_PER_MS

    def _send(self, kb: int, start_ms: float) -> None:
        data = bytes(kb * KB)
        self.pacer.wait_turn(len(data))
        for piece in self.pacer.slice_data(data):
            self._transmit(len(piece))
        self.sent.append((kb, self._free_ms - start_ms))

    def _transmit(self, size: int) -> None:
        elapsed_ms = size / self._bytes_per_ms if self._bytes_per_ms else 0.0
        self._free_ms = max(self._free_ms, self._get_ms()) + elapsed_ms
