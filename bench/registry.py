"""Registry of experiments by name."""

from collections.abc import Callable
from typing import NamedTuple

from bench.tables import Table


class Plan(NamedTuple):
    """How often to repeat an experiment, and the seed that it starts from."""

    seed: int
    runs: int

    def seeds(self) -> range:
        """Return the seed of each run."""
        return range(self.seed, self.seed + self.runs)


Experiment = Callable[[Plan], list[Table]]

EXPERIMENTS: dict[str, Experiment] = {}


def experiment(name: str) -> Callable[[Experiment], Experiment]:
    """Register an experiment under a name."""

    def register(function: Experiment) -> Experiment:
        EXPERIMENTS[name] = function
        return function

    return register
