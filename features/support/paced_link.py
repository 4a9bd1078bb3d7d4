"""Simulated network link that carries data at a limited rate."""

import gevent

from knapweedrock.clock import NS_PER_MS, create_clock
from knapweedrock.mesh.pacing import BYTES_PER_MS_PER_MBPS, Pacer

KB = 1000


class PacedLink:
    """Sends answers through a pacer and records when the link has carried each one."""

    def __init__(self, mbps: float) -> None:
        self.clock = create_clock()
        self.pacer = Pacer(mbps, self.clock)
        self._bytes_per_ms = mbps * BYTES_PER_MS_PER_MBPS
        self._free_ms = 0.0
        # Size in KB and duration in ms of each answer, in the order of sending.
        self.sent: list[tuple[int, float]] = []

    def start(self, kb: int) -> gevent.Greenlet:
        """Send an answer from a new task."""
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
