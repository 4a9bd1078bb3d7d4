"""Child processes of the tests: start, signal, measure and end them by pid."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent.parent
FIRST_PORT = 10_000
LAST_PORT = 30_000
END_TIMEOUT_S = 5.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TAIL_LINES = 15


class Usage(NamedTuple):
    """Processor time in seconds and resident memory in bytes of one process."""

    cpu_s: float
    rss_bytes: int


def create_loopback_host() -> str:
    """Create a loopback address of this test process alone."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 16) % 128}.{(pid >> 8) % 256}.{pid % 254 + 1}"


class Ports:
    """Free ports of one loopback address."""

    def __init__(self, host: str) -> None:
        self.host = host
        self._ports = self._find_free()

    def _find_free(self) -> Iterator[str]:
        for port in range(FIRST_PORT, LAST_PORT):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((self.host, port))
                except OSError:
                    continue
            yield f"{self.host}:{port}"

    def take(self) -> str:
        """Take the next free address as `host:port`."""
        return next(self._ports)


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
        self.told_to_end = False

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
        """Return the pid; raises where the process was never started."""
        if self.process is None:
            raise RuntimeError(f"{self.name} was not started")
        return self.process.pid

    def is_running(self) -> bool:
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def has_failed(self) -> bool:
        """Tell whether the process ended though nobody told it to."""
        ended = self.process is not None and self.process.poll() is not None
        return ended and not self.told_to_end

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process alone."""
        if self.is_running():
            os.kill(self.pid, number)

    def kill(self) -> None:
        """End the process at once, also a stopped one, and collect it."""
        self.told_to_end = True
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(END_TIMEOUT_S)

    def pause(self) -> None:
        """Stop the process in the middle of what it does."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.send_signal(signal.SIGCONT)

    def terminate(self, timeout_s: float = 30.0) -> int:
        """Ask the process to shut down and return its exit status."""
        self.told_to_end = True
        self.send_signal(signal.SIGTERM)
        return self.process.wait(timeout_s)

    def read_usage(self) -> Usage:
        """Read the processor time and memory that the process used so far."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return Usage(ticks / CLOCK_TICKS_PER_S, int(fields[21]) * PAGE_BYTES)

    def read_tail(self) -> str:
        """Read the last lines of the log."""
        with contextlib.suppress(OSError):
            lines = self.log.read_text(errors="replace").splitlines()
            return "\n".join(lines[-TAIL_LINES:])
        return ""


def start_child(
    context, name: str, arguments: list[str], module: str = "knapweedrock"
) -> Child:
    """Start a process that ends, and whose log goes, with behave's scenario."""
    directory = tempfile.TemporaryDirectory(prefix="knapweedrock-")
    context.add_cleanup(directory.cleanup)
    child = Child(name, arguments, Path(directory.name), module)
    child.start()
    context.add_cleanup(child.kill)
    return child


def wait_for(check, timeout_s: float, what: str, step_s: float = 0.05) -> object:
    """Wait until the check returns something true and return it."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        found = check()
        if found:
            return found
        time.sleep(step_s)
    raise TimeoutError(f"not within {timeout_s} s: {what}")
