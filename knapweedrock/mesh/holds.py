"""Grants of key ranges to the local target, renewed at each of its heartbeats.

A hold is the target's time-limited right to serve the keys of a granted row.
"""

from bisect import bisect_right
from collections.abc import Callable, Sequence
from operator import attrgetter
from typing import NamedTuple

from knapweedrock.clock import NS_PER_MS
from knapweedrock.eras.numbers import is_from_earlier_era
from knapweedrock.mesh.definitions import (
    Grant,
    Heartbeat,
    HeartbeatReply,
    HeldRange,
    ReleasedRange,
)
from knapweedrock.mesh.messages import Row

# Slowest tolerated rate of the target's clock, relative to the node's clock.
MIN_CLOCK_RATE = 0.97
# A hold ends at least this long before the lease of the node that granted it.
GRANT_MARGIN_MS = 50
# Shorter holds are not granted.
MIN_HOLD_MS = 300
# Extra time after which the node considers a hold expired.
EXPIRY_MARGIN_MS = 200

CountFitting = Callable[[Sequence[Grant]], int]

get_start = attrgetter("start")


class GrantedRows(NamedTuple):
    """Rows granted by the latest reply to one target; they expire at `until_ns`."""

    target: str
    rows: tuple[Row, ...]
    until_ns: int


class Holds:
    """Rows that a node grants to its target, and ranges that the target released."""

    def __init__(
        self, node_id: str, max_hold_ms: int, count_fitting: CountFitting = len
    ) -> None:
        """Create the state of a node without a lease.

        `count_fitting` returns how many of the given grants, starting with the first,
        fit into one reply.
        """
        self.node_id = node_id
        self.granted = GrantedRows("", (), 0)
        self.released: list[ReleasedRange] = []
        self.lease_until_ns = 0
        # Era of the board from which rows are granted.
        self.era = 0
        self.max_hold_ms = max_hold_ms
        self._heartbeat: Heartbeat | None = None
        self._last_expiry_ns = 0
        self._withdrawn: list[Row] = []
        self._count_fitting = count_fitting

    def extend_lease(self, sent_ns: int, lease_ms: float) -> None:
        """Extend the lease; it runs from `sent_ns`, when the node requested it."""
        until_ns = sent_ns + int(lease_ms * NS_PER_MS)
        self.lease_until_ns = max(self.lease_until_ns, until_ns)

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record the key ranges that the target reports as held and as released."""
        if heartbeat is not self._heartbeat:
            self._heartbeat = heartbeat
            self.released += heartbeat.released

    def reply(
        self, heartbeat: Heartbeat, rows: list[Row], now_ns: int
    ) -> HeartbeatReply:
        """Return the reply to a heartbeat, with all rows that the sender may hold.

        The reply has no grants if too little of the lease remains to extend the holds.
        """
        self.record_heartbeat(heartbeat)
        remaining_ms = (self.lease_until_ns - now_ns) / NS_PER_MS
        hold_ms = int(
            min(self.max_hold_ms, remaining_ms * MIN_CLOCK_RATE - GRANT_MARGIN_MS)
        )
        if hold_ms < MIN_HOLD_MS:
            return HeartbeatReply(None, 0)
        own_rows = ()
        if not heartbeat.draining:
            own_rows = self.list_own_rows(rows, heartbeat.target)
            own_rows += self._list_kept_rows(rows, heartbeat)
        own_rows, grants = self._choose_grants(own_rows, sorted(heartbeat.held))
        until_ns = now_ns + hold_ms * NS_PER_MS
        self.granted = GrantedRows(heartbeat.target, own_rows, until_ns)
        expiry_ms = hold_ms / MIN_CLOCK_RATE + EXPIRY_MARGIN_MS
        self._last_expiry_ns = max(
            self._last_expiry_ns, now_ns + int(expiry_ms * NS_PER_MS)
        )
        return HeartbeatReply(grants, hold_ms)

    def _choose_grants(
        self, own_rows: tuple[Row, ...], held: list[HeldRange]
    ) -> tuple[tuple[Row, ...], tuple[Grant, ...]]:
        """Choose the rows that fit into one reply; rows already held come first.

        The remaining rows are granted at later heartbeats: a grant of a held row needs
        less space in the reply.
        """
        rows = sorted(own_rows, key=lambda row: (not is_held(row, held), row))
        grants = [create_grant(row, held) for row in rows]
        count = self._count_fitting(grants)
        return tuple(sorted(rows[:count])), tuple(sorted(grants[:count]))

    def list_own_rows(self, rows: list[Row], target: str) -> tuple[Row, ...]:
        """List the rows that a target incarnation owns and is not about to lose.

        Of rows that were given out in an earlier era only the parts that the target
        still holds are listed: another target may have held the rest since.
        """
        return tuple(
            part
            for row in rows
            if row.node_id == self.node_id
            and row.target == target
            and not row.next_node
            and not self._is_partly_withdrawn(row)
            for part in self._list_grantable_parts(row)
        )

    def list_kept(self, rows: list[Row]) -> list[HeldRange]:
        """List what the target holds under a token above that of the board's rows.

        The coordinator of a new era may not know of it yet.
        """
        heartbeat = self._heartbeat
        if heartbeat is None or heartbeat.draining:
            return []
        return list_above(heartbeat.held, rows)

    def _list_kept_rows(self, rows: list[Row], heartbeat: Heartbeat) -> tuple[Row, ...]:
        return tuple(
            Row(start, end, self.node_id, heartbeat.target, token, "", "")
            for start, end, token in list_above(heartbeat.held, rows)
        )

    def _list_grantable_parts(self, row: Row) -> list[Row]:
        """List the parts of a row that may be granted; see `list_own_rows`."""
        if not is_from_earlier_era(row.token, self.era):
            return [row]
        held = self._heartbeat.held if self._heartbeat is not None else ()
        return list_held_parts(row, held)

    def may_serve(self, key: int, target: str, rows: list[Row], now_ns: int) -> bool:
        """Return whether the target holds a key, as far as this node knows.

        Rows that this process granted count until they expire. A process that has
        granted nothing yet relies on the holds that the target reports, or on the
        ownership table if it has received no heartbeat of the target.
        """
        granted, heartbeat = self.granted, self._heartbeat
        if granted.target == target:
            if now_ns > granted.until_ns:
                return False
            rows = granted.rows
        elif heartbeat is not None and heartbeat.target == target:
            return any(span.start <= key <= span.end for span in heartbeat.held)
        for row in rows:
            if row.start <= key <= row.end:
                return row.node_id == self.node_id and row.target == target
        return False

    def is_grant_pending(
        self, key: int, target: str, rows: list[Row], now_ns: int
    ) -> bool:
        """Return whether the next heartbeat will grant the target a key."""
        if now_ns >= self.lease_until_ns or self.may_serve(key, target, rows, now_ns):
            return False
        row = find_row(rows, key)
        return row is not None and row in self.list_own_rows([row], target)

    def withdraw_unheld(
        self, rows: list[Row], ended_target: str, now_ns: int
    ) -> list[Row]:
        """Withdraw and return the node's rows that no target incarnation can hold.

        A withdrawn row is never granted again under its token. `ended_target` names an
        incarnation that is known to have ended, and is empty if there is none.
        """
        own_rows = [row for row in rows if row.node_id == self.node_id]
        self._withdrawn = [
            withdrawn
            for withdrawn in self._withdrawn
            if any(
                row.token == withdrawn.token and overlaps(row, withdrawn)
                for row in own_rows
            )
        ]
        unheld = []
        for row in own_rows:
            if self._is_fully_withdrawn(row):
                unheld.append(row)
            elif self._is_unheld(row, ended_target, now_ns):
                self._withdrawn.append(row)
                unheld.append(row)
            elif is_from_earlier_era(row.token, self.era):
                parts = self._list_parts_not_held(row)
                if parts == [row]:
                    self._withdrawn.append(row)
                # Parts of a row are never granted, so they need no withdrawal.
                unheld += parts
        return unheld

    def _list_parts_not_held(self, row: Row) -> list[Row]:
        """List the parts of a row that the target does not hold under its token."""
        heartbeat = self._heartbeat
        if heartbeat is None or row.target != heartbeat.target:
            return []
        held = list_held_parts(row, heartbeat.held)
        if self.granted.target == heartbeat.target:
            held += [r for r in self.granted.rows if r.token == row.token]
        return subtract_ranges(row, held)

    def _is_fully_withdrawn(self, row: Row) -> bool:
        """Return whether all keys of a row were withdrawn."""
        return any(
            row.token == withdrawn.token and covers(withdrawn, row)
            for withdrawn in self._withdrawn
        )

    def _is_partly_withdrawn(self, row: Row) -> bool:
        """Return whether any key of a row was withdrawn, so it must not be granted."""
        return any(
            row.token == withdrawn.token and overlaps(row, withdrawn)
            for withdrawn in self._withdrawn
        )

    def _is_unheld(self, row: Row, ended_target: str, now_ns: int) -> bool:
        if ended_target and row.target == ended_target:
            return True
        heartbeat = self._heartbeat
        if heartbeat is None:
            return False
        if row.target != heartbeat.target:
            return True
        if self._last_expiry_ns and now_ns > self._last_expiry_ns:
            return True
        is_revoked = (
            row.next_node or heartbeat.draining or self._is_partly_withdrawn(row)
        )
        if not is_revoked:
            return False
        granted_rows = (
            self.granted.rows if self.granted.target == heartbeat.target else None
        )
        if granted_rows is None or any(overlaps(row, other) for other in granted_rows):
            return False
        return not any(overlaps(row, span) for span in heartbeat.held)


def create_grant(row: Row, held: list[HeldRange]) -> Grant:
    """Create the grant of a row; a row that is already held needs no handover.

    `held` lists the ranges that the target holds, in the order of their keys.
    """
    handover = "" if is_held(row, held) else row.handover
    return Grant(row.start, row.end, row.token, handover)


def is_held(row: Row, held: list[HeldRange]) -> bool:
    """Return whether the target holds all keys of a row under the row's token."""
    index = bisect_right(held, row.start, key=get_start) - 1
    if index < 0:
        return False
    return held[index].token == row.token and covers(held[index], row)


def list_held_parts(row: Row, held: Sequence[HeldRange]) -> list[Row]:
    """List the parts of a row that are held under the row's token."""
    parts = [
        row._replace(start=max(row.start, span.start), end=min(row.end, span.end))
        for span in sorted(held)
        if span.token == row.token and overlaps(row, span)
    ]
    return [row] if subtract_ranges(row, parts) == [] else parts


def subtract_ranges(row: Row, others: Sequence[Row]) -> list[Row]:
    """List the parts of a row that none of the other rows contains."""
    parts = []
    start = row.start
    for other in sorted(others):
        if other.start > row.end:
            break
        if other.start > start:
            parts.append(row._replace(start=start, end=other.start - 1))
        start = max(start, other.end + 1)
    if start <= row.end:
        parts.append(row._replace(start=start))
    return parts


def list_above(held: Sequence[HeldRange], rows: list[Row]) -> list[HeldRange]:
    """List the parts of held ranges whose token is above that of the row there."""
    found = []
    for span in held:
        start = span.start
        while start <= span.end:
            row = find_row(rows, start)
            end = min(span.end, row.end) if row else find_gap_end(rows, start, span.end)
            if row is None or row.token < span.token:
                found.append(HeldRange(start, end, span.token))
            start = end + 1
    return merge_ranges(found)


def find_gap_end(rows: list[Row], start: int, last: int) -> int:
    """Return the last key, at most `last`, of a gap between rows that has a key."""
    index = bisect_right(rows, start, key=get_start)
    return min(last, rows[index].start - 1) if index < len(rows) else last


def merge_ranges(ranges: list[HeldRange]) -> list[HeldRange]:
    """Merge adjacent ranges with the same token."""
    merged: list[HeldRange] = []
    for span in ranges:
        last = merged[-1] if merged else None
        if last and last.token == span.token and last.end + 1 == span.start:
            merged[-1] = last._replace(end=span.end)
        else:
            merged.append(span)
    return merged


def overlaps(row, other) -> bool:
    """Return whether two key ranges share a key."""
    return row.start <= other.end and other.start <= row.end


def covers(row, other) -> bool:
    """Return whether the first key range contains the second one."""
    return row.start <= other.start and other.end <= row.end


def find_row(rows: list[Row], key: int) -> Row | None:
    """Return the row that contains a key, or None; `rows` are in the order of keys."""
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
