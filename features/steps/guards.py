"""Steps about the guards that proofs take out."""

import subprocess
import sys
from pathlib import Path

from behave import then

ROOT = Path(__file__).resolve().parents[2]


@then("all guards can be taken out and name a scenario of their feature")
def check_guards(_context):
    """Let the tool check its list against the tree."""
    command = [sys.executable, "tools/guards.py", "--check"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stdout + done.stderr
