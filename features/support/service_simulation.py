"""Simulation of a keyed service under load, with targets, heartbeats and key moves.

The simulation needs no network. Time advances in small steps, and the coordinator's own
code plans the moves on loads that are measured as nodes measure them.
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
HEARTBEAT_INTERVAL_MS = 870
REPORT_INTERVAL_MS = 400
PLAN_INTERVAL_MS = 100
RELEASE_DELAY_MS = 90
# Longest wait of a request for a moving key: a share of its remaining time, and in ms.
MAX_MOVE_WAIT_SHARE = 0.6
MAX_MOVE_WAIT_MS = 1000
RETRY_DELAY_MS = 250
# Time for which the same targets are slow, and the factor on their work times.
SLOW_PERIOD_MS = 400
SLOW_FACTOR = 3.0


class TrafficSpike(NamedTuple):
    """A period in which adjacent keys get an extra share of all requests."""

    start_ms: int
    duration_ms: int
    share: float
    key_count: int
    first_key: int


class LoadProfile(NamedTuple):
    """Rate, work times and limits of the requests for a service."""

    requests_per_s: float
    work_ms: float
    objective_ms: float
    deadline_ms: float
    spikes: tuple[TrafficSpike, ...]
    # Share of the targets that are slow at any time; the targets change each period.
    slow_target_share: float = 0.0


class Request:
    """A request with its key and start time."""

    __slots__ = ("key", "retried", "started_ms")

    def __init__(self, key: int, started_ms: float) -> None:
        self.key = key
        self.started_ms = started_ms
        self.retried = False


class SimulatedTarget:
    """A target with its queue, running requests and held rows."""

    def __init__(self, member: Member, speed: float, phase_ms: float) -> None:
        self.member = member
        self.speed = speed
        self.next_heartbeat_ms = phase_ms
        self.held_rows: list[Row] = []
        self.running_keys: list[int] = []
        self.queue: list[Request] = []
        self.clock = FakeClock()
        self.meter = LoadMeter(self.clock)
        self.service_ms = 100.0


class RequestCounts:
    """Outcomes of requests by the second in which they started, and moved keys."""

    def __init__(self) -> None:
        self.offered: dict[int, int] = {}
        self.in_time: dict[int, int] = {}
        self.late: dict[int, int] = {}
        self.moved_keys = 0

    def compute_in_time_share(self, first: int, after: int) -> float:
        """Return the share served in time from one second to before another."""
        offered = sum(self.offered.get(s, 0) for s in range(first, after))
        in_time = sum(self.in_time.get(s, 0) for s in range(first, after))
        return in_time / max(offered, 1)


class SimulatedService:
    """A keyed service whose key ownership a real `Planner` manages."""

    def __init__(self, targets: int, slots: int, load: LoadProfile, seed: int) -> None:
        self._random = random.Random(seed)
        names = [f"n{number:03}" for number in range(targets)]
        self._targets = {
            name: SimulatedTarget(
                create_member(name, slots=slots),
                self._random.choice((0.6, 1.0, 1.0, 1.4)),
                self._random.uniform(0, HEARTBEAT_INTERVAL_MS),
            )
            for name in names
        }
        self._load = load
        members = {name: target.member for name, target in self._targets.items()}
        self._snapshot = create_snapshot(
            members, heartbeat_interval_ms=HEARTBEAT_INTERVAL_MS
        )
        self.rows = create_initial_table(list_eligible_members(self._snapshot))
        for row in self.rows:
            self._targets[row.node_id].held_rows.append(row)
        self._planner = Planner()
        self._reported_loads: dict[str, list] = {}
        self._heartbeat_at_ms: dict[str, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self.counts = RequestCounts()
        self._key_pool = [self._random.randrange(KEY_COUNT) for _ in range(3000)]
        self.now_ms = 0.0
        # Processor time of the slowest planning round.
        self.slowest_decision_ms = 0.0

    def run(self, seconds: int) -> RequestCounts:
        """Simulate some seconds and return the outcomes of all requests."""
        for name in self._targets:
            self._send_heartbeat(name)
            self._schedule(
                self._random.uniform(0, REPORT_INTERVAL_MS), self._report_loads, name
            )
        self._schedule(0, self._plan_moves)
        self._schedule(DECAY_INTERVAL_MS, self._decay_loads)
        while self.now_ms < seconds * 1000:
            self.now_ms += STEP_MS
            for _ in range(
                self._draw_poisson(self._load.requests_per_s * STEP_MS / 1000)
            ):
                self._start_request()
            while self._events and self._events[0][0] <= self.now_ms:
                heapq.heappop(self._events)[2]()
        return self.counts

    def _schedule(self, delay_ms: float, callback: Callable, *args) -> None:
        event = (
            self.now_ms + delay_ms,
            next(self._event_numbers),
            lambda: callback(*args),
        )
        heapq.heappush(self._events, event)

    def _draw_poisson(self, mean: float) -> int:
        count, limit, product = 0, math.exp(-mean), self._random.random()
        while product > limit:
            count += 1
            product *= self._random.random()
        return count

    def _start_request(self) -> None:
        second = int(self.now_ms // 1000)
        self.counts.offered[second] = self.counts.offered.get(second, 0) + 1
        self._route(Request(self._choose_key(), self.now_ms))

    def _choose_key(self) -> int:
        point = self._random.random()
        for spike in self._load.spikes:
            if spike.start_ms <= self.now_ms < spike.start_ms + spike.duration_ms:
                if point < spike.share:
                    return spike.first_key + self._random.randrange(spike.key_count)
                point = (point - spike.share) / (1 - spike.share)
        rank = int(len(self._key_pool) * self._random.random() ** 2.3)
        return self._key_pool[rank]

    def _route(self, request: Request, wait_until_ms: float = 0.0) -> None:
        """Send a request to the holder of its key, waiting while the key moves."""
        remaining_ms = request.started_ms + self._load.deadline_ms - self.now_ms
        if remaining_ms <= 0:
            return
        row = find_row(self.rows, request.key)
        target = self._targets[row.node_id]
        if any(
            held_row.start <= request.key <= held_row.end
            for held_row in target.held_rows
        ):
            self._admit_request(target, request)
            return
        wait_until_ms = wait_until_ms or self.now_ms + min(
            MAX_MOVE_WAIT_MS, MAX_MOVE_WAIT_SHARE * remaining_ms
        )
        if self.now_ms < wait_until_ms:
            self._schedule(20, self._route, request, wait_until_ms)
        else:
            self._retry(request)

    def _admit_request(self, target: SimulatedTarget, request: Request) -> None:
        remaining_ms = request.started_ms + self._load.objective_ms - self.now_ms
        max_wait_ms = max(20.0, remaining_ms - target.service_ms)
        wait_ms = (len(target.queue) + 1) * target.service_ms / target.member.slots
        if len(target.running_keys) < target.member.slots:
            self._start_work(target, request)
        elif wait_ms < 0.7 * max_wait_ms:
            target.queue.append(request)
        else:
            self._record_time(target, request.key, target.service_ms)
            self._retry(request)

    def _start_work(self, target: SimulatedTarget, request: Request) -> None:
        target.running_keys.append(request.key)
        log_mean = math.log(self._load.work_ms / target.speed) - 0.2
        work_ms = min(
            self._random.lognormvariate(log_mean, 0.6), 6 * self._load.work_ms
        )
        slowness_seed = f"{target.member.node_id} {self.now_ms // SLOW_PERIOD_MS}"
        if random.Random(slowness_seed).random() < self._load.slow_target_share:
            work_ms *= SLOW_FACTOR
        self._schedule(work_ms, self._finish_work, target, request, work_ms)

    def _finish_work(
        self, target: SimulatedTarget, request: Request, work_ms: float
    ) -> None:
        target.running_keys.remove(request.key)
        target.service_ms += (work_ms - target.service_ms) * 0.05
        self._record_time(target, request.key, work_ms)
        elapsed_ms, second = (
            self.now_ms - request.started_ms,
            int(request.started_ms // 1000),
        )
        counts = self.counts.in_time
        if elapsed_ms > self._load.objective_ms:
            counts = self.counts.late
        counts[second] = counts.get(second, 0) + 1
        if target.queue:
            self._start_work(target, target.queue.pop(0))

    def _retry(self, request: Request) -> None:
        if not request.retried:
            request.retried = True
            self._schedule(RETRY_DELAY_MS, self._route, request)

    def _record_time(self, target: SimulatedTarget, key: int, spent_ms: float) -> None:
        target.clock.ns = int((self.now_ms + 1000) * NS_PER_MS)
        target.meter.add(key, spent_ms)

    def _decay_loads(self) -> None:
        for target in self._targets.values():
            target.clock.ns = int((self.now_ms + 1000) * NS_PER_MS)
            target.meter.decay()
        self._schedule(DECAY_INTERVAL_MS, self._decay_loads)

    def _report_loads(self, name: str) -> None:
        """Record the measured load of a target's rows, as its node reports it."""
        target = self._targets[name]
        target.clock.ns = int((self.now_ms + 1000) * NS_PER_MS)
        owned = [row for row in self.rows if row.node_id == name]
        self._reported_loads[name] = compute_row_loads(
            owned, target.meter.measure(), LOAD_PARTS_PER_ROW
        )
        self._schedule(REPORT_INTERVAL_MS, self._report_loads, name)

    def _send_heartbeat(self, name: str) -> None:
        """Send a heartbeat: the target holds its new rows and releases moving ones."""
        target = self._targets[name]
        self._schedule(
            target.next_heartbeat_ms or HEARTBEAT_INTERVAL_MS,
            self._send_heartbeat,
            name,
        )
        target.next_heartbeat_ms = 0.0
        self._heartbeat_at_ms[name] = self.now_ms
        kept = [r for r in self.rows if r.node_id == name and not r.next_node]
        target.held_rows = kept
        marked = [r for r in self.rows if r.node_id == name and r.next_node]
        if marked:
            self._schedule(RELEASE_DELAY_MS, self._release_rows, target, marked)

    def _release_rows(self, target: SimulatedTarget, marked: list[Row]) -> None:
        """Reassign moving rows once no request for their keys is running."""
        busy = [row for row in marked if has_key(row, target.running_keys)]
        if busy:
            self._schedule(RELEASE_DELAY_MS, self._release_rows, target, busy)
        marked = [row for row in marked if row not in busy]
        released = tuple((row.start, row.end, "mark") for row in marked)
        snapshot = self._snapshot._replace(unheld=marked, released=released)
        before = set(self.rows)
        self.rows = reassign_rows(self.rows, snapshot)
        reassigned = [row for row in self.rows if row not in before]
        self.counts.moved_keys += sum(row.end - row.start + 1 for row in reassigned)
        self._planner.record_new_owners(reassigned, self.now_ms)

    def _plan_moves(self) -> None:
        snapshot = self._snapshot._replace(
            loads=self._reported_loads, heartbeat_at_ms=self._heartbeat_at_ms
        )
        # Garbage collection of the whole scenario is not part of the planning round.
        gc.disable()
        began_s = time.process_time()
        self.rows = self._planner.plan_moves(self.rows, snapshot, self.now_ms)
        elapsed_ms = (time.process_time() - began_s) * 1000
        gc.enable()
        self.slowest_decision_ms = max(self.slowest_decision_ms, elapsed_ms)
        self._schedule(PLAN_INTERVAL_MS, self._plan_moves)


def has_key(row: Row, keys: list[int]) -> bool:
    """Return whether any of the keys lies in the row."""
    return any(row.start <= key <= row.end for key in keys)
