"""Planning of moves over time: how often they begin, and who rests after them."""

from typing import NamedTuple

from knapweedrock.mesh.facts import Facts, Given
from knapweedrock.mesh.holds import overlaps
from knapweedrock.mesh.measures import count_common, measure_row
from knapweedrock.mesh.messages import Row
from knapweedrock.mesh.moves import level_loads, list_begun, relieve_full

# Pause between two looks for full targets.
RELIEF_MS = 200
# Pause between two rounds of levelling.
BALANCE_MS = 500
# Both sides of a levelling move take part in no other one for so long.
REST_MS = 1800
# Time in which the reports of a target come to show the load of keys that it was given.
GIVEN_MS = 1500
# Moves that are forgotten where they never came to an end.
FORGET_MS = 10_000


class Moving(NamedTuple):
    """Keys on their way, their load, and when the move began."""

    start: int
    end: int
    receiver: str
    load: float
    began_ms: float


class Planner:
    """Moves of one service's keys, and what is remembered of the last ones."""

    def __init__(self) -> None:
        self._relieved_ms = float("-inf")
        self._levelled_ms = float("-inf")
        self._rest_until_ms: dict[str, float] = {}
        self._moving: list[Moving] = []
        # Keys that were given, and when.
        self._given: list[tuple[Given, float]] = []

    def balance(self, rows: list[Row], facts: Facts, now_ms: float) -> list[Row]:
        """Mark the rows that are to move now."""
        if now_ms - self._relieved_ms < RELIEF_MS:
            return rows
        self._relieved_ms = now_ms
        facts = facts._replace(given=self._group_given(now_ms))
        marked = relieve_full(rows, facts)
        if now_ms - self._levelled_ms >= BALANCE_MS:
            self._levelled_ms = now_ms
            marked = self._level(marked, facts, now_ms)
        self._note_moving(rows, marked, facts, now_ms)
        return marked

    def note_given(self, rows: list[Row], now_ms: float) -> None:
        """Note that rows have new owners."""
        for row in rows:
            for moving in self._moving:
                if moving.receiver == row.node_id and overlaps(row, moving):
                    width = moving.end - moving.start + 1
                    load = moving.load * count_common(row, moving) / width
                    given = Given(row.start, row.end, row.node_id, load)
                    self._given.append((given, now_ms))

    def _level(self, rows: list[Row], facts: Facts, now_ms: float) -> list[Row]:
        resting = {n for n, ms in self._rest_until_ms.items() if ms > now_ms}
        marked = level_loads(rows, facts, resting)
        for row in list_begun(rows, marked):
            self._rest_until_ms[row.node_id] = now_ms + REST_MS
            self._rest_until_ms[row.next_node] = now_ms + REST_MS
        return marked

    def _note_moving(
        self, rows: list[Row], marked: list[Row], facts: Facts, now_ms: float
    ) -> None:
        self._moving = [m for m in self._moving if now_ms - m.began_ms < FORGET_MS]
        for row in list_begun(rows, marked):
            load = measure_row(row, facts)
            moving = Moving(row.start, row.end, row.next_node, load, now_ms)
            self._moving.append(moving)

    def _group_given(self, now_ms: float) -> dict[str, list[Given]]:
        """Group by node what was given of late; it counts less as time passes."""
        self._given = [g for g in self._given if now_ms - g[1] < GIVEN_MS]
        found: dict[str, list[Given]] = {}
        for given, at_ms in self._given:
            load = given.load * (1 - (now_ms - at_ms) / GIVEN_MS)
            found.setdefault(given.node_id, []).append(given._replace(load=load))
        return found
