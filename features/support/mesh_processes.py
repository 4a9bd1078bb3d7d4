"""A mesh whose nodes run as separate processes, with their logs in files."""

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from features.support.mesh_harness import Mesh, Place
from knapweedrock.emulator.local_mesh import KEY_STEP
from knapweedrock.mesh.definitions import NodeSettings
from knapweedrock.mesh.snapshots import KEY_COUNT

ROOT = Path(__file__).resolve().parent.parent.parent
STOP_TIMEOUT_S = 10


class ProcessNode:
    """Process of a node."""

    def __init__(
        self, place: Place, folder: Path, logs_to_file: bool, settings_text: str
    ) -> None:
        self.place = place
        self.log = folder / f"{place.settings.node_id}.jsonl"
        settings = folder / f"{place.settings.node_id}.env"
        settings.write_text(settings_text)
        command = [sys.executable, "-m", "knapweedrock", "serve"]
        command += ["--settings-file", str(settings)]
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        self._log_start = self.log.stat().st_size if self.log.exists() else 0
        output = self.log.open("ab") if logs_to_file else subprocess.PIPE
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=output, stderr=subprocess.STDOUT
        )

    def abort(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()
        if self.process.stdout is not None:
            self.process.stdout.close()

    def is_stopped(self) -> bool:
        """Return whether a signal has stopped the process."""
        parts = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")
        return parts[2].split()[0] == "T"

    def has_started(self) -> bool:
        """Return whether this process has logged its start."""
        return b'"node started"' in self.log.read_bytes()[self._log_start :]

    def stop(self) -> int:
        """Terminate the process gracefully and return its exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)


class ProcessMesh(Mesh):
    """Mesh of VMs, each with the process of a node beside its target.

    With `logs_to_file` false, the nodes log to pipes that nothing reads.
    """

    def __init__(self, keyed: int, logs_to_file: bool = True, unkeyed: int = 0) -> None:
        super().__init__(keyed, unkeyed)
        self._folder = tempfile.TemporaryDirectory()
        self._logs_to_file = logs_to_file

    def start_node(self, place: Place) -> ProcessNode:
        """Start the process of the node of a place."""
        text = self.format_settings(place.settings)
        node = ProcessNode(place, Path(self._folder.name), self._logs_to_file, text)
        self.nodes[place.settings.node_id] = node
        return node

    def format_settings(self, settings: NodeSettings) -> str:
        """Format the settings file of a node."""
        return format_settings(settings)

    def stop(self) -> None:
        """Stop all processes and targets at once, and delete the log files."""
        super().stop()
        self._folder.cleanup()

    def list_logs(self) -> list[str]:
        """List the paths of the nodes' log files."""
        return [str(path) for path in Path(self._folder.name).glob("*.jsonl")]

    def is_settled(self) -> bool:
        """Return whether every key has an owner."""
        return all(self.find_owner(key) for key in range(0, KEY_COUNT, KEY_STEP))


def write_settings(settings: NodeSettings, folder: Path) -> Path:
    """Write the settings file of a node and return its path."""
    path = folder / f"{settings.node_id}.env"
    path.write_text(format_settings(settings))
    return path


def format_settings(settings: NodeSettings, extra: dict[str, str] | None = None) -> str:
    """Format settings, and extra ones, as lines of `KNAPWEEDROCK_SERVE_NAME=value`."""
    fields = settings._asdict() | (extra or {})
    fields["shutdown_s"] = fields.pop("shutdown_ms") / 1000
    lines = []
    for name, value in fields.items():
        if value is None:
            continue
        shown = "{}:{}".format(*value) if isinstance(value, tuple) else value
        lines.append(f"KNAPWEEDROCK_SERVE_{name.upper()}={shown}")
    return "\n".join(lines) + "\n"
