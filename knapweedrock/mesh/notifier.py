"""Repeatable notifications between greenlets."""

from gevent.event import Event


class Notifier:
    """An event that can occur repeatedly; each time wakes all current waiters."""

    def __init__(self) -> None:
        self._next_event = Event()

    def notify_all(self) -> None:
        """Wake all greenlets that wait now."""
        event, self._next_event = self._next_event, Event()
        event.set()

    def wait(self, timeout_s: float) -> None:
        """Wait for the next notification, at most for the given time."""
        self._next_event.wait(timeout_s)
