"""Declaration of command-line options."""

from pathlib import Path
from typing import Any

import click

from knapweedrock.settings import OPERATOR_ENV_PREFIX


class UncheckedFlag(click.types.BoolParamType):
    """Boolean type that leaves invalid environment variables to the checker."""

    def convert(self, value: Any, param: Any, ctx: Any) -> Any:
        """Convert a valid boolean and return any other value unchanged."""
        try:
            return super().convert(value, param, ctx)
        except click.BadParameter:
            return value


def setting(name: str, text: str, default: str | None = None, **more: Any) -> Any:
    """Declare an option whose value the checker validates together with all others."""
    more = {"metavar": "TEXT", "show_envvar": True, "show_default": True, **more}
    return click.option(name, help=text, default=default, **more)


def flag(names: str, text: str, default: bool, **more: Any) -> Any:
    """Declare a boolean option whose value the checker validates."""
    return click.option(
        names,
        help=text,
        default=default,
        show_default=True,
        show_envvar=True,
        type=UncheckedFlag(),
        **more,
    )


def format_example(*lines: str) -> str:
    """Format the example at the end of a command's help."""
    return "\b\nExample:\n" + "\n".join(f"  {line}" for line in lines)


def node_options(command: Any) -> Any:
    """Declare the options of operators' commands that query nodes."""
    command = flag(
        "--json/--no-json",
        "Print JSON for programs.",
        False,
        envvar=f"{OPERATOR_ENV_PREFIX}_JSON",
    )(command)
    return setting(
        "--node",
        "Metrics address of a node; may be repeated in case a node is unavailable.",
        metavar="IP:PORT",
        multiple=True,
        envvar=f"{OPERATOR_ENV_PREFIX}_NODE",
    )(command)


FILE_TYPE = click.Path(dir_okay=False, path_type=Path)
