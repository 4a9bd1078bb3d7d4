"""Plain integer counters for hot paths, published when metrics are scraped."""

from collections import defaultdict

Labels = tuple[tuple[str, str], ...]


class Counters:
    """Counters and gauges by name and labels.

    Counting is only a dictionary update; `mesh.metrics` publishes the values.
    """

    def __init__(self) -> None:
        self.counts: dict[tuple[str, Labels], int] = defaultdict(int)
        self.gauges: dict[tuple[str, Labels], float] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(sorted(labels.items())) if labels else ())
        self.counts[key] += amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.gauges[(name, tuple(sorted(labels.items())))] = value

    def get_total(self, name: str) -> int:
        """Return the sum of a counter over all its labels."""
        return sum(n for (key, _), n in self.counts.items() if key == name)
