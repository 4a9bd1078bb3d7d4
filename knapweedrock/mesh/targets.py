"""State of the local target: identity, readiness, heartbeats and reported limit.

An incarnation is one run of the target's process. Its name is `id@start time in ms`.
"""

from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.codes import Code
from knapweedrock.mesh.admission import Admission
from knapweedrock.mesh.definitions import Heartbeat, NodeSettings, SelfReport
from knapweedrock.mesh.messages import Member

# A node probes its target after this many heartbeat intervals without a heartbeat.
LATE_HEARTBEAT_INTERVALS = 1.7
# A target is assumed to be cold for this long if nothing is known about it.
ASSUMED_COLD_MS = 3000
# Changes of the limit up to this share of it are neither logged nor sent to peers.
LIMIT_TOLERANCE = 0.2

# Start time in the name of an incarnation that did not report its start time.
UNKNOWN_START_MS = 0

log = Logger("target")


class Target:
    """State of the target beside this node."""

    def __init__(
        self, settings: NodeSettings, clock: Clock, admission: Admission
    ) -> None:
        self.name = ""
        self.instance = ""
        self.draining = False
        self.silent = False
        # False while a restarted node can't tell whether its target is leaving: the
        # target may have announced it only in responses to the previous node process.
        self.confirmed = True
        # True until the health page answers, if heartbeats alone can't confirm that the
        # target stays.
        self.needs_health_check = False
        self.dead_incarnation = ""
        self.slots = 0
        self.last_heartbeat_ns = 0
        # Limit of the target, in requests per second; None if it sets no limit.
        self.limit: float | None = None
        # False once a malformed header was logged for this incarnation.
        self._logs_unreadable = True
        self._published_limit: float | None = None
        # Time at which the head of the latest response with a report arrived.
        self._last_report_ns = 0
        self.heartbeat_interval_ms = settings.heartbeat_interval_ms
        self._settings = settings
        self._clock = clock
        self._admission = admission
        self._sequence = -1
        self._ended_incarnations: set[str] = set()
        # Incarnations that announced that they leave for good.
        self._leaving_incarnations: set[str] = set()

    def restore(self, member: Member) -> bool:
        """Restore the target's state from the mesh after a restart of the node.

        Returns whether the target was unknown to this process before.
        """
        if not member.target:
            return False
        if self.name:
            self._restore_reports(member)
            return False
        self.name, self.instance = member.target, member.instance
        self._restore_reports(member)
        self.confirmed = False
        self._set_slots(member.slots)
        self.assume_cold(ASSUMED_COLD_MS)
        log.info("target known from peers", target=self.name)
        return True

    def _restore_reports(self, member: Member) -> None:
        """Restore the reports that the previous node process received in responses."""
        if member.target != self.name:
            return
        if member.state == "draining" or self.name in self._leaving_incarnations:
            self.draining = True
        if not self._last_report_ns and member.limit is not None:
            self._set_limit(member.limit)
        self._admission.is_known = True

    def is_usable(self) -> bool:
        """Return whether the target may receive requests."""
        if not self.name or not self.confirmed:
            return False
        return not (self.draining or self.silent or self.dead_incarnation)

    def get_heartbeat_age_ms(self) -> int:
        """Return the time since the latest heartbeat."""
        return (self._clock.now_ns() - self.last_heartbeat_ns) // NS_PER_MS

    def compute_heartbeat_due_ms(self) -> float:
        """Return the time until the next heartbeat is due, below 0 if it is late."""
        return self.heartbeat_interval_ms - self.get_heartbeat_age_ms()

    def is_heartbeat_late(self) -> bool:
        """Return whether a heartbeat is overdue."""
        limit_ms = LATE_HEARTBEAT_INTERVALS * self.heartbeat_interval_ms
        return self.get_heartbeat_age_ms() > limit_ms

    def would_supersede(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat would end an incarnation that may be up.

        A target that starts again under its id is told apart by its start time alone.
        """
        if not self.name or self.dead_incarnation:
            return False
        return (
            heartbeat.instance != self.instance
            and heartbeat.target not in self._ended_incarnations
            and self._is_later(heartbeat.target)
        )

    def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return False if it is stale.

        A heartbeat is stale if it is from an earlier incarnation or out of order.
        """
        if heartbeat.target in self._ended_incarnations:
            return False
        is_first = not self.name
        if heartbeat.target != self.name:
            if self.name and not self._is_later(heartbeat.target):
                return False
            self._begin_incarnation(heartbeat)
        elif heartbeat.sequence <= self._sequence:
            return False
        self._sequence = heartbeat.sequence
        self.last_heartbeat_ns = self._clock.now_ns()
        self.silent = False
        self.needs_health_check = self.needs_health_check or is_first
        self.confirmed = not self.needs_health_check
        if heartbeat.draining:
            self._begin_draining()
        self._set_slots(heartbeat.slots)
        self.set_cold(heartbeat.cold_ms)
        return True

    def handle_report(self, name: str, report: SelfReport, received_ns: int) -> bool:
        """Apply the report in a response of the incarnation `name`.

        `received_ns` is when the head of the response arrived; responses may end out of
        order. Returns whether peers should be notified without waiting for the next
        report.
        """
        if name != self.name:
            return False
        was_usable, was_limited = self.is_usable(), self._published_limit is not None
        if report.leaving:
            self._begin_draining()
        if received_ns >= self._last_report_ns:
            self._apply_report(report, received_ns)
        is_limited = self._published_limit is not None
        return (was_usable and self.draining) or is_limited != was_limited

    def _apply_report(self, report: SelfReport, received_ns: int) -> None:
        self._last_report_ns = received_ns
        self._admission.is_known = True
        if not report.is_readable:
            self._log_unreadable()
        if report.is_limit_known:
            self._set_limit(report.limit)

    def _set_limit(self, limit: float | None) -> None:
        self.limit = limit
        self._admission.set_limit(limit)
        self._publish_limit()

    def _publish_limit(self) -> None:
        if is_same_limit(self.limit, self._published_limit):
            return
        self._published_limit = self.limit
        if self.limit is None:
            log.info("target names no limit", target=self.name)
        else:
            log.info("target names a limit", target=self.name, per_s=self.limit)

    def _log_unreadable(self) -> None:
        if self._logs_unreadable:
            self._logs_unreadable = False
            log.warning("target's headers not readable", target=self.name)

    def set_cold(self, cold_ms: float) -> None:
        """Set how long the target stays cold from now on."""
        until_ns = self._clock.now_ns() + int(cold_ms * NS_PER_MS)
        self._admission.cold_until_ns = until_ns

    def assume_cold(self, cold_ms: float) -> None:
        """Treat the target as cold for at least this long, until it reports a time."""
        until_ns = self._clock.now_ns() + int(cold_ms * NS_PER_MS)
        if until_ns > self._admission.cold_until_ns:
            self._admission.cold_until_ns = until_ns

    def handle_leave(self, name: str) -> None:
        """Record that an incarnation of the target leaves for good.

        The incarnation may be unknown to this process, or an earlier one.
        """
        self._leaving_incarnations.add(name)
        if name in (self.name, f"{self.instance}@{UNKNOWN_START_MS}"):
            self._begin_draining()

    def _begin_draining(self) -> None:
        if not self.draining:
            log.info("target leaves", target=self.name)
            self.draining = True
            self._admission.refuse_waiting(Code.LEAVING)

    def confirm(self) -> None:
        """Record that the target itself reports that it is not leaving."""
        if not self.confirmed:
            log.info("target confirmed", target=self.name)
            self.confirmed = True
        self.needs_health_check = False

    def mark_dead(self, name: str) -> None:
        """Record that an incarnation of the target has ended."""
        if name and name == self.name and not self.dead_incarnation:
            log.warning("target is down", target=name)
            self.dead_incarnation = name

    def mark_alive(self) -> None:
        """Record that the target answers, even if it was presumed dead."""
        if self.dead_incarnation:
            log.info("target is up again", target=self.name)
        self.dead_incarnation = ""
        self.silent = False

    def describe(self, node_id: str, process: str, peer: str) -> Member:
        """Return the membership record of this node and its target."""
        state = "absent"
        if self.name and self.draining and not self.dead_incarnation:
            state = "draining"
        elif self.is_usable():
            state = "ready"
        return Member(
            node_id,
            process,
            peer,
            self._settings.zone,
            self._settings.service,
            self.name,
            self.instance,
            state,
            self.slots,
            self._admission.is_cold(),
            self._settings.cores,
            self._published_limit,
        )

    def _begin_incarnation(self, heartbeat: Heartbeat) -> None:
        log.info("target announced itself", target=heartbeat.target)
        if self.name:
            self._ended_incarnations.add(self.name)
        self.name, self.instance = heartbeat.target, heartbeat.instance
        self.draining = self.name in self._leaving_incarnations
        self.dead_incarnation = ""
        self._last_report_ns = 0
        self._set_limit(None)
        self._logs_unreadable = True
        self._sequence = -1

    def _is_later(self, name: str) -> bool:
        """Return whether an incarnation started no earlier than the known one."""
        start_ms, known_start_ms = (
            int(name.rpartition("@")[2]),
            int(self.name.rpartition("@")[2]),
        )
        return start_ms >= known_start_ms

    def _set_slots(self, slots: int) -> None:
        self.slots = slots
        self._admission.slots = max(slots, 1)


def is_same_limit(limit: float | None, other: float | None) -> bool:
    """Return whether two limits are equal within the tolerance, or both are None."""
    if limit is None or other is None:
        return limit is other
    return abs(limit - other) <= LIMIT_TOLERANCE * max(limit, other)
