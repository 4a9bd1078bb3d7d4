"""Count of the nodes that send requests to a target."""

from knapweedrock.clock import NS_PER_S, Clock

# Time for which a sender counts after its last request.
MEMORY_S = 10
# Requests a second that senders offer a target whose limit is less: one of them finds
# out soon that the limit has ended.
LEAST_ASKED = 4.0


class Senders:
    """Nodes that sent requests to one target a moment ago, by name."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_ns: dict[str, int] = {}

    def note(self, sender: str) -> None:
        """Note a request of a sender."""
        # The one that was heard last stands last.
        self._seen_ns.pop(sender, None)
        self._seen_ns[sender] = self._clock.now_ns()

    def count(self) -> int:
        """Count the senders that still count."""
        limit_ns = self._clock.now_ns() - MEMORY_S * NS_PER_S
        while self._seen_ns:
            oldest = next(iter(self._seen_ns))
            if self._seen_ns[oldest] >= limit_ns:
                break
            del self._seen_ns[oldest]
        return len(self._seen_ns)

    def find_pace_ms(self, rate: float) -> float:
        """Find the time that each sender should leave between two requests."""
        return self.count() * 1000 / max(rate, LEAST_ASKED)
