"""Open-loop arrivals: the moments at which requests are due, by seed."""

import random
from collections.abc import Iterator

from knapweedrock.clock import NS_PER_S


def create_arrivals(rate: float, duration_s: float, seed: int) -> Iterator[int]:
    """Yield nanoseconds from the start, independent of how requests fare (Poisson)."""
    source = random.Random(f"arrivals-{seed}")
    at_s = source.expovariate(rate)
    while at_s < duration_s:
        yield int(at_s * NS_PER_S)
        at_s += source.expovariate(rate)
