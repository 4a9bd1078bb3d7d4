"""Admission to the target: slots, and a short queue that is fair to callers."""

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from gevent.event import AsyncResult
from gevent.timeout import Timeout

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError
from knapweedrock.targets.ramp import Ramp

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

MAX_WAIT_MS = 250.0
STANDING_AFTER_MS = 200.0
MIN_STANDING_WAIT_MS = 20.0
LATE_FACTOR = 2.0
MIN_QUEUE = 4
SERVICE_WEIGHT = 0.1
FIRST_SERVICE_MS = 20.0
MIN_RETRY_AFTER_MS = 20
MAX_RETRY_AFTER_MS = 10_000


class Waiter:
    """A request that waits for a slot."""

    def __init__(self, caller: str, until_ns: int, alone: bool) -> None:
        self.caller = caller
        self.until_ns = until_ns
        self.alone = alone
        self.result: AsyncResult = AsyncResult()


class Admission:
    """Slots of the target in use, and who waits for one.

    A queue that did not empty for a while only adds delay, so it is kept shorter
    than one that takes up a burst. Callers take turns; the waiting requests of one
    caller go in order. A request that runs alone waits until nothing else is in
    flight and keeps others out.
    """

    def __init__(self, env: "Environment", ramp: Ramp) -> None:
        self.env = env
        self.ramp = ramp
        self.in_flight = 0
        self.waiting = 0
        self.alone = False
        self.service_ms = FIRST_SERVICE_MS
        self.emptied_ns = 0
        self.queues: OrderedDict[str, deque[Waiter]] = OrderedDict()
        self.alone_queue: deque[Waiter] = deque()

    def acquire(
        self,
        caller: str,
        until_ns: int,
        alone: bool = False,
        is_patient: bool = False,
    ) -> None:
        """Take a slot, waiting for one if need be; patient ones until the deadline.

        Raises `OVERLOADED` at once when the wait would be too long, and
        `QUEUE_TIMEOUT` when it was.
        """
        if not alone and not self.waiting and self.try_acquire():
            return
        if alone and not self.in_flight and not self.alone:
            self.in_flight, self.alone = 1, True
            return
        self._wait(self._enqueue(caller, until_ns, alone, is_patient))

    def try_acquire(self) -> bool:
        """Take a slot if one is free now."""
        if self.alone or self.alone_queue or self.in_flight >= self.ramp.get_limit():
            return False
        self.in_flight += 1
        return True

    def release(self, service_ms: float = 0.0) -> None:
        """Give a slot back after this much time of service (0: not known)."""
        if service_ms:
            self.service_ms += (service_ms - self.service_ms) * SERVICE_WEIGHT
        self.in_flight -= 1
        if not self.in_flight:
            self.alone = False
        self.wake()

    def wake(self) -> None:
        """Hand free slots to those who wait."""
        while self.waiting:
            waiter = self._next()
            if waiter is None:
                return
            self.waiting -= 1
            self.in_flight += 1
            self.alone = waiter.alone
            waiter.result.set(None)

    def estimate_wait_ms(self, ahead: int) -> float:
        """Estimate the wait behind this many requests."""
        return (ahead + 1) * self.service_ms / max(self.ramp.get_limit(), 1)

    def get_retry_after_ms(self) -> int:
        """Return when a refused request may find room."""
        wait_ms = self.estimate_wait_ms(self.waiting)
        return int(min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))

    def _enqueue(
        self, caller: str, until_ns: int, alone: bool, is_patient: bool
    ) -> Waiter:
        now_ns = self.env.clock.now_ns()
        left_ms = (until_ns - now_ns) / NS_PER_MS
        if not self.waiting:
            self.emptied_ns = now_ns
        if not is_patient:
            patience_ms = min(left_ms, self._get_patience_ms(now_ns))
            if self._is_full(patience_ms) and not self._make_room(caller):
                raise self._refuse(Code.OVERLOADED)
            left_ms = min(left_ms, patience_ms * LATE_FACTOR)
        waiter = Waiter(caller, now_ns + int(left_ms * NS_PER_MS), alone)
        queue = self.alone_queue if alone else self.queues.setdefault(caller, deque())
        queue.append(waiter)
        self.waiting += 1
        return waiter

    def _get_patience_ms(self, now_ns: int) -> float:
        """Return the wait that is still worth it."""
        if now_ns - self.emptied_ns < STANDING_AFTER_MS * NS_PER_MS:
            return MAX_WAIT_MS
        return min(max(self.service_ms, MIN_STANDING_WAIT_MS), MAX_WAIT_MS)

    def _is_full(self, patience_ms: float) -> bool:
        if self.waiting < MIN_QUEUE:
            return False
        return self.estimate_wait_ms(self.waiting) > patience_ms

    def _make_room(self, caller: str) -> bool:
        """Push out the newest request of the caller with the most waiting."""
        if not self.queues:
            return False
        greedy = max(self.queues, key=lambda name: len(self.queues[name]))
        own = len(self.queues.get(caller, ()))
        if len(self.queues[greedy]) <= own + 1:
            return False
        victim = self.queues[greedy][-1]
        self._remove(victim)
        self.env.counters.count("admission_displaced")
        victim.result.set_exception(self._refuse(Code.OVERLOADED))
        return True

    def _wait(self, waiter: Waiter) -> None:
        left_s = (waiter.until_ns - self.env.clock.now_ns()) / 1e9
        try:
            waiter.result.get(timeout=max(left_s, 0.001))
        except Timeout:
            if waiter.result.ready():
                return waiter.result.get()
            self._remove(waiter)
            raise self._refuse(Code.QUEUE_TIMEOUT) from None
        except BaseException:
            self._forget(waiter)
            raise

    def _forget(self, waiter: Waiter) -> None:
        """Undo the wait of a request that was killed or refused."""
        if not waiter.result.ready():
            self._remove(waiter)
        elif waiter.result.successful():
            self.release()

    def _remove(self, waiter: Waiter) -> None:
        self.waiting -= 1
        if waiter.alone:
            self.alone_queue.remove(waiter)
            return
        queue = self.queues[waiter.caller]
        queue.remove(waiter)
        if not queue:
            del self.queues[waiter.caller]

    def _next(self) -> Waiter | None:
        if self.alone:
            return None
        if self.alone_queue:
            return None if self.in_flight else self.alone_queue.popleft()
        if self.in_flight >= self.ramp.get_limit():
            return None
        caller, queue = next(iter(self.queues.items()))
        waiter = queue.popleft()
        del self.queues[caller]
        if queue:
            self.queues[caller] = queue
        return waiter

    def _refuse(self, code: Code) -> RefusalError:
        return RefusalError(code, retry_after_ms=self.get_retry_after_ms())

    def dump(self) -> dict[str, object]:
        """Return the state as plain data."""
        return {
            "in_flight": self.in_flight,
            "waiting": self.waiting,
            "alone": self.alone,
            "service_ms": round(self.service_ms, 3),
            "callers_waiting": {name: len(q) for name, q in self.queues.items()},
        }
