"""News that many wait for: each announcement wakes all who wait by then."""

from gevent.event import Event


class News:
    """An event that can come again and again."""

    def __init__(self) -> None:
        self._event = Event()

    def announce(self) -> None:
        """Wake all who wait."""
        event, self._event = self._event, Event()
        event.set()

    def wait(self, timeout_s: float) -> None:
        """Wait for the next announcement."""
        self._event.wait(timeout_s)
