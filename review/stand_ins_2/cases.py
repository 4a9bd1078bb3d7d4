"""The frame of a case: its record, its time limit and its exit status."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.stand_ins_2.mesh import Record

TIME_LIMIT_S = 110
# Python ends with 1 after an uncaught error, so a broken rule gets another status,
# which `run.sh` turns into 1, and every other one but 0 into 2.
BROKEN = 10
COULD_NOT_RUN = 2


def run_script(play: Callable[[Record, bool], Awaitable[int]], folder: Path) -> int:
    """Run a case and return its exit status; SIGTERM ends all that it started.

    The argument 0, which `run.sh` takes from `TROUBLE`, leaves the disruption out.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    log = Record(folder / "record.txt")
    has_trouble = sys.argv[1:] != ["0"]
    try:
        is_broken = asyncio.run(asyncio.wait_for(play(log, has_trouble), TIME_LIMIT_S))
    except (RuntimeError, OSError, TimeoutError) as error:
        log(f"the case could not run: {error!r}")
        return COULD_NOT_RUN
    log("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else 0
