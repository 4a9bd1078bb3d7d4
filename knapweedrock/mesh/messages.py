"""Messages between the nodes of a mesh, each with its number on the wire."""

from typing import NamedTuple, TypeVar

M = TypeVar("M", bound=type)

_TYPES_BY_ID: dict[int, type] = {}
_IDS_BY_TYPE: dict[type, int] = {}


def register_message(type_id: int):
    """Register a NamedTuple as the message with this number."""

    def register(cls: M) -> M:
        if type_id in _TYPES_BY_ID:
            raise ValueError(
                f"message number {type_id} is taken by {_TYPES_BY_ID[type_id]}"
            )
        _TYPES_BY_ID[type_id] = cls
        _IDS_BY_TYPE[cls] = type_id
        return cls

    return register


def get_type_id(cls: type) -> int:
    """Return the number of a message type."""
    return _IDS_BY_TYPE[cls]


def list_message_types() -> list[type]:
    """List all message types."""
    return list(_IDS_BY_TYPE)


def get_message_type(type_id: int) -> type | None:
    """Return the message type of a number."""
    return _TYPES_BY_ID.get(type_id)


@register_message(1)
class Failed(NamedTuple):
    """Answer to a request that the peer refused or could not carry out."""

    code: int
    detail: str


@register_message(2)
class Done(NamedTuple):
    """Empty answer."""


@register_message(3)
class Probe(NamedTuple):
    """Ask whether the link is alive."""


@register_message(4)
class Cancel(NamedTuple):
    """Cancel the request that was sent with this number on this link."""

    request: int


@register_message(5)
class Resume(NamedTuple):
    """First request on a connection: the numbers whose answers are still awaited.

    What the sender asked for on former connections, and does not name, is cancelled.
    """

    awaited: list[int]


@register_message(6)
class Resumed(NamedTuple):
    """Answer to `Resume`.

    `unseen` are the numbers that never came and never will, `unknown` those of which
    nothing is known any more. All others are answered later.
    """

    never_received: list[int]
    unknown: list[int]


class Member(NamedTuple):
    """A node and the target beside it, as the node last reported them.

    `state` is `ready`, `draining` or `absent`. `instance` is the id that the target
    checks on requests, `target` names this start of it. `cores` is the processor that
    the node has, in cores. `limit` is in requests a second, about what the target last
    named; None where it names none.
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
    """Keys from `start` to `end` and who owns them.

    `handover` is the mark of the last holder. `next_node` names the node that the
    row moves to; the owner lets such a row go. A `node_id` of nothing is no owner.
    """

    start: int
    end: int
    node_id: str
    target: str
    token: int
    handover: str
    next_node: str


class RowLoad(NamedTuple):
    """Load of the keys of a row: requests at the target at once, and where they lie.

    `cuts` holds the keys that divide the load into equal parts.
    """

    start: int
    end: int
    load: float
    split_keys: tuple[int, ...]


class Board(NamedTuple):
    """All that the coordinator publishes; a higher epoch or version is newer."""

    epoch: int
    version: int
    coordinator: str
    members: dict[str, Member]
    tables: dict[str, list[Row]]


class BoardChange(NamedTuple):
    """How a board differs from the one of the same epoch with the version `base`.

    With a base of 0 it holds everything. `gone` names members that are no more;
    `tables` holds the rows that replace those which they overlap, as
    `tables.encode_rows` encodes them.
    """

    epoch: int
    base: int
    version: int
    coordinator: str
    members: list[Member]
    removed_members: list[str]
    tables: dict[str, bytes]


@register_message(50)
class Forward(NamedTuple):
    """A caller's request on its way to the node beside a target.

    `key` is -1 where the service has no keys; the times are what was left when it
    was sent, at `sent_ns` of the sender's clock. `route` names the request's route.
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
        """Take time that has passed off what is left."""
        return self._replace(
            remaining_ms=self.remaining_ms - elapsed_ms,
            objective_ms=self.objective_ms - elapsed_ms,
        )


class TargetNotice(NamedTuple):
    """What a target says of itself, for the nodes that send it requests.

    `target` names its start. `pace_ms` is the time that a node should leave between two
    requests so that all keep its limit together, 0 where it names none.
    """

    target: str
    leaving: bool
    request_interval_ms: float


@register_message(51)
class Forwarded(NamedTuple):
    """Final answer to `Forward`.

    With code `DONE` it holds the target's whole answer. `busy` is the number of
    requests at the target and in its queue for each slot. There is a `notice` where the
    target leaves or names a limit.
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
    """Request of a node for its lease, with all that it reports.

    `released` lists keys that the target has let go since the last answer, as
    `(start, end, handover)`; `unheld` lists rows that it surely does not hold and
    never grants again, as `(start, end, token)`. `heartbeat_ms` is the age of the
    target's last heartbeat.
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


@register_message(53)
class Renewed(NamedTuple):
    """Lease of a node, counted from when it sent the request.

    `change` is None where the node has the newest board. A `lease_ms` of 0 grants
    nothing. `coordinator` is the peer address of the coordinator that it knows.
    """

    epoch: int
    lease_ms: float
    coordinator: str
    change: BoardChange | None
    lock_revision: int
    term_ms: float


@register_message(54)
class Publish(NamedTuple):
    """Push of a newer board by the coordinator; the answer is `Published`."""

    change: BoardChange


@register_message(57)
class Published(NamedTuple):
    """Version of the board that a node holds after a push."""

    epoch: int
    version: int


@register_message(55)
class PublishConfiguration(NamedTuple):
    """Push of a newer configuration and of the zones that are out.

    `document` is the configuration as the store holds it, in JSON.
    """

    version: int
    document: bytes
    zones_out: list[str]
    zones_revision: int


@register_message(56)
class CrashReport(NamedTuple):
    """Requests that were at a target when it crashed, by fingerprint."""

    fingerprints: list[str]
