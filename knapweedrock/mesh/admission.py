"""Admission to a target: its slots, a queue by urgency, its limit, its rate while cold.

A target that names a limit of requests a second is never sent more, whatever waits.
"""

import heapq
import itertools
from collections import Counter, deque
from typing import Any

import gevent
from gevent.event import AsyncResult

from knapweedrock.clock import NS_PER_MS, NS_PER_S, Clock
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError
from knapweedrock.mesh.rates import RateLimit
from knapweedrock.timers import Alarm

SERVICE_WEIGHT = 0.05
FIRST_SERVICE_MS = 100.0
# Time of service to expect of a kind that was not served yet, as a share of its
# objective at most.
FIRST_SERVICE_SHARE = 0.3
MAX_KINDS = 1024
# Share of the time left that a late request may spend waiting.
LATE_SHARE = 0.4
MIN_PATIENCE_MS = 20.0
# Share of the patience that the estimated wait may take, so that those who are let
# into the queue are rarely refused at the end of their wait.
ADMITTED_SHARE = 0.7
TAKEN_COUNT = 64
# No rank is served less often than this share of how often all are served: the least
# urgent come last, but they come.
LEAST_SERVED = 0.4
ASKED_COUNT = 512
MIN_OPEN_SHARE = 0.1
# Requests to a cold target are spread over each second, at nearly its rate.
COLD_SPACING = 0.95
# Time between looks at whether a bounded rate lets the next request go.
RATE_POLL_S = 0.01
# Requests at once at a target that has not said yet what it takes.
FIRST_SLOTS = 2
# Load that a limited target may report, as a share of its slots: more would not fit
# at any other target.
MOST_LOAD_SHARE = 1.5
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 1000.0


class Waiter:
    """A request that waits for a slot until its patience ends."""

    __slots__ = ("given_up", "rank", "result", "until_ns")

    def __init__(self, rank: int, until_ns: int) -> None:
        self.rank = rank
        self.until_ns = until_ns
        self.result: AsyncResult = AsyncResult()
        self.given_up = False


class Admission:
    """Slots of one target, handed out by rank and then in order of arrival."""

    def __init__(self, clock: Clock) -> None:
        self.slots = 1
        self.in_flight = 0
        self.service_ms = FIRST_SERVICE_MS
        self.cold_until_ns = 0
        self.cold_rate = 0.0
        self.limit = RateLimit(clock)
        # Unset in a new process until an answer of the target, or the mesh, has come.
        self.is_known = True
        self._clock = clock
        self._queue: list[tuple[int, int, Waiter]] = []
        self._numbers = itertools.count()
        self._waiting = 0
        self._sent_ns: deque[int] = deque()
        # Ranks of the last requests that got a slot.
        self._taken: deque[int] = deque(maxlen=TAKEN_COUNT)
        self._taken_by_rank: Counter[int] = Counter()
        self._timer: Any = None
        # Time of service of each kind of request: they differ within one service.
        self._kind_ms: dict[str, float] = {}
        # Requests of the last time by rank, and those of them that got a slot.
        self._asked: Counter[int] = Counter()
        self._served: Counter[int] = Counter()

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return self._waiting

    def get_busy(self) -> float:
        """Return the requests at the target and in the queue for each slot."""
        return (self.in_flight + self._waiting) / max(self.slots, 1)

    def find_load_scale(self, load: float) -> float:
        """Find by how much to multiply a load so that a target at its limit is full.

        `load` is the number of requests that are, or would be, at the target at once.
        """
        if self.limit.rate is None or load <= 0:
            return 1.0
        borne = self.limit.rate * self.service_ms / 1000
        scaled = min(load * self.slots / borne, MOST_LOAD_SHARE * self.slots)
        return max(scaled / load, 1.0)

    def is_cold(self) -> bool:
        """Tell whether the target bears only a bounded rate now."""
        return self.cold_rate > 0 and self._clock.now_ns() < self.cold_until_ns

    def acquire(
        self, rank: int, objective_ms: float, remaining_ms: float, kind: str = ""
    ) -> None:
        """Take a slot, waiting for it as long as that helps the caller.

        `objective_ms` is what is left of the time that the caller hopes for and
        `remaining_ms` what is left of its deadline; `kind` names what its work is
        like. Raises `RefusalError`.
        """
        own_rank, rank = rank, self._lift(rank)
        if not self._waiting and self._has_room():
            self._take(rank)
        else:
            self._queue_up(rank, objective_ms, remaining_ms, kind)
        self._served[own_rank] += 1

    def _lift(self, rank: int) -> int:
        """Return the rank of a request, the highest where its own is shut out."""
        if self._asked.total() >= ASKED_COUNT:
            for counts in (self._asked, self._served):
                for known in counts:
                    counts[known] //= 2
        self._asked[rank] += 1
        usual = self._served.total() / self._asked.total()
        if self._served[rank] < LEAST_SERVED * usual * self._asked[rank]:
            return min(rank, 0)
        return rank

    def _queue_up(
        self, rank: int, objective_ms: float, remaining_ms: float, kind: str
    ) -> None:
        patience_ms = self.find_patience_ms(objective_ms, remaining_ms, kind)
        ahead = sum(1 for r, _, w in self._queue if r <= rank and not w.given_up)
        wait_ms = self.estimate_wait_ms(ahead) / self._find_open_share(rank)
        if wait_ms > patience_ms * ADMITTED_SHARE:
            raise self._refuse(Code.OVERLOADED)
        waiter = Waiter(rank, self._clock.now_ns() + int(patience_ms * NS_PER_MS))
        heapq.heappush(self._queue, (rank, next(self._numbers), waiter))
        self._waiting += 1
        self.wake()
        self._refuse_last(rank)
        self._wait(waiter, patience_ms)

    def release(self, service_ms: float = 0.0, kind: str = "") -> None:
        """Give a slot back after this much time of service (0: not known)."""
        if service_ms:
            self.service_ms += (service_ms - self.service_ms) * SERVICE_WEIGHT
            self._note_kind(service_ms, kind)
        self.in_flight -= 1
        self.wake()

    def wake(self) -> None:
        """Hand free slots to those who wait."""
        while self._queue and self._has_room():
            _, _, waiter = heapq.heappop(self._queue)
            if waiter.given_up:
                continue
            self._waiting -= 1
            self._take(waiter.rank)
            waiter.result.set(None)
        is_bounded = self.limit.rate is not None or self.is_cold()
        if self._queue and is_bounded and self._timer is None:
            self._timer = gevent.spawn_later(RATE_POLL_S, self._wake_again)

    def _wake_again(self) -> None:
        self._timer = None
        self.wake()

    def set_limit(self, limit: float | None) -> None:
        """Bound the requests a second; None is no bound.

        Those that wait, and can't be served in time under it, are refused at once.
        """
        if not self.limit.change(limit):
            return
        while self._refuse_last(None):
            pass
        self.wake()

    def find_patience_ms(
        self, objective_ms: float, remaining_ms: float, kind: str = ""
    ) -> float:
        """Find the longest wait after which the answer is still worth the slot."""
        service_ms = self._find_service_ms(objective_ms, kind)
        in_time_ms = objective_ms - service_ms
        if in_time_ms > MIN_PATIENCE_MS:
            return min(in_time_ms, remaining_ms)
        return max(MIN_PATIENCE_MS, (remaining_ms - service_ms) * LATE_SHARE)

    def _find_service_ms(self, objective_ms: float, kind: str) -> float:
        """Find the usual time of service of a kind of request."""
        if not kind:
            return self.service_ms
        known_ms = self._kind_ms.get(kind)
        if known_ms is not None:
            return known_ms
        return min(self.service_ms, max(objective_ms, 0) * FIRST_SERVICE_SHARE)

    def _note_kind(self, service_ms: float, kind: str) -> None:
        if kind not in self._kind_ms and len(self._kind_ms) >= MAX_KINDS:
            self._kind_ms.clear()
        usual_ms = self._kind_ms.get(kind, service_ms)
        self._kind_ms[kind] = usual_ms + (service_ms - usual_ms) * SERVICE_WEIGHT

    def estimate_wait_ms(self, ahead: int) -> float:
        """Estimate the wait behind this many requests in the queue."""
        wait_ms = (ahead + 1) * self.service_ms / max(self.slots, 1)
        if self.is_cold():
            wait_ms = max(wait_ms, (ahead + 1) * 1000 / self.cold_rate)
        return max(wait_ms, self.limit.find_wait_ms(ahead))

    def get_retry_after_ms(self) -> float:
        """Return when a refused request may find room."""
        wait_ms = self.estimate_wait_ms(self._waiting)
        return min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)

    def refuse_waiting(self, code: Code) -> None:
        """Refuse all that wait, as the target gets nothing more."""
        for _, _, waiter in self._queue:
            if not waiter.given_up:
                self._give_up(waiter)
                waiter.result.set_exception(RefusalError(code))
        self._queue.clear()

    def _refuse_last(self, rank: int | None) -> bool:
        """Refuse the last of those that wait where it can't be served in time.

        With a rank, only one that is less urgent. Tells whether one was refused.
        """
        waiting = [item for item in self._queue if not item[2].given_up]
        if not waiting:
            return False
        last = max(waiting)[2]
        if rank is not None and last.rank <= rank:
            return False
        left_ms = (last.until_ns - self._clock.now_ns()) / NS_PER_MS
        if self.estimate_wait_ms(self._waiting - 1) <= left_ms:
            return False
        self._give_up(last)
        last.result.set_exception(self._refuse(Code.OVERLOADED))
        return True

    def _find_open_share(self, rank: int) -> float:
        """Find the share of the slots that the more urgent leave to a rank."""
        if not self._taken:
            return 1.0
        urgent = sum(n for r, n in self._taken_by_rank.items() if r < rank)
        return max(1 - urgent / len(self._taken), MIN_OPEN_SHARE)

    def _has_room(self) -> bool:
        slots = self.slots if self.is_known else min(self.slots, FIRST_SLOTS)
        if self.in_flight >= slots or not self.limit.has_room():
            return False
        if not self.is_cold():
            return True
        now_ns = self._clock.now_ns()
        while self._sent_ns and self._sent_ns[0] <= now_ns - NS_PER_S:
            self._sent_ns.popleft()
        if not self._sent_ns:
            return True
        spacing_ns = COLD_SPACING * NS_PER_S / self.cold_rate
        is_spaced = now_ns - self._sent_ns[-1] >= spacing_ns
        return is_spaced and len(self._sent_ns) < self.cold_rate

    def _take(self, rank: int) -> None:
        self.in_flight += 1
        self.limit.take()
        if len(self._taken) == self._taken.maxlen:
            self._taken_by_rank[self._taken[0]] -= 1
        self._taken.append(rank)
        self._taken_by_rank[rank] += 1
        if self.cold_rate:
            self._sent_ns.append(self._clock.now_ns())
            while len(self._sent_ns) > self.cold_rate:
                self._sent_ns.popleft()

    def _wait(self, waiter: Waiter, patience_ms: float) -> None:
        try:
            with Alarm(max(patience_ms, 1) / 1000):
                waiter.result.get()
        except TimeoutError:
            if waiter.result.ready():
                waiter.result.get()
                return
            self._give_up(waiter)
            raise self._refuse(Code.QUEUE_TIMEOUT) from None
        except BaseException:
            if waiter.result.successful():
                self.release()
            else:
                self._give_up(waiter)
            raise

    def _give_up(self, waiter: Waiter) -> None:
        if not waiter.given_up:
            waiter.given_up = True
            self._waiting -= 1

    def _refuse(self, code: Code) -> RefusalError:
        return RefusalError(code, retry_after_ms=int(self.get_retry_after_ms()))
