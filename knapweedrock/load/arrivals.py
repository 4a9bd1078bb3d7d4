"""Open-loop arrivals: the times at which requests are due, repeatable by seed."""

import random
from collections.abc import Iterator

from knapweedrock.clock import NS_PER_S


def create_arrivals(rate: float, duration_s: float, seed: int) -> Iterator[int]:
    """Yield Poisson arrival times in ns from the start, independent of responses."""
    rng = random.Random(f"arrivals-{seed}")
    offset_s = rng.expovariate(rate)
    while offset_s < duration_s:
        yield int(offset_s * NS_PER_S)
        offset_s += rng.expovariate(rate)
