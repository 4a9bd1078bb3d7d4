"""Clock for leases and deadlines, which reads CLOCK_BOOTTIME."""

import time
from typing import Protocol

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000


class Clock(Protocol):
    """Source of time that tests can replace."""

    def now_ns(self) -> int:
        """Return nanoseconds since boot, counting time spent suspended."""


class SystemClock:
    """Clock of the operating system."""

    def now_ns(self) -> int:
        """Return nanoseconds since boot, counting time spent suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def create_clock() -> Clock:
    """Create the clock of the operating system."""
    return SystemClock()
