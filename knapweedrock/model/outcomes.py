"""Outcomes of requests by kind and second."""

from collections import Counter
from enum import StrEnum


class Outcome(StrEnum):
    """How a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class Outcomes:
    """Counts of outcomes by kind and by the second in which a request was sent."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, int, Outcome]] = Counter()
        # Refusals that callers got, also those after which a request was served.
        self.refusals = 0
        # Requests that nodes got from callers, and those that targets got from nodes.
        self.sent_by_service: Counter[str] = Counter()
        self.delivered_by_service: Counter[str] = Counter()

    def record(self, kind: str, sent_s: float, outcome: Outcome) -> None:
        """Record the outcome of a request that was sent at `sent_s`."""
        self.counts[kind, int(sent_s), outcome] += 1

    def count(
        self, kind: str, outcome: Outcome, first_s: int = 0, after_s: int = 1_000_000
    ) -> int:
        """Count the outcomes of a kind's requests sent within a range of seconds."""
        return sum(
            count
            for (name, second, found), count in self.counts.items()
            if name == kind and found is outcome and first_s <= second < after_s
        )

    def compute_share(
        self, kind: str, outcome: Outcome, first_s: int = 0, after_s: int = 1_000_000
    ) -> float:
        """Return the share of a kind's requests with an outcome, 0 without requests."""
        counts = {o: self.count(kind, o, first_s, after_s) for o in Outcome}
        return counts[outcome] / max(sum(counts.values()), 1)
