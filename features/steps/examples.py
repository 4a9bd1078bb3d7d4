"""Steps about the examples."""

import os
import subprocess
import sys

from behave import then, when

from features.support.processes import ROOT

TIMEOUT_S = 30
LISTING = """
import sys
import knapweedrock.mesh.ownership
print(*(name for name in sys.modules if name.startswith(("knapweedrock", "gevent"))))
"""
LOADED = {
    "knapweedrock",
    "knapweedrock.eras",
    "knapweedrock.eras.numbers",
    "knapweedrock.eras.versions",
    "knapweedrock.mesh",
    "knapweedrock.mesh.definitions",
    "knapweedrock.mesh.snapshots",
    "knapweedrock.mesh.holds",
    "knapweedrock.mesh.row_loads",
    "knapweedrock.mesh.messages",
    "knapweedrock.mesh.ownership",
}


def run_python(*arguments: str) -> str:
    """Run Python in the root of the source tree and return its output."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    done = subprocess.run(
        [sys.executable, *arguments],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout


@when('the example "{name}" runs')
def run_example(context, name):
    """Run an example and wait until it ends."""
    context.output = run_python(f"examples/{name}")


@then("it prints")
def check_output(context):
    """Compare the output with the text of the step."""
    assert context.output.strip() == context.text.strip(), context.output


@then("a process that imports the ownership functions loads no networking modules")
def check_modules(_context):
    """Check which modules an import of the ownership functions loads."""
    found = set(run_python("-c", LISTING).split())
    assert found <= LOADED | {"knapweedrock.clock"}, found - LOADED
