"""Recent order ids with their answers, so that no order runs twice.

An id that is not on record runs only if it is younger than what this node can know
of: the time since which the records of its ownership reach back, or the youngest id
that was evicted.
"""

from collections import OrderedDict
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from gevent.event import Event

from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError
from knapweedrock.nodes.messages import Deliver, Delivered
from knapweedrock.nodes.view import hash_key
from knapweedrock.targets.order_ids import read_order_time_ms

if TYPE_CHECKING:
    from knapweedrock.environment import Environment
    from knapweedrock.nodes.leases import Grant

CLOCK_SKEW_MS = 250
OWNERSHIP_MARGIN_MS = 2 * CLOCK_SKEW_MS
MAX_BYTES = 16 << 20
MAX_AGE_MS = 600_000
MAX_ANSWER_BYTES = 65536
RECORD_BYTES = 600
MAX_HANDED_ANSWER_BYTES = 4 << 20


class OrderState(StrEnum):
    """What is known of an order."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class OrderRecord:
    """One order id and what became of it."""

    def __init__(
        self, order_id: str, service: str, key: str, fingerprint: str, time_ms: int
    ) -> None:
        self.order_id = order_id
        self.service = service
        self.key = key
        self.key_hash = hash_key(key)
        self.fingerprint = fingerprint
        self.time_ms = time_ms
        self.seen_ms = 0
        self.state = OrderState.RUNNING
        self.sent = False
        self.delivered: Delivered | None = None
        self.refusal: Delivered | None = None
        self.ended = Event()

    def count_bytes(self) -> int:
        """Estimate the memory that the record takes."""
        body = len(self.delivered.body) if self.delivered else 0
        return RECORD_BYTES + body

    def to_plain(self, with_answer: bool) -> dict[str, Any]:
        """Return the record as it is handed over."""
        state = self.state
        if state is OrderState.RUNNING:
            state = OrderState.UNKNOWN
        return {
            "kind": "order",
            "order_id": self.order_id,
            "key": self.key,
            "fingerprint": self.fingerprint,
            "state": str(state),
            "delivered": list(self.delivered)
            if self.delivered and with_answer
            else None,
        }


class Orders:
    """Order records of one node, bounded by bytes and age."""

    def __init__(self, env: "Environment", max_bytes: int = MAX_BYTES) -> None:
        self.env = env
        self.max_bytes = max_bytes
        self.records: OrderedDict[tuple[str, str], OrderRecord] = OrderedDict()
        self.evicted_ms = 0
        self.used_bytes = 0

    def find(self, request: Deliver, fingerprint: str) -> OrderRecord | None:
        """Find the record of a request's id; raises `ORDER_CONFLICT`."""
        record = self.records.get((request.service, request.order_id))
        if record is None:
            return None
        if record.fingerprint != fingerprint or record.key != request.key:
            raise RefusalError(Code.ORDER_CONFLICT)
        return record

    def begin(self, request: Deliver, fingerprint: str, grant: "Grant") -> OrderRecord:
        """Record a new order as running.

        Raises `ORDER_ID_INVALID` for an id from the future and
        `ORDER_BEFORE_OWNERSHIP` for one that may have run elsewhere.
        """
        time_ms = read_order_time_ms(request.order_id)
        if time_ms > self.env.clock.wall_ms() + CLOCK_SKEW_MS:
            raise RefusalError(
                Code.ORDER_ID_INVALID, "the order id was made by a clock that is ahead"
            )
        record = OrderRecord(
            request.order_id, request.service, request.key, fingerprint, time_ms
        )
        self.check_floor(record, grant)
        record.seen_ms = self.env.clock.wall_ms()
        self._put(record)
        self._evict()
        return record

    def check_floor(self, record: OrderRecord, grant: "Grant") -> None:
        """Raise `ORDER_BEFORE_OWNERSHIP` where the past of the id is unknown."""
        if record.time_ms < self.get_floor_ms(grant.since_ms):
            raise RefusalError(Code.ORDER_BEFORE_OWNERSHIP)

    def get_floor_ms(self, since_ms: int) -> int:
        """Return the time before which ids of this ownership may be unknown."""
        return max(since_ms + OWNERSHIP_MARGIN_MS, self.evicted_ms)

    def end(
        self, record: OrderRecord, state: OrderState, delivered: Delivered | None
    ) -> None:
        """Record the end of an order, with its answer where there is one."""
        is_held = self._holds(record)
        self.used_bytes -= record.count_bytes() if is_held else 0
        record.delivered = delivered
        record.state = state
        if delivered and len(delivered.body) > MAX_ANSWER_BYTES:
            record.delivered = None
        self.used_bytes += record.count_bytes() if is_held else 0
        record.ended.set()
        self._evict()

    def forget(self, record: OrderRecord) -> None:
        """Drop the record of an order that surely did not run."""
        if self._holds(record):
            del self.records[(record.service, record.order_id)]
            self.used_bytes -= record.count_bytes()
        record.ended.set()

    def _evict(self) -> None:
        """Drop the oldest records and raise the floor above their ids."""
        oldest_ms = self.env.clock.wall_ms() - MAX_AGE_MS
        while self.records:
            key, record = next(iter(self.records.items()))
            is_old = record.seen_ms < oldest_ms
            if not is_old and self.used_bytes <= self.max_bytes:
                return
            if record.state is OrderState.RUNNING:
                return
            self.evicted_ms = max(self.evicted_ms, record.time_ms + 1)
            self.used_bytes -= record.count_bytes()
            del self.records[key]
            self.env.counters.count("orders_evicted")

    def hand_over(self, service: str, ranges: list[tuple[int, int]]) -> list[dict]:
        """Return what a new owner of the ranges must know, as plain data."""
        left_bytes = MAX_HANDED_ANSWER_BYTES
        handed: list[dict[str, Any]] = []
        for record in reversed(self.records.values()):
            if record.service != service:
                continue
            if not any(start <= record.key_hash < end for start, end in ranges):
                continue
            # An order that still waits here is refused before it is sent.
            if record.state is OrderState.RUNNING and not record.sent:
                continue
            left_bytes -= record.count_bytes()
            handed.append(record.to_plain(with_answer=left_bytes > 0))
        handed.reverse()
        return [{"kind": "floor", "evicted_ms": self.evicted_ms}, *handed]

    def adopt(self, service: str, records: list[dict[str, Any]]) -> None:
        """Take what the former owner handed over."""
        for plain in records:
            if plain["kind"] == "floor":
                self.evicted_ms = max(self.evicted_ms, plain["evicted_ms"])
            else:
                self._adopt_order(service, plain)
        self._evict()

    def _adopt_order(self, service: str, plain: dict[str, Any]) -> None:
        """Take a record, also in place of one that waits here and did not run."""
        place = (service, plain["order_id"])
        known = self.records.pop(place, None)
        if known:
            self.used_bytes -= known.count_bytes()
            if known.state is not OrderState.RUNNING:
                self._put(known)
                return
        record = OrderRecord(
            plain["order_id"],
            service,
            plain["key"],
            plain["fingerprint"],
            read_order_time_ms(plain["order_id"]),
        )
        record.seen_ms = self.env.clock.wall_ms()
        record.state = OrderState(plain["state"])
        if plain["delivered"]:
            record.delivered = restore_delivered(plain["delivered"])
        record.ended.set()
        self._put(record)

    def _put(self, record: OrderRecord) -> None:
        self.records[(record.service, record.order_id)] = record
        self.used_bytes += record.count_bytes()

    def _holds(self, record: OrderRecord) -> bool:
        return self.records.get((record.service, record.order_id)) is record

    def dump(self) -> dict[str, object]:
        """Return the state as plain data."""
        running = [r for r in self.records.values() if r.state is OrderState.RUNNING]
        return {
            "records": len(self.records),
            "running": len(running),
            "used_bytes": self.used_bytes,
            "evicted_ms": self.evicted_ms,
        }


def restore_delivered(fields: list[Any]) -> Delivered:
    """Restore an answer from its plain fields."""
    delivered = Delivered(*fields)
    return delivered._replace(
        headers=[(name, value) for name, value in delivered.headers],
        view=(delivered.view[0], delivered.view[1]),
    )
