"""Reading of the era that the store states in each response."""

from collections.abc import Callable

from logbook import Logger

from knapweedrock.clock import Clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import PlatformError

# Largest era that is accepted; its tokens stay exact in JSON.
MAX_ERA = 1_000_000_000
MAX_LOGGED_CHARACTERS = 40

log = Logger("store")


class EraReader:
    """The latest era that a client of the store has seen; 0 before the first one.

    `since_ns` is when a response stated the era first. `listeners` are called when a
    later era than the first one is seen.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self.era = 0
        self.since_ns = 0
        self.listeners: list[Callable[[], None]] = []
        self._clock = clock
        self._counters = counters
        # Era further ahead than the next one, which a second response has to confirm.
        self._unconfirmed = 0
        self.is_seen = False
        self._last_rejected = ""

    def get_seen(self) -> int | None:
        """Return the latest era, or None if no response has stated one."""
        return self.era if self.is_seen else None

    def accept(self, text: str) -> int:
        """Return the era of a response; raise `PlatformError` unless it counts.

        `text` is the value of the header, empty if the response has none.
        """
        if not text and not self.is_seen:
            return 0
        era = parse_era(text)
        if era is None or era < self.era:
            self._reject(text)
        if not self.is_seen:
            self.is_seen = True
            self.era, self.since_ns = era, self._clock.now_ns()
        if era > self.era:
            self._advance(text, era)
        self._unconfirmed = 0
        return era

    def _advance(self, text: str, era: int) -> None:
        if era > self.era + 1 and self._unconfirmed != era:
            self._unconfirmed = era
            self._reject(text)
        former, self.era = self.era, era
        self.since_ns = self._clock.now_ns()
        log.warning("store era began", era=era, former=former)
        self._counters.count("store_eras_begun")
        for notify in self.listeners:
            notify()

    def _reject(self, text: str) -> None:
        """Log a header that is not accepted, each text once in a row."""
        self._counters.count("store_eras_rejected")
        shown = text[:MAX_LOGGED_CHARACTERS]
        if text != self._last_rejected:
            self._last_rejected = text
            log.warning("store era not accepted", header=shown, known=self.era)
        detail = f"era: found {shown!r}, known is {self.era}"
        raise PlatformError(Code.PLATFORM_BAD_ANSWER, detail)


def parse_era(text: str) -> int | None:
    """Parse the header's value; return None unless it is a number."""
    if not (text.isascii() and text.isdigit()):
        return None
    era = int(text[:MAX_LOGGED_CHARACTERS])
    return era if era <= MAX_ERA else None
