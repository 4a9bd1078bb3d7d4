"""Measurement of time, memory and event loop lag, and processes that send endlessly."""

import sys
import time
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from gevent import subprocess

from features.support import endless

YIELD_INTERVAL_S = 0.005


class Measurement:
    """Duration of some work, its peak memory and the longest wait of other tasks."""

    def __init__(self) -> None:
        self.elapsed_s = 0.0
        self.peak_bytes = 0
        self.longest_wait_s = 0.0


@contextmanager
def measure(context) -> Iterator[None]:
    """Measure the work that is done in the block."""
    measures = context.measures = Measurement()

    def yield_repeatedly() -> None:
        while True:
            start_s = time.monotonic()
            gevent.sleep(YIELD_INTERVAL_S)
            waited_s = time.monotonic() - start_s
            measures.longest_wait_s = max(measures.longest_wait_s, waited_s)

    observer = gevent.spawn(yield_repeatedly)
    gevent.sleep(YIELD_INTERVAL_S)
    tracemalloc.start()
    start_s = time.monotonic()
    try:
        yield
    finally:
        measures.elapsed_s = time.monotonic() - start_s
        _, measures.peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        gevent.sleep(2 * YIELD_INTERVAL_S)
        observer.kill()


def start_sender(context, *arguments: str) -> subprocess.Popen:
    """Start a process that sends endless data, and kill it after the scenario."""
    command = [sys.executable, endless.__file__, *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)

    def end() -> None:
        process.kill()
        process.wait()
        process.stdout.close()

    context.add_cleanup(end)
    return process
