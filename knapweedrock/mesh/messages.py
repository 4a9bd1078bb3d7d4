"""Messages between the nodes of a mesh, each with its type number on the wire.

A message in the imperative is a request; its past participle is the answer to it, such
as `Resumed` to `Resume`. Any request may be answered with `Failed`.
"""

from typing import NamedTuple, TypeVar

from knapweedrock.eras.versions import StoreVersion

M = TypeVar("M", bound=type)

_TYPES_BY_ID: dict[int, type] = {}
_IDS_BY_TYPE: dict[type, int] = {}


def register_message(type_id: int):
    """Register a NamedTuple as the message with this type number."""

    def register(cls: M) -> M:
        if type_id in _TYPES_BY_ID:
            raise ValueError(
                f"message type {type_id} is already used by {_TYPES_BY_ID[type_id]}"
            )
        _TYPES_BY_ID[type_id] = cls
        _IDS_BY_TYPE[cls] = type_id
        return cls

    return register


def get_type_id(cls: type) -> int:
    """Return the type number of a message class."""
    return _IDS_BY_TYPE[cls]


def list_message_types() -> list[type]:
    """List all message classes."""
    return list(_IDS_BY_TYPE)


def get_message_type(type_id: int) -> type | None:
    """Return the message class of a type number, or None if there is none."""
    return _TYPES_BY_ID.get(type_id)


@register_message(1)
class Failed(NamedTuple):
    """Answer to a request that the peer rejected or failed to process."""

    code: int
    detail: str


@register_message(2)
class Done(NamedTuple):
    """Answer without content to a request that succeeded."""


@register_message(3)
class Probe(NamedTuple):
    """Request that checks whether the link is alive; the answer is `Done`."""


@register_message(4)
class Cancel(NamedTuple):
    """Request to cancel the request that was sent with this number on this link."""

    request: int


@register_message(5)
class Resume(NamedTuple):
    """First request on a connection: the requests whose answers are still awaited.

    The peer cancels all other requests that the sender sent on earlier connections.
    """

    awaited: list[int]


@register_message(6)
class Resumed(NamedTuple):
    """Answer to `Resume`, by request number.

    `never_received` lists requests that did not arrive and will not be accepted later,
    `unknown` lists requests of which the peer has no record any more. All other awaited
    requests are still answered.
    """

    never_received: list[int]
    unknown: list[int]


class Member(NamedTuple):
    """A node and the target beside it, as the node last reported them.

    `state` is `ready`, `draining` or `absent`. `instance` is the id that the target
    checks on requests, and `target` names its current incarnation. `cores` is the CPU
    capacity of the node in cores. `limit` is approximately the limit that the target
    last announced, in requests per second; None if it announces no limit.
    """

    node_id: str
    process: str
    peer: str
    zone: str
    service: str
    target: str
    instance: str
    state: str
    slots: int
    cold: bool
    cores: float = 1.0
    limit: float | None = None


class Row(NamedTuple):
    """Range of keys from `start` to `end`, both included, and its owner.

    `handover` is the text that the last holder passed on with the keys when it released
    them. `next_node` names the node that the row moves to; the owner releases such a
    row. An empty `node_id` means that the row has no owner.
    """

    start: int
    end: int
    node_id: str
    target: str
    token: int
    handover: str
    next_node: str


class RowLoad(NamedTuple):
    """Load of the keys of a row, and how it is distributed over the keys.

    `load` is the number of concurrent requests at the target; `split_keys` are the keys
    that divide the load into equal parts.
    """

    start: int
    end: int
    load: float
    split_keys: tuple[int, ...]


class Board(NamedTuple):
    """Members and tables that the coordinator publishes.

    Of two boards the one with the higher epoch is newer, and within an epoch the one
    with the higher version. `era` is the era of the store in which the term began.
    """

    epoch: int
    version: int
    coordinator: str
    members: dict[str, Member]
    tables: dict[str, list[Row]]
    era: int = 0


class BoardChange(NamedTuple):
    """Difference of a board to the board with the version `base`.

    `base_epoch` is the epoch of that board; 0 stands for the same epoch. With a `base`
    of 0 the change contains the whole board. `removed_members` lists node ids.
    `tables` contains rows as encoded by `tables.encode_rows`; each replaces the rows
    that it overlaps.
    """

    epoch: int
    base: int
    version: int
    coordinator: str
    members: list[Member]
    removed_members: list[str]
    tables: dict[str, bytes]
    base_epoch: int = 0
    era: int = 0


@register_message(50)
class Forward(NamedTuple):
    """Request that forwards a caller's request to the node beside a target.

    `key` is -1 if the service has no keys. `remaining_ms` and `objective_ms` are the
    times that were left when the request was sent, at `sent_ns` of the sender's clock.
    `route` is the name of the route that matched the request.
    """

    service: str
    key: int
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    remaining_ms: float
    objective_ms: float
    priority: int
    idempotent: bool
    sent_ns: int = 0
    route: str = ""

    def subtract_elapsed(self, elapsed_ms: float) -> "Forward":
        """Return a copy with elapsed time subtracted from both remaining times."""
        return self._replace(
            remaining_ms=self.remaining_ms - elapsed_ms,
            objective_ms=self.objective_ms - elapsed_ms,
        )


class TargetNotice(NamedTuple):
    """State of a target, for the nodes that send it requests.

    `target` names its incarnation. `request_interval_ms` is the time that each node
    should leave between two requests so that all nodes together stay within the
    target's limit; 0 if the target announces no limit.
    """

    target: str
    leaving: bool
    request_interval_ms: float


@register_message(51)
class Forwarded(NamedTuple):
    """Final answer to `Forward`.

    With code `DONE` it contains the target's complete response. `load_per_slot` is the
    number of requests at the target and in its queue, divided by its slots. `notice` is
    set if the target is leaving or announces a limit.
    """

    code: int
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    detail: str
    retry_after_ms: float
    load_per_slot: float
    notice: TargetNotice | None = None


@register_message(52)
class Renew(NamedTuple):
    """Request of a node to renew its lease, with the state that it reports.

    `released` lists key ranges that the target has released since the last answer, as
    `(start, end, handover)`. `unheld` lists rows that the target certainly does not
    hold and that the node does not grant to it again, as `(start, end, token)`.
    `heartbeat_age_ms` is the age of the target's last heartbeat. `kept_zones` lists the
    zones that the node keeps out of service although the store does not list them, with
    the remaining time in ms. `kept` lists keys, as `(start, end, token)`, that the
    target holds under a token above that of the node's board.
    """

    member: Member
    epoch: int
    version: int
    config_version: int
    zones_revision: int
    released: list[tuple[int, int, str]]
    unheld: list[tuple[int, int, int]]
    loads: list[RowLoad]
    heartbeat_age_ms: int
    zones_era: int = 0
    kept_zones: list[tuple[str, int]] = []
    kept: list[tuple[int, int, int]] = []

    @property
    def zones_version(self) -> StoreVersion:
        """Return the version of the store at which the node read the zones out."""
        return StoreVersion(self.zones_era, self.zones_revision)


@register_message(53)
class Renewed(NamedTuple):
    """Lease of a node, which starts at the time when the node sent `Renew`.

    `change` is None if the node has the newest board, or if `change_follows`: it is
    pushed later, and the node gets no lease until then. A `lease_ms` of 0 grants no
    lease. `coordinator` is the peer address of the coordinator that the answering node
    knows. `lock_revision` is the revision of the leader record in the store, in the era
    `lock_era`, and `term_ms` is the remaining time of the coordinator's term.
    """

    epoch: int
    lease_ms: float
    coordinator: str
    change: BoardChange | None
    lock_revision: int
    term_ms: float
    change_follows: bool = False
    lock_era: int = 0

    @property
    def lock_version(self) -> StoreVersion:
        """Return the version of the leader record in the store."""
        return StoreVersion(self.lock_era, self.lock_revision)


@register_message(54)
class Publish(NamedTuple):
    """Push of a newer board by the coordinator."""

    change: BoardChange


@register_message(57)
class Published(NamedTuple):
    """Version of the board that a node has after a push."""

    epoch: int
    version: int


@register_message(55)
class PublishConfiguration(NamedTuple):
    """Push of a newer configuration and of the evacuated zones.

    `document` is the configuration in JSON, as it is stored. `zones_revision` is the
    revision of the store, in the era `zones_era`, at which `zones_out` was read.
    `kept_zones` lists further zones that stay out of service, with the remaining time
    in ms.
    """

    version: int
    document: bytes
    zones_out: list[str]
    zones_revision: int
    zones_era: int = 0
    kept_zones: list[tuple[str, int]] = []

    @property
    def zones_version(self) -> StoreVersion:
        """Return the version of the store at which the zones out were read."""
        return StoreVersion(self.zones_era, self.zones_revision)


@register_message(56)
class CrashReport(NamedTuple):
    """Fingerprints of the requests that were in flight at a target when it crashed."""

    fingerprints: list[str]


@register_message(58)
class ReadConfiguration(NamedTuple):
    """Request for the configuration that a node has; answered like a push of it."""


@register_message(59)
class ReadBoard(NamedTuple):
    """Request for the whole board that a node has; answered like a push of it."""


@register_message(60)
class ReadCrashes(NamedTuple):
    """Request for the crashes that a node remembers, sent by one that has started."""


@register_message(62)
class ChargeQuota(NamedTuple):
    """Request that charges one request to a workspace at its accountant.

    `rate_per_s` and `burst` are its quota by the sender's `version` of the
    configuration. `is_stand_in` says that the processes of the accountants before this
    one have certainly ended.
    """

    workspace: str
    version: int
    rate_per_s: float
    burst: float
    is_stand_in: bool = False


@register_message(63)
class QuotaCharged(NamedTuple):
    """Answer to `ChargeQuota`; see `quotas.buckets.Charge`."""

    is_granted: bool
    wait_ms: float
    retry_after_ms: float
    is_calm: bool


@register_message(61)
class RememberedCrashes(NamedTuple):
    """Ages in ms of crashes of targets, by the fingerprint of a request in flight."""

    ages_ms: dict[str, list[float]]
