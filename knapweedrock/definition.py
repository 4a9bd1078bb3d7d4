"""Definition of the command line: every command and option in one place."""

import click

from knapweedrock import __version__

ENVIRONMENT_PREFIX = "KNAPWEEDROCK"


@click.group(context_settings={"auto_envvar_prefix": ENVIRONMENT_PREFIX})
@click.version_option(__version__, prog_name="knapweedrock")
def cli() -> None:
    """Router for servers that own keys exclusively."""
