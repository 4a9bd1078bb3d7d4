"""Measurement of the load of each key at a target."""

from knapweedrock.clock import NS_PER_MS, Clock

# All recorded time is multiplied by the factor after each interval.
DECAY_INTERVAL_MS = 250.0
DECAY_FACTOR = 0.84
# Keys with no more recorded time than this are dropped.
MIN_KEPT_MS = 0.5


class LoadMeter:
    """Exponentially decaying sum of the time that requests spend on each key."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._key_ms: dict[int, float] = {}
        self._window_ms = 0.0
        self._decayed_ns = clock.now_ns()

    def add(self, key: int, spent_ms: float) -> None:
        """Add the time in ms that a request for a key took.

        Refused requests count with the service time that they would have needed.
        """
        self._key_ms[key] = self._key_ms.get(key, 0.0) + spent_ms

    def decay(self) -> None:
        """Apply the decay factor; must be called every `DECAY_INTERVAL_MS`."""
        now_ns = self._clock.now_ns()
        self._window_ms += (now_ns - self._decayed_ns) / NS_PER_MS
        self._window_ms *= DECAY_FACTOR
        self._decayed_ns = now_ns
        self._key_ms = {
            key: spent_ms * DECAY_FACTOR
            for key, spent_ms in self._key_ms.items()
            if spent_ms > MIN_KEPT_MS
        }

    def measure(self) -> dict[int, float]:
        """Return the time in ms spent on each key per second."""
        now_ns = self._clock.now_ns()
        window_ms = self._window_ms + (now_ns - self._decayed_ns) / NS_PER_MS
        scale = 1000 / max(window_ms, DECAY_INTERVAL_MS)
        return {key: spent_ms * scale for key, spent_ms in self._key_ms.items()}
