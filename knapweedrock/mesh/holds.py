"""Keys that the target beside a node may hold, decided at each of its heartbeats."""

from bisect import bisect_right
from collections.abc import Callable, Sequence
from operator import attrgetter
from typing import NamedTuple

from knapweedrock.clock import NS_PER_MS
from knapweedrock.mesh.definitions import (
    Grant,
    Heartbeat,
    HeartbeatReply,
    HeldRange,
    ReleasedRange,
)
from knapweedrock.mesh.messages import Row

# A target's clock may run this much slow while it counts a hold.
MIN_CLOCK_RATE = 0.97
GRANT_MARGIN_MS = 50
MIN_HOLD_MS = 300
EXPIRY_MARGIN_MS = 200

CountFitting = Callable[[Sequence[Grant]], int]

get_start = attrgetter("start")


class GrantedRows(NamedTuple):
    """What was granted last: rows of one target until a time, in ns."""

    target: str
    rows: tuple[Row, ...]
    until_ns: int


class Holds:
    """Grants of one node to its target, and what the target let go."""

    def __init__(
        self, node_id: str, max_hold_ms: int, count_fitting: CountFitting = len
    ) -> None:
        """Take what counts the grants, from the first on, that an answer can name."""
        self.node_id = node_id
        self.granted = GrantedRows("", (), 0)
        self.released: list[ReleasedRange] = []
        self.lease_until_ns = 0
        self.max_hold_ms = max_hold_ms
        self._heartbeat: Heartbeat | None = None
        self._last_expiry_ns = 0
        self._withdrawn: list[Row] = []
        self._count_fitting = count_fitting

    def extend_lease(self, sent_ns: int, lease_ms: float) -> None:
        """Count a lease from when it was asked for."""
        until_ns = sent_ns + int(lease_ms * NS_PER_MS)
        self.lease_until_ns = max(self.lease_until_ns, until_ns)

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take what a target says it holds and has let go."""
        if heartbeat is not self._heartbeat:
            self._heartbeat = heartbeat
            self.released += heartbeat.released

    def reply(
        self, heartbeat: Heartbeat, rows: list[Row], now_ns: int
    ) -> HeartbeatReply:
        """Answer a heartbeat with all that its sender may hold."""
        self.record_heartbeat(heartbeat)
        remaining_ms = (self.lease_until_ns - now_ns) / NS_PER_MS
        hold_ms = int(
            min(self.max_hold_ms, remaining_ms * MIN_CLOCK_RATE - GRANT_MARGIN_MS)
        )
        if hold_ms < MIN_HOLD_MS:
            return HeartbeatReply(None, 0)
        own = () if heartbeat.draining else self.list_own_rows(rows, heartbeat.target)
        own, grants = self._choose_grants(own, sorted(heartbeat.held))
        until_ns = now_ns + hold_ms * NS_PER_MS
        self.granted = GrantedRows(heartbeat.target, own, until_ns)
        expiry_ms = hold_ms / MIN_CLOCK_RATE + EXPIRY_MARGIN_MS
        self._last_expiry_ns = max(
            self._last_expiry_ns, now_ns + int(expiry_ms * NS_PER_MS)
        )
        return HeartbeatReply(grants, hold_ms)

    def _choose_grants(
        self, own: tuple[Row, ...], spans: list[HeldRange]
    ) -> tuple[tuple[Row, ...], tuple[Grant, ...]]:
        """Choose the rows that one answer can name, those that are held already first.

        What is left out is granted at a later heartbeat: held rows take less room.
        """
        rows = sorted(own, key=lambda row: (not is_held(row, spans), row))
        grants = [create_grant(row, spans) for row in rows]
        count = self._count_fitting(grants)
        return tuple(sorted(rows[:count])), tuple(sorted(grants[:count]))

    def list_own_rows(self, rows: list[Row], target: str) -> tuple[Row, ...]:
        """List the rows that this start of the target owns and keeps."""
        return tuple(
            row
            for row in rows
            if row.node_id == self.node_id
            and row.target == target
            and not row.next_node
            and not self._is_partly_withdrawn(row)
        )

    def may_serve(self, key: int, target: str, rows: list[Row], now_ns: int) -> bool:
        """Tell whether the target holds a key, as far as this node knows.

        What this process granted counts until it has run out. A process that has
        granted nothing yet goes by what the target says it holds, or by the table
        where it has not heard the target.
        """
        granted, known = self.granted, self._heartbeat
        if granted.target == target:
            if now_ns > granted.until_ns:
                return False
            rows = granted.rows
        elif known is not None and known.target == target:
            return any(span.start <= key <= span.end for span in known.held)
        for row in rows:
            if row.start <= key <= row.end:
                return row.node_id == self.node_id and row.target == target
        return False

    def is_grant_pending(
        self, key: int, target: str, rows: list[Row], now_ns: int
    ) -> bool:
        """Tell whether the target will hold a key from its next heartbeat on."""
        if now_ns >= self.lease_until_ns or self.may_serve(key, target, rows, now_ns):
            return False
        row = find_row(rows, key)
        return row is not None and row in self.list_own_rows([row], target)

    def withdraw_unheld(
        self, rows: list[Row], ended_target: str, now_ns: int
    ) -> list[Row]:
        """List own rows that surely no start of the target holds; never grant them.

        `ended_target` names a start of the target that is known to have ended.
        """
        own = [row for row in rows if row.node_id == self.node_id]
        self._withdrawn = [
            known
            for known in self._withdrawn
            if any(row.token == known.token and overlaps(row, known) for row in own)
        ]
        unheld = []
        for row in own:
            if self._is_fully_withdrawn(row):
                unheld.append(row)
            elif self._is_unheld(row, ended_target, now_ns):
                self._withdrawn.append(row)
                unheld.append(row)
        return unheld

    def _is_fully_withdrawn(self, row: Row) -> bool:
        """Tell whether all of a row was given up, not just a part of it."""
        return any(
            row.token == known.token and covers(known, row) for known in self._withdrawn
        )

    def _is_partly_withdrawn(self, row: Row) -> bool:
        """Tell whether a part of a row was given up, so that it is granted no more."""
        return any(
            row.token == known.token and overlaps(row, known)
            for known in self._withdrawn
        )

    def _is_unheld(self, row: Row, ended_target: str, now_ns: int) -> bool:
        if ended_target and row.target == ended_target:
            return True
        known = self._heartbeat
        if known is None:
            return False
        if row.target != known.target:
            return True
        if self._last_expiry_ns and now_ns > self._last_expiry_ns:
            return True
        is_released = row.next_node or known.draining or self._is_partly_withdrawn(row)
        if not is_released:
            return False
        kept = self.granted.rows if self.granted.target == known.target else None
        if kept is None or any(overlaps(row, other) for other in kept):
            return False
        return not any(overlaps(row, span) for span in known.held)


def create_grant(row: Row, spans: list[HeldRange]) -> Grant:
    """Create the grant of a row; one that is held already needs no handover.

    `spans` lists what is held, in the order of keys.
    """
    handover = "" if is_held(row, spans) else row.handover
    return Grant(row.start, row.end, row.token, handover)


def is_held(row: Row, spans: list[HeldRange]) -> bool:
    """Tell whether a row is held as a whole under its token."""
    index = bisect_right(spans, row.start, key=get_start) - 1
    if index < 0:
        return False
    return spans[index].token == row.token and covers(spans[index], row)


def overlaps(row, other) -> bool:
    """Tell whether two ranges of keys share a key."""
    return row.start <= other.end and other.start <= row.end


def covers(row, other) -> bool:
    """Tell whether a range holds all keys of another one."""
    return row.start <= other.start and other.end <= row.end


def find_row(rows: list[Row], key: int) -> Row | None:
    """Find the row of a key."""
    low, high = 0, len(rows)
    while low < high:
        middle = (low + high) // 2
        if rows[middle].end < key:
            low = middle + 1
        else:
            high = middle
    if low < len(rows) and rows[low].start <= key:
        return rows[low]
    return None
