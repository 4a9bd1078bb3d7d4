"""The coordinator's roster: which members hold leases, and which are gone."""

from typing import TYPE_CHECKING, NamedTuple

from knapweedrock.clock import NS_PER_MS
from knapweedrock.nodes.messages import Heartbeat
from knapweedrock.nodes.timing import DRIFT_MS, LEASE_MS
from knapweedrock.nodes.view import Member, ViewVersion

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

DEFAULT_LONGEST_REQUEST_MS = 1000


class Process(NamedTuple):
    """One process of a node: a restarted node is another one."""

    node_id: str
    incarnation: str


class Entry:
    """What the coordinator knows of one member."""

    def __init__(self, member: Member, lease_until_ns: int) -> None:
        self.member = member
        self.lease_until_ns = lease_until_ns
        self.heard_ns = 0
        self.config_version = 0
        self.load = 0
        self.hot: list[tuple[str, int, float]] = []
        self.platform_ok = True
        self.suspended = False
        self.view_version = ViewVersion(0, 0)

    def note_view(self, version: ViewVersion) -> None:
        """Note that the member holds this view or a newer one."""
        self.view_version = max(self.view_version, version)


class Roster:
    """Members of the cell during one office.

    Leases that the predecessor granted, at the latest at `granted_ns` (now where it is
    not known), may last until `inherited_until_ns`.
    """

    def __init__(
        self,
        env: "Environment",
        members: dict[str, Member],
        granted_ns: int | None = None,
    ) -> None:
        self.env = env
        granted_ns = env.clock.now_ns() if granted_ns is None else granted_ns
        self.inherited_until_ns = granted_ns + (LEASE_MS + DRIFT_MS) * NS_PER_MS
        self.entries = {
            name: Entry(member, self.inherited_until_ns)
            for name, member in members.items()
        }
        self.former: dict[Process, Entry] = {}

    def hear(self, heartbeat: Heartbeat) -> bool:
        """Note a heartbeat; tell whether the member changed for others too."""
        entry = self.entries.get(heartbeat.node_id)
        fresh = entry is None or entry.member["incarnation"] != heartbeat.incarnation
        if fresh and heartbeat.member is None:
            return False
        if fresh:
            entry = self._replace(heartbeat, entry)
        changed = fresh
        if heartbeat.member is not None and heartbeat.member != entry.member:
            entry.member = heartbeat.member
            changed = True
        entry.heard_ns = self.env.clock.now_ns()
        entry.config_version = heartbeat.config_version
        entry.load = heartbeat.load
        entry.hot = heartbeat.hot
        entry.note_view(ViewVersion(heartbeat.epoch, heartbeat.count))
        entry.platform_ok = heartbeat.platform_ok
        return changed

    def grant(self, process: Process) -> int:
        """Grant a lease, counted from now; returns its milliseconds, 0 for none."""
        if not self.is_alive(process):
            return 0
        entry = self.entries[process.node_id]
        if entry.suspended:
            return 0
        entry.lease_until_ns = (
            self.env.clock.now_ns() + (LEASE_MS + DRIFT_MS) * NS_PER_MS
        )
        return LEASE_MS

    def remove_lapsed(self) -> list[str]:
        """Remove the members whose lease has surely lapsed."""
        now = self.env.clock.now_ns()
        lapsed = [name for name, e in self.entries.items() if e.lease_until_ns < now]
        for name in lapsed:
            entry = self.entries.pop(name)
            self.former[Process(name, entry.member["incarnation"])] = entry
        return lapsed

    def is_alive(self, process: Process) -> bool:
        """Tell whether this very process may hold a lease."""
        entry = self.entries.get(process.node_id)
        return entry is not None and entry.member["incarnation"] == process.incarnation

    def is_heard(self, process: Process) -> bool:
        """Tell whether this very process has sent a heartbeat in this office."""
        return self.is_alive(process) and bool(self.entries[process.node_id].heard_ns)

    def free_at_ns(self, process: Process, service: str) -> int:
        """Return from when the ranges of a process that is gone may be given away.

        A target that does not check fencing tokens may still run what was sent just
        before the lease lapsed, so the longest request is waited out for it.
        """
        entry = self.former.get(process)
        lapsed_ns = self.inherited_until_ns if entry is None else entry.lease_until_ns
        if entry is not None and entry.member["fenced"]:
            return lapsed_ns
        return lapsed_ns + self._find_longest_request_ms(service) * NS_PER_MS

    def list_owners(self, service: str) -> dict[str, Member]:
        """List the members that may be given ranges of a service."""
        now = self.env.clock.now_ns()
        return {
            name: entry.member
            for name, entry in self.entries.items()
            if entry.heard_ns
            and entry.lease_until_ns > now
            and not entry.suspended
            and self.may_own(entry.member, service)
        }

    def find_silence_ms(self, node_id: str) -> float:
        """Return how long ago the last lease of a node that is gone lapsed."""
        lapses = [e.lease_until_ns for p, e in self.former.items() if p[0] == node_id]
        lapsed_ns = max(lapses, default=self.inherited_until_ns)
        return (self.env.clock.now_ns() - lapsed_ns) / NS_PER_MS

    def list_incarnations(self) -> dict[str, str]:
        """Return the incarnation of each member."""
        return {
            name: entry.member["incarnation"] for name, entry in self.entries.items()
        }

    def may_own(self, member: Member, service: str) -> bool:
        """Tell whether a member's target may own ranges of the service."""
        return (
            member["service"] == service
            and member["state"] == "serving"
            and not self.env.configuration.zone_is_out(member["zone"])
        )

    def _replace(self, heartbeat: Heartbeat, old: Entry | None) -> Entry:
        if old is not None:
            process = Process(heartbeat.node_id, old.member["incarnation"])
            if old.member["peer"] == heartbeat.member["peer"]:
                # Only one process can hold the address, so the old one is gone.
                old.lease_until_ns = self.env.clock.now_ns()
            self.former[process] = old
        entry = Entry(heartbeat.member, 0)
        self.entries[heartbeat.node_id] = entry
        return entry

    def _find_longest_request_ms(self, service: str) -> int:
        found = self.env.configuration.value["services"].get(service)
        if found is None:
            return DEFAULT_LONGEST_REQUEST_MS
        return found["longest_request_ms"]
