"""Check from outside that targets under a limit get no more than it allows."""

from typing import NamedTuple

from knapweedrock.clock import NS_PER_MS, NS_PER_S
from knapweedrock.emulator.holder import Holder

# A limit binds from this long after it was first named.
SETTLE_MS = 3000
# A node is bound this long after it has passed the target's word on.
NOTICE_MS = 500
WINDOW_S = 4
# What a target may get in a window, as a multiple of its limit, and beyond that.
MAX_FACTOR = 1.5
MAX_EXTRA = 5


class LimitSpan(NamedTuple):
    """Time in ns in which one start of a target named a limit."""

    target: str
    limit: float
    from_ns: int
    until_ns: int


class LimitAnswer(NamedTuple):
    """A node passed on an answer of a target that named a limit, at a time in ns."""

    node_id: str
    target: str
    at_ns: int


class LimitMonitor:
    """What targets named, who passed it on, and by whom requests came."""

    def __init__(self) -> None:
        self._spans: list[LimitSpan] = []
        self._answers: list[LimitAnswer] = []
        # The node at which each request entered.
        self._entry_nodes: dict[str, str] = {}

    def record_sent(self, attempt_id: str, node_id: str) -> None:
        """Note at which node a request enters."""
        self._entry_nodes[attempt_id] = node_id

    def record_answer(self, node_id: str, target: str, at_ns: int) -> None:
        """Note that a node has passed on an answer that names a limit."""
        self._answers.append(LimitAnswer(node_id, target, at_ns))

    def add_span(self, span: LimitSpan) -> None:
        """Add a time in which a target named a limit."""
        self._spans.append(span)

    def list_violations(self, holders: list[Holder]) -> list[str]:
        """List the limits that were not kept."""
        return [
            f"limit: {span} got {count}, allowed {allowed:.0f}"
            for span in self._spans
            for holder in holders
            if (count := self._count_busiest_window(span, holder))
            > (allowed := compute_allowed(span.limit))
        ]

    def _count_busiest_window(self, span: LimitSpan, holder: Holder) -> int:
        """Count the requests of the busiest window, by nodes that knew the limit."""
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
    """Find how many requests a target with a limit may get in a window."""
    return MAX_FACTOR * limit * WINDOW_S + MAX_EXTRA
