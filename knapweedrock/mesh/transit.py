"""Delay of requests in transit between nodes, beyond the typical transit time."""

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.mesh.messages import Forward


class TransitDelays:
    """Measures delays of requests by sender, without synchronized clocks.

    The smallest difference seen between the local receive time and the sender's send
    time stands for a request without delay. The excess of a later request is its delay,
    which is deducted from its remaining time: its caller may have left, with the
    cancellation still in transit.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._min_difference_ns: dict[str, int] = {}

    def stamp(self, request: Forward) -> Forward:
        """Return a request with the current time as its send time."""
        return request._replace(sent_ns=self._clock.now_ns())

    def deduct_delay(self, sender: str, request: Forward) -> Forward:
        """Return a request whose remaining time is reduced by its delay in transit."""
        difference_ns = self._clock.now_ns() - request.sent_ns
        min_difference_ns = min(
            self._min_difference_ns.get(sender, difference_ns), difference_ns
        )
        self._min_difference_ns[sender] = min_difference_ns
        delay_ms = (difference_ns - min_difference_ns) / NS_PER_MS
        return request.subtract_elapsed(delay_ms)
