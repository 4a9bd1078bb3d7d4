"""Typed messages between nodes, each with its number on the wire."""

from typing import Any, NamedTuple, TypeVar

M = TypeVar("M", bound=type)

_KINDS: dict[int, type] = {}
_NUMBERS: dict[type, int] = {}


def message(kind: int):
    """Register a NamedTuple as the message with this number."""

    def register(cls: M) -> M:
        if kind in _KINDS:
            raise ValueError(f"message number {kind} is taken by {_KINDS[kind]}")
        _KINDS[kind] = cls
        _NUMBERS[cls] = kind
        return cls

    return register


def get_kind(cls: type) -> int:
    """Return the number of a message type."""
    return _NUMBERS[cls]


def find_type(kind: int) -> type | None:
    """Return the message type of a number."""
    return _KINDS.get(kind)


@message(1)
class Failed(NamedTuple):
    """Answer to a request that the peer refused or could not carry out."""

    code: int
    detail: str


@message(2)
class Done(NamedTuple):
    """Empty answer."""


@message(3)
class Probe(NamedTuple):
    """Ask whether the link is alive."""


@message(4)
class Cancel(NamedTuple):
    """Cancel the request that was sent with this number on this link."""

    request: int


@message(10)
class Deliver(NamedTuple):
    """A caller's request on its way to the node beside the target.

    `remaining_ms` is the time left until its deadline when it was sent;
    `view` is the sender's version as `(epoch, count)`; `key` and `order_id` are
    empty where there is none; `headers` holds pairs of strings.
    """

    service: str
    key: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    remaining_ms: float
    order_id: str
    idempotent: bool
    caller: str
    view: tuple[int, int]


@message(11)
class Delivered(NamedTuple):
    """Final answer to `Deliver`.

    With code `DONE` the status, headers and body are the target's whole answer.
    With any other code they are empty and `detail` says more.
    """

    code: int
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    detail: str
    retry_after_ms: int
    view: tuple[int, int]


@message(20)
class Heartbeat(NamedTuple):
    """Request of a member for its node lease, with all that it reports.

    `epoch` and `count` are the version of the view it holds. `member` is set when
    it differs from what the coordinator's view says. `load` is requests a second;
    `hot` lists `(service, hash, share)` of keys above the hot share.
    """

    cell: str
    node_id: str
    incarnation: str
    epoch: int
    count: int
    config_version: int
    load: int
    platform_ok: bool
    member: dict[str, Any] | None = None
    hot: list[tuple[str, int, float]] = []


@message(21)
class Lease(NamedTuple):
    """Node lease, counted by the holder from when it sent the heartbeat.

    A `lease_ms` of 0 grants nothing. When the member's view is older than
    `(epoch, count)` it fetches the newer one before it uses the lease.
    """

    epoch: int
    count: int
    lease_ms: int
    config_version: int


@message(22)
class AskPromise(NamedTuple):
    """Ask a voter to help no other coordinator for a while.

    With `try_only` the voter tells whether it would, and promises nothing.
    """

    cell: str
    epoch: int
    coordinator: str
    try_only: bool


@message(23)
class Promise(NamedTuple):
    """A voter's promise, counted by the coordinator from when it asked.

    A `promise_ms` of 0 promises nothing; `epoch` is the highest one it promised.
    `free_ms` is how long ago its last promise to another coordinator had run out.
    """

    epoch: int
    promise_ms: int
    free_ms: int = 0


@message(24)
class Resign(NamedTuple):
    """Free the voter from its promise to this coordinator."""

    cell: str
    epoch: int
    coordinator: str


@message(25)
class FetchView(NamedTuple):
    """Ask for a view newer than the version held."""

    epoch: int
    count: int


@message(26)
class ViewAnswer(NamedTuple):
    """A newer view: whole, or a difference from the version `(epoch, count)`.

    Both are None where there is no newer one.
    """

    base: tuple[int, int]
    difference: dict[str, Any] | None
    view: dict[str, Any] | None


@message(27)
class FetchConfig(NamedTuple):
    """Ask for a configuration newer than the version held."""

    version: int


@message(28)
class ConfigAnswer(NamedTuple):
    """A newer configuration: whole, or a difference from the version `base`.

    Both are None where there is no newer one than `version`.
    """

    version: int
    base: int
    difference: dict[str, Any] | None
    value: dict[str, Any] | None


@message(29)
class Release(NamedTuple):
    """Coordinator's order to stop serving ranges, while its view marks them moving.

    `spans` holds `(start, end)` pairs, the end excluded. The node answers when
    nothing of them is in flight any more, or fails when that takes longer than
    `wait_ms`. `(epoch, count)` is the first view with the mark. Only the process of
    that incarnation may answer: another one has no records to hand over.
    """

    epoch: int
    count: int
    incarnation: str
    service: str
    spans: list[tuple[int, int]]
    wait_ms: int


@message(30)
class Released(NamedTuple):
    """Ranges are released; hands over the records of their recent order ids."""

    orders: list[dict[str, Any]]


@message(31)
class Assign(NamedTuple):
    """Coordinator's push of a newer view, whole or as a difference."""

    base: tuple[int, int]
    difference: dict[str, Any] | None
    view: dict[str, Any] | None


@message(32)
class Quarantine(NamedTuple):
    """Tell a peer of a fingerprint to refuse for a while."""

    fingerprint: str
    remaining_ms: int


@message(34)
class ProbePlatform(NamedTuple):
    """Ask a peer to read the cell's record, to learn whether it still can."""


@message(33)
class Adopt(NamedTuple):
    """Records of recent order ids for ranges that this process is about to own."""

    epoch: int
    service: str
    incarnation: str
    orders: list[dict[str, Any]]
