"""Run experiments: `python -m bench [NAME ...] [--runs N] [--seed N]`."""

from gevent import monkey

monkey.patch_all()

import time  # noqa: E402

import click  # noqa: E402

from bench import capacity, control, delivery, ownership, path, zones  # noqa: E402, F401
from bench.registry import EXPERIMENTS, Plan  # noqa: E402
from bench.tables import write_tables  # noqa: E402


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(sorted(EXPERIMENTS)))
@click.option("--runs", default=3, help="How often each experiment is repeated.")
@click.option("--seed", default=1, help="Seed of the first run.")
def main(names: tuple[str, ...], runs: int, seed: int) -> None:
    """Run the named experiments, or all of them."""
    for name in names or sorted(EXPERIMENTS):
        start_s = time.monotonic()
        write_tables(name, EXPERIMENTS[name](Plan(seed, runs)))
        print(f"{name} took {time.monotonic() - start_s:.0f} s\n", flush=True)


if __name__ == "__main__":
    main()
