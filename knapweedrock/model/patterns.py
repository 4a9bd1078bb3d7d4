"""Load patterns: services, kinds of requests, and events that disturb them.

Patterns are registered by name; a pattern's events are functions of the running mesh.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from knapweedrock.model.mesh import ModelMesh

MAX_ATTEMPTS = 3


class ServiceSpec(NamedTuple):
    """A service and its targets, whose speeds are assigned in turn."""

    name: str
    keyed: bool
    target_count: int
    slots: int
    speeds: tuple[float, ...] = (1.0,)
    cold_rate: float = 0.0


class Kind(NamedTuple):
    """A kind of request; `calls` lists kinds with the mean calls of one execution.

    Callers send `rate_per_s`, and send again once after a refusal.
    """

    name: str
    service: str
    rate_per_s: float
    work_ms: float
    objective_ms: float
    deadline_ms: float
    idempotent: bool = True
    priority: int = 1
    calls: tuple[tuple[str, float], ...] = ()


class Event(NamedTuple):
    """A disturbance that begins `at_s` after the start of the load."""

    at_s: float
    disturb: Callable[["ModelMesh"], None]


class Pattern(NamedTuple):
    """A load on some services with its events.

    The first `strong_vms` have more processor time and faster links; `link_mbps` of 0
    means that links have no limit.
    """

    services: tuple[ServiceSpec, ...]
    kinds: tuple[Kind, ...]
    length_s: float
    events: tuple[Event, ...] = ()
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    link_mbps: float = 0.0
    strong_vms: int = 0


PATTERNS: dict[str, Callable[[], Pattern]] = {}


def pattern(create: Callable[[], Pattern]) -> Callable[[], Pattern]:
    """Register a pattern under the name of the function that creates it."""
    PATTERNS[create.__name__.removeprefix("create_").replace("_", "-")] = create
    return create


SEARCHES = ServiceSpec("search", True, 5, 6, (0.6, 1.0, 1.0, 1.4))
BOOKINGS = ServiceSpec("booking", False, 4, 6, (0.7, 1.0, 1.3))
READ = Kind("read", "search", 120.0, 120.0, 400.0, 1000.0, True, 2)
ORDER = Kind("order", "booking", 50.0, 100.0, 400.0, 1000.0, False, 1)

# A mesh of which most VMs have narrow links.
NARROW_LINK_MBPS = 5.0
MANY_SEARCHES = SEARCHES._replace(target_count=46)
MANY_BOOKINGS = BOOKINGS._replace(target_count=14)


@pattern
def create_calm() -> Pattern:
    """Create a load that fits, with targets of different speeds."""
    return Pattern((SEARCHES, BOOKINGS), (READ, ORDER), 10.0)


@pattern
def create_refusing_targets() -> Pattern:
    """Create a load whose targets refuse half of the requests for a while."""

    def start(mesh: "ModelMesh") -> None:
        mesh.set_shed_share("search", 0.55)

    def end(mesh: "ModelMesh") -> None:
        mesh.set_shed_share("search", 0.0)

    events = (Event(3.0, start), Event(9.0, end))
    return Pattern((SEARCHES, BOOKINGS), (READ, ORDER), 11.0, events)


@pattern
def create_restart_of_all_nodes() -> Pattern:
    """Create a load during which all nodes restart at once, and their targets don't."""

    def kill_all(mesh: "ModelMesh") -> None:
        mesh.restart_nodes(list(mesh.vms), 0.7)

    events = (Event(3.0, kill_all),)
    return Pattern((SEARCHES, BOOKINGS), (READ, ORDER), 9.0, events)


@pattern
def create_loss_of_power() -> Pattern:
    """Create a load during which all VMs lose power, and their targets return cold.

    The targets' cold rates are above the load.
    """

    def cut_power(mesh: "ModelMesh") -> None:
        mesh.cut_power(1.0)

    searches = MANY_SEARCHES._replace(target_count=24, cold_rate=10.0)
    bookings = MANY_BOOKINGS._replace(target_count=10, cold_rate=10.0)
    events = (Event(3.0, cut_power),)
    return Pattern((searches, bookings), (READ, ORDER), 9.0, events)


@pattern
def create_restart_beside_a_slow_store() -> Pattern:
    """Create a load during which the coordinator and most others restart.

    The store answers slowly meanwhile.
    """

    def slow_down(mesh: "ModelMesh") -> None:
        mesh.set_store_delay(25.0)

    def kill_most(mesh: "ModelMesh") -> None:
        coordinator = mesh.find_coordinator()
        others = [name for name in mesh.vms if name != coordinator]
        mesh.restart_nodes([coordinator, *others[: len(others) * 3 // 5]], 0.7)

    events = (Event(3.0, slow_down), Event(3.2, kill_most))
    return Pattern((SEARCHES, BOOKINGS), (READ, ORDER), 9.0, events)


@pattern
def create_store_outage_beside_narrow_links() -> Pattern:
    """Create a load during which the store is away for almost as long as leases last.

    The VMs of most nodes have narrow links.
    """

    def silence(mesh: "ModelMesh") -> None:
        mesh.set_store_silent(True)

    def end(mesh: "ModelMesh") -> None:
        mesh.set_store_silent(False)

    return Pattern(
        (MANY_SEARCHES, MANY_BOOKINGS),
        (READ, ORDER),
        14.0,
        (Event(2.0, silence), Event(10.0, end)),
        link_mbps=NARROW_LINK_MBPS,
        strong_vms=3,
    )


@pattern
def create_hot_keys() -> Pattern:
    """Create a load of which a third is suddenly for some neighbouring keys."""

    def heat_up(mesh: "ModelMesh") -> None:
        mesh.set_hot_keys(0.35, 200)

    def heat_up_elsewhere(mesh: "ModelMesh") -> None:
        mesh.set_hot_keys(0.4, 60)

    events = (Event(2.0, heat_up), Event(7.0, heat_up_elsewhere))
    return Pattern((SEARCHES, BOOKINGS), (READ, ORDER), 12.0, events)


@pattern
def create_loss_of_vms() -> Pattern:
    """Create a load during which two VMs with keys are lost without a word."""

    def lose(mesh: "ModelMesh") -> None:
        mesh.lose_vms("search", 2)

    events = (Event(3.0, lose),)
    return Pattern((SEARCHES, BOOKINGS), (READ, ORDER), 12.0, events)


@pattern
def create_full_called_service() -> Pattern:
    """Create a load in which the calls of executions meet a full service."""
    read = READ._replace(rate_per_s=100.0, calls=(("lookup", 0.5),))
    lookup = Kind("lookup", "booking", 0.0, 30.0, 120.0, 400.0, True, 1)
    order = ORDER._replace(rate_per_s=240.0)
    return Pattern((SEARCHES, BOOKINGS), (read, order, lookup), 10.0)
