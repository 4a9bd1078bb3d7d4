"""Tasks that last as long as their node."""

import traceback
from collections.abc import Callable

import gevent
from logbook import Logger

RESTART_DELAY_S = 0.2

log = Logger("node")


def spawn_supervised(run: Callable[[], None]) -> gevent.Greenlet:
    """Start a task that begins anew after an error, until it ends by itself."""
    return gevent.spawn(supervise, run)


def supervise(run: Callable[[], None]) -> None:
    """Run a task to its end; what it did not expect is told and costs a pause.

    A task that was lost alone would leave a node that looks well and does nothing.
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
