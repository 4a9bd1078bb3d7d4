"""Budget of the memory that a process holds for its callers."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from knapweedrock.clock import NS_PER_MS, Clock

# What a connection without a request costs: its task, its socket and its parser.
CONNECTION_BYTES = 24 << 10
# What a header costs in addition to its text, once the head is whole.
HEADER_BYTES = 300
# A body is held twice for a moment: as it arrives, and as a whole.
BODY_COPIES = 2
# Holdings up to this size may use the whole budget, larger ones all but a reserve.
SMALL_BYTES = 128 << 10
RESERVE_SHARE = 0.2
# A connection may be closed to make room once nothing has moved on it for this time.
MIN_STALL_MS = 100
# Share of the process's memory that may be held for callers. The rest is for the
# program itself, for links and for copies on the way.
MEMORY_SHARE = 0.3
# Share of the process's descriptors for callers; links, targets and the store need the
# others.
DESCRIPTOR_SHARE = 0.5
BYTES_PER_MB = 1 << 20


class MemoryTerms(NamedTuple):
    """Limits of a budget; 0 sets none."""

    max_bytes: int = 0
    max_connections: int = 0


class Stage(Enum):
    """What a connection waits for."""

    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"
    SENDING = "sending"


class Holding:
    """What one connection holds; `close` shuts the connection down."""

    __slots__ = ("close", "is_closed", "progress_ns", "size", "stage")

    def __init__(self, close: Callable[[], None], now_ns: int) -> None:
        self.size = 0
        self.stage = Stage.IDLE
        self.progress_ns = now_ns
        self.close = close
        self.is_closed = False


class MemoryBudget:
    """Counts what connections hold, and closes stalled ones when it runs short."""

    def __init__(self, clock: Clock, terms: MemoryTerms) -> None:
        self.terms = terms
        self.held_bytes = 0
        self.closed_count = 0
        self.refused_count = 0
        self._clock = clock
        self._holdings: set[Holding] = set()
        # The large request that is let through although it exceeds the limit.
        self._exempt_holding: Holding | None = None

    @property
    def connection_count(self) -> int:
        """Return the number of connections."""
        return len(self._holdings)

    def open(self, close: Callable[[], None]) -> Holding | None:
        """Add a connection, or return None if there is no room for it."""
        holding = Holding(close, self._clock.now_ns())
        limit = self.terms.max_connections
        if limit and len(self._holdings) >= limit:
            victim = self._find_stalled(holding, 0)
            if victim is None:
                self.refused_count += 1
                return None
            self._close(victim)
        self._holdings.add(holding)
        if not self.hold(holding, CONNECTION_BYTES):
            self.release(holding)
            return None
        return holding

    def hold(self, holding: Holding, size: int) -> bool:
        """Set the size of a holding; return False if there is no room for it.

        Room is made by closing connections on which nothing moves, the one that has
        stood still for the longest time first.
        """
        if holding.is_closed:
            return False
        growth = size - holding.size
        if growth > 0 and not self._make_room(holding, growth):
            self.refused_count += 1
            return False
        holding.size = size
        self.held_bytes += growth
        return True

    def record_progress(self, holding: Holding, stage: Stage) -> None:
        """Record that bytes have moved on a connection, and what it waits for now."""
        holding.stage = stage
        holding.progress_ns = self._clock.now_ns()

    def release(self, holding: Holding) -> None:
        """Remove a connection and all that it holds."""
        if holding is self._exempt_holding:
            self._exempt_holding = None
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.held_bytes -= holding.size
        holding.size = 0

    def _make_room(self, holding: Holding, growth: int) -> bool:
        limit = self.terms.max_bytes
        if not limit:
            return True
        is_large = holding.size + growth > SMALL_BYTES
        if is_large:
            limit = self._get_large_limit()
        while self.held_bytes - self._get_excess() + growth > limit:
            victim = self._find_stalled(holding, SMALL_BYTES)
            victim = victim or self._find_stalled(holding, 0)
            if victim is None:
                return is_large and self._exempt(holding)
            self._close(victim)
        return True

    def _get_large_limit(self) -> int:
        """Return the limit for large holdings, which leaves the reserve to others."""
        return int(self.terms.max_bytes * (1 - RESERVE_SHARE))

    def _get_excess(self) -> int:
        """Return by how much the exempt holding exceeds the limit for large ones."""
        if self._exempt_holding is None:
            return 0
        return max(self._exempt_holding.size - self._get_large_limit(), 0)

    def _find_stalled(self, asking: Holding, min_bytes: int) -> Holding | None:
        """Find the holding above a size on which nothing has moved for the longest."""
        before_ns = self._clock.now_ns() - MIN_STALL_MS * NS_PER_MS
        stalled = [
            holding
            for holding in self._holdings
            if holding.progress_ns < before_ns
            and holding.size >= min_bytes
            and holding.stage is not Stage.SERVING
            and holding is not asking
        ]
        return min(stalled, key=lambda holding: holding.progress_ns, default=None)

    def _exempt(self, asking: Holding) -> bool:
        """Let a large request through if others fit in the reserve; return whether."""
        others_bytes = self.held_bytes - asking.size
        if others_bytes > self.terms.max_bytes - self._get_large_limit():
            return False
        self._exempt_holding = asking
        return True

    def _close(self, victim: Holding) -> None:
        self.release(victim)
        self.closed_count += 1
        victim.is_closed = True
        victim.close()


def create_memory_terms(memory_mb: float, descriptors: int) -> MemoryTerms:
    """Create the limits of a process with this much memory and descriptors."""
    return MemoryTerms(
        int(memory_mb * BYTES_PER_MB * MEMORY_SHARE),
        int(descriptors * DESCRIPTOR_SHARE),
    )
