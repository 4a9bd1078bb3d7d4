"""Definition of the command line; `operators.definition` has operators' commands.

Click passes values on unchecked, so that the checker reports all invalid ones at once.
"""

from pathlib import Path
from typing import Any

import click

from knapweedrock import __version__
from knapweedrock.logs import LEVELS, create_log_handler
from knapweedrock.operators.definition import COMMANDS
from knapweedrock.options import FILE_TYPE, flag, format_example, setting
from knapweedrock.settings import (
    create_load_settings,
    create_store_listener,
    create_target_settings,
)

ENVIRONMENT_PREFIX = "KNAPWEEDROCK"
HELP_WIDTH = 88


@click.group(
    context_settings={
        "auto_envvar_prefix": ENVIRONMENT_PREFIX,
        "max_content_width": HELP_WIDTH,
    },
    epilog=format_example("knapweedrock demo --for 20"),
)
@click.version_option(__version__, prog_name="knapweedrock")
@click.option(
    "--log-level",
    type=click.Choice(LEVELS),
    default="warning",
    show_default=True,
    show_envvar=True,
    help="Lowest severity of log lines to write.",
)
@click.pass_context
def cli(context: click.Context, log_level: str) -> None:
    """Router for servers that own keys exclusively."""
    context.with_resource(create_log_handler(log_level).applicationbound())


@cli.command(
    epilog=format_example("knapweedrock serve --settings-file examples/node.env")
)
@setting(
    "--settings-file",
    "File of KNAPWEEDROCK_SERVE_NAME=value lines; read again on SIGHUP.",
    metavar="PATH",
    type=FILE_TYPE,
    required=True,
)
def serve(settings_file: Path) -> Any:
    """Run a node of the mesh beside a target that holds its keys."""
    from knapweedrock.mesh.process import run_node

    run_node(settings_file)


@cli.group(epilog=format_example("knapweedrock emulate store --listen 127.0.0.1:7000"))
def emulate() -> None:
    """Run a stand-in for tests and demonstrations."""


@emulate.command(
    name="store",
    epilog=format_example(
        "knapweedrock emulate store --listen 127.0.0.1:7000 \\",
        "  --configuration examples/kowhai/configuration.json",
    ),
)
@setting("--listen", "Serve objects here.", metavar="IP:PORT")
@setting(
    "--configuration",
    "Configuration to hold from the start, in JSON.",
    metavar="PATH",
    type=FILE_TYPE,
)
def emulate_store(listen: str, configuration: Path | None) -> Any:
    """Run a stand-in for the platform's store."""
    address = create_store_listener({"listen": listen})
    from knapweedrock.emulator.programs import run_store

    return run_store(address, configuration)


@emulate.command(
    name="target",
    epilog=format_example(
        "knapweedrock emulate target --listen 127.0.0.1:7009 \\",
        "  --node 127.0.0.1:7003 --service depot-orders --zone invercargill",
    ),
)
@setting("--listen", "Serve requests here.", metavar="IP:PORT")
@setting("--node", "Heartbeat address of the node beside it.", metavar="IP:PORT")
@setting("--service", "Service that it announces.")
@setting("--zone", "Availability zone that it announces.")
@flag("--keyed/--no-keyed", "Serve only keys that it holds.", True)
@setting("--slots", "Requests that it runs at once.", "8", metavar="COUNT")
@setting("--work-ms", "Time of a request in ms.", "5", metavar="MS")
@setting("--cold-s", "Seconds for which it reports that it is cold.", "0", metavar="S")
@setting("--seed", "Seed of its random numbers.", "1", metavar="COUNT")
def emulate_target(**options: Any) -> Any:
    """Run a stand-in for a target."""
    settings = create_target_settings(options)
    from knapweedrock.emulator.programs import run_target

    return run_target(settings)


@cli.command(
    epilog=format_example(
        "knapweedrock load --node 127.0.0.1:7001 --rate 200 --seconds 10 \\",
        "  --path /read/{tag} --orders-path /order/{tag} --orders-share 0.1",
    )
)
@setting(
    "--node",
    "Caller address of a node; may be repeated.",
    metavar="IP:PORT",
    multiple=True,
)
@setting("--rate", "Arrivals a second over all nodes.", "100", metavar="RATE")
@setting("--seconds", "Length of the run in seconds.", "10", metavar="S")
@setting("--keys", "Number of different keys.", "1000", metavar="COUNT")
@setting("--zipf", "Exponent of the Zipf distribution of keys.", "1.0", metavar="S")
@setting("--seed", "Seed of arrivals and keys.", "1", metavar="COUNT")
@setting("--orders-share", "Share of orders, 0 to 1.", "0", metavar="SHARE")
@setting("--path", "Path of reads; {key} and {tag} stand for key and request.", "/")
@setting("--orders-path", "Path of orders, if it differs from that of reads.", "")
@setting("--host", "Host header of the requests, if not the node's address.", "")
@flag("--keyed/--no-keyed", "Send the key with each request.", True)
@setting("--deadline-ms", "Deadline of each request in ms.", "1000", metavar="MS")
@flag("--json/--no-json", "Print the report as JSON.", False)
def load(**options: Any) -> Any:
    """Send open-loop load to nodes and report latency and outcomes."""
    settings = create_load_settings(options)
    from knapweedrock.load.commands import run_load

    return run_load(settings)


@cli.command(epilog=format_example("knapweedrock demo --for 20"))
@click.option(
    "--for",
    "seconds",
    type=click.FloatRange(1, 3600),
    default=20,
    show_default=True,
    show_envvar=True,
    help="Length of the run in seconds.",
)
@click.option(
    "--deployment",
    type=click.Choice(["kowhai", "hedelmaverkko"]),
    default="kowhai",
    show_default=True,
    show_envvar=True,
    help="Deployment to show.",
)
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    show_envvar=True,
    help="Seed of the load.",
)
def demo(seconds: float, deployment: str, seed: int) -> Any:
    """Run a whole deployment in one process with losses under load."""
    from knapweedrock.demo import run_demo

    return run_demo(seconds, deployment=deployment, seed=seed)


for command in COMMANDS:
    cli.add_command(command)
