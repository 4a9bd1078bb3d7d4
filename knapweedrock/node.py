"""The node process: builds its parts, starts them, and leaves in order."""

import signal
import uuid

import gevent
from gevent.event import Event
from logbook import Logger

import knapweedrock.platform.http  # noqa: F401
from knapweedrock.callers.server import create_server as create_caller_server
from knapweedrock.environment import Environment
from knapweedrock.errors import SettingError
from knapweedrock.nodes.coordinator import create_coordinator
from knapweedrock.nodes.delivering import deliver_locally  # noqa: F401
from knapweedrock.nodes.distribution import create_distribution
from knapweedrock.nodes.leases import create_lease
from knapweedrock.nodes.links import create_links
from knapweedrock.nodes.membership import create_membership
from knapweedrock.nodes.voter import create_voter
from knapweedrock.operators.server import create_server as create_operator_server
from knapweedrock.platform.interface import create_platform
from knapweedrock.settings import NodeSettings
from knapweedrock.targets.delivery import create_delivery
from knapweedrock.targets.server import create_server as create_target_server

LEAVE_POLL_MS = 20
STOP_TIMEOUT_MS = 3000

log = Logger("node")


class Node:
    """One node with all its listeners and tasks."""

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.distribution = create_distribution(env)
        self.servers = [
            create_target_server(env),
            create_operator_server(env),
            create_caller_server(env),
        ]
        self.tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Open the listeners and start the tasks."""
        failures = [
            error for error in map(self._open, [self.env.links, *self.servers]) if error
        ]
        if failures:
            raise ExceptionGroup("addresses", failures)
        for run in (
            self.env.membership.run,
            self.env.coordinator.run,
            self.distribution.run,
            self.distribution.run_status,
        ):
            self.tasks.append(gevent.spawn(run))
        log.info("node started id={}", self.env.settings.node_id)

    def leave(self) -> None:
        """Take no new work, hand over the keys, and finish what is in flight."""
        env = self.env
        end_ns = env.clock.now_ns() + env.settings.drain_ms * 1_000_000
        env.membership.leaving = True
        env.coordinator.stop()
        env.membership.wake.set()
        while env.lease.find_owned() and env.clock.now_ns() < end_ns:
            gevent.sleep(LEAVE_POLL_MS / 1000)
        remaining_ms = (end_ns - env.clock.now_ns()) / 1_000_000
        env.delivery.drain(max(remaining_ms, 0))
        log.info("node left id={}", env.settings.node_id)

    def stop(self, timeout_ms: float = 0) -> None:
        """Close everything; answers in flight get the timeout to finish."""
        self.env.coordinator.stopped = True
        for server in reversed(self.servers):
            server.stop(timeout=timeout_ms / 1000)
        gevent.killall(self.tasks, block=False)
        self.env.links.stop()

    def _open(self, server) -> SettingError | None:
        try:
            server.start()
        except OSError as error:
            return SettingError("listen address", str(error), "a free address")
        return None


def create_node(settings: NodeSettings) -> Node:
    """Create a node with all its parts, not started yet."""
    env = Environment(settings, uuid.uuid4().hex[:12])
    env.platform = create_platform(env)
    env.links = create_links(env)
    env.lease = create_lease(env)
    env.voter = create_voter(env)
    env.membership = create_membership(env)
    env.coordinator = create_coordinator(env)
    env.delivery = create_delivery(env)
    return Node(env)


def run_node(settings: NodeSettings) -> None:
    """Run a node until SIGTERM or SIGINT, then leave in order."""
    node = create_node(settings)
    leave = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, leave.set)
    node.start()
    leave.wait()
    node.leave()
    node.stop(STOP_TIMEOUT_MS)
