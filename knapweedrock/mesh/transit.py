"""Time that requests spend on their way between nodes, beyond the usual."""

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.mesh.messages import Forward


class TransitDelays:
    """Delays of requests by sender, measured without clocks that agree.

    The least difference between a sender's clock and the own one stands for a request
    that is not held up. A request that comes later has used up so much of its time:
    its caller may have left, with the cancellation still on its way.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._min_difference_ns: dict[str, int] = {}

    def stamp(self, request: Forward) -> Forward:
        """Note on a request when it is sent."""
        return request._replace(sent_ns=self._clock.now_ns())

    def deduct_delay(self, sender: str, request: Forward) -> Forward:
        """Take what a request was held up for off the time that it has left."""
        difference_ns = self._clock.now_ns() - request.sent_ns
        min_difference_ns = min(
            self._min_difference_ns.get(sender, difference_ns), difference_ns
        )
        self._min_difference_ns[sender] = min_difference_ns
        delay_ms = (difference_ns - min_difference_ns) / NS_PER_MS
        return request.spend(delay_ms)
