"""A node of the mesh: its components, its tasks, its start and its shutdown."""

import uuid
from collections import deque

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError, RefusalError
from knapweedrock.memory.budget import MemoryBudget, create_memory_terms
from knapweedrock.mesh.admission import Admission
from knapweedrock.mesh.boards import create_whole_change
from knapweedrock.mesh.budgets import create_budget_terms
from knapweedrock.mesh.callers import CallerServer
from knapweedrock.mesh.config_watcher import ConfigWatcher
from knapweedrock.mesh.coordinator import Coordinator
from knapweedrock.mesh.definitions import (
    Configuration,
    Limits,
    NodeSettings,
    Service,
)
from knapweedrock.mesh.endpoints import create_servers
from knapweedrock.mesh.gateway import Gateway
from knapweedrock.mesh.holds import Holds
from knapweedrock.mesh.links import Links
from knapweedrock.mesh.load_meter import DECAY_INTERVAL_MS
from knapweedrock.mesh.membership import Membership
from knapweedrock.mesh.messages import (
    Board,
    ChargeQuota,
    CrashReport,
    Done,
    Forward,
    Forwarded,
    Member,
    Publish,
    PublishConfiguration,
    ReadBoard,
    ReadConfiguration,
    ReadCrashes,
    RememberedCrashes,
    Renew,
    Row,
)
from knapweedrock.mesh.metrics import Histograms
from knapweedrock.mesh.notifier import Notifier
from knapweedrock.mesh.request_log import RequestLog
from knapweedrock.mesh.routing import Router
from knapweedrock.mesh.selection import TargetSelector
from knapweedrock.mesh.settings import merge_live_settings
from knapweedrock.mesh.targets import ASSUMED_COLD_MS, Target
from knapweedrock.mesh.tasks import spawn_supervised
from knapweedrock.mesh.transit import TransitDelays
from knapweedrock.platform.heartbeats import count_fitting
from knapweedrock.platform.store import Store
from knapweedrock.quotas.buckets import create_quota_terms
from knapweedrock.quotas.control import QuotaControl

PROBE_INTERVAL_S = 0.3
MAX_RECENT_BOARDS = 16
# A target whose zone is taken out of service still serves its keys for this time, while
# they move to other targets.
ZONE_EVACUATION_MS = 3000
CRASH_TIMEOUT_MS = 500
# Number of members that a node asks for crashes when it starts; some of them may have
# restarted, too.
CRASH_SOURCES = 3
# Requests in flight end this long before `shutdown_ms` has passed, when the process
# would be killed.
KILL_MARGIN_MS = 900
# Time for which a stopping node still accepts connections. Callers switch to another
# node only after they were told twice, a second apart, that this node is stopping.
LEAVE_NOTICE_MS = 2300
STOP_POLL_INTERVAL_S = 0.05
# Time for the last callers to receive their responses.
FINAL_RESPONSES_S = 0.1
# Time for peers to receive the last answers.
FINAL_SEND_TIMEOUT_MS = 300

log = Logger("node")


class Node:
    """A node, which connects its components and runs their tasks."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        links: Links | None = None,
        store: Store | None = None,
        process: str = "",
    ) -> None:
        """Create a node; `links`, `store` and `process` replace its own in a model."""
        self.settings = settings
        self.process = process or uuid.uuid4().hex[:12]
        self.peer = "{}:{}".format(*settings.peer)
        self.counters = Counters()
        self.histograms = Histograms()
        self.request_log = RequestLog(clock, self.counters)
        self.closing = False
        self.board = Board(0, 0, "", {}, {})
        # Boards that the node had, of which other members may have one still.
        self.recent_boards: deque[Board] = deque(maxlen=MAX_RECENT_BOARDS)
        self.clock = clock
        admission = Admission(clock)
        admission.is_known = False
        self.target = Target(settings, clock, admission)
        self.holds = Holds(settings.node_id, settings.max_hold_ms, count_fitting)
        listen_address = settings.peer_listen or settings.peer
        # A restarted VM has another clock, so the sender's name includes the process.
        sender = f"{settings.node_id}/{self.process}"
        loop_lateness = self.histograms.create("loop_late_ms")
        link_mbps = settings.link_mbps
        self.links = links or Links(
            sender, listen_address, clock, self.counters, loop_lateness, link_mbps
        )
        self.transit = TransitDelays(clock)
        self.store = store or Store(settings.store, clock, self.counters)
        self.config_watcher = ConfigWatcher(
            self.store, self._apply_configuration, self._is_watcher, clock
        )
        self.gateway = Gateway(
            self, clock, self.counters, admission, self._report_crash
        )
        self.coordinator = Coordinator(self, self.store, clock, self.counters)
        self.quotas = QuotaControl(
            settings.node_id,
            clock,
            self.counters,
            self.links,
            create_quota_terms(settings),
            self.get_remaining_lease_ms,
        )
        target_selector = TargetSelector(settings.zone, clock, self.links.is_up)
        self.router = Router(self, clock, self.counters, target_selector)
        self.memory = MemoryBudget(
            clock, create_memory_terms(settings.memory_mb, settings.descriptors)
        )
        self.callers = CallerServer(
            settings.caller, self.router.serve, self._get_limits, self.memory
        )
        self.store.eras.listeners.append(self._handle_new_era)
        self._endpoint_servers = create_servers(self)
        self._board_notifier = Notifier()
        self._has_read_crashes = False
        self._was_zone_out = False
        self._zone_out_since_ns = 0
        self._tasks: list[gevent.Greenlet] = []
        self.membership = Membership(self)
        self.links.handlers.update(
            {
                Forward: self._handle_forward,
                Publish: self.membership.handle_publish,
                PublishConfiguration: self._handle_configuration,
                ReadConfiguration: self._answer_configuration,
                ReadBoard: self._answer_board,
                Renew: lambda _sender, message: self.coordinator.renew(message),
                CrashReport: self._handle_crash_report,
                ReadCrashes: self._answer_crashes,
                ChargeQuota: self.quotas.handle_charge,
            }
        )

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, or None before the first one."""
        return self.config_watcher.configuration

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the availability zones whose targets get no requests."""
        return self.config_watcher.zones_out

    def is_zone_evacuated(self) -> bool:
        """Return whether the zone has been out for longer than `ZONE_EVACUATION_MS`."""
        if not self._was_zone_out:
            return False
        out_ms = (self.clock.now_ns() - self._zone_out_since_ns) / NS_PER_MS
        return out_ms > ZONE_EVACUATION_MS

    def is_too_late(self, deadline_ns: int) -> bool:
        """Return whether a request that arrives now may outlast this stopping node."""
        return self.callers.stopped and deadline_ns > self.gateway.shutdown_deadline_ns

    def start(self) -> None:
        """Open the listeners and start the tasks."""
        self.links.start()
        self.request_log.start()
        for server in (*self._endpoint_servers, self.callers):
            server.start()
        self.start_tasks()
        log.info("node started", id=self.settings.node_id, process=self.process)

    def start_tasks(self) -> None:
        """Start the tasks, without the listeners."""
        self.config_watcher.start()
        for run in (self.membership.run, self._run_probes, self._run_load_decay):
            self._tasks.append(spawn_supervised(run))

    def get_rows(self, service: str) -> list[Row]:
        """Return the rows of a service's table, empty if it has none."""
        return self.board.tables.get(service, [])

    def get_own_service(self) -> Service | None:
        """Return the definition of the local target's service, None if unknown."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(self.settings.service)

    def list_members(self, service: str) -> list[Member]:
        """List the members whose targets serve a service."""
        return [m for m in self.board.members.values() if m.service == service]

    def get_remaining_lease_ms(self) -> int:
        """Return the remaining time of the lease in ms, negative after its expiry."""
        return (self.holds.lease_until_ns - self.clock.now_ns()) // NS_PER_MS

    def accept_board(self, board: Board) -> None:
        """Replace the board if the given one is newer."""
        if (board.epoch, board.version) <= (self.board.epoch, self.board.version):
            return
        self.board = board
        self.holds.era = board.era
        self.recent_boards.append(board)
        self.router.budgets.record_member_count(len(board.members))
        self.quotas.set_members(board.members)
        self.coordinator.term.end_if_superseded(board.epoch)
        self._read_crashes()
        own_member = board.members.get(self.settings.node_id)
        if own_member is not None and self.target.restore(own_member):
            gevent.spawn(self.gateway.probe)
        self._board_notifier.notify_all()
        if self.has_moving_rows(self.get_rows(self.settings.service)):
            self.membership.request_renewal()

    def has_moving_rows(self, rows: list[Row]) -> bool:
        """Return whether any of the rows has to move from this node to another one."""
        own_id = self.settings.node_id
        return any(row.next_node and row.node_id == own_id for row in rows)

    def wait_for_board(self, timeout_s: float) -> None:
        """Wait for a newer board or configuration, at most for the given time."""
        self._board_notifier.wait(timeout_s)

    def apply_settings(self, new: NodeSettings) -> None:
        """Apply changed settings, and log the names of those that need a restart."""
        settings, needs_restart = merge_live_settings(self.settings, new)
        if needs_restart:
            log.warning("settings need a restart", names=",".join(needs_restart))
        if settings == self.settings:
            return
        self.settings = settings
        self.store.change_address(settings.store)
        self.target.heartbeat_interval_ms = settings.heartbeat_interval_ms
        self.holds.max_hold_ms = settings.max_hold_ms
        self.router.budgets.configure(create_budget_terms(settings))
        self.quotas.set_terms(create_quota_terms(settings))
        log.info("settings changed", settings=settings._asdict())

    def abort(self) -> None:
        """Stop at once, as a killed process does."""
        self.closing = True
        self.coordinator.term.leading = False
        gevent.killall(self._tasks, block=False)
        self.config_watcher.stop()
        self.links.abort()
        for server in (*self._endpoint_servers, self.callers):
            server.abort()

    def stop(self) -> None:
        """Send callers to other nodes, finish requests in flight, and close."""
        started_ns = self.clock.now_ns()
        self.closing = True
        log.info("node stops", in_flight=self.callers.in_flight)
        gevent.spawn(self.coordinator.resign)
        end_ns = started_ns + ((self.settings.shutdown_ms - KILL_MARGIN_MS) * NS_PER_MS)
        self.gateway.shutdown_deadline_ns = end_ns
        self.callers.closing = True
        gevent.sleep(LEAVE_NOTICE_MS / 1000)
        self.callers.stop()
        while self.clock.now_ns() < end_ns and self.callers.has_requests():
            gevent.sleep(STOP_POLL_INTERVAL_S)
        if self.callers.has_requests():
            self.callers.fail_requests()
            gevent.sleep(FINAL_RESPONSES_S)
        self.gateway.closing = True
        while self.clock.now_ns() < end_ns and self.gateway.in_flight:
            gevent.sleep(STOP_POLL_INTERVAL_S)
        remaining_ms = (end_ns - self.clock.now_ns()) / NS_PER_MS
        self.links.stop(max(remaining_ms, 0) + FINAL_SEND_TIMEOUT_MS)
        log.info("node stopped", id=self.settings.node_id)

    def _is_watcher(self) -> bool:
        return self.coordinator.term.leading or self.membership.is_watcher()

    def _get_limits(self) -> Limits:
        return self.configuration.limits if self.configuration else Limits()

    def _apply_configuration(self) -> None:
        self._board_notifier.notify_all()
        configuration = self.configuration
        if configuration and configuration.workspaces is not None:
            self.quotas.forget_unknown(configuration.workspaces.by_name)
        if configuration and self.settings.service in configuration.services:
            service = configuration.services[self.settings.service]
            self.gateway.http_client.max_connections = service.connection_limit
            self.gateway.admission.cold_rate = service.cold_rate
            if self.target.name and not self.target.confirmed:
                # Without a configuration the health page was not known.
                gevent.spawn(self.gateway.probe)
        is_out = self.settings.zone in self.zones_out
        if is_out and not self._was_zone_out:
            self._zone_out_since_ns = self.clock.now_ns()
        if self._was_zone_out and not is_out:
            # The target may have turned cold while it got no requests.
            self.target.assume_cold(ASSUMED_COLD_MS)
            gevent.spawn(self.gateway.probe)
        self._was_zone_out = is_out

    def _handle_new_era(self) -> None:
        """Read anew what the store has, which has come back from a copy."""
        self.coordinator.term.renew_at_once()
        gevent.spawn(self.config_watcher.restart)

    def _run_load_decay(self) -> None:
        while True:
            gevent.sleep(DECAY_INTERVAL_MS / 1000)
            self.gateway.load_meter.decay()

    def _run_probes(self) -> None:
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            target = self.target
            needs_probe = (
                target.is_heartbeat_late()
                or target.dead_incarnation
                or not target.confirmed
            )
            if target.name and needs_probe:
                self.gateway.probe()

    def _handle_configuration(
        self, _sender: str, message: PublishConfiguration
    ) -> Done:
        self.config_watcher.handle_push(message)
        return Done()

    def _answer_configuration(
        self, _sender: str, _message: ReadConfiguration
    ) -> PublishConfiguration:
        push = self.config_watcher.create_push()
        if push is None:
            raise RefusalError(Code.CONFIG_STALE)
        return push

    def _answer_board(self, _sender: str, _message: ReadBoard) -> Publish:
        return Publish(create_whole_change(self.board))

    def _handle_forward(self, sender: str, message: Forward) -> Forwarded:
        return self.gateway.deliver(self.transit.deduct_delay(sender, message), sender)

    def _handle_crash_report(self, _sender: str, message: CrashReport) -> Done:
        self.gateway.quarantine.record_crash(message.fingerprints)
        return Done()

    def _answer_crashes(self, _sender: str, _message: ReadCrashes) -> RememberedCrashes:
        return RememberedCrashes(self.gateway.quarantine.list_ages_ms())

    def _read_crashes(self) -> None:
        """Ask members, once, for the crashes that this process can't remember."""
        own_id = self.settings.node_id
        peers = [m.peer for n, m in self.board.members.items() if n != own_id]
        if not peers or self._has_read_crashes:
            return
        self._has_read_crashes = True
        for peer in peers[:CRASH_SOURCES]:
            gevent.spawn(self._read_crashes_of, peer)

    def _read_crashes_of(self, peer: str) -> None:
        try:
            answer = self.links.request(peer, ReadCrashes(), CRASH_TIMEOUT_MS)
        except KnapweedrockError as error:
            log.info("crashes not read", peer=peer, reason=error.detail)
            return
        self.gateway.quarantine.add_ages_ms(answer.ages_ms)

    def _report_crash(self, fingerprints: list[str]) -> None:
        message = CrashReport(fingerprints)
        for name, member in self.board.members.items():
            if name != self.settings.node_id:
                gevent.spawn(self._send_crash_report, member.peer, message)

    def _send_crash_report(self, peer: str, message: CrashReport) -> None:
        try:
            self.links.request(peer, message, CRASH_TIMEOUT_MS)
        except KnapweedrockError as error:
            log.info("crash report not delivered", peer=peer, reason=error.detail)
