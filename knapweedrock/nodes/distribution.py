"""Distribution of the configuration, and of the cell's status to the platform."""

from typing import TYPE_CHECKING

import gevent

from knapweedrock.codes import Code
from knapweedrock.errors import PlatformError
from knapweedrock.nodes.cell import name_cell, name_configuration, name_status
from knapweedrock.nodes.handlers import Sender, handles
from knapweedrock.nodes.messages import Done, ProbePlatform

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

WATCH_MS = 20_000
IDLE_PAUSE_MS = 200
FAILURE_PAUSE_MS = 300
STATUS_INTERVAL_MS = 1000
PROBE_TIMEOUT_MS = 300


class Distribution:
    """Watches the configuration while this node is coordinator or standby."""

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.status_version = -1
        self.status_written: dict | None = None

    def run(self) -> None:
        """Watch for as long as the node lives."""
        while True:
            if not self._is_watcher():
                gevent.sleep(IDLE_PAUSE_MS / 1000)
                continue
            try:
                self._watch()
                self.env.coordinator.platform_ok = True
            except PlatformError:
                self.env.coordinator.platform_ok = False
                gevent.sleep(FAILURE_PAUSE_MS / 1000)

    def run_status(self) -> None:
        """Write the cell's status on change, at most once a second."""
        while True:
            gevent.sleep(STATUS_INTERVAL_MS / 1000)
            term = self.env.coordinator.term
            if term is None or not term.office.holds():
                self.status_written = None
                continue
            status = self._describe_status()
            if status == self.status_written:
                continue
            try:
                self._write_status(status)
            except PlatformError:
                self.env.counters.count("status_writes_failed")

    def _is_watcher(self) -> bool:
        view = self.env.views.view
        own = self.env.settings.node_id
        return own in (view["coordinator"], view["standby"])

    def _watch(self) -> None:
        held = self.env.configuration
        name = name_configuration(self.env.settings.group)
        stored = self.env.platform.watch(name, held.version, WATCH_MS)
        if stored is not None and held.replace(stored.version, stored.value):
            self.env.membership.wake.set()

    def _describe_status(self) -> dict:
        term = self.env.coordinator.term
        versions: dict[str, int] = {}
        for entry in term.roster.entries.values():
            version = str(entry.config_version)
            versions[version] = versions.get(version, 0) + 1
        return {
            "epoch": term.office.epoch,
            "coordinator": self.env.settings.node_id,
            "operator": str(self.env.settings.operator),
            "config_versions": versions,
            "behind": sorted(
                name
                for name, entry in term.roster.entries.items()
                if entry.config_version < self.env.configuration.version
            ),
            "zones": sorted(
                {entry.member["zone"] for entry in term.roster.entries.values()}
            ),
            "members": {
                name: entry.member["operator"]
                for name, entry in term.roster.entries.items()
            },
        }

    def _write_status(self, status: dict) -> None:
        name = name_status(self.env.settings.cell)
        if self.status_written is None:
            stored = self.env.platform.get(name)
            self.status_version = 0 if stored is None else stored.version
        try:
            stored = self.env.platform.put(name, status, self.status_version)
        except PlatformError as error:
            if error.code == Code.PLATFORM_CONFLICT:
                self.status_written = None
            raise
        self.status_version = stored.version
        self.status_written = status


@handles(ProbePlatform)
def probe_platform(env: "Environment", _sender: Sender, _probe: ProbePlatform) -> Done:
    """Read the cell's record; raises `PlatformError` where that fails."""
    env.platform.get(name_cell(env.settings.cell), PROBE_TIMEOUT_MS)
    return Done()


def create_distribution(env: "Environment") -> Distribution:
    """Create the distribution of a node."""
    return Distribution(env)
