"""Steps about the guards that `tools/guards.py` removes."""

import subprocess
import sys
from pathlib import Path

from behave import then

ROOT = Path(__file__).resolve().parents[2]


@then("all guards can be removed and name a scenario of their feature")
def check_guards(_context):
    """Check the list of guards against the source tree with the tool itself."""
    command = [sys.executable, "tools/guards.py", "--check"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stdout + done.stderr
