"""Compare variants of the product in the model of the mesh, in pairs by seed.

Each mechanism of an ablation file is switched off by itself. A difference counts only
beyond its 95 percent interval.
"""

import importlib
import json
import math
import statistics
import tomllib
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import click

from knapweedrock.model.mesh import run_pattern
from knapweedrock.model.outcomes import Outcome
from knapweedrock.model.patterns import PATTERNS

ABLATION_FILE = Path(__file__).with_name("ablation.toml")
# Two-sided 95 percent quantiles of Student's distribution by degrees of freedom.
T_QUANTILES = (
    *(12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23),
    *(2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09),
)
NORMAL_QUANTILE = 1.96
MIN_PAIRS = 2


class Mechanism(NamedTuple):
    """A mechanism and the constant, as `module:name`, whose value switches it off."""

    name: str
    constant: str
    value: Any


class Run(NamedTuple):
    """One run of a pattern, with a mechanism switched off if one is given."""

    pattern: str
    seed: int
    mechanism: Mechanism | None


class Difference(NamedTuple):
    """Mean change of a share over pairs, and half the width of its interval."""

    pattern: str
    mechanism: str
    share: str
    before: float
    change: float
    half_width: float
    pairs: int

    @property
    def is_certain(self) -> bool:
        """Return whether the change lies beyond its interval."""
        return abs(self.change) > self.half_width


def read_mechanisms(path: Path) -> list[Mechanism]:
    """Read an ablation file; raise `click.ClickException` for a stale entry."""
    entries = tomllib.loads(path.read_text())["mechanism"]
    mechanisms = [Mechanism(**entry) for entry in entries]
    for mechanism in mechanisms:
        module_name, _, constant = mechanism.constant.partition(":")
        module = importlib.import_module(module_name)
        if not hasattr(module, constant):
            raise click.ClickException(
                f"{mechanism.name}: {mechanism.constant} does not exist"
            )
        if getattr(module, constant) == mechanism.value:
            raise click.ClickException(
                f"{mechanism.name}: {mechanism.constant} is {mechanism.value} already"
            )
    return mechanisms


def measure_shares(run: Run) -> dict[str, float]:
    """Run a pattern and return the share of each outcome of each kind."""
    if run.mechanism is not None:
        module_name, _, constant = run.mechanism.constant.partition(":")
        setattr(importlib.import_module(module_name), constant, run.mechanism.value)
    pattern = PATTERNS[run.pattern]()
    outcomes = run_pattern(pattern, run.seed)
    return {
        f"{kind.name} {outcome}": outcomes.compute_share(kind.name, outcome)
        for kind in pattern.kinds
        if kind.rate_per_s
        for outcome in Outcome
    }


def compare(
    pattern: str,
    mechanism: str,
    before: list[dict[str, float]],
    after: list[dict[str, float]],
) -> list[Difference]:
    """Compare runs in pairs; there must be `MIN_PAIRS` at least."""
    pairs = len(before)
    freedom = pairs - 1
    quantile = (
        T_QUANTILES[freedom - 1] if freedom <= len(T_QUANTILES) else NORMAL_QUANTILE
    )
    differences = []
    for share in before[0]:
        changes = [b[share] - a[share] for a, b in zip(before, after, strict=True)]
        half_width = quantile * statistics.stdev(changes) / math.sqrt(pairs)
        usual = statistics.mean(run[share] for run in before)
        change = statistics.mean(changes)
        differences.append(
            Difference(pattern, mechanism, share, usual, change, half_width, pairs)
        )
    return differences


def format_differences(differences: list[Difference]) -> str:
    """Format the differences beyond their intervals, and count the others."""
    certain = [difference for difference in differences if difference.is_certain]
    lines = [
        f"{d.pattern:28} {d.mechanism:32} {d.share:16} {d.before:.3f}"
        f" {d.change:+.3f} +- {d.half_width:.3f} ({d.pairs} pairs)"
        for d in certain
    ]
    lines.append(f"{len(differences) - len(certain)} others within their intervals")
    return "\n".join(lines)


@click.command()
@click.option("--seeds", default=6, show_default=True, help="Runs of each variant.")
@click.option("--processes", default=2, show_default=True, help="Runs at a time.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON for programs.")
@click.option("--pattern", "names", multiple=True, help="Only these patterns.")
def main(seeds: int, processes: int, as_json: bool, names: tuple[str, ...]) -> None:
    """Switch off each mechanism by itself and show what it changes in the model."""
    if seeds < MIN_PAIRS:
        raise click.ClickException(f"--seeds: {seeds}, at least {MIN_PAIRS} expected")
    unknown = [name for name in names if name not in PATTERNS]
    if unknown:
        raise click.ClickException(f"--pattern: no pattern {unknown[0]!r}")
    mechanisms = read_mechanisms(ABLATION_FILE)
    differences: list[Difference] = []
    with ProcessPoolExecutor(processes, max_tasks_per_child=1) as pool:
        for name in names or PATTERNS:
            variants = [None, *mechanisms]
            runs = [Run(name, s, m) for m in variants for s in range(1, seeds + 1)]
            results = list(pool.map(measure_shares, runs))
            before = results[:seeds]
            for index, mechanism in enumerate(mechanisms, start=1):
                after = results[index * seeds : (index + 1) * seeds]
                differences += compare(name, mechanism.name, before, after)
    if as_json:
        click.echo(json.dumps([d._asdict() for d in differences], indent=2))
    else:
        click.echo(format_differences(differences))


if __name__ == "__main__":
    main()
