"""Check from outside that targets get no more requests than their limits allow."""

from typing import NamedTuple

from knapweedrock.clock import NS_PER_MS, NS_PER_S
from knapweedrock.emulator.target import EmulatedTarget

# A limit is checked from this long after the target first set it.
SETTLE_MS = 3000
# A node must apply a limit this long after it has forwarded an answer with the limit.
NOTICE_MS = 500
WINDOW_S = 4
# A target may get this multiple of its limit in a window, plus a number of requests.
MAX_FACTOR = 1.5
MAX_EXTRA_REQUESTS = 5


class LimitSpan(NamedTuple):
    """Time span, in ns, in which one target incarnation had a limit."""

    target: str
    limit: float
    from_ns: int
    until_ns: int


class LimitAnswer(NamedTuple):
    """Time, in ns, at which a node forwarded a target's answer with a limit."""

    node_id: str
    target: str
    at_ns: int


class LimitMonitor:
    """Record of limits, the nodes that forwarded them, and entry nodes of requests."""

    def __init__(self) -> None:
        self._spans: list[LimitSpan] = []
        self._answers: list[LimitAnswer] = []
        # Entry node of each request, by its attempt id.
        self._entry_nodes: dict[str, str] = {}

    def record_sent(self, attempt_id: str, node_id: str) -> None:
        """Record the entry node of a request."""
        self._entry_nodes[attempt_id] = node_id

    def record_answer(self, node_id: str, target: str, at_ns: int) -> None:
        """Record that a node has forwarded an answer with a limit."""
        self._answers.append(LimitAnswer(node_id, target, at_ns))

    def add_span(self, span: LimitSpan) -> None:
        """Add a time span in which a target had a limit."""
        self._spans.append(span)

    def list_violations(self, holders: list[EmulatedTarget]) -> list[str]:
        """List the limits that were exceeded."""
        return [
            f"limit: {span} got {count}, allowed {allowed:.0f}"
            for span in self._spans
            for holder in holders
            if (count := self._count_busiest_window(span, holder))
            > (allowed := compute_allowed(span.limit))
        ]

    def _count_busiest_window(self, span: LimitSpan, holder: EmulatedTarget) -> int:
        """Count the requests in the busiest window, from nodes that knew the limit."""
        settled_ns = span.from_ns + SETTLE_MS * NS_PER_MS
        known_ns = {}
        for answer in self._answers:
            if answer.target == span.target and answer.at_ns >= span.from_ns:
                known_ns.setdefault(
                    answer.node_id, answer.at_ns + NOTICE_MS * NS_PER_MS
                )
        times = [
            arrival.at_ns
            for arrival in holder.arrivals
            if arrival.target == span.target
            and arrival.at_ns < span.until_ns
            and arrival.at_ns
            >= known_ns.get(self._entry_nodes.get(arrival.attempt_id), span.until_ns)
        ]
        return max(
            (
                sum(1 for t in times if end_ns - WINDOW_S * NS_PER_S < t <= end_ns)
                for end_ns in times
                if end_ns >= settled_ns
            ),
            default=0,
        )


def compute_allowed(limit: float) -> float:
    """Compute how many requests a target with a limit may get in a window."""
    return MAX_FACTOR * limit * WINDOW_S + MAX_EXTRA_REQUESTS
