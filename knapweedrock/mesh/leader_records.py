"""The coordinator's record in the store, read with bounds on what it may say."""

from typing import Annotated, Any, NamedTuple

import msgspec
from logbook import Logger

from knapweedrock.documents import Count
from knapweedrock.platform.stored_objects import StoredObject

MAX_NAME_CHARACTERS = 1000

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]

log = Logger("coordinator")


class LeaderRecord(NamedTuple):
    """What a coordinator writes about its term.

    `number` counts the renewals. `lost` lists nodes whose leases have expired or will
    expire with the term. `lease_ms` is how long the longest lease outlasts a released
    term, or None while the term runs. `era` is the era of the store in which the term
    began; while `recovering`, the term does not know all holders of keys of earlier
    eras.
    """

    epoch: int
    node: str
    process: str
    peer: str
    number: int
    released: bool
    lost: tuple[str, ...]
    lease_ms: int | None = None
    era: int = 0
    recovering: bool = False

    def to_value(self) -> dict[str, Any]:
        """Return the value to store."""
        value = self._asdict() | {"lost": list(self.lost)}
        if self.lease_ms is None:
            del value["lease_ms"]
        return value


class LeaderRecordFields(msgspec.Struct):
    """Fields of a stored leader record, with their bounds."""

    epoch: Count
    node: Name
    process: Name
    peer: Name
    number: Count
    released: bool
    lost: tuple[Name, ...] = ()
    lease_ms: Count | None = None
    era: Count = 0
    recovering: bool = False


NO_RECORD = LeaderRecord(0, "", "", "", 0, False, ())
# Stands for a record that another writer left unreadable: no node counts as lost, the
# leases may be the longest ones, and the epoch is not known.
UNREADABLE_RECORD = LeaderRecord(0, "", "", "", 0, False, ())


def decode_leader_record(stored: StoredObject) -> LeaderRecord | None:
    """Decode a stored leader record; return None if it is not readable."""
    try:
        fields = msgspec.convert(stored.value, LeaderRecordFields)
    except msgspec.ValidationError as error:
        reason = stored.error or str(error)
        log.error("leader record not readable", revision=stored.revision, reason=reason)
        return None
    return LeaderRecord(*msgspec.structs.astuple(fields))


def read_leader_record(stored: StoredObject) -> LeaderRecord:
    """Decode a stored leader record, or return the one that assumes least."""
    return decode_leader_record(stored) or UNREADABLE_RECORD
