"""Child processes of the tests, which are signalled and ended by pid."""

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
END_TIMEOUT_S = 5.0
TAIL_LINES = 15


class Child:
    """One process of the program under test."""

    def __init__(
        self,
        name: str,
        arguments: list[str],
        directory: Path,
        module: str = "knapweedrock",
    ) -> None:
        self.name = name
        self.module = module
        self.arguments = arguments
        self.log = directory / f"{name}.log"
        self.process: subprocess.Popen | None = None
        self.stop_requested = False

    def start(self) -> None:
        """Start the process; its output is appended to the log."""
        environment = os.environ | {"PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    @property
    def pid(self) -> int:
        """Return the pid; raise `RuntimeError` if the process was never started."""
        if self.process is None:
            raise RuntimeError(f"{self.name} was not started")
        return self.process.pid

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def has_failed(self) -> bool:
        """Return whether the process ended without being asked to."""
        ended = self.process is not None and self.process.poll() is not None
        return ended and not self.stop_requested

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running, but not to its children."""
        if self.is_running():
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process, even if it is stopped by a signal, and reap it."""
        self.stop_requested = True
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(END_TIMEOUT_S)

    def read_tail(self) -> str:
        """Read the last lines of the log."""
        with contextlib.suppress(OSError):
            lines = self.log.read_text(errors="replace").splitlines()
            return "\n".join(lines[-TAIL_LINES:])
        return ""


def start_child(
    context, name: str, arguments: list[str], module: str = "knapweedrock"
) -> Child:
    """Start a process that is killed, and its log removed, when the scenario ends."""
    directory = tempfile.TemporaryDirectory(prefix="knapweedrock-")
    context.add_cleanup(directory.cleanup)
    child = Child(name, arguments, Path(directory.name), module)
    child.start()
    context.add_cleanup(child.kill)
    return child


def wait_for(check, timeout_s: float, what: str, step_s: float = 0.05) -> object:
    """Wait until the check returns a true value and return that value."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        found = check()
        if found:
            return found
        time.sleep(step_s)
    raise TimeoutError(f"timed out after {timeout_s} s: {what}")
