"""Definition of the command line; operators' commands are in their package.

Values reach the commands unchecked, so that all wrong ones are named at once.
"""

from pathlib import Path
from typing import Any

import click

from knapweedrock import __version__
from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.logs import LEVELS, create_log_handler
from knapweedrock.operators.definition import COMMANDS
from knapweedrock.options import example, flag, setting
from knapweedrock.settings import (
    create_load_settings,
    create_node_settings,
    create_platform_listener,
    create_target_settings,
)

ENVIRONMENT_PREFIX = "KNAPWEEDROCK"
HELP_WIDTH = 88


@click.group(
    context_settings={
        "auto_envvar_prefix": ENVIRONMENT_PREFIX,
        "max_content_width": HELP_WIDTH,
    },
    epilog=example("knapweedrock demo --for 20"),
)
@click.version_option(__version__, prog_name="knapweedrock")
@click.option(
    "--log-level",
    type=click.Choice(LEVELS),
    default="info",
    show_default=True,
    show_envvar=True,
    help="Least severe log lines to write.",
)
@click.pass_context
def cli(context: click.Context, log_level: str) -> None:
    """Router for servers that own keys exclusively."""
    context.with_resource(create_log_handler(log_level).applicationbound())


@cli.command(
    epilog=example(
        "knapweedrock node --node-id depot-1 --group kowhai \\",
        "  --zone invercargill --region nz-north \\",
        "  --caller 127.0.0.1:7001 --peer 127.0.0.1:7002 \\",
        "  --target 127.0.0.1:7003 --operator 127.0.0.1:7004 \\",
        "  --platform 127.0.0.1:7000",
    )
)
@setting("--node-id", "Name of this node, unique in its cell.")
@setting("--cell", "Name of the cell that the node belongs to.", "c1")
@setting("--group", "Name of the group whose configuration applies.")
@setting("--zone", "Availability zone of this VM.")
@setting("--region", "Region of this VM.")
@setting("--caller", "Listen for callers here.", metavar="IP:PORT")
@setting("--peer", "Listen for other nodes here.", metavar="IP:PORT")
@setting("--target", "Listen for the target beside it here.", metavar="IP:PORT")
@setting("--operator", "Listen for operators here.", metavar="IP:PORT")
@setting("--platform-kind", "Kind of the platform's API.", "http")
@setting("--platform", "Address of the platform's API.", metavar="IP:PORT")
@setting(
    "--secret",
    "Secret shared by nodes and operators; better set as a variable.",
    "",
    show_default=False,
)
@flag("--faults-enabled/--no-faults-enabled", "Let tests cut links.", False)
@setting("--drain-ms", "Longest graceful shutdown in ms.", "30000", metavar="MS")
@setting("--choice-policy", "Choice among targets without keys.", "two-choices")
@flag("--copies/--no-copies", "Send a second copy of slow reads.", True)
def node(**given: Any) -> Any:
    """Run the node beside a target."""
    settings = create_node_settings(given)
    from knapweedrock.node import run_node

    return run_node(settings)


@cli.command(epilog=example("knapweedrock serve --settings-file node.env"))
@setting(
    "--settings-file",
    "File of KNAPWEEDROCK_SERVE_NAME=value lines; read again on SIGHUP.",
    metavar="PATH",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
)
def serve(settings_file: Path) -> Any:
    """Run a node of the mesh beside a target that holds its keys."""
    from knapweedrock.mesh.process import run_node

    run_node(settings_file)


@cli.command(epilog=example("knapweedrock story 9c41d07be2a35f68 logs/*.jsonl"))
@click.argument("attempt_id")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(dir_okay=False, path_type=Path)
)
def story(attempt_id: str, files: tuple[Path, ...]) -> Any:
    """Tell what became of a request, and why, from the logs of all nodes."""
    from knapweedrock.operators.story import format_story, read_files, tell_story

    found = tell_story(attempt_id, read_files(files))
    if found is None:
        raise KnapweedrockError(Code.REPORT_MALFORMED, f"no line names {attempt_id}")
    click.echo(format_story(found))


@cli.group(epilog=example("knapweedrock emulate platform --listen 127.0.0.1:7000"))
def emulate() -> None:
    """Run a stand-in for tests and demonstrations."""


@emulate.command(
    name="platform",
    epilog=example("knapweedrock emulate platform --listen 127.0.0.1:7000"),
)
@setting("--listen", "Serve the object API here.", metavar="IP:PORT")
def emulate_platform(listen: str) -> Any:
    """Run a stand-in for the platform's object API."""
    address = create_platform_listener({"listen": listen})
    from knapweedrock.emulator.platform import run

    return run(address)


@emulate.command(
    name="target",
    epilog=example(
        "knapweedrock emulate target --listen 127.0.0.1:7009 \\",
        "  --node 127.0.0.1:7003 --service depot-orders --zone invercargill",
    ),
)
@setting("--listen", "Serve requests here.", metavar="IP:PORT")
@setting("--node", "Target address of the node beside it.", metavar="IP:PORT")
@setting("--service", "Service that it announces.")
@setting("--zone", "Availability zone that it announces.")
@setting("--slots", "Requests that it runs at once.", "20", metavar="COUNT")
@setting("--connections", "Connections that it accepts.", "130", metavar="COUNT")
@flag("--fenced/--no-fenced", "Check fencing tokens.", True)
@setting("--work-ms", "Usual time of a request in ms.", "5", metavar="MS")
@setting("--cold-s", "Length of a cold start in seconds.", "0", metavar="S")
@setting("--cold-slots", "Requests borne at once while cold.", "4", metavar="COUNT")
@setting("--connect-ms", "Cost of a new connection in ms.", "1", metavar="MS")
@setting("--seed", "Seed of its random numbers.", "1", metavar="COUNT")
def emulate_target(**given: Any) -> Any:
    """Run a stand-in for a target."""
    settings = create_target_settings(given)
    from knapweedrock.emulator.target import run

    return run(settings)


@cli.command(
    epilog=example(
        "knapweedrock load --node 127.0.0.1:7001 --rate 200 --seconds 10 \\",
        "  --path /depot-orders/stock --orders-share 0.1",
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
@setting("--orders-share", "Share of standing orders, 0 to 1.", "0", metavar="SHARE")
@setting("--path", "Path of the requests; {key} in it stands for the key.", "/")
@setting("--key-header", "Header that carries the key; empty for none.", "Order-Key")
@setting("--deadline-ms", "Deadline of each request in ms.", "1000", metavar="MS")
@flag("--json/--no-json", "Print the report as JSON.", False)
def load(**given: Any) -> Any:
    """Send open-loop load to nodes and report latency and outcomes."""
    settings = create_load_settings(given)
    from knapweedrock.load.commands import run_load

    return run_load(settings)


@cli.command(epilog=example("knapweedrock demo --for 20"))
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
