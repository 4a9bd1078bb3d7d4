"""Open-loop arrivals: the moments at which requests are due, by seed."""

import random
from collections.abc import Iterator

from knapweedrock.clock import NS_PER_S


def create_arrivals(rate: float, duration_s: float, seed: int) -> Iterator[int]:
    """Yield nanoseconds from the start, independent of how requests fare (Poisson)."""
    rng = random.Random(f"arrivals-{seed}")
    offset_s = rng.expovariate(rate)
    while offset_s < duration_s:
        yield int(offset_s * NS_PER_S)
        offset_s += rng.expovariate(rate)
