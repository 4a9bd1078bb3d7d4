"""Admission control for a target: slots, a priority queue and rate limits.

A target with a limit of requests per second is never sent more, even if requests wait.
"""

import heapq
import itertools
from collections import Counter, deque
from typing import Any, NamedTuple

import gevent
from gevent.event import AsyncResult

from knapweedrock.clock import NS_PER_MS, NS_PER_S, Clock
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError
from knapweedrock.mesh.rates import RateLimit
from knapweedrock.timers import Timeout

# Weight of one sample in the moving averages of service times.
SERVICE_TIME_WEIGHT = 0.05
INITIAL_SERVICE_MS = 100.0
# Upper bound of the expected service time of a kind that was never served, as a share
# of the request's objective.
INITIAL_SERVICE_SHARE = 0.3
MAX_KINDS = 1024
# Share of the remaining time, less the service time, that a request may wait in the
# queue if it will miss its objective.
LATE_WAIT_SHARE = 0.4
MIN_QUEUE_TIMEOUT_MS = 20.0
# Share of the queue timeout that the estimated wait may take, so that queued requests
# rarely time out in the queue.
MAX_WAIT_SHARE = 0.7
# Number of recent admissions that the slot share of a priority is computed from.
RECENT_ADMISSIONS = 64
# A priority is starved if its served ratio is below this share of the overall ratio.
# Starved requests are promoted, so that the least urgent are served at all.
MIN_SERVED_RATIO = 0.4
# The counts of requests are halved when they reach this number.
REQUEST_WINDOW = 512
MIN_SLOT_SHARE = 0.1
# Minimum spacing of requests to a cold target, as a share of the even spacing at its
# rate: it spreads the requests over each second.
COLD_SPACING_SHARE = 0.95
# Interval at which queued requests are checked against a rate limit.
RATE_POLL_S = 0.01
# Concurrent requests to a target that has not reported its limit yet.
INITIAL_SLOTS = 2
# Maximum load that a limited target reports, as a share of its slots: a higher load
# would not fit on any other target.
MAX_LOAD_SHARE = 1.5
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 1000.0


class QueuePlace(NamedTuple):
    """Place of a request in the queue; the smallest one gets the next slot.

    Within a priority, requests that can still meet their objective come first, and of
    these the ones with the least time left to wait.
    """

    priority: int
    is_late: bool
    deadline_ns: int
    arrival_number: int


class Waiter:
    """A request that waits for a slot until its queue timeout."""

    __slots__ = ("abandoned", "place", "result")

    def __init__(self, place: QueuePlace) -> None:
        self.place = place
        self.result: AsyncResult = AsyncResult()
        self.abandoned = False


class Admission:
    """Slots of one target, assigned by priority and then by the time left to wait."""

    def __init__(self, clock: Clock) -> None:
        self.slots = 1
        self.in_flight = 0
        self.service_ms = INITIAL_SERVICE_MS
        self.cold_until_ns = 0
        self.cold_rate = 0.0
        self.limit = RateLimit(clock)
        # False in a restarted node until the target answers or the mesh reports the
        # target's state.
        self.is_known = True
        self._clock = clock
        self._queue: list[tuple[QueuePlace, Waiter]] = []
        self._arrival_numbers = itertools.count()
        self._waiting = 0
        # Times of the latest admissions, kept only for targets with a cold rate.
        self._admitted_ns: deque[int] = deque()
        # Priorities of the latest admitted requests.
        self._recent_priorities: deque[int] = deque(maxlen=RECENT_ADMISSIONS)
        self._recent_by_priority: Counter[int] = Counter()
        self._poll_timer: Any = None
        # Average service time of each kind of request; the kinds of a service differ.
        self._service_ms_by_kind: dict[str, float] = {}
        # Recent requests by priority, and how many of them got a slot.
        self._requested: Counter[int] = Counter()
        self._served: Counter[int] = Counter()

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return self._waiting

    def get_load_per_slot(self) -> float:
        """Return the number of requests at the target and in the queue, per slot."""
        return (self.in_flight + self._waiting) / max(self.slots, 1)

    def compute_load_scale(self, load: float) -> float:
        """Return the factor by which to scale a load to account for the target's limit.

        `load` is the number of requests that are, or would be, at the target at once.
        The factor makes a target at its limit appear full; it is 1 without a limit.
        """
        if self.limit.rate_per_s is None or load <= 0:
            return 1.0
        max_in_flight = self.limit.rate_per_s * self.service_ms / 1000
        scaled = min(load * self.slots / max_in_flight, MAX_LOAD_SHARE * self.slots)
        return max(scaled / load, 1.0)

    def is_cold(self) -> bool:
        """Return whether the target is cold, which limits its rate."""
        return self.cold_rate > 0 and self._clock.now_ns() < self.cold_until_ns

    def acquire(
        self, priority: int, objective_ms: float, remaining_ms: float, kind: str = ""
    ) -> None:
        """Acquire a slot; wait for it as long as the response can still be in time.

        `objective_ms` is the time left until the route's latency objective, and
        `remaining_ms` the time left until the deadline. Requests of one `kind` take
        similar service times. Raises `RefusalError` if the request is shed.
        """
        own_priority, priority = priority, self._promote_if_starved(priority)
        if not self._waiting and self._has_room():
            self._admit(priority)
        else:
            self._enqueue(priority, objective_ms, remaining_ms, kind)
        self._served[own_priority] += 1

    def _promote_if_starved(self, priority: int) -> int:
        """Return the request's priority, or the highest one if its own is starved."""
        if self._requested.total() >= REQUEST_WINDOW:
            for counts in (self._requested, self._served):
                for counted in counts:
                    counts[counted] //= 2
        self._requested[priority] += 1
        served_ratio = self._served.total() / self._requested.total()
        if (
            self._served[priority]
            < MIN_SERVED_RATIO * served_ratio * self._requested[priority]
        ):
            return min(priority, 0)
        return priority

    def _enqueue(
        self, priority: int, objective_ms: float, remaining_ms: float, kind: str
    ) -> None:
        queue_timeout_ms = self.compute_queue_timeout_ms(
            objective_ms, remaining_ms, kind
        )
        place = QueuePlace(
            priority,
            self._compute_slack_ms(objective_ms, kind) <= MIN_QUEUE_TIMEOUT_MS,
            self._clock.now_ns() + int(queue_timeout_ms * NS_PER_MS),
            next(self._arrival_numbers),
        )
        ahead = sum(1 for p, w in self._queue if p < place and not w.abandoned)
        wait_ms = self.estimate_wait_ms(ahead) / self._compute_slot_share(priority)
        if wait_ms > queue_timeout_ms * MAX_WAIT_SHARE:
            raise self._create_refusal(Code.OVERLOADED)
        waiter = Waiter(place)
        heapq.heappush(self._queue, (place, waiter))
        self._waiting += 1
        self.wake_waiters()
        self._shed_last(place)
        self._wait(waiter, queue_timeout_ms)

    def release(self, service_ms: float = 0.0, kind: str = "") -> None:
        """Release a slot after this service time; 0 means unknown."""
        if service_ms:
            self.service_ms += (service_ms - self.service_ms) * SERVICE_TIME_WEIGHT
            self._record_service_ms(service_ms, kind)
        self.in_flight -= 1
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """Assign free slots to queued requests."""
        while self._queue and self._has_room():
            place, waiter = heapq.heappop(self._queue)
            if waiter.abandoned:
                continue
            self._waiting -= 1
            self._admit(place.priority)
            waiter.result.set(None)
        is_bounded = self.limit.rate_per_s is not None or self.is_cold()
        if self._queue and is_bounded and self._poll_timer is None:
            self._poll_timer = gevent.spawn_later(RATE_POLL_S, self._wake_after_poll)

    def _wake_after_poll(self) -> None:
        self._poll_timer = None
        self.wake_waiters()

    def set_limit(self, limit: float | None) -> None:
        """Set the limit in requests per second; None removes it.

        Refuses at once the queued requests that can't be served in time under the
        limit.
        """
        if not self.limit.set_limit(limit):
            return
        while self._shed_last(None):
            pass
        self.wake_waiters()

    def compute_queue_timeout_ms(
        self, objective_ms: float, remaining_ms: float, kind: str = ""
    ) -> float:
        """Compute the longest wait after which the response is still useful."""
        slack_ms = self._compute_slack_ms(objective_ms, kind)
        if slack_ms > MIN_QUEUE_TIMEOUT_MS:
            return min(slack_ms, remaining_ms)
        service_ms = self._get_service_ms(objective_ms, kind)
        return max(MIN_QUEUE_TIMEOUT_MS, (remaining_ms - service_ms) * LATE_WAIT_SHARE)

    def _compute_slack_ms(self, objective_ms: float, kind: str) -> float:
        """Compute the longest wait with which a response meets its objective."""
        return objective_ms - self._get_service_ms(objective_ms, kind)

    def _get_service_ms(self, objective_ms: float, kind: str) -> float:
        """Return the expected service time of a kind of request."""
        if not kind:
            return self.service_ms
        known_ms = self._service_ms_by_kind.get(kind)
        if known_ms is not None:
            return known_ms
        return min(self.service_ms, max(objective_ms, 0) * INITIAL_SERVICE_SHARE)

    def _record_service_ms(self, service_ms: float, kind: str) -> None:
        if (
            kind not in self._service_ms_by_kind
            and len(self._service_ms_by_kind) >= MAX_KINDS
        ):
            self._service_ms_by_kind.clear()
        average_ms = self._service_ms_by_kind.get(kind, service_ms)
        self._service_ms_by_kind[kind] = (
            average_ms + (service_ms - average_ms) * SERVICE_TIME_WEIGHT
        )

    def estimate_wait_ms(self, ahead: int) -> float:
        """Estimate the wait behind `ahead` requests in the queue."""
        wait_ms = (ahead + 1) * self.service_ms / max(self.slots, 1)
        if self.is_cold():
            wait_ms = max(wait_ms, (ahead + 1) * 1000 / self.cold_rate)
        return max(wait_ms, self.limit.compute_wait_ms(ahead))

    def get_retry_after_ms(self) -> float:
        """Return after how long a refused request should be retried."""
        wait_ms = self.estimate_wait_ms(self._waiting)
        return min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)

    def refuse_waiting(self, code: Code) -> None:
        """Refuse all queued requests, as the target must not receive any more."""
        for _, waiter in self._queue:
            if not waiter.abandoned:
                self._abandon(waiter)
                waiter.result.set_exception(RefusalError(code))
        self._queue.clear()

    def _shed_last(self, newest: QueuePlace | None) -> bool:
        """Shed the last queued request if it can't be served in time.

        The request at the place `newest` is not shed. Returns whether a request was
        shed.
        """
        waiting = [item for item in self._queue if not item[1].abandoned]
        if not waiting:
            return False
        place, last = max(waiting)
        if place == newest:
            return False
        remaining_ms = (place.deadline_ns - self._clock.now_ns()) / NS_PER_MS
        if self.estimate_wait_ms(self._waiting - 1) <= remaining_ms:
            return False
        self._abandon(last)
        last.result.set_exception(self._create_refusal(Code.OVERLOADED))
        return True

    def _compute_slot_share(self, priority: int) -> float:
        """Compute the share of slots that more urgent requests leave to a priority."""
        if not self._recent_priorities:
            return 1.0
        urgent = sum(n for p, n in self._recent_by_priority.items() if p < priority)
        return max(1 - urgent / len(self._recent_priorities), MIN_SLOT_SHARE)

    def _has_room(self) -> bool:
        slots = self.slots if self.is_known else min(self.slots, INITIAL_SLOTS)
        if self.in_flight >= slots or not self.limit.has_room():
            return False
        if not self.is_cold():
            return True
        now_ns = self._clock.now_ns()
        while self._admitted_ns and self._admitted_ns[0] <= now_ns - NS_PER_S:
            self._admitted_ns.popleft()
        if not self._admitted_ns:
            return True
        spacing_ns = COLD_SPACING_SHARE * NS_PER_S / self.cold_rate
        is_spaced = now_ns - self._admitted_ns[-1] >= spacing_ns
        return is_spaced and len(self._admitted_ns) < self.cold_rate

    def _admit(self, priority: int) -> None:
        self.in_flight += 1
        self.limit.consume()
        if len(self._recent_priorities) == self._recent_priorities.maxlen:
            self._recent_by_priority[self._recent_priorities[0]] -= 1
        self._recent_priorities.append(priority)
        self._recent_by_priority[priority] += 1
        if self.cold_rate:
            self._admitted_ns.append(self._clock.now_ns())
            while len(self._admitted_ns) > self.cold_rate:
                self._admitted_ns.popleft()

    def _wait(self, waiter: Waiter, queue_timeout_ms: float) -> None:
        try:
            with Timeout(max(queue_timeout_ms, 1) / 1000):
                waiter.result.get()
        except TimeoutError:
            if waiter.result.ready():
                waiter.result.get()
                return
            self._abandon(waiter)
            raise self._create_refusal(Code.QUEUE_TIMEOUT) from None
        except BaseException:
            if waiter.result.successful():
                self.release()
            else:
                self._abandon(waiter)
            raise

    def _abandon(self, waiter: Waiter) -> None:
        if not waiter.abandoned:
            waiter.abandoned = True
            self._waiting -= 1

    def _create_refusal(self, code: Code) -> RefusalError:
        return RefusalError(code, retry_after_ms=int(self.get_retry_after_ms()))
