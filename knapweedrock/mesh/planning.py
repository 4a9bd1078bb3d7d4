"""Planning of key moves over time: intervals, cooldowns and recent moves."""

from typing import NamedTuple

from knapweedrock.mesh.holds import overlaps
from knapweedrock.mesh.messages import Row
from knapweedrock.mesh.moves import list_started_moves, rebalance, relieve_overloaded
from knapweedrock.mesh.row_loads import count_common_keys, measure_row_load
from knapweedrock.mesh.snapshots import CompletedMove, Snapshot

# Interval between checks for overloaded targets.
RELIEF_INTERVAL_MS = 200
# Interval between rebalancing rounds.
REBALANCE_INTERVAL_MS = 500
# Time for which the source and the destination of a rebalancing move take part in no
# other rebalancing move.
COOLDOWN_MS = 1800
# Time until a target's reports fully include the load of keys that moved to it.
REPORT_LAG_MS = 1500
# Time after which a move that has not completed is dropped.
PENDING_MOVE_TTL_MS = 10_000


class PendingMove(NamedTuple):
    """A key range on its way to a destination, with its load and start time."""

    start: int
    end: int
    destination: str
    load: float
    started_ms: float


class Planner:
    """Plans the moves of one service's keys and tracks pending and completed moves."""

    def __init__(self) -> None:
        self._last_relief_ms = float("-inf")
        self._last_rebalance_ms = float("-inf")
        self._cooldown_until_ms: dict[str, float] = {}
        self._pending_moves: list[PendingMove] = []
        # Completed moves with their completion times in ms.
        self._completed_moves: list[tuple[CompletedMove, float]] = []

    def plan_moves(
        self, rows: list[Row], snapshot: Snapshot, now_ms: float
    ) -> list[Row]:
        """Return the rows, with next owners for those that start to move now."""
        if now_ms - self._last_relief_ms < RELIEF_INTERVAL_MS:
            return rows
        self._last_relief_ms = now_ms
        snapshot = snapshot._replace(
            completed_moves=self._group_completed_moves(now_ms)
        )
        marked = relieve_overloaded(rows, snapshot)
        if now_ms - self._last_rebalance_ms >= REBALANCE_INTERVAL_MS:
            self._last_rebalance_ms = now_ms
            marked = self._rebalance(marked, snapshot, now_ms)
        self._record_pending_moves(rows, marked, snapshot, now_ms)
        return marked

    def record_new_owners(self, rows: list[Row], now_ms: float) -> None:
        """Record pending moves as completed when their rows have new owners."""
        for row in rows:
            for move in self._pending_moves:
                if move.destination == row.node_id and overlaps(row, move):
                    width = move.end - move.start + 1
                    load = move.load * count_common_keys(row, move) / width
                    completed = CompletedMove(row.start, row.end, row.node_id, load)
                    self._completed_moves.append((completed, now_ms))

    def _rebalance(
        self, rows: list[Row], snapshot: Snapshot, now_ms: float
    ) -> list[Row]:
        cooling_down = {n for n, ms in self._cooldown_until_ms.items() if ms > now_ms}
        marked = rebalance(rows, snapshot, cooling_down)
        for row in list_started_moves(rows, marked):
            self._cooldown_until_ms[row.node_id] = now_ms + COOLDOWN_MS
            self._cooldown_until_ms[row.next_node] = now_ms + COOLDOWN_MS
        return marked

    def _record_pending_moves(
        self,
        rows: list[Row],
        marked: list[Row],
        snapshot: Snapshot,
        now_ms: float,
    ) -> None:
        self._pending_moves = [
            m
            for m in self._pending_moves
            if now_ms - m.started_ms < PENDING_MOVE_TTL_MS
        ]
        for row in list_started_moves(rows, marked):
            load = measure_row_load(row, snapshot)
            move = PendingMove(row.start, row.end, row.next_node, load, now_ms)
            self._pending_moves.append(move)

    def _group_completed_moves(self, now_ms: float) -> dict[str, list[CompletedMove]]:
        """Group recently completed moves by node, their loads decreasing with time."""
        self._completed_moves = [
            entry
            for entry in self._completed_moves
            if now_ms - entry[1] < REPORT_LAG_MS
        ]
        moves_by_node: dict[str, list[CompletedMove]] = {}
        for move, completed_ms in self._completed_moves:
            load = move.load * (1 - (now_ms - completed_ms) / REPORT_LAG_MS)
            moves_by_node.setdefault(move.node_id, []).append(move._replace(load=load))
        return moves_by_node
