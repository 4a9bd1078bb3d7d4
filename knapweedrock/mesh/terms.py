"""Leadership terms: a record in the platform's store that the coordinator renews."""

from collections.abc import Callable, Collection
from typing import Any

import gevent
from gevent.event import Event
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import Code
from knapweedrock.eras.versions import StoreVersion
from knapweedrock.errors import PlatformError
from knapweedrock.json_input import InputError
from knapweedrock.mesh.leader_records import (
    NO_RECORD,
    UNREADABLE_RECORD,
    LeaderRecord,
    decode_leader_record,
    read_leader_record,
)
from knapweedrock.mesh.messages import Row
from knapweedrock.mesh.tables import (
    StoredTable,
    decode_stored_table,
    encode_stored_table,
)
from knapweedrock.platform.documents import LEADER_KIND, TABLE_KIND
from knapweedrock.platform.store import ConflictError, Store
from knapweedrock.platform.stored_objects import StoredObject

LEADER_NAME = "coordinator"
# Time for which a renewal keeps the term valid.
TERM_MS = 1600
# The coordinator considers its own term expired this long before `TERM_MS` has passed.
TERM_MARGIN_MS = 150
# Time from a renewal until all leases granted under it have expired. While the store is
# unavailable, leases are extended up to this limit.
MAX_OUTAGE_MS = 9600
RENEW_INTERVAL_S = 0.4
RENEW_TIMEOUT_S = 0.5
RENEW_RETRY_S = 0.1
READ_BACK_TIMEOUT_S = 0.3
WRITE_TIMEOUT_S = 1.5
# Time without a renewal after which the store counts as unavailable.
STORE_TIMEOUT_MS = 950

log = Logger("coordinator")


class Term:
    """One node's leadership term, with the tables as it last wrote them.

    `on_write` gets the store's version after each write of the term.
    """

    def __init__(
        self,
        node_id: str,
        process: str,
        peer: str,
        store: Store,
        clock: Clock,
        on_write: Callable[[StoreVersion], None] = lambda _version: None,
    ) -> None:
        self.leading = False
        self.epoch = 0
        self._node_id = node_id
        self._process = process
        self._peer = peer
        self._store = store
        self._clock = clock
        self._on_write = on_write
        self._leader_record: StoredObject | None = None
        # End of the term, and send time of the renewal from which it is counted.
        self._valid_until_ns = 0
        self._renewed_ns = 0
        self._tables: dict[str, StoredObject] = {}
        # Send times of renewals whose outcome is unknown, by renewal number.
        self._unconfirmed_sent_ns: dict[int, int] = {}
        # Nodes to record as lost, and nodes that the stored record may list as lost.
        self._lost_nodes: frozenset[str] = frozenset()
        self._stored_lost_nodes: frozenset[str] = frozenset()
        self._renew_now = Event()

    def has_authority(self) -> bool:
        """Return whether the term is still valid."""
        return self.leading and self._clock.now_ns() < self._valid_until_ns

    def get_revision(self) -> int:
        """Return the store revision of the leader record."""
        return self._leader_record.revision

    def get_remaining_ms(self) -> float:
        """Return the time in ms for which the term is still valid."""
        return (self._valid_until_ns - self._clock.now_ns()) / NS_PER_MS

    def is_store_unavailable(self) -> bool:
        """Return whether the last renewal is too old for the store to be available."""
        silent_ns = self._clock.now_ns() - self._renewed_ns
        return silent_ns > STORE_TIMEOUT_MS * NS_PER_MS

    def get_max_lease_ms(self) -> int:
        """Return the longest lease in ms that may be granted now, below 0 for none."""
        if not self.leading:
            return -1
        silent_ns = self._clock.now_ns() - self._renewed_ns
        return MAX_OUTAGE_MS - silent_ns // NS_PER_MS

    def end_if_superseded(self, epoch: int) -> None:
        """End the term when another node leads under a later epoch."""
        if self.leading and epoch > self.epoch:
            log.warning("term superseded", epoch=self.epoch, successor=epoch)
            self.leading = False

    def may_lease(self, node_id: str) -> bool:
        """Return whether a node may get a lease: not while it is recorded as lost."""
        return (
            node_id not in self._lost_nodes and node_id not in self._stored_lost_nodes
        )

    def set_lost_nodes(self, lost_nodes: Collection[str]) -> None:
        """Record lost nodes in the store with the next renewal.

        A successor reassigns the keys of these nodes without waiting for their leases.
        """
        recovered = self._lost_nodes - frozenset(lost_nodes)
        self._lost_nodes = frozenset(lost_nodes)
        if recovered:
            # These nodes get no lease until the store no longer lists them as lost.
            self._renew_now.set()

    def claim(self, leader_record: StoredObject | None, known_epoch: int = 0) -> bool:
        """Try to start a term; `leader_record` is the record as last read.

        `known_epoch` is the latest epoch that this node has heard of, in case the
        record is not readable.
        """
        sent_ns = self._clock.now_ns()
        former = read_leader_record(leader_record) if leader_record else NO_RECORD
        self._lost_nodes = self._stored_lost_nodes = frozenset(former.lost)
        epoch = former.epoch + 1
        try:
            if former is UNREADABLE_RECORD:
                epoch = max(known_epoch, self._find_latest_epoch()) + 1
            record = self._store.put(
                LEADER_KIND,
                LEADER_NAME,
                self._build_record(epoch, 0),
                leader_record,
                WRITE_TIMEOUT_S,
            )
            self._tables = self._fence_tables(epoch)
        except PlatformError as error:
            log.info("claim failed", epoch=epoch, reason=error.detail)
            return False
        self._leader_record = record
        self._on_write(record.version)
        self.epoch = epoch
        self._unconfirmed_sent_ns.clear()
        self._valid_until_ns = 0
        self.leading = True
        self._record_renewal(sent_ns)
        return True

    def resign(self, lease_ms: int) -> None:
        """Release the term, so that another node can start one at once.

        `lease_ms` is the remaining time of the longest granted lease.
        """
        if not self.leading:
            return
        self.leading = False
        value = self._build_record(self.epoch, 0, lease_ms)
        try:
            self._store.replace(
                LEADER_KIND,
                LEADER_NAME,
                value,
                self._leader_record,
                WRITE_TIMEOUT_S,
            )
            log.info("term resigned", epoch=self.epoch)
        except PlatformError as error:
            log.warning("term not resigned", reason=error.detail)

    def is_current(self, epoch: int) -> bool:
        """Return whether the term of this epoch is still running."""
        return self.leading and self.epoch == epoch

    def run(self, epoch: int) -> None:
        """Renew the term of an epoch until it is lost or another one starts."""
        renewal_number = 0
        while self.is_current(epoch):
            renewal_number += 1
            sent_ns = self._unconfirmed_sent_ns[renewal_number] = self._clock.now_ns()
            lost_nodes = self._lost_nodes
            self._stored_lost_nodes |= lost_nodes
            self._renew_now.clear()
            try:
                record = self._store.replace(
                    LEADER_KIND,
                    LEADER_NAME,
                    self._build_record(epoch, renewal_number),
                    self._leader_record,
                    RENEW_TIMEOUT_S,
                )
            except ConflictError as error:
                if not self.is_current(epoch):
                    return
                if self._adopt_late_renewal(error.current):
                    continue
                log.warning("term lost", epoch=epoch)
                self.leading = False
                return
            except PlatformError as error:
                log.warning("term not renewed", reason=error.detail)
                self._read_back_renewal()
                gevent.sleep(RENEW_RETRY_S)
                continue
            if not self.is_current(epoch):
                return
            self._leader_record = record
            self._on_write(record.version)
            self._stored_lost_nodes = lost_nodes
            self._record_renewal(sent_ns)
            self._unconfirmed_sent_ns.clear()
            self._renew_now.wait(RENEW_INTERVAL_S)

    def list_tables(self) -> dict[str, list[Row]]:
        """Return the rows of each service as last read from or written to the store."""
        return {
            service: decode_stored_table(stored).rows
            for service, stored in self._tables.items()
        }

    def write_table(self, service: str, rows: list[Row]) -> None:
        """Write a service's rows to the store.

        Raises `PlatformError` when the write fails. A table that holds another epoch
        ends the term.
        """
        epoch = self.epoch
        value = encode_stored_table(epoch, rows)
        known = self._tables.get(service)
        try:
            written = self._store.put(
                TABLE_KIND, service, value, known, WRITE_TIMEOUT_S
            )
        except ConflictError as error:
            if self.epoch == epoch:
                self._adopt_late_table(service, error.current)
            raise
        if self.epoch != epoch:
            raise PlatformError(Code.PLATFORM_CONFLICT, "another term has started")
        self._tables[service] = written
        self._on_write(written.version)

    def _record_renewal(self, sent_ns: int) -> None:
        until_ns = sent_ns + (TERM_MS - TERM_MARGIN_MS) * NS_PER_MS
        if until_ns > self._valid_until_ns:
            self._renewed_ns, self._valid_until_ns = sent_ns, until_ns

    def _build_record(
        self, epoch: int, renewal_number: int, lease_ms: int | None = None
    ) -> dict[str, Any]:
        """Build the record of a term; with `lease_ms` the term is released."""
        record = LeaderRecord(
            epoch,
            self._node_id,
            self._process,
            self._peer,
            renewal_number,
            lease_ms is not None,
            tuple(sorted(self._lost_nodes)),
            lease_ms,
        )
        return record.to_value()

    def _fence_tables(self, epoch: int) -> dict[str, StoredObject]:
        """Store the epoch in each table, so that a former coordinator cannot write."""
        tables = {}
        for item, table in self._read_tables():
            value = encode_stored_table(epoch, table.rows)
            tables[item.name] = self._store.replace(
                TABLE_KIND, item.name, value, item, WRITE_TIMEOUT_S
            )
        return tables

    def _read_tables(self) -> list[tuple[StoredObject, StoredTable]]:
        """Read the stored tables; leave out objects that are not tables."""
        tables = []
        for item in self._store.list_kind(TABLE_KIND).items:
            try:
                tables.append((item, decode_stored_table(item)))
            except InputError as error:
                log.error(
                    "stored table not readable", service=item.name, reason=str(error)
                )
        return tables

    def _find_latest_epoch(self) -> int:
        """Return the latest epoch in the stored tables and of this node's terms."""
        epochs = [table.epoch for _, table in self._read_tables()]
        return max([self.epoch, *epochs])

    def _read_back_renewal(self) -> None:
        """Check whether a renewal without a response has taken effect."""
        try:
            current = self._store.get(LEADER_KIND, LEADER_NAME, READ_BACK_TIMEOUT_S)
        except PlatformError as error:
            log.info("leader record not read", reason=error.detail)
            return
        self._adopt_late_renewal(current)

    def _adopt_late_renewal(self, current: StoredObject | None) -> bool:
        """Continue from an earlier renewal of this term that took effect late.

        Returns whether the stored record belongs to this term.
        """
        record = decode_leader_record(current) if current is not None else None
        if record is None or record.released:
            return False
        if (record.process, record.epoch) != (self._process, self.epoch):
            return False
        self._leader_record = current
        self._on_write(current.version)
        # The term runs from the time when the renewal was sent, however late the store
        # wrote it.
        sent_ns = self._unconfirmed_sent_ns.pop(record.number, None)
        if sent_ns is not None:
            self._record_renewal(sent_ns)
        return True

    def _adopt_late_table(self, service: str, current: StoredObject | None) -> None:
        """Continue from an earlier write of this term that took effect late.

        The late table was never published, so the next write may replace it.
        """
        try:
            table = decode_stored_table(current) if current is not None else None
        except InputError as error:
            log.error("stored table not readable", service=service, reason=str(error))
            return
        if table is not None and table.epoch == self.epoch:
            self._tables[service] = current
            self._on_write(current.version)
        else:
            log.warning(
                "table owned by another term", service=service, epoch=self.epoch
            )
            self.leading = False
