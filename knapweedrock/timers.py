"""Timeouts for hot paths, without the bookkeeping of `gevent.Timeout`."""

from gevent import get_hub, getcurrent


class Timeout:
    """Context manager that interrupts its block with `TimeoutError` after a delay."""

    __slots__ = ("_timer",)

    def __init__(self, delay_s: float) -> None:
        self._timer = get_hub().loop.timer(delay_s)

    def __enter__(self) -> "Timeout":
        self._timer.start(getcurrent().throw, TimeoutError("timed out"))
        return self

    def __exit__(self, *_: object) -> None:
        self._timer.close()
