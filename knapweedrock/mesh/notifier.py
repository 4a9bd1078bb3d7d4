"""News that many wait for: each announcement wakes all who wait by then."""

from gevent.event import Event


class Notifier:
    """An event that can come again and again."""

    def __init__(self) -> None:
        self._next_event = Event()

    def notify_all(self) -> None:
        """Wake all who wait."""
        event, self._next_event = self._next_event, Event()
        event.set()

    def wait(self, timeout_s: float) -> None:
        """Wait for the next announcement."""
        self._next_event.wait(timeout_s)
