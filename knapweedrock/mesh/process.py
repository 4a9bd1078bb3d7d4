"""The process of a node: start from a settings file, reload, and shutdown."""

import signal
from pathlib import Path

import gevent
from gevent.event import Event
from logbook import Logger
from logbook.concurrency import enable_gevent

from knapweedrock.clock import create_clock
from knapweedrock.mesh.definitions import NodeSettings
from knapweedrock.mesh.node import Node
from knapweedrock.mesh.output import create_output
from knapweedrock.mesh.settings import parse_settings, read_file
from knapweedrock.mesh.tasks import spawn_supervised

# The file may change without a signal, so the node checks it at this interval.
FILE_CHECK_INTERVAL_S = 2.0

log = Logger("node")


class Reloader:
    """Reloader of the settings file of a running node."""

    def __init__(self, node: Node, path: Path, text: str) -> None:
        self._node = node
        self._path = path
        self._text = text

    def run(self) -> None:
        """Check the file for changes at a fixed interval."""
        while True:
            gevent.sleep(FILE_CHECK_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Apply a changed file; log invalid settings and keep the old ones."""
        try:
            text = read_file(self._path)
            if text == self._text:
                return
            self._text = text
            settings = parse_settings(text)
        except ExceptionGroup as group:
            for error in group.exceptions:
                log.error("settings not taken", reason=error)
            return
        self._node.apply_settings(settings)


def create_node(settings: NodeSettings) -> Node:
    """Create a node with all its components, without starting it."""
    return Node(settings, create_clock())


def run_node(path: Path) -> None:
    """Run a node until SIGTERM or SIGINT, then shut it down gracefully."""
    text = read_file(path)
    settings = parse_settings(text)
    enable_gevent()
    output = create_output(settings.node_id)
    with output.applicationbound():
        node = create_node(settings)
        stop_requested = Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, stop_requested.set)
        reloader = Reloader(node, path, text)
        gevent.signal_handler(signal.SIGHUP, reloader.reload)
        node.start()
        spawn_supervised(reloader.run)
        stop_requested.wait()
        node.stop()
    output.flush_now()
