"""Mesh for tests of operators' commands, and a runner for the commands."""

import contextlib
import io
import tempfile
from typing import NamedTuple

from features.support.mesh_harness import Mesh
from knapweedrock.checker import Address
from knapweedrock.core import run


class CommandResult(NamedTuple):
    """Exit status and output of one command."""

    status: int
    text: str


def start_mesh(context) -> None:
    """Start a mesh of three targets and create a directory for one scenario."""
    context.mesh = Mesh(2, 1)
    context.add_cleanup(context.mesh.stop)
    context.mesh.start()
    directory = tempfile.TemporaryDirectory(prefix="knapweedrock-")
    context.add_cleanup(directory.cleanup)
    context.directory = directory.name
    context.address = str(get_metrics_address(context.mesh, 0))
    context.other_address = str(get_metrics_address(context.mesh, 1))


def get_metrics_address(mesh: Mesh, number: int) -> Address:
    """Return the metrics address of a node, which serves the pages for operators."""
    return mesh.places[number].settings.metrics


def run_command(arguments: list[str]) -> CommandResult:
    """Run a command of the program in this process."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        status = run(arguments)
    return CommandResult(int(status), output.getvalue())
