"""Recent order ids with their answers, so that no order runs twice.

An id that is not on record runs only if it is younger than what this node can know
of: the start of its ownership, or what a handover or an eviction left open.
"""

from collections import OrderedDict
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

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
MAX_INHERITED = 4096


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
        self.delivered: Delivered | None = None
        self.refusal: Delivered | None = None
        self.ended = Event()

    def count_bytes(self) -> int:
        """Estimate the memory that the record takes."""
        body = len(self.delivered.body) if self.delivered else 0
        return RECORD_BYTES + body

    def to_plain(self) -> dict[str, Any]:
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
            "delivered": list(self.delivered) if self.delivered else None,
        }


class Inherited(NamedTuple):
    """Floor of a range that was handed over to the ownership begun at `since_ms`."""

    service: str
    start: int
    end: int
    since_ms: int
    floor_ms: int


class Orders:
    """Order records of one node, bounded by bytes and age."""

    def __init__(self, env: "Environment", max_bytes: int = MAX_BYTES) -> None:
        self.env = env
        self.max_bytes = max_bytes
        self.records: OrderedDict[tuple[str, str], OrderRecord] = OrderedDict()
        self.inherited: list[Inherited] = []
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
        self.records[(record.service, record.order_id)] = record
        self.used_bytes += record.count_bytes()
        self._evict()
        return record

    def check_floor(self, record: OrderRecord, grant: "Grant") -> None:
        """Raise `ORDER_BEFORE_OWNERSHIP` where the past of the id is unknown."""
        floor_ms = self.get_floor_ms(record.service, record.key_hash, grant.since_ms)
        if record.time_ms < floor_ms:
            raise RefusalError(Code.ORDER_BEFORE_OWNERSHIP)

    def get_floor_ms(self, service: str, key_hash: int, since_ms: int) -> int:
        """Return the time before which ids of this ownership may be unknown."""
        for item in self.inherited:
            if (
                item.since_ms == since_ms
                and item.service == service
                and item.start <= key_hash < item.end
            ):
                return max(item.floor_ms, self.evicted_ms)
        return max(since_ms + OWNERSHIP_MARGIN_MS, self.evicted_ms)

    def end(
        self, record: OrderRecord, state: OrderState, delivered: Delivered | None
    ) -> None:
        """Record the end of an order, with its answer where there is one."""
        self.used_bytes -= record.count_bytes()
        record.delivered = delivered
        record.state = state
        if delivered and len(delivered.body) > MAX_ANSWER_BYTES:
            record.delivered = None
        self.used_bytes += record.count_bytes()
        record.ended.set()
        self._evict()

    def forget(self, record: OrderRecord) -> None:
        """Drop the record of an order that surely did not run."""
        if self.records.pop((record.service, record.order_id), None):
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
        handed = [
            record.to_plain()
            for record in self.records.values()
            if record.service == service
            and any(start <= record.key_hash < end for start, end in ranges)
        ]
        for start, end in ranges:
            held = self.env.views.find_range(service, start)
            if held is None or held["owner"] != self.env.settings.node_id:
                continue
            floor_ms = self.get_floor_ms(service, start, held["since_ms"])
            handed.append(
                {"kind": "floor", "start": start, "end": end, "floor_ms": floor_ms}
            )
        return handed

    def adopt(self, service: str, records: list[dict[str, Any]]) -> None:
        """Take what the former owner handed over.

        To be called once the view that names this node as owner is in force:
        floors count for exactly that ownership.
        """
        for plain in records:
            if plain["kind"] == "order":
                self._adopt_order(service, plain)
        for plain in records:
            if plain["kind"] == "floor":
                self._adopt_floor(service, plain)
        self._evict()

    def _adopt_order(self, service: str, plain: dict[str, Any]) -> None:
        place = (service, plain["order_id"])
        if place in self.records:
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
        self.records[place] = record
        self.used_bytes += record.count_bytes()

    def _adopt_floor(self, service: str, plain: dict[str, Any]) -> None:
        held = self.env.views.find_range(service, plain["start"])
        if held is None or held["owner"] != self.env.settings.node_id:
            return
        self.inherited.append(
            Inherited(
                service,
                plain["start"],
                plain["end"],
                held["since_ms"],
                plain["floor_ms"],
            )
        )
        del self.inherited[:-MAX_INHERITED]

    def dump(self) -> dict[str, object]:
        """Return the state as plain data."""
        running = [r for r in self.records.values() if r.state is OrderState.RUNNING]
        return {
            "records": len(self.records),
            "running": len(running),
            "used_bytes": self.used_bytes,
            "evicted_ms": self.evicted_ms,
            "inherited": [item._asdict() for item in self.inherited],
        }


def restore_delivered(fields: list[Any]) -> Delivered:
    """Restore an answer from its plain fields."""
    delivered = Delivered(*fields)
    return delivered._replace(
        headers=[(name, value) for name, value in delivered.headers],
        view=(delivered.view[0], delivered.view[1]),
    )
