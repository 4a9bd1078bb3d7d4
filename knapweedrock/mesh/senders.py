"""Count of the nodes that send requests to a target."""

from knapweedrock.clock import NS_PER_S, Clock

# Time for which a sender counts after its last request.
SENDER_WINDOW_S = 10
# Requests a second that senders offer a target whose limit is less: one of them finds
# out soon that the limit has ended.
MIN_RATE_PER_S = 4.0


class Senders:
    """Nodes that sent requests to one target a moment ago, by name."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_request_ns: dict[str, int] = {}

    def record(self, sender: str) -> None:
        """Note a request of a sender."""
        # The one that was heard last stands last.
        self._last_request_ns.pop(sender, None)
        self._last_request_ns[sender] = self._clock.now_ns()

    def count(self) -> int:
        """Count the senders that still count."""
        oldest_ns = self._clock.now_ns() - SENDER_WINDOW_S * NS_PER_S
        while self._last_request_ns:
            oldest = next(iter(self._last_request_ns))
            if self._last_request_ns[oldest] >= oldest_ns:
                break
            del self._last_request_ns[oldest]
        return len(self._last_request_ns)

    def compute_interval_ms(self, rate_per_s: float) -> float:
        """Find the time that each sender should leave between two requests."""
        return self.count() * 1000 / max(rate_per_s, MIN_RATE_PER_S)
