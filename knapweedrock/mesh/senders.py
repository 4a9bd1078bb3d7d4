"""Number of nodes that send requests to a target, and the interval they should keep."""

from knapweedrock.clock import NS_PER_S, Clock

# Time after its last request for which a sender is counted.
SENDER_WINDOW_S = 10
# Requests per second that all senders together offer to a target whose limit is lower,
# so that one of the senders soon notices when the limit has ended.
MIN_RATE_PER_S = 4.0


class Senders:
    """Tracks which nodes have recently sent requests to one target, by name."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_request_ns: dict[str, int] = {}

    def record(self, sender: str) -> None:
        """Record that a sender has just sent a request."""
        # Reinserting the sender keeps the dict ordered by the time of the last request.
        self._last_request_ns.pop(sender, None)
        self._last_request_ns[sender] = self._clock.now_ns()

    def count(self) -> int:
        """Return the number of senders that sent a request within the window."""
        oldest_ns = self._clock.now_ns() - SENDER_WINDOW_S * NS_PER_S
        while self._last_request_ns:
            oldest = next(iter(self._last_request_ns))
            if self._last_request_ns[oldest] >= oldest_ns:
                break
            del self._last_request_ns[oldest]
        return len(self._last_request_ns)

    def compute_interval_ms(self, rate_per_s: float) -> float:
        """Return the time in ms that each sender should leave between two requests."""
        return self.count() * 1000 / max(rate_per_s, MIN_RATE_PER_S)
