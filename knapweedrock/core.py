"""Entry of the program: runs the command line and maps errors to exit statuses."""

import errno
import sys

import click

from knapweedrock.codes import Code
from knapweedrock.definition import cli
from knapweedrock.errors import KnapweedrockError
from knapweedrock.status import ExitStatus, get_exit_status

PROGRAM_NAME = "knapweedrock"


def main() -> None:
    """Run the program and exit with its status."""
    sys.exit(int(run()))


def run(arguments: list[str] | None = None) -> ExitStatus:
    """Run the command line and return the status to exit with."""
    try:
        status = cli.main(arguments, prog_name=PROGRAM_NAME, standalone_mode=False)
    except (click.exceptions.Abort, KeyboardInterrupt):
        return ExitStatus.INTERRUPTED
    except click.ClickException as error:
        error.show()
        return ExitStatus.USAGE
    except ExceptionGroup as group:
        return report_errors(group)
    except KnapweedrockError as error:
        return report_error(error)
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        return report_error(KnapweedrockError(Code.ADDRESS_IN_USE, str(error)))
    return ExitStatus(status or ExitStatus.SUCCESS)


def report_error(error: KnapweedrockError) -> ExitStatus:
    """Print one error and return its exit status."""
    click.echo(f"error: {error}", err=True)
    return get_exit_status(error.code)


def report_errors(group: ExceptionGroup) -> ExitStatus:
    """Print every error of a group and return the exit status of the first."""
    known_errors, other_errors = group.split(KnapweedrockError)
    if other_errors:
        raise other_errors
    return [report_error(error) for error in flatten(known_errors)][0]


def flatten(group: ExceptionGroup) -> list[KnapweedrockError]:
    """List the errors of a group and of its nested groups."""
    errors = []
    for error in group.exceptions:
        errors += flatten(error) if isinstance(error, ExceptionGroup) else [error]
    return errors
