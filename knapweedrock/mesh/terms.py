"""Leadership terms: a record in the platform's store that the coordinator renews."""

from collections.abc import Callable, Collection, Mapping
from typing import Any, NamedTuple

import gevent
from gevent.event import Event
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import Code
from knapweedrock.eras.numbers import next_number
from knapweedrock.eras.recovery import merge_by_token
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
from knapweedrock.platform.store import ConflictError, EraEndedError, Store
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


class Memory(NamedTuple):
    """What a node that claims the leadership knows besides the store.

    `epoch` is the latest epoch that it has heard of, and `tables` the rows of its
    board. `is_complete` says that no other node can have led since the claimant did.
    """

    epoch: int = 0
    tables: Mapping[str, list[Row]] = {}
    is_complete: bool = False


NO_MEMORY = Memory()


class Term:
    """One node's leadership term, with the tables as it last wrote them.

    A term belongs to one era of the store. While `recovering`, it does not know all
    holders of keys of earlier eras. `on_write` gets the store's version after each
    write of the term.
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
        self.era = 0
        self.recovering = False
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

    def get_version(self) -> StoreVersion:
        """Return the store's version of the leader record."""
        return self._leader_record.version

    def has_era_ended(self) -> bool:
        """Return whether the store has come back from a copy since the term began."""
        return self._store.eras.era != self.era

    def had_authority_in_next_era(self) -> bool:
        """Return whether the term was still valid when the store came back.

        No other node can then have led since its last renewal, in the era of the term.
        """
        eras = self._store.eras
        is_next = eras.era == self.era + 1
        return self.leading and is_next and eras.since_ns < self._valid_until_ns

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

    def claim(
        self, leader_record: StoredObject | None, memory: Memory = NO_MEMORY
    ) -> bool:
        """Try to start a term; `leader_record` is the record as last read."""
        sent_ns = self._clock.now_ns()
        has_lost_memory = self.recovering or not memory.is_complete
        era = leader_record.era if leader_record else self._store.eras.era
        former = read_leader_record(leader_record) if leader_record else NO_RECORD
        epoch = next_number(former.epoch, era)
        try:
            stored = self._read_tables()
            is_new_mesh = not (leader_record or stored or memory.tables)
            is_first = not is_new_mesh and is_first_of_era(former, stored, era)
            if is_first or former is UNREADABLE_RECORD:
                epochs = [former.epoch, memory.epoch, self.epoch]
                epochs += [table.epoch for _, table in stored]
                epoch = next_number(max(epochs), era)
            if not memory.is_complete:
                lost = frozenset() if is_first else frozenset(former.lost)
                self._lost_nodes = self._stored_lost_nodes = lost
            # Also a claimant that remembers all may end before it has written it.
            self.recovering = is_first
            record = self._store.put(
                LEADER_KIND,
                LEADER_NAME,
                self._build_record(epoch, era, 0),
                leader_record,
                WRITE_TIMEOUT_S,
            )
            known = memory.tables if is_first else {}
            self._tables = self._fence_tables(epoch, era, stored, known)
            self.recovering = is_first and has_lost_memory
        except PlatformError as error:
            log.info("claim failed", epoch=epoch, reason=error.detail)
            self.recovering = has_lost_memory
            return False
        self._leader_record = record
        self._on_write(record.version)
        self.epoch, self.era = epoch, era
        self._unconfirmed_sent_ns.clear()
        self._valid_until_ns = 0
        self.leading = True
        self._record_renewal(sent_ns)
        return True

    def renew_at_once(self) -> None:
        """Make the next renewal now, as the store may have come back from a copy."""
        self._renew_now.set()

    def end_recovery(self) -> None:
        """Record with the next renewal that all holders of keys are known."""
        self.recovering = False
        self._renew_now.set()

    def resign(self, lease_ms: int) -> None:
        """Release the term, so that another node can start one at once.

        `lease_ms` is the remaining time of the longest granted lease.
        """
        if not self.leading:
            return
        self.leading = False
        value = self._build_record(self.epoch, self.era, 0, lease_ms)
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
        """Renew the term of an epoch until it is lost or another one starts.

        Also returns when the era of the term has ended; the term is then not renewed.
        """
        renewal_number = 0
        while self.is_current(epoch) and not self.has_era_ended():
            renewal_number += 1
            sent_ns = self._unconfirmed_sent_ns[renewal_number] = self._clock.now_ns()
            lost_nodes = self._lost_nodes
            self._stored_lost_nodes |= lost_nodes
            self._renew_now.clear()
            try:
                record = self._store.replace(
                    LEADER_KIND,
                    LEADER_NAME,
                    self._build_record(epoch, self.era, renewal_number),
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
            except EraEndedError as error:
                log.warning("term not renewed", reason=error.detail)
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
        if self.has_era_ended():
            raise EraEndedError(self.era, self._store.eras.era)
        epoch = self.epoch
        value = encode_stored_table(epoch, rows, self.era)
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
        self, epoch: int, era: int, renewal_number: int, lease_ms: int | None = None
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
            era,
            self.recovering,
        )
        return record.to_value()

    def _fence_tables(
        self,
        epoch: int,
        era: int,
        stored: list[tuple[StoredObject, StoredTable]],
        known: Mapping[str, list[Row]],
    ) -> dict[str, StoredObject]:
        """Store the epoch in each table, so that a former coordinator cannot write.

        In a new era the known rows, which the copy may lack, are written again.
        """
        tables = {}
        for item, table in stored:
            rows = merge_by_token(table.rows, known.get(item.name, []))
            value = encode_stored_table(epoch, rows, era)
            tables[item.name] = self._store.replace(
                TABLE_KIND, item.name, value, item, WRITE_TIMEOUT_S
            )
        for service in known.keys() - tables.keys():
            value = encode_stored_table(epoch, known[service], era)
            try:
                tables[service] = self._store.create(
                    TABLE_KIND, service, value, WRITE_TIMEOUT_S
                )
            except ConflictError as error:
                log.error("table not written", service=service, reason=error.detail)
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

        So does a write of an earlier era that found its revision given out again.
        Returns whether the stored record belongs to this term or to an earlier era.
        """
        record = decode_leader_record(current) if current is not None else None
        if current is None or record is None or current.era != self.era:
            return False
        if record.era < self.era:
            log.warning("record of an earlier era", epoch=record.epoch, era=record.era)
            self._leader_record = current
            return True
        if record.released:
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

        The late table was never published, so the next write may replace it. So may it
        replace a late write of an earlier era.
        """
        try:
            table = decode_stored_table(current) if current is not None else None
        except InputError as error:
            log.error("stored table not readable", service=service, reason=str(error))
            return
        if current is not None and current.era != self.era:
            return
        if table is not None and (table.epoch == self.epoch or table.era < self.era):
            self._tables[service] = current
            self._on_write(current.version)
        else:
            log.warning(
                "table owned by another term", service=service, epoch=self.epoch
            )
            self.leading = False


def is_first_of_era(
    former: LeaderRecord, stored: list[tuple[StoredObject, StoredTable]], era: int
) -> bool:
    """Return whether a claim has to recover what a store of earlier eras has lost.

    That is so until a term of this era has recovered, and if a late write of an earlier
    era has replaced a table.
    """
    if former.recovering or former.era < era:
        return True
    return any(table.era < era for _, table in stored)
