"""Connections of a target stand-in: counted, slow to open, and open to faults."""

import contextlib
import socket
import struct
from typing import TYPE_CHECKING, Any

import gevent

from knapweedrock.sockets import NoDelayHandler

if TYPE_CHECKING:
    from knapweedrock.emulator.target import TargetEmulator

LINGER_RESET = struct.pack("ii", 1, 0)
SOCKET_KEY = "knapweedrock.socket"


class BrokenConnectionError(Exception):
    """A connection that the behaviour breaks before its answer is whole."""


class TargetHandler(NoDelayHandler):
    """Connection of the stand-in: counted, slow to open, and open to faults."""

    emulator: "TargetEmulator"

    def handle(self) -> None:
        """Serve one connection from its accept to its end."""
        emulator = self.emulator
        if not emulator.add_connection(self.socket):
            reset_socket(self.socket)
            return
        try:
            with emulator.accepting:
                gevent.sleep(emulator.settings.connect_ms / 1000)
            super().handle()
        finally:
            emulator.connections.pop(gevent.getcurrent(), None)

    def handle_error(self, kind, value, trace) -> None:
        """Close a connection that is to break without a word on it."""
        if isinstance(value, BrokenConnectionError | gevent.GreenletExit):
            self.close_connection = True
            return
        super().handle_error(kind, value, trace)

    def get_environ(self) -> dict[str, Any]:
        """Hand the socket to the application, which breaks it on command."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


def reset_socket(sock: socket.socket) -> None:
    """Make the close of a socket a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
