"""Counters, gauges and histograms in the Prometheus text format.

This module renders the text itself, since importing `aioprometheus` brings an event
loop that takes a third of the start time of a restarted node.
"""

from bisect import bisect_left

from knapweedrock.counters import Counters, Labels

CONTENT_TYPE = "text/plain; version=0.0.4"
PREFIX = "knapweedrock"
BOUNDS_MS = (5, 10, 25, 50, 100, 200, 300, 500, 750, 1000, 1500, 2500, 5000, 10000)


class Histogram:
    """Counts of observed durations in ms, by labels and upper bound."""

    def __init__(self) -> None:
        self.counts: dict[Labels, list[int]] = {}
        self.sums: dict[Labels, float] = {}

    def observe(self, value_ms: float, **labels: str) -> None:
        """Add one duration."""
        key = tuple(labels.items())
        counts = self.counts.get(key)
        if counts is None:
            counts = self.counts[key] = [0] * (len(BOUNDS_MS) + 1)
            self.sums[key] = 0.0
        counts[bisect_left(BOUNDS_MS, value_ms)] += 1
        self.sums[key] += value_ms


class Histograms:
    """All histograms of a process, by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, Histogram] = {}

    def create(self, name: str) -> Histogram:
        """Return the histogram of a name, and create it on first use."""
        return self.by_name.setdefault(name, Histogram())


def render_metrics(counters: Counters, histograms: Histograms) -> str:
    """Render all metrics in the Prometheus text format."""
    lines = []
    for kind, values in (("counter", counters.counts), ("gauge", counters.gauges)):
        current_name = ""
        for (name, labels), value in sorted(values.items()):
            if name != current_name:
                lines.append(f"# TYPE {PREFIX}_{name} {kind}")
                current_name = name
            lines.append(f"{PREFIX}_{name}{render_labels(labels)} {value}")
    for name, histogram in sorted(histograms.by_name.items()):
        lines.append(f"# TYPE {PREFIX}_{name} histogram")
        for labels in sorted(histogram.counts):
            lines += render_histogram(name, labels, histogram)
    return "\n".join(lines) + "\n"


def render_histogram(name: str, labels: Labels, histogram: Histogram) -> list[str]:
    """Render the buckets, sum and count of one set of labels."""
    lines = []
    total = 0
    for bound, count in zip(
        (*BOUNDS_MS, "+Inf"), histogram.counts[labels], strict=True
    ):
        total += count
        rendered = render_labels((*labels, ("le", str(bound))))
        lines.append(f"{PREFIX}_{name}_bucket{rendered} {total}")
    rendered = render_labels(labels)
    lines.append(f"{PREFIX}_{name}_sum{rendered} {histogram.sums[labels]:.3f}")
    lines.append(f"{PREFIX}_{name}_count{rendered} {total}")
    return lines


def render_labels(labels: Labels) -> str:
    """Render labels in braces, or an empty string without labels."""
    if not labels:
        return ""
    rendered = ",".join(
        f'{name}="{escape_label_value(value)}"' for name, value in labels
    )
    return "{" + rendered + "}"


def escape_label_value(value: str) -> str:
    """Escape backslashes, quotes and line feeds in a label's value."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
