"""WebSocket connections that keep their socket open while it is watched.

The event loop ends the process when it meets a watched descriptor that was closed.
The library closes the socket first and ends its reader's watch later.
"""

import contextlib
import functools
import socket

from websockets.sync import client, server
from websockets.sync.connection import Connection


class LateClosing(Connection):
    """Connection that is shut down at once and closed by its reader at its end."""

    def recv_events(self) -> None:
        """Read until the end, then close what nobody watches any more."""
        try:
            super().recv_events()
        finally:
            super().close_socket()

    def close_socket(self) -> None:
        """Wake the reader and all who wait for the socket."""
        with contextlib.suppress(OSError):
            self.shutdown_notifier.send(b"x")
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        with self.protocol_mutex:
            self.protocol.receive_eof()
            self.recv_messages.close()
            self.terminate_pending_pings()


class DialledConnection(LateClosing, client.ClientConnection):
    """Connection that this node dialled."""


class AcceptedConnection(LateClosing, server.ServerConnection):
    """Connection that a peer dialled."""


connect = functools.partial(client.connect, create_connection=DialledConnection)
serve = functools.partial(server.serve, create_connection=AcceptedConnection)
