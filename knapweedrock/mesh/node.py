"""A node of the mesh: its parts, its tasks, and how it starts and stops."""

import signal
import uuid
from pathlib import Path

import gevent
from gevent.event import Event
from logbook import Logger
from logbook.concurrency import enable_gevent

from knapweedrock.clock import NS_PER_MS, Clock, create_clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError, PlatformError, RefusalError
from knapweedrock.mesh.admission import Admission
from knapweedrock.mesh.boards import apply_change
from knapweedrock.mesh.callers import CallerServer, Reply
from knapweedrock.mesh.choice import Chooser
from knapweedrock.mesh.coordinator import LEADER_NAME, TERM_MS, Coordinator
from knapweedrock.mesh.decisions import Decisions
from knapweedrock.mesh.definitions import (
    Configuration,
    Heartbeat,
    Limits,
    NodeSettings,
)
from knapweedrock.mesh.following import Follower
from knapweedrock.mesh.gateway import Gateway
from knapweedrock.mesh.holds import Holds
from knapweedrock.mesh.http import Request
from knapweedrock.mesh.links import Links
from knapweedrock.mesh.loads import INTERVAL_MS
from knapweedrock.mesh.messages import (
    Board,
    BoardChange,
    Crashed,
    Forward,
    Member,
    Publish,
    PublishConfiguration,
    Published,
    Renew,
    Row,
)
from knapweedrock.mesh.metrics import CONTENT_TYPE, Histograms, render_metrics
from knapweedrock.mesh.output import create_output
from knapweedrock.mesh.ownership import find_cuts
from knapweedrock.mesh.routing import Router
from knapweedrock.mesh.settings import read_settings
from knapweedrock.mesh.targets import ASSUMED_COLD_MS, Target
from knapweedrock.nodes.messages import Done
from knapweedrock.platform.documents import LEADER_KIND
from knapweedrock.platform.heartbeats import Leave, decode_message, encode_reply
from knapweedrock.platform.store import Store, Stored

RENEW_S = 0.4
RENEW_TIMEOUT_MS = 400
RENEW_RETRY_S = 0.1
LOST_MS = 600
READ_LOCK_MS = 700
TERM_DRIFT = 1.03
TERM_GRACE_MS = 400
FIRST_READ_SPREAD_S = 0.3
DRAIN_REPORT_S = 0.4
PROBE_S = 0.3
# A target in a zone that is taken out serves its keys this long, while they move.
ZONE_CLOSE_MS = 3000
LOAD_PARTS = 8
CRASH_TIMEOUT_MS = 500
# Ends the node this long before it would be killed.
SHUTDOWN_MARGIN_MS = 900
# Callers are sent elsewhere only after they were told twice, a second apart.
LEAVE_MS = 2300
STOP_POLL_S = 0.05

log = Logger("node")


class Node:
    """One node with all its parts."""

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self.settings = settings
        self.process = uuid.uuid4().hex[:12]
        self.peer = "{}:{}".format(*settings.peer)
        self.counters = Counters()
        self.histograms = Histograms()
        self.decisions = Decisions(clock, self.counters)
        self.closing = False
        self.board = Board(0, 0, "", {}, {})
        self.clock = clock
        admission = Admission(clock)
        self.target = Target(settings, clock, admission)
        self.holds = Holds(settings.node_id, settings.max_hold_ms)
        self.links = Links(settings.node_id, settings.peer, clock, self.counters)
        self.store = Store(settings.store, clock, self.counters)
        self.follower = Follower(self.store, self._note_configuration)
        self.gateway = Gateway(self, clock, self.counters, admission, self._tell_crash)
        self.coordinator = Coordinator(self, self.store, clock, self.counters)
        chooser = Chooser(settings.zone, clock, self.links.is_up)
        self.router = Router(self, clock, self.counters, chooser)
        self.callers = CallerServer(
            settings.caller, self.router.serve, self._find_limits
        )
        self._pages = [
            CallerServer(settings.heartbeat, self._answer_target, Limits),
            CallerServer(settings.ready, self._answer_ready, Limits),
            CallerServer(settings.metrics, self._answer_metrics, Limits),
        ]
        self._board_news = Event()
        self._report = Event()
        self._reported = Event()
        self._was_out = False
        self._out_since_ns = 0
        self._tasks: list[gevent.Greenlet] = []
        self._leader = ""
        self._lock: Stored | None = None
        self._lock_seen_ns = 0
        self._lock_read_ns = 0
        self._renewed_ns = clock.now_ns()
        self.links.handlers.update(
            {
                Forward: lambda _sender, message: self.gateway.deliver(message),
                Publish: self._take_published,
                PublishConfiguration: self._take_configuration,
                Renew: lambda _sender, message: self.coordinator.renew(message),
                Crashed: self._take_crashed,
            }
        )

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, None before the first one."""
        return self.follower.configuration

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the availability zones whose targets get nothing."""
        return self.follower.zones_out

    def is_zone_closed(self) -> bool:
        """Tell whether the zone is out for so long that its keys must have moved."""
        if not self._was_out:
            return False
        out_ms = (self.clock.now_ns() - self._out_since_ns) / NS_PER_MS
        return out_ms > ZONE_CLOSE_MS

    def start(self) -> None:
        """Open the listeners and start the tasks."""
        self.links.start()
        self.decisions.start()
        for server in (*self._pages, self.callers):
            server.start()
        self.follower.start()
        for run in (self._run_renewals, self._run_probes, self._run_loads):
            self._tasks.append(gevent.spawn(run))
        log.info("node started", id=self.settings.node_id, process=self.process)

    def find_rows(self, service: str) -> list[Row]:
        """Return the rows of a service's keys."""
        return self.board.tables.get(service, [])

    def list_members(self, service: str) -> list[Member]:
        """List the members whose targets serve a service."""
        return [m for m in self.board.members.values() if m.service == service]

    def get_lease_ms(self) -> int:
        """Return what is left of this node's lease; below 0 where it has lapsed."""
        return (self.holds.lease_until_ns - self.clock.now_ns()) // NS_PER_MS

    def take_board(self, board: Board) -> None:
        """Take a newer board."""
        if (board.epoch, board.version) <= (self.board.epoch, self.board.version):
            return
        self.board = board
        own = board.members.get(self.settings.node_id)
        if own is not None and self.target.adopt(own):
            gevent.spawn(self.gateway.probe)
        news, self._board_news = self._board_news, Event()
        news.set()
        if any(
            row.next_node and row.node_id == self.settings.node_id
            for row in self.find_rows(self.settings.service)
        ):
            self._report.set()

    def wait_board(self, timeout_s: float) -> None:
        """Wait for a newer board."""
        self._board_news.wait(timeout_s)

    def report_soon(self) -> Event:
        """Report to the coordinator at once; the event is set when it has answered."""
        if self._reported.is_set():
            self._reported = Event()
        self._report.set()
        return self._reported

    def abort(self) -> None:
        """End at once, as a killed process does."""
        self.closing = True
        self.coordinator.leading = False
        gevent.killall(self._tasks, block=False)
        self.follower.stop()
        self.links.abort()
        for server in (*self._pages, self.callers):
            server.abort()

    def stop(self) -> None:
        """Send callers elsewhere, finish what is in flight, and close."""
        began_ns = self.clock.now_ns()
        self.closing = True
        log.info("node stops", in_flight=self.callers.in_flight)
        gevent.spawn(self.coordinator.resign)
        end_ns = began_ns + (
            (self.settings.shutdown_ms - SHUTDOWN_MARGIN_MS) * NS_PER_MS
        )
        self.callers.closing = True
        gevent.sleep(LEAVE_MS / 1000)
        self.callers.stop()
        while self.clock.now_ns() < end_ns and self._is_busy():
            gevent.sleep(STOP_POLL_S)
        self.gateway.closing = True
        while self.clock.now_ns() < end_ns and self.gateway.in_flight:
            gevent.sleep(STOP_POLL_S)
        self.links.stop()
        log.info("node stopped", id=self.settings.node_id)

    def _is_busy(self) -> bool:
        return self.callers.in_flight > 0

    def _find_limits(self) -> Limits:
        return self.configuration.limits if self.configuration else Limits()

    def _note_configuration(self) -> None:
        self._board_news.set()
        self._board_news = Event()
        configuration = self.configuration
        if configuration and self.settings.service in configuration.services:
            service = configuration.services[self.settings.service]
            self.gateway.exchanges.limit = service.connection_limit
            self.gateway.admission.cold_rate = service.cold_rate
        is_out = self.settings.zone in self.zones_out
        if is_out and not self._was_out:
            self._out_since_ns = self.clock.now_ns()
        if self._was_out and not is_out:
            # Its targets may have turned cold while they got nothing.
            self.target.assume_cold(ASSUMED_COLD_MS)
            gevent.spawn(self.gateway.probe)
        self._was_out = is_out

    def _answer_ready(self, request: Request, _address: str) -> Reply:
        is_ready = (
            not self.closing
            and self.configuration is not None
            and bool(self.board.members)
        )
        return Reply(200 if is_ready else 503, [], b"")

    def _answer_metrics(self, request: Request, _address: str) -> Reply:
        self._set_gauges()
        body = render_metrics(self.counters, self.histograms).encode()
        return Reply(200, [("Content-Type", CONTENT_TYPE)], body)

    def _set_gauges(self) -> None:
        admission, counters = self.gateway.admission, self.counters
        configuration = self.configuration
        counters.gauge("in_flight", admission.in_flight)
        counters.gauge("waiting", admission.waiting)
        counters.gauge("lease_ms", self.get_lease_ms())
        counters.gauge("rows_granted", len(self.holds.granted.rows))
        counters.gauge("board_epoch", self.board.epoch)
        counters.gauge("board_version", self.board.version)
        counters.gauge("coordinating", int(self.coordinator.has_authority()))
        counters.gauge(
            "configuration_version", configuration.version if configuration else 0
        )

    def _answer_target(self, request: Request, _address: str) -> Reply:
        try:
            message = decode_message(request.target, request.body)
            if isinstance(message, Leave):
                self.target.leave(message.target)
                self.report_soon().wait(DRAIN_REPORT_S)
                body = b"{}"
            else:
                body = self._take_heartbeat(message)
        except RefusalError as error:
            self.counters.count("heartbeats_refused")
            log.warning("heartbeat refused", reason=error.detail)
            return Reply(error.info.http_status, [], b"")
        return Reply(200, [("Content-Type", "application/json")], body)

    def _take_heartbeat(self, heartbeat: Heartbeat) -> bytes:
        """Take a heartbeat and grant its sender what it may hold."""
        address = self.settings.target
        if heartbeat.service != self.settings.service or (
            address and heartbeat.address != "{}:{}".format(*address)
        ):
            raise RefusalError(Code.BAD_ANNOUNCEMENT, "not the target beside this node")
        before = self._describe()
        is_news = self.target.take(heartbeat)
        if not is_news:
            return b"{}"
        if self.target.dead:
            gevent.spawn(self.gateway.probe)
        rows = self.find_rows(heartbeat.service)
        reply = self.holds.reply(heartbeat, rows, self.clock.now_ns())
        if self._describe() != before or heartbeat.released or self._has_marked(rows):
            reported = self.report_soon()
            if heartbeat.draining and before.state != "draining":
                reported.wait(DRAIN_REPORT_S)
        return encode_reply(reply)

    def _has_marked(self, rows: list[Row]) -> bool:
        own = self.settings.node_id
        return any(row.next_node and row.node_id == own for row in rows)

    def _describe(self) -> Member:
        return self.target.describe(self.settings.node_id, self.process, self.peer)

    def _run_renewals(self) -> None:
        gevent.sleep(FIRST_READ_SPREAD_S * (int(self.process, 16) % 100) / 100)
        while True:
            try:
                is_renewed = self._renew()
            except PlatformError as error:
                log.warning("coordinator not found", reason=error.detail)
                is_renewed = False
            self._report.wait(RENEW_S if is_renewed else RENEW_RETRY_S)
            self._report.clear()

    def _renew(self) -> bool:
        """Renew the lease; where no coordinator answers, look for one."""
        sent_ns = self.clock.now_ns()
        rows = self.find_rows(self.settings.service)
        unheld = self.holds.give_up_unheld(rows, self.target.dead, sent_ns)
        released, self.holds.released = self.holds.released, []
        reported = self._reported
        request = Renew(
            self._describe(),
            self.board.epoch,
            self.board.version,
            self.configuration.version if self.configuration else 0,
            self.follower.zones_revision,
            [tuple(item) for item in released],
            [(row.start, row.end, row.token) for row in unheld],
            self._measure_loads(rows),
            round(self.gateway.admission.get_busy(), 2),
            self.target.get_age_ms(),
        )
        try:
            if self.coordinator.has_authority():
                answer = self.coordinator.renew(request)
            else:
                leader = self._leader or self.board.coordinator
                if not leader or leader == self.peer:
                    raise RefusalError(Code.NO_MAJORITY, "no coordinator is known")
                answer = self.links.request(leader, request, RENEW_TIMEOUT_MS)
        except KnapweedrockError as error:
            self.holds.released = released + self.holds.released
            self._look_for_leader(error)
            return False
        self._renewed_ns = self.clock.now_ns()
        self.holds.extend_lease(sent_ns, answer.lease_ms)
        if answer.change is not None:
            self._take_change(answer.change)
        reported.set()
        return True

    def _look_for_leader(self, error: KnapweedrockError) -> None:
        """Read who coordinates, and claim the right where nobody renews it."""
        now_ns = self.clock.now_ns()
        if self.closing or now_ns - self._lock_read_ns < READ_LOCK_MS * NS_PER_MS:
            return
        is_known = bool(self._leader or self.board.coordinator)
        if is_known and now_ns - self._renewed_ns < LOST_MS * NS_PER_MS:
            return
        self._lock_read_ns = now_ns
        lock = self.store.get(LEADER_KIND, LEADER_NAME)
        if lock is None or self._may_claim(lock):
            log.info("claims coordination", reason=error.detail)
            if self.coordinator.claim(lock):
                self._leader = ""
                return
            lock = self.store.get(LEADER_KIND, LEADER_NAME)
        if lock is not None:
            self._leader = lock.value["peer"]

    def _may_claim(self, lock: Stored) -> bool:
        now_ns = self.clock.now_ns()
        if self._lock is None or lock.revision != self._lock.revision:
            self._lock = lock
            self._lock_seen_ns = now_ns
        if lock.value["released"] or lock.value["node"] == self.settings.node_id:
            return True
        seen_ms = (now_ns - self._lock_seen_ns) / NS_PER_MS
        return seen_ms > TERM_MS * TERM_DRIFT + TERM_GRACE_MS

    def _measure_loads(self, rows: list[Row]) -> list:
        own = self.settings.node_id
        key_ms = self.gateway.loads.measure()
        return [
            find_cuts(key_ms, row.start, row.end, LOAD_PARTS)
            for row in rows
            if row.node_id == own
        ]

    def _run_loads(self) -> None:
        while True:
            gevent.sleep(INTERVAL_MS / 1000)
            self.gateway.loads.decay()

    def _run_probes(self) -> None:
        while True:
            gevent.sleep(PROBE_S)
            target = self.target
            if target.name and (target.is_late() or target.dead):
                self.gateway.probe()

    def _take_published(self, _sender: str, message: Publish) -> Published:
        if message.change.epoch >= self.board.epoch:
            self._leader = ""
        self._take_change(message.change)
        return Published(self.board.epoch, self.board.version)

    def _take_change(self, change: BoardChange) -> None:
        board = apply_change(self.board, change)
        if board is not None:
            self.take_board(board)

    def _take_configuration(self, _sender: str, message: PublishConfiguration) -> Done:
        self.follower.take_pushed(message)
        return Done()

    def _take_crashed(self, _sender: str, message: Crashed) -> Done:
        self.gateway.suspects.count_crash(message.fingerprints)
        return Done()

    def _tell_crash(self, fingerprints: list[str]) -> None:
        message = Crashed(fingerprints)
        for name, member in self.board.members.items():
            if name != self.settings.node_id:
                gevent.spawn(self._tell, member.peer, message)

    def _tell(self, peer: str, message: Crashed) -> None:
        try:
            self.links.request(peer, message, CRASH_TIMEOUT_MS)
        except KnapweedrockError as error:
            log.info("crash not told", peer=peer, reason=error.detail)


def create_node(settings: NodeSettings) -> Node:
    """Create a node with all its parts, not started yet."""
    return Node(settings, create_clock())


def run_node(path: Path) -> None:
    """Run a node until SIGTERM or SIGINT, then stop in order."""
    settings = read_settings(path)
    enable_gevent()
    output = create_output(settings.node_id)
    with output.applicationbound():
        node = create_node(settings)
        leave = Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, leave.set)
        gevent.signal_handler(signal.SIGHUP, reload_settings, node, path)
        node.start()
        leave.wait()
        node.stop()
    output.flush_now()


def reload_settings(node: Node, path: Path) -> None:
    """Check the settings anew; wrong ones are reported and the old ones kept."""
    try:
        found = read_settings(path)
    except ExceptionGroup as group:
        for error in group.exceptions:
            log.error("settings not taken", reason=error)
        return
    log.info("settings read anew", changed=found != node.settings)
    node.settings = found
