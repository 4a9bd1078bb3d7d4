"""Network links of the model's VMs, which carry one message after the other."""

from typing import Any

import gevent

from knapweedrock.clock import NS_PER_MS, NS_PER_S, Clock
from knapweedrock.errors import KnapweedrockError
from knapweedrock.mesh.frames import Frame, create_failure, encode_frame
from knapweedrock.mesh.pacing import BYTES_PER_MS_PER_MBPS


class Uplink:
    """Outgoing network link of a VM; with 0 Mbit/s it has no limit."""

    def __init__(self, mbps: float, clock: Clock) -> None:
        self._bytes_per_ms = mbps * BYTES_PER_MS_PER_MBPS
        self._clock = clock
        # Time at which the link has carried all messages so far.
        self._free_ns = 0

    def carry_message(self, message: Any) -> None:
        """Wait until the link has carried a message between nodes."""
        if not self._bytes_per_ms:
            return
        if isinstance(message, KnapweedrockError):
            message = create_failure(message)
        self.carry(len(encode_frame(Frame(1, False, message))))

    def carry(self, size_bytes: int) -> None:
        """Wait until the link has carried some bytes, behind all that came before."""
        if not self._bytes_per_ms:
            return
        now_ns = self._clock.now_ns()
        send_ns = int(size_bytes / self._bytes_per_ms * NS_PER_MS)
        self._free_ns = max(self._free_ns, now_ns) + send_ns
        gevent.sleep((self._free_ns - now_ns) / NS_PER_S)
