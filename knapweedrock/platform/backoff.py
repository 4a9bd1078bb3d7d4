"""Exponential delay with jitter between attempts."""

import random

import gevent

FIRST_DELAY_MS = 20
LONGEST_DELAY_MS = 500


class Backoff:
    """Delays of one series of attempts."""

    def __init__(self) -> None:
        self._delay_ms = FIRST_DELAY_MS

    def sleep(self, longest_ms: float) -> bool:
        """Wait for the next delay; tell at once where it is longer than allowed."""
        delay_ms = random.uniform(0.5, 1) * self._delay_ms
        if delay_ms >= longest_ms:
            return False
        self._delay_ms = min(2 * self._delay_ms, LONGEST_DELAY_MS)
        gevent.sleep(delay_ms / 1000)
        return True
