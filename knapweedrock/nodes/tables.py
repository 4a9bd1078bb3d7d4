"""Tables as the coordinator keeps them in the platform and in force."""

from typing import TYPE_CHECKING

import gevent

from knapweedrock.codes import Code
from knapweedrock.errors import PlatformError
from knapweedrock.nodes.assignment import create_table
from knapweedrock.nodes.cell import KeeperRecord, name_keeper, name_table
from knapweedrock.nodes.office import Office
from knapweedrock.nodes.view import Table
from knapweedrock.platform.interface import Stored

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

WRITE_TIMEOUT_MS = 500
SETTLE_PAUSE_MS = 100
TABLE_PREFIX = "tables/"


class UnwrittenError(Exception):
    """A table write that surely did not and will not take effect."""


class Tables:
    """Tables of a cell during one office.

    `stored` is what the platform holds. `current` is in force; it differs only by
    moves that the platform holds as announced.
    """

    def __init__(self, env: "Environment", office: Office) -> None:
        self.env = env
        self.office = office
        self.stored: dict[str, Stored] = {}
        self.current: dict[str, Table] = {}

    def load(self) -> None:
        """Put the office's epoch into every table, then read who owns what.

        A write of a former coordinator fails from then on.
        """
        suffix = f"/{self.env.settings.cell}"
        found = self.env.platform.list(TABLE_PREFIX)
        names = [name for name in found if name.endswith(suffix)]
        calls = [gevent.spawn(self._claim, name, found[name]) for name in names]
        gevent.joinall(calls, raise_error=True)

    def get(self, service: str) -> Table | None:
        """Return a table in force; None where it does not exist."""
        return self.current.get(service)

    def list_announced(self) -> set[tuple[str, int]]:
        """List service and start of the ranges with an announced move."""
        return {
            (service, entry["start"])
            for service, table in self.current.items()
            for entry in table["ranges"]
            if "next" in entry
        }

    def claim(self, service: str) -> str:
        """Claim the keys of a service for this cell; return the cell that keeps them.

        One write decides, so that no key has owners in two cells. Without a clear
        answer to it the next try reads who keeps them. Raises `PlatformError`.
        """
        name, cell = name_keeper(service), self.env.settings.cell
        record: KeeperRecord = {"service": service, "cell": cell}
        try:
            self.env.platform.put(name, record, 0, WRITE_TIMEOUT_MS)
        except PlatformError as error:
            if error.code != Code.PLATFORM_CONFLICT:
                raise
            stored = self.env.platform.get(name, WRITE_TIMEOUT_MS)
            return stored.value["cell"] if stored else ""
        return cell

    def create(self, service: str) -> None:
        """Create the table of a service, owned by nobody."""
        table = create_table(service, self.env.settings.cell, self.office.epoch)
        self._settle(service, table, 0)

    def write(self, service: str, table: Table) -> None:
        """Write a table; raises `UnwrittenError` when it surely has no effect.

        Ends the office when another coordinator has written the table.
        """
        self._settle(service, table, self.stored[service].version)

    def put_in_force(self, service: str, table: Table) -> None:
        """Put the end of announced moves in force; `flush` writes it later."""
        self.current[service] = table

    def flush(self, service: str) -> None:
        """Write what is in force if the platform does not hold it yet."""
        if self.current[service] != self.stored[service].value:
            self.write(service, self.current[service])

    def _settle(self, service: str, table: Table, expected: int) -> None:
        name = name_table(service, self.env.settings.cell)
        try:
            stored = self.env.platform.put(name, table, expected, WRITE_TIMEOUT_MS)
        except PlatformError as error:
            if error.code == Code.PLATFORM_UNAVAILABLE:
                self.env.coordinator.platform_ok = False
            self._read_back(service, name, table, error)
            return
        self.env.coordinator.platform_ok = True
        self._hold(service, Stored(stored.version, table), table)

    def _hold(self, service: str, stored: Stored, table: Table) -> None:
        self.stored[service] = stored
        self.current[service] = table

    def _read_back(
        self, service: str, name: str, table: Table, error: PlatformError
    ) -> None:
        """Settle a write without a clear answer.

        An unchanged object is written again as it was, so that the earlier write,
        should it still be under way, can no longer take effect.
        """
        while not self.office.ended:
            try:
                stored = self.env.platform.get(name, WRITE_TIMEOUT_MS)
                if self._is_foreign(stored):
                    self.office.end("another coordinator wrote a table")
                    break
                if stored is not None and stored.value == table:
                    self._hold(service, stored, table)
                    return
                if stored is not None:
                    fresh = self.env.platform.put(name, stored.value, stored.version)
                    self.stored[service] = Stored(fresh.version, stored.value)
                break
            except PlatformError as again:
                if again.code == Code.PLATFORM_CONFLICT:
                    continue
                gevent.sleep(SETTLE_PAUSE_MS / 1000)
        raise UnwrittenError(str(error))

    def _is_foreign(self, stored: Stored | None) -> bool:
        return stored is not None and stored.value["epoch"] != self.office.epoch

    def _claim(self, name: str, stored: Stored) -> None:
        while not self.office.ended:
            if stored.value["epoch"] > self.office.epoch:
                self.office.end("a table carries a higher epoch")
                return
            table: Table = {**stored.value, "epoch": self.office.epoch}
            try:
                fresh = self.env.platform.put(name, table, stored.version)
                self._hold(table["service"], Stored(fresh.version, table), table)
                return
            except PlatformError as error:
                if error.code != Code.PLATFORM_CONFLICT:
                    raise
            stored = self.env.platform.get(name)
