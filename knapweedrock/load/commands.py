"""Functions behind the `load` and `report plot` commands."""

from pathlib import Path

import click

from knapweedrock.load.plots import plot_reports, read_load_report
from knapweedrock.load.program import LoadOptions, offer_load
from knapweedrock.load.report import FORMATTERS
from knapweedrock.settings import LoadSettings
from knapweedrock.status import ExitStatus


def run_load(settings: LoadSettings) -> ExitStatus:
    """Run the load that the settings describe, and print its report."""
    report = offer_load(create_options(settings))
    click.echo(FORMATTERS["json" if settings.as_json else "text"](report))
    if report.done == 0:
        return ExitStatus.UNREACHABLE
    return ExitStatus.SUCCESS


def plot_files(paths: tuple[Path, ...]) -> ExitStatus:
    """Print plots of load reports side by side."""
    click.echo(plot_reports([read_load_report(path) for path in paths]))
    return ExitStatus.SUCCESS


def create_options(settings: LoadSettings) -> LoadOptions:
    """Create load options from validated settings."""
    return LoadOptions(
        addresses=tuple(str(address) for address in settings.nodes),
        rate=settings.rate,
        duration_s=settings.seconds,
        read_path=settings.path,
        order_path=settings.orders_path,
        host=settings.host,
        keyed=settings.keyed,
        keys=settings.keys,
        zipf=settings.zipf,
        order_share=settings.orders_share,
        deadline_ms=settings.deadline_ms,
        seed=settings.seed,
    )
