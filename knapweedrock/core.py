"""The program from top to bottom: read the command line, run, exit by status."""

import sys

import click

from knapweedrock.definition import cli
from knapweedrock.errors import KnapweedrockError
from knapweedrock.status import ExitStatus


def main() -> None:
    """Run the program and exit with its status."""
    sys.exit(int(run()))


def run() -> ExitStatus:
    """Run the command line and return the status to exit with."""
    try:
        status = cli.main(standalone_mode=False)
    except click.exceptions.Abort:
        return ExitStatus.INTERRUPTED
    except click.ClickException as error:
        error.show()
        return ExitStatus.USAGE
    except ExceptionGroup as group:
        for error in group.exceptions:
            click.echo(f"error: {error}", err=True)
        return ExitStatus.SETTINGS
    except KnapweedrockError as error:
        click.echo(f"error: {error}", err=True)
        return ExitStatus.FAILURE
    return ExitStatus(status or ExitStatus.SUCCESS)
