"""Virtual time for greenlets: sleeps and timeouts end at once, in the order of time.

Code that uses `gevent` runs unchanged and with repeatable timing, as long as it uses no
sockets: the time between two events is skipped instead of waited for.
"""

import heapq
import itertools
import math
from collections import deque
from collections.abc import Callable
from typing import Any, TypeVar

import gevent
from gevent.hub import Hub, set_hub
from gevent.threadpool import ThreadPool

from knapweedrock.clock import NS_PER_S

Result = TypeVar("Result")

# A clock that starts above 0 keeps "never" apart from the first moment.
START_NS = 1_000 * NS_PER_S


class VirtualCallback:
    """A callback that the loop runs once, unless it is stopped before."""

    def __init__(self, function: Callable, args: tuple) -> None:
        self.callback: Callable | None = function
        self.args: tuple | None = args

    @property
    def pending(self) -> bool:
        """Return whether the callback is still to run."""
        return self.callback is not None

    def __bool__(self) -> bool:
        # Also true while the callback runs, as of a callback of gevent's own loops.
        return self.args is not None

    def stop(self) -> None:
        """Cancel the callback."""
        self.callback = self.args = None

    close = stop


class VirtualTimer:
    """A timer of the virtual loop, used by `gevent` like one of its own."""

    def __init__(self, loop: "VirtualLoop", after_s: float, repeat_s: float) -> None:
        self._loop = loop
        self._after_s = after_s
        self._repeat_s = repeat_s
        self.callback: Callable | None = None
        self.args: tuple = ()
        self.ref = True

    @property
    def active(self) -> bool:
        """Return whether the timer was started and has not run yet."""
        return self.callback is not None

    pending = active

    def start(self, callback: Callable, *args: Any, update: bool = True) -> None:
        """Run the callback once the time of the timer has passed."""
        self.callback, self.args = callback, args
        self._loop.schedule(self, self._after_s)

    def again(self, callback: Callable, *args: Any, update: bool = True) -> None:
        """Restart the timer with its interval."""
        self.callback, self.args = callback, args
        self._loop.schedule(self, self._repeat_s or self._after_s)

    def stop(self) -> None:
        """Stop the timer."""
        self.callback, self.args = None, ()
        self._loop.forget(self)

    close = stop

    def __enter__(self) -> "VirtualTimer":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


class VirtualLoop:
    """Event loop with timers and callbacks only; it also serves as a `Clock`."""

    approx_timer_resolution = 0.0
    default = False

    def __init__(self, start_ns: int = START_NS) -> None:
        self._now_ns = start_ns
        self._callbacks: deque[VirtualCallback] = deque()
        self._timers: list[tuple[int, int, VirtualTimer]] = []
        self._numbers = itertools.count()
        # Number of the entry that is valid for each started timer.
        self._valid: dict[VirtualTimer, int] = {}

    def now_ns(self) -> int:
        """Return the virtual time in nanoseconds."""
        return self._now_ns

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_ns / NS_PER_S

    def update_now(self) -> None:
        """Do nothing: virtual time passes only between events."""

    update = update_now

    def timer(
        self, after: float, repeat: float = 0.0, ref: bool = True, priority: Any = None
    ) -> VirtualTimer:
        """Create a timer; times are in seconds."""
        return VirtualTimer(self, max(after, 0.0), repeat)

    def run_callback(self, func: Callable, *args: Any) -> VirtualCallback:
        """Run a function once all callbacks before it have run."""
        callback = VirtualCallback(func, args)
        self._callbacks.append(callback)
        return callback

    run_callback_threadsafe = run_callback

    def schedule(self, timer: VirtualTimer, after_s: float) -> None:
        """Schedule a timer, instead of its earlier entry."""
        number = next(self._numbers)
        # Rounded up, so that a loop that waits for the last nanosecond ends.
        at_ns = self._now_ns + math.ceil(after_s * NS_PER_S)
        self._valid[timer] = number
        heapq.heappush(self._timers, (at_ns, number, timer))

    def forget(self, timer: VirtualTimer) -> None:
        """Forget the entry of a timer that was stopped."""
        self._valid.pop(timer, None)

    def run(self, nowait: bool = False, once: bool = False) -> None:
        """Run callbacks and timers until none are left."""
        while True:
            while self._callbacks:
                callback = self._callbacks.popleft()
                if callback.callback is not None:
                    function, args = callback.callback, callback.args
                    callback.callback = None
                    function(*args)
                    callback.stop()
            if not self._run_next_timer():
                return

    def _run_next_timer(self) -> bool:
        """Advance to the next timer and run it; return False if there is none."""
        while self._timers:
            at_ns, number, timer = heapq.heappop(self._timers)
            if self._valid.get(timer) != number:
                continue
            self._now_ns = max(self._now_ns, at_ns)
            callback, args = timer.callback, timer.args
            timer.stop()
            callback(*args)
            return True
        return False

    def destroy(self) -> None:
        """Drop all timers and callbacks."""
        self._callbacks.clear()
        self._timers.clear()
        self._valid.clear()


def run_in_virtual_time(
    function: Callable[[VirtualLoop], Result], start_ns: int = START_NS
) -> Result:
    """Run a function with a new virtual loop, its clock, and return its result.

    The clock begins at `start_ns`. Greenlets that the function started end with it.
    Exceptions are passed on.
    """

    def run() -> Result:
        loop = VirtualLoop(start_ns)
        set_hub(Hub(loop=loop))
        try:
            return gevent.spawn(function, loop).get()
        finally:
            loop.destroy()

    # A native thread has a hub of its own, so the caller's event loop is left alone.
    pool = ThreadPool(1)
    try:
        return pool.apply(run)
    finally:
        pool.kill()
