"""Builders of settings, messages and documents for scenarios about the mesh."""

from knapweedrock.clock import NS_PER_MS
from knapweedrock.emulator.local_mesh import VmSpec, create_local_settings
from knapweedrock.mesh.definitions import (
    Heartbeat,
    HeldRange,
    NodeSettings,
    ReleasedRange,
)
from knapweedrock.mesh.messages import Forward, Member, Row, RowLoad
from knapweedrock.mesh.snapshots import Snapshot

SERVICE = "orders"
OTHER_SERVICE = "catalogue"
ZONES = ("zone-a", "zone-b", "zone-c")


class FakeClock:
    """Clock that moves only when a scenario advances it."""

    def __init__(self) -> None:
        self.ns = 1_000_000_000

    def now_ns(self) -> int:
        """Return the current time of the clock."""
        return self.ns

    def advance_ms(self, ms: float) -> None:
        """Move the clock forward."""
        self.ns += int(ms * NS_PER_MS)


def create_settings(
    number: int,
    store: tuple[str, int],
    target: tuple[str, int],
    service: str = SERVICE,
    **changes,
) -> NodeSettings:
    """Create the settings of a node that listens on loopback."""
    return create_local_settings(create_spot(number, service), store, target, **changes)


def create_spot(number: int, service: str) -> VmSpec:
    """Create the spot of a target; zones are assigned in turn."""
    zone = ZONES[number % len(ZONES)]
    return VmSpec(f"node-{number}", zone, service, service == SERVICE)


def create_member(name: str, **changes) -> Member:
    """Create a member whose target is ready."""
    member = Member(
        node_id=name,
        process=f"process-{name}",
        peer=f"{name}:1",
        zone="zone-a",
        service=SERVICE,
        target=f"{name}@1",
        instance=name,
        state="ready",
        slots=18,
        cold=False,
    )
    return member._replace(**changes)


def create_members(count: int) -> dict[str, Member]:
    """Create members named n0, n1 and so on."""
    return {f"n{n}": create_member(f"n{n}") for n in range(count)}


def create_row(start: int, end: int, name: str, token: int = 1, **changes) -> Row:
    """Create a row that a member's target owns."""
    return Row(start, end, name, f"{name}@1", token, "", "")._replace(**changes)


def create_snapshot(members: dict[str, Member], **changes) -> Snapshot:
    """Create a snapshot of members without measured loads."""
    return Snapshot(members, (), {}, (), ())._replace(**changes)


def create_load(row: Row, load: float, split_keys: tuple[int, ...] = ()) -> RowLoad:
    """Create the load measured for a row."""
    return RowLoad(row.start, row.end, load, split_keys)


def create_heartbeat(name: str = "n0", **changes) -> Heartbeat:
    """Create a heartbeat that a member's target sends."""
    heartbeat = Heartbeat(
        target=f"{name}@1",
        instance=name,
        service=SERVICE,
        zone="zone-a",
        address="127.0.0.1:1",
        slots=18,
        draining=False,
        sequence=1,
        cold_ms=0,
        held=(),
        released=(),
    )
    return heartbeat._replace(**changes)


def create_span(row: Row) -> HeldRange:
    """Create the span of keys that a target holds for a row."""
    return HeldRange(row.start, row.end, row.token)


def create_released(row: Row, handover: str) -> ReleasedRange:
    """Create a target's report that it has released a row."""
    return ReleasedRange(row.start, row.end, handover)


def create_forward(**changes) -> Forward:
    """Create a message that forwards a request to a target's node."""
    message = Forward(
        service=SERVICE,
        key=1,
        method="GET",
        path="/orders/1",
        headers=[("x-attempt-id", "a1")],
        body=b"",
        remaining_ms=1000.0,
        objective_ms=500.0,
        priority=1,
        idempotent=True,
    )
    return message._replace(**changes)


def create_document(version: int = 1, **changes) -> dict:
    """Create a configuration document as operators write it to the store."""
    document = {
        "version": version,
        "routes": {
            "read": {
                "host": "mesh.example",
                "pathPrefix": "/read/",
                "routeType": "safe",
                "timeoutMs": 1500,
                "targetLatencyMs": 500,
                "priority": 2,
                "service": SERVICE,
                "maxAttempts": 2,
            },
            "order": {
                "host": "mesh.example",
                "pathPrefix": "/order/",
                "routeType": "unsafe",
                "timeoutMs": 1500,
                "targetLatencyMs": 500,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 2,
            },
            "list": {
                "host": "mesh.example",
                "pathPrefix": "/list/",
                "routeType": "safe",
                "timeoutMs": 1000,
                "targetLatencyMs": 300,
                "priority": 1,
                "service": OTHER_SERVICE,
                "maxAttempts": 2,
            },
        },
        "services": {
            SERVICE: {
                "healthCheckPath": "/health",
                "connectionLimit": 100,
                "coldStartS": 3.0,
                "coldPerS": 30.0,
                "sharded": True,
                "warmupS": 2.0,
            },
            OTHER_SERVICE: {
                "healthCheckPath": "/health",
                "connectionLimit": 100,
                "coldStartS": 3.0,
                "coldPerS": 30.0,
            },
        },
        "limits": {},
    }
    return {**document, **changes}
