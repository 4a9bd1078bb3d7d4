"""A keyed service under load, with targets, heartbeats and the coordinator's decisions.

Nothing here needs a network: time passes in small steps, and the real decisions on
keys are taken on loads that are measured as nodes measure them.
"""

import gc
import heapq
import itertools
import math
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from features.support.mesh_builders import FakeClock, create_member, create_snapshot
from knapweedrock.clock import NS_PER_MS
from knapweedrock.mesh.holds import find_row
from knapweedrock.mesh.load_meter import DECAY_INTERVAL_MS, LoadMeter
from knapweedrock.mesh.membership import LOAD_PARTS_PER_ROW
from knapweedrock.mesh.messages import Member, Row
from knapweedrock.mesh.ownership import create_initial_table, reassign_rows
from knapweedrock.mesh.planning import Planner
from knapweedrock.mesh.row_loads import compute_row_loads
from knapweedrock.mesh.snapshots import KEY_COUNT, list_eligible_members

STEP_MS = 5
HEARTBEAT_MS = 870
RENEW_MS = 400
PLAN_MS = 100
RELEASE_MS = 90
# Share of its time left that a request waits for a key on its way, and at most.
MOVE_SHARE = 0.6
MOVE_MS = 1000
RETURN_MS = 250
# How long a slow target is slow, and how much.
SLOW_MS = 400
SLOW_FACTOR = 3.0


class Rush(NamedTuple):
    """Requests that some neighbouring keys get for a while, as a share of all."""

    at_ms: int
    for_ms: int
    share: float
    keys: int
    start: int


class Load(NamedTuple):
    """Requests for a keyed service; times in ms."""

    per_s: float
    work_ms: float
    objective_ms: float
    deadline_ms: float
    rushes: tuple[Rush, ...]
    # Share of the targets that are slow for a moment, others the next.
    slow_share: float = 0.0


class Call:
    """One request on its way."""

    __slots__ = ("began_ms", "key", "retried")

    def __init__(self, key: int, began_ms: float) -> None:
        self.key = key
        self.began_ms = began_ms
        self.retried = False


class Place:
    """A target with its slots, its queue and what it holds."""

    def __init__(self, member: Member, speed: float, phase_ms: float) -> None:
        self.member = member
        self.speed = speed
        self.next_beat_ms = phase_ms
        self.holds: list[Row] = []
        self.running: list[int] = []
        self.queue: list[Call] = []
        self.clock = FakeClock()
        self.meter = LoadMeter(self.clock)
        self.service_ms = 100.0


class Counts:
    """What became of the requests of each second."""

    def __init__(self) -> None:
        self.owed: dict[int, int] = {}
        self.in_time: dict[int, int] = {}
        self.late: dict[int, int] = {}
        self.moved = 0

    def find_share(self, first: int, after: int) -> float:
        """Return the share that was served in time of those from second to second."""
        owed = sum(self.owed.get(s, 0) for s in range(first, after))
        good = sum(self.in_time.get(s, 0) for s in range(first, after))
        return good / max(owed, 1)


class Service:
    """A keyed service whose keys the coordinator's decisions divide."""

    def __init__(self, targets: int, slots: int, load: Load, seed: int) -> None:
        self._random = random.Random(seed)
        names = [f"n{number:03}" for number in range(targets)]
        self._places = {
            name: Place(
                create_member(name, slots=slots),
                self._random.choice((0.6, 1.0, 1.0, 1.4)),
                self._random.uniform(0, HEARTBEAT_MS),
            )
            for name in names
        }
        self._load = load
        members = {name: place.member for name, place in self._places.items()}
        self._snapshot = create_snapshot(members, heartbeat_interval_ms=HEARTBEAT_MS)
        self.rows = create_initial_table(list_eligible_members(self._snapshot))
        for row in self.rows:
            self._places[row.node_id].holds.append(row)
        self._planner = Planner()
        self._reports: dict[str, list] = {}
        self._beats: dict[str, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.counts = Counts()
        self._popular = [self._random.randrange(KEY_COUNT) for _ in range(3000)]
        self.now_ms = 0.0
        # Processor time of the slowest decision.
        self.slowest_ms = 0.0

    def run(self, seconds: int) -> Counts:
        """Let time pass."""
        for name in self._places:
            self._beat(name)
            self._at(self._random.uniform(0, RENEW_MS), self._report, name)
        self._at(0, self._plan)
        self._at(DECAY_INTERVAL_MS, self._decay)
        while self.now_ms < seconds * 1000:
            self.now_ms += STEP_MS
            for _ in range(self._draw(self._load.per_s * STEP_MS / 1000)):
                self._arrive()
            while self._events and self._events[0][0] <= self.now_ms:
                heapq.heappop(self._events)[2]()
        return self.counts

    def _at(self, in_ms: float, run: Callable, *values) -> None:
        event = (self.now_ms + in_ms, next(self._numbers), lambda: run(*values))
        heapq.heappush(self._events, event)

    def _draw(self, mean: float) -> int:
        count, limit, product = 0, math.exp(-mean), self._random.random()
        while product > limit:
            count += 1
            product *= self._random.random()
        return count

    def _arrive(self) -> None:
        second = int(self.now_ms // 1000)
        self.counts.owed[second] = self.counts.owed.get(second, 0) + 1
        self._route(Call(self._choose_key(), self.now_ms))

    def _choose_key(self) -> int:
        point = self._random.random()
        for rush in self._load.rushes:
            if rush.at_ms <= self.now_ms < rush.at_ms + rush.for_ms:
                if point < rush.share:
                    return rush.start + self._random.randrange(rush.keys)
                point = (point - rush.share) / (1 - rush.share)
        rank = int(len(self._popular) * self._random.random() ** 2.3)
        return self._popular[rank]

    def _route(self, call: Call, until_ms: float = 0.0) -> None:
        """Bring a request to the holder of its key, or wait for one."""
        left_ms = call.began_ms + self._load.deadline_ms - self.now_ms
        if left_ms <= 0:
            return
        row = find_row(self.rows, call.key)
        place = self._places[row.node_id]
        if any(held.start <= call.key <= held.end for held in place.holds):
            self._admit(place, call)
            return
        until_ms = until_ms or self.now_ms + min(MOVE_MS, MOVE_SHARE * left_ms)
        if self.now_ms < until_ms:
            self._at(20, self._route, call, until_ms)
        else:
            self._return(call)

    def _admit(self, place: Place, call: Call) -> None:
        left_ms = call.began_ms + self._load.objective_ms - self.now_ms
        patience_ms = max(20.0, left_ms - place.service_ms)
        wait_ms = (len(place.queue) + 1) * place.service_ms / place.member.slots
        if len(place.running) < place.member.slots:
            self._start(place, call)
        elif wait_ms < 0.7 * patience_ms:
            place.queue.append(call)
        else:
            self._meter(place, call.key, place.service_ms)
            self._return(call)

    def _start(self, place: Place, call: Call) -> None:
        place.running.append(call.key)
        mean = math.log(self._load.work_ms / place.speed) - 0.2
        work_ms = min(self._random.lognormvariate(mean, 0.6), 6 * self._load.work_ms)
        moment = f"{place.member.node_id} {self.now_ms // SLOW_MS}"
        if random.Random(moment).random() < self._load.slow_share:
            work_ms *= SLOW_FACTOR
        self._at(work_ms, self._finish, place, call, work_ms)

    def _finish(self, place: Place, call: Call, work_ms: float) -> None:
        place.running.remove(call.key)
        place.service_ms += (work_ms - place.service_ms) * 0.05
        self._meter(place, call.key, work_ms)
        took_ms, second = self.now_ms - call.began_ms, int(call.began_ms // 1000)
        found = self.counts.in_time
        if took_ms > self._load.objective_ms:
            found = self.counts.late
        found[second] = found.get(second, 0) + 1
        if place.queue:
            self._start(place, place.queue.pop(0))

    def _return(self, call: Call) -> None:
        if not call.retried:
            call.retried = True
            self._at(RETURN_MS, self._route, call)

    def _meter(self, place: Place, key: int, spent_ms: float) -> None:
        place.clock.ns = int((self.now_ms + 1000) * NS_PER_MS)
        place.meter.add(key, spent_ms)

    def _decay(self) -> None:
        for place in self._places.values():
            place.clock.ns = int((self.now_ms + 1000) * NS_PER_MS)
            place.meter.decay()
        self._at(DECAY_INTERVAL_MS, self._decay)

    def _report(self, name: str) -> None:
        """Report the load of a target's rows, as its node does."""
        place = self._places[name]
        place.clock.ns = int((self.now_ms + 1000) * NS_PER_MS)
        own = [row for row in self.rows if row.node_id == name]
        self._reports[name] = compute_row_loads(
            own, place.meter.measure(), LOAD_PARTS_PER_ROW
        )
        self._at(RENEW_MS, self._report, name)

    def _beat(self, name: str) -> None:
        """Send a heartbeat: rows on their way are let go, new ones are held."""
        place = self._places[name]
        self._at(place.next_beat_ms or HEARTBEAT_MS, self._beat, name)
        place.next_beat_ms = 0.0
        self._beats[name] = self.now_ms
        own = [r for r in self.rows if r.node_id == name and not r.next_node]
        place.holds = own
        marked = [r for r in self.rows if r.node_id == name and r.next_node]
        if marked:
            self._at(RELEASE_MS, self._release, place, marked)

    def _release(self, place: Place, marked: list[Row]) -> None:
        """Give rows on once no request for their keys is running."""
        busy = [row for row in marked if has_key(row, place.running)]
        if busy:
            self._at(RELEASE_MS, self._release, place, busy)
        marked = [row for row in marked if row not in busy]
        released = tuple((row.start, row.end, "mark") for row in marked)
        snapshot = self._snapshot._replace(unheld=marked, released=released)
        before = set(self.rows)
        self.rows = reassign_rows(self.rows, snapshot)
        given = [row for row in self.rows if row not in before]
        self.counts.moved += sum(row.end - row.start + 1 for row in given)
        self._planner.record_new_owners(given, self.now_ms)

    def _plan(self) -> None:
        snapshot = self._snapshot._replace(
            loads=self._reports, heartbeat_at_ms=self._beats
        )
        # A collection of all that the scenario holds is no part of the decision.
        gc.disable()
        began_s = time.process_time()
        self.rows = self._planner.plan_moves(self.rows, snapshot, self.now_ms)
        took_ms = (time.process_time() - began_s) * 1000
        gc.enable()
        self.slowest_ms = max(self.slowest_ms, took_ms)
        self._at(PLAN_MS, self._plan)


def has_key(row: Row, keys: list[int]) -> bool:
    """Tell whether any of some keys lies in a row."""
    return any(row.start <= key <= row.end for key in keys)
