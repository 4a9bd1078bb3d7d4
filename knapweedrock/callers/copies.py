"""Second copies: another attempt beside one that is slow, and the loser cancelled."""

from collections.abc import Callable
from typing import Generic, TypeVar

import gevent
from gevent import GreenletExit, getcurrent

R = TypeVar("R")

MS_PER_S = 1000


class Overtaken(GreenletExit):
    """Ends an attempt because its second copy has answered."""


class Race(Generic[R]):
    """One attempt and, after a delay, its second copy; the first answer wins.

    The first attempt runs in the calling greenlet, so that a fast one costs no
    more than a timer. `second` returns None where no copy may be sent; `combine`
    is asked for the result when the first attempt ended without an answer.
    """

    def __init__(
        self,
        second: Callable[[], R | None],
        is_answer: Callable[[R], bool],
        delay_ms: float,
        combine: Callable[[R, R], R],
    ) -> None:
        self._second = second
        self._is_answer = is_answer
        self._combine = combine
        self._delay_s = delay_ms / MS_PER_S
        self._loop = gevent.get_hub().loop
        self._runner = getcurrent()
        self._racing = False
        self._copy: gevent.Greenlet | None = None
        self._winner: R | None = None

    def run(self, first: Callable[[], R]) -> R:
        """Run the first attempt and return the answer that came first."""
        timer = self._loop.timer(self._delay_s)
        self._racing = True
        timer.start(self._start_copy)
        try:
            return self._settle(self._run_first(first))
        finally:
            self._racing = False
            timer.stop()
            timer.close()
            if self._copy is not None:
                self._copy.kill(block=False)

    def _run_first(self, first: Callable[[], R]) -> R | None:
        try:
            return first()
        except Overtaken:
            if self._winner is None:
                raise
            return None
        finally:
            self._racing = False

    def _settle(self, result: R | None) -> R:
        if self._winner is not None:
            return self._winner
        if self._copy is None or self._is_answer(result):
            return result
        second = self._copy.get()
        return result if second is None else self._combine(result, second)

    def _start_copy(self) -> None:
        self._copy = gevent.spawn(self._run_copy)

    def _run_copy(self) -> R | None:
        result = self._second()
        if self._racing and result is not None and self._is_answer(result):
            self._winner = result
            self._loop.run_callback(self._overtake)
        return result

    def _overtake(self) -> None:
        # Runs in the hub, so the first attempt is surely waiting.
        if self._racing:
            self._runner.throw(Overtaken)
