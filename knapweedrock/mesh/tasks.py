"""Supervised tasks, which restart after an unexpected error."""

import traceback
from collections.abc import Callable

import gevent
from logbook import Logger

RESTART_DELAY_S = 0.2

log = Logger("node")


def spawn_supervised(run: Callable[[], None]) -> gevent.Greenlet:
    """Spawn a greenlet that runs a task and restarts it after each error."""
    return gevent.spawn(supervise, run)


def supervise(run: Callable[[], None]) -> None:
    """Run a task until it returns; log each unexpected error and restart after a delay.

    If a task died alone, the node would look healthy but do nothing.
    """
    while True:
        try:
            run()
        except Exception as error:
            place = traceback.extract_tb(error.__traceback__)[-1]
            log.error(
                "task failed",
                reason=repr(error),
                at=f"{place.name}:{place.lineno}",
            )
            gevent.sleep(RESTART_DELAY_S)
        else:
            return
