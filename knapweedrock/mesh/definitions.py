"""What the mesh is told from outside: configuration, heartbeats, settings."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service that gets a share of a route's requests; weights are relative."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests of one host below a path prefix are served.

    `parts` lists the services that share the requests; `max_attempts` bounds the
    targets that one request may reach; a `priority` of 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int


class Service(NamedTuple):
    """A service and what its targets bear.

    `cold_rate` is in requests a second and bounds a target for `cold_s` after its
    start; 0 sets no bound. Keys of a `keyed` service have one owner each.
    """

    name: str
    health_path: str
    connection_limit: int
    keyed: bool
    cold_s: float
    cold_rate: float
    warmup_s: float


class Limits(NamedTuple):
    """Bounds on what a caller may send and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class Configuration(NamedTuple):
    """Everything that operators configure, in one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits


class HeldRange(NamedTuple):
    """Keys from `start` to `end`, both included, under a fencing token."""

    start: int
    end: int
    token: int


class ReleasedRange(NamedTuple):
    """Keys that a target has let go, with the mark that warms up their next owner."""

    start: int
    end: int
    handover: str


class SelfReport(NamedTuple):
    """What a target says of itself in an answer.

    `limit` is in requests a second from all nodes together, None where it names none.
    `cold_ms` is how long it stays cold, told on its health page only. `is_readable` is
    unset where a value could not be read, `tells_limit` where it is that of the limit,
    which is not known then.
    """

    limit: float | None = None
    leaving: bool = False
    cold_ms: float = 0.0
    is_readable: bool = True
    is_limit_known: bool = True


class Heartbeat(NamedTuple):
    """What a target says of itself.

    `target` identifies the target and its start; `instance` is the id that the
    target checks on requests. `cold_ms` is how long it stays cold.
    """

    target: str
    instance: str
    service: str
    zone: str
    address: str
    slots: int
    draining: bool
    sequence: int
    cold_ms: float
    held: tuple[HeldRange, ...]
    released: tuple[ReleasedRange, ...]


class Grant(NamedTuple):
    """Keys that a target may hold, with the mark of their last holder."""

    start: int
    end: int
    token: int
    handover: str


class HeartbeatReply(NamedTuple):
    """Answer to a heartbeat; without grants the target's holds run on unchanged."""

    grants: tuple[Grant, ...] | None
    hold_ms: int


class NodeSettings(NamedTuple):
    """Checked settings of a node of the mesh.

    `target` is the address of the target beside it, `service` the target's service.
    Peers dial `peer`; the node listens there, or on `peer_listen` where that is set.
    `cores` is the processor that it has, in cores, `link_mbps` the bandwidth of its
    VM, in Mbit/s; 0 is not known.
    """

    node_id: str
    zone: str
    service: str
    target: tuple[str, int] | None
    caller: tuple[str, int]
    heartbeat: tuple[str, int]
    ready: tuple[str, int]
    peer: tuple[str, int]
    metrics: tuple[str, int]
    store: tuple[str, int]
    heartbeat_interval_ms: int
    max_hold_ms: int
    shutdown_ms: int
    retry_ratio: float
    retry_slack: float
    peer_listen: tuple[str, int] | None = None
    cores: float = 1.0
    link_mbps: float = 0.0
