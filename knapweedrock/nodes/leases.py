"""The node lease: the only right under which a node gives work to its target."""

from typing import TYPE_CHECKING, NamedTuple

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError
from knapweedrock.nodes.handlers import Sender, handles
from knapweedrock.nodes.messages import Release, Released
from knapweedrock.nodes.view import Range, ViewVersion, hash_key

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

RETRY_AFTER_MS = 250


class Grant(NamedTuple):
    """Right to send one request to the target.

    `lease_until_ns` is a CLOCK_BOOTTIME; `since_ms` the wall time at which this
    ownership began. The token is 0 for services that are not divided by key.
    """

    token: int
    lease_until_ns: int
    since_ms: int


class Span(NamedTuple):
    """Hashes of a service from `start` up to `end`, the end excluded."""

    service: str
    start: int
    end: int


class NodeLease:
    """Lease of this node, counted from when each heartbeat was sent."""

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.epoch = 0
        self.until_ns = 0
        self.released: dict[Span, ViewVersion] = {}
        env.dumps["lease"] = self

    def extend(self, epoch: int, sent_ns: int, lease_ms: int) -> None:
        """Count a granted lease from when its heartbeat was sent."""
        if epoch < self.env.views.version.epoch:
            return
        self.epoch = epoch
        self.until_ns = max(self.until_ns, sent_ns + lease_ms * NS_PER_MS)

    def remaining_ms(self) -> float:
        """Return the milliseconds left; at most 0 when the lease has lapsed."""
        return (self.until_ns - self.env.clock.now_ns()) / NS_PER_MS

    def authorize(self, service: str, key: str) -> Grant:
        """Grant the sending of one request, or raise `RefusalError`.

        Call it on entry and again right before each send: the process may have
        been paused in between. An empty key asks for an undivided service.
        """
        if not key:
            return self._grant(0, 0)
        key_hash = hash_key(key)
        found = self.env.views.find_range(service, key_hash)
        self._check_owner(service, key_hash, found)
        return self._grant(found["token"], found["since_ms"])

    def release(self, order: Release) -> None:
        """Refuse ranges from now on, until a newer view settles their move."""
        version = ViewVersion(order.epoch, order.count)
        self._forget_settled()
        for start, end in order.spans:
            self.released[Span(order.service, start, end)] = version

    def find_owned(self) -> list[tuple[str, Range]]:
        """List the ranges that the newest view gives to this node."""
        return [
            (name, entry)
            for name, table in self.env.views.view["tables"].items()
            for entry in table["ranges"]
            if self._is_own(entry)
        ]

    def dump(self) -> dict[str, object]:
        """Return the lease's state."""
        return {
            "epoch": self.epoch,
            "remaining_ms": self.remaining_ms(),
            "owned": len(self.find_owned()),
            "released": [list(name) for name in self.released],
        }

    def _grant(self, token: int, since_ms: int) -> Grant:
        if self.env.clock.now_ns() >= self.until_ns:
            raise RefusalError(Code.LEASE_LAPSED, retry_after_ms=RETRY_AFTER_MS)
        return Grant(token, self.until_ns, since_ms)

    def _check_owner(self, service: str, key_hash: int, found: Range | None) -> None:
        if found is None or not found["owner"]:
            raise RefusalError(Code.NO_OWNER, retry_after_ms=RETRY_AFTER_MS)
        if not self._is_own(found):
            raise RefusalError(
                Code.NOT_OWNER, f"the owner is {found['owner']}", RETRY_AFTER_MS
            )
        if found.get("moving") or self._is_released(service, key_hash):
            raise RefusalError(Code.MOVING, retry_after_ms=RETRY_AFTER_MS)

    def _is_own(self, entry: Range) -> bool:
        return (
            entry["owner"] == self.env.settings.node_id
            and entry["incarnation"] == self.env.incarnation
        )

    def _is_released(self, service: str, key_hash: int) -> bool:
        held = self.env.views.version
        return any(
            version > held
            and span.service == service
            and span.start <= key_hash < span.end
            for span, version in self.released.items()
        )

    def _forget_settled(self) -> None:
        held = self.env.views.version
        self.released = {
            name: version for name, version in self.released.items() if version > held
        }


@handles(Release)
def release_ranges(env: "Environment", _sender: Sender, order: Release) -> Released:
    """Stop serving ranges, wait for what is in flight, and hand over the records."""
    if order.epoch < env.views.version.epoch:
        raise RefusalError(Code.NOT_OWNER, "the coordinator's epoch is over")
    if order.incarnation != env.incarnation:
        raise RefusalError(Code.NOT_OWNER, "another process owned the ranges")
    env.lease.release(order)
    records = env.delivery.release(order.service, order.spans, order.wait_ms)
    return Released(records)


def create_lease(env: "Environment") -> NodeLease:
    """Create the lease of a node, which holds nothing yet."""
    return NodeLease(env)
