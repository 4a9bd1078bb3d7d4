"""Definition of operators' commands."""

from pathlib import Path
from typing import Any

import click

from knapweedrock.options import (
    BOTH_WAYS,
    FILE,
    REPORT_FILE,
    example,
    operator_options,
    setting,
)
from knapweedrock.settings import create_operator_settings


@click.group(epilog=example("knapweedrock ticket list --node 127.0.0.1:7004"))
def ticket() -> None:
    """Check, apply and list numbered change tickets."""


@ticket.command(
    name="check",
    epilog=example(
        "knapweedrock ticket check examples/kowhai/1-start.toml",
        "knapweedrock ticket check --node 127.0.0.1:7004 \\",
        "  examples/kowhai/2-zone-out.toml",
    ),
)
@operator_options(*BOTH_WAYS, "json")
@click.argument("file", type=FILE)
def ticket_check(file: Path, **given: Any) -> Any:
    """Check a ticket file, and with an address also against the configuration."""
    settings = create_operator_settings(given, needed=())
    from knapweedrock.operators.commands import check_file

    return check_file(settings, file)


@ticket.command(
    name="apply",
    epilog=example(
        "knapweedrock ticket apply --node 127.0.0.1:7004 --wait 6 \\",
        "  examples/kowhai/1-start.toml",
    ),
)
@operator_options(*BOTH_WAYS, "wait", "json")
@click.argument("file", type=FILE)
def ticket_apply(file: Path, **given: Any) -> Any:
    """Apply a ticket file whole, or change nothing."""
    settings = create_operator_settings(given)
    from knapweedrock.operators.commands import apply_file

    return apply_file(settings, file)


@ticket.command(
    name="show",
    epilog=example("knapweedrock ticket show --node 127.0.0.1:7004 2"),
)
@operator_options(*BOTH_WAYS, "json")
@click.argument("number", type=click.IntRange(1))
def ticket_show(number: int, **given: Any) -> Any:
    """Show what one ticket last touched."""
    settings = create_operator_settings(given)
    from knapweedrock.operators.commands import show_ticket

    return show_ticket(settings, number)


@ticket.command(
    name="list",
    epilog=example("knapweedrock ticket list --platform 127.0.0.1:7000 --group kowhai"),
)
@operator_options(*BOTH_WAYS, "json")
def ticket_list(**given: Any) -> Any:
    """List the tickets that the configuration knows of."""
    settings = create_operator_settings(given)
    from knapweedrock.operators.commands import list_tickets

    return list_tickets(settings)


@click.command(epilog=example("knapweedrock status --node 127.0.0.1:7004"))
@operator_options("node", "secret", "json")
def status(**given: Any) -> Any:
    """Show a cell: nodes, owners, zones, and what is not right."""
    settings = create_operator_settings(given, needed=("node",))
    from knapweedrock.operators.commands import show_status

    return show_status(settings)


@click.command(epilog=example("knapweedrock dump --node 127.0.0.1:7004"))
@operator_options("node", "secret", "json")
def dump(**given: Any) -> Any:
    """Show the whole state of a node as JSON."""
    settings = create_operator_settings(given, needed=("node",))
    from knapweedrock.operators.commands import show_dump

    return show_dump(settings)


@click.command(
    epilog=example(
        "knapweedrock owner --node 127.0.0.1:7004 --service depot-orders depot-17"
    )
)
@operator_options("node", "secret", "json")
@setting("--service", "Service; may be left out where only one is divided by key.", "")
@click.argument("key")
def owner(key: str, service: str, **given: Any) -> Any:
    """Show who owns a key, since when, and by which token."""
    settings = create_operator_settings(given, needed=("node",))
    from knapweedrock.operators.commands import show_owner

    return show_owner(settings, key, service)


@click.group(epilog=example("knapweedrock report take --node 127.0.0.1:7004 now.json"))
def report() -> None:
    """Take reports of a cell, compare them, and plot those of loads."""


@report.command(
    name="take",
    epilog=example("knapweedrock report take --node 127.0.0.1:7004 before.json"),
)
@operator_options("node", "secret", "json")
@click.argument("file", type=REPORT_FILE)
def report_take(file: Path, **given: Any) -> Any:
    """Write dumps and metrics of all nodes of a cell into a new file."""
    settings = create_operator_settings(given, needed=("node",))
    from knapweedrock.operators.report_commands import take_report

    return take_report(settings, file)


@report.command(
    name="compare",
    epilog=example("knapweedrock report compare before.json after.json"),
)
@operator_options("json")
@click.argument("before", type=REPORT_FILE)
@click.argument("after", type=REPORT_FILE)
def report_compare(before: Path, after: Path, **given: Any) -> Any:
    """Show what changed in a cell between two of its reports."""
    settings = create_operator_settings(given, needed=())
    from knapweedrock.operators.report_commands import compare_files

    return compare_files(settings, before, after)


@report.command(
    name="plot", epilog=example("knapweedrock report plot calm.json slowed.json")
)
@click.argument("files", type=REPORT_FILE, nargs=-1, required=True)
def report_plot(files: tuple[Path, ...]) -> Any:
    """Plot latencies and service by second of reports of `load --json`."""
    from knapweedrock.load.commands import plot_files

    return plot_files(files)


COMMANDS = (ticket, status, dump, owner, report)
