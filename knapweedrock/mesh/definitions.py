"""Types for input to the mesh: configuration, heartbeats and node settings."""

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from knapweedrock.mesh.routes import RouteIndex
    from knapweedrock.workspaces.definitions import Workspaces


class WeightedService(NamedTuple):
    """A service that receives a share of a route's requests; weights are relative."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for one host below a path prefix are served.

    `weighted_services` lists the services that share the requests. `max_attempts`
    limits how many targets one request may reach. A `priority` of 0 is the most urgent.
    Requests on a `public` route need no credential.
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
    public: bool = False


class Service(NamedTuple):
    """A service and the load limits of its targets.

    `cold_rate` limits a target to this many requests per second for `cold_s` after its
    start; 0 sets no limit. Each key of a `keyed` service has exactly one owner.
    """

    name: str
    health_path: str
    connection_limit: int
    keyed: bool
    cold_s: float
    cold_rate: float
    warmup_s: float


class Limits(NamedTuple):
    """Limits on the size of a caller's request, and time-outs of its connection."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class Configuration(NamedTuple):
    """One version of all that operators configure.

    `route_index` contains `routes`. Requests need no credentials if `workspaces` is
    None.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    route_index: "RouteIndex"
    workspaces: "Workspaces | None" = None


class HeldRange(NamedTuple):
    """Keys from `start` to `end`, both inclusive, held under a fencing token."""

    start: int
    end: int
    token: int


class ReleasedRange(NamedTuple):
    """Keys that a target has released; `handover` lets their next owner warm up."""

    start: int
    end: int
    handover: str


class SelfReport(NamedTuple):
    """State of a target, from the headers of its response.

    `limit` is in requests per second from all nodes together, None if the target sets
    no limit. `cold_ms` is how long the target stays cold; only its health page reports
    it. `is_readable` is False if a header could not be parsed, and `is_limit_known` is
    False if that header was the limit.
    """

    limit: float | None = None
    leaving: bool = False
    cold_ms: float = 0.0
    is_readable: bool = True
    is_limit_known: bool = True


class Heartbeat(NamedTuple):
    """Heartbeat of a target.

    `target` identifies the target incarnation; `instance` is the id that the target
    checks on requests. `cold_ms` is how long the target stays cold. `lists_keys` says
    whether the heartbeat lists held and released keys, even if these lists are empty.
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
    lists_keys: bool = True


class Grant(NamedTuple):
    """Keys that a target may hold, with the handover of their previous holder."""

    start: int
    end: int
    token: int
    handover: str


class HeartbeatReply(NamedTuple):
    """Reply to a heartbeat; if `grants` is None, the target's holds stay unchanged."""

    grants: tuple[Grant, ...] | None
    hold_ms: int


class NodeSettings(NamedTuple):
    """Validated settings of a node of the mesh.

    `target` is the address of the local target, `service` the target's service.
    Peers dial `peer`; the node listens there, or on `peer_listen` if that is set.
    Retries are limited in each window of `retry_window_s`. In each window of
    `quota_window_s` the requests of a workspace may exceed its quota by the share
    `quota_overage` and by `quota_slack` requests.
    `cores` is the processor capacity of the node, in cores. `link_mbps` is the network
    bandwidth of its VM, in Mbit/s; 0 means unknown. `memory_mb` and `descriptors` limit
    the process; 0 sets no limit.
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
    retry_window_s: float = 10.0
    quota_window_s: float = 5.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    peer_listen: tuple[str, int] | None = None
    cores: float = 1.0
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    descriptors: int = 0
