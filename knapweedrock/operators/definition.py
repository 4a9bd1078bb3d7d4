"""Definition of the commands for operators."""

from pathlib import Path
from typing import Any

import click

from knapweedrock.options import FILE_TYPE, format_example, node_options, setting
from knapweedrock.settings import create_operator_settings


@click.command(epilog=format_example("knapweedrock status --node 127.0.0.1:7005"))
@node_options
def status(**options: Any) -> Any:
    """Show the mesh: nodes, owners, zones, and problems."""
    settings = create_operator_settings(options)
    from knapweedrock.operators.commands import show_status

    return show_status(settings)


@click.command(epilog=format_example("knapweedrock dump --node 127.0.0.1:7005"))
@node_options
def dump(**options: Any) -> Any:
    """Show the full state of a node as JSON."""
    settings = create_operator_settings(options)
    from knapweedrock.operators.commands import show_dump

    return show_dump(settings)


@click.command(
    epilog=format_example(
        "knapweedrock owner --node 127.0.0.1:7005 --service depot-orders 4711"
    )
)
@node_options
@setting("--service", "Service; may be left out where only one has owners of keys.", "")
@click.argument("key")
def owner(key: str, service: str, **options: Any) -> Any:
    """Show the owner of a key and its token."""
    settings = create_operator_settings(options)
    from knapweedrock.operators.commands import show_owner

    return show_owner(settings, key, service)


@click.command(
    epilog=format_example("knapweedrock story 9c41d07be2a35f68 logs/*.jsonl")
)
@click.argument("attempt_id")
@click.argument("files", nargs=-1, required=True, type=FILE_TYPE)
def story(attempt_id: str, files: tuple[Path, ...]) -> Any:
    """Explain what happened to a request, from the logs of all nodes."""
    from knapweedrock.operators.commands import show_story

    return show_story(attempt_id, files)


@click.command(epilog=format_example("knapweedrock causes logs/*.jsonl"))
@click.argument("files", nargs=-1, required=True, type=FILE_TYPE)
def causes(files: tuple[Path, ...]) -> Any:
    """Count why requests failed, by service and over time, from the logs of nodes."""
    from knapweedrock.operators.commands import show_causes

    return show_causes(files)


@click.group(
    epilog=format_example(
        "knapweedrock report take --node 127.0.0.1:7005 --node 127.0.0.1:7015 now.json"
    )
)
def report() -> None:
    """Take and compare reports of a mesh, and plot load reports."""


@report.command(
    name="take",
    epilog=format_example("knapweedrock report take --node 127.0.0.1:7005 before.json"),
)
@node_options
@click.argument("file", type=FILE_TYPE)
def report_take(file: Path, **options: Any) -> Any:
    """Write the dumps and metrics of all named nodes to a new file."""
    settings = create_operator_settings(options)
    from knapweedrock.operators.report_commands import take_report

    return take_report(settings, file)


@report.command(
    name="compare",
    epilog=format_example("knapweedrock report compare before.json after.json"),
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON for programs.")
@click.argument("before", type=FILE_TYPE)
@click.argument("after", type=FILE_TYPE)
def report_compare(before: Path, after: Path, as_json: bool) -> Any:
    """Show what changed in a mesh between two reports."""
    from knapweedrock.operators.report_commands import compare_files

    return compare_files(before, after, as_json)


@report.command(
    name="plot", epilog=format_example("knapweedrock report plot calm.json slowed.json")
)
@click.argument("files", type=FILE_TYPE, nargs=-1, required=True)
def report_plot(files: tuple[Path, ...]) -> Any:
    """Plot latencies and requests served per second from `load --json` reports."""
    from knapweedrock.load.commands import plot_files

    return plot_files(files)


COMMANDS = (status, dump, owner, story, causes, report)
