"""Cancellation of requests whose caller has disconnected."""

import socket

from gevent import GreenletExit, get_hub, getcurrent

READ_EVENT = 1


class CallerDisconnectedError(GreenletExit):
    """Ends the greenlet of a request whose caller has closed its connection."""


class DisconnectWatcher:
    """Watches one caller's connection while its request is being served.

    A caller that closes its sending side counts as disconnected. If the caller sends
    its next request early, a disconnect can't be detected until the response is sent.
    """

    def __init__(self, sock) -> None:
        self._sock = sock
        self._watcher = get_hub().loop.io(sock.fileno(), READ_EVENT)
        self._greenlet = None

    def __enter__(self) -> None:
        """Start watching; on a disconnect `CallerDisconnectedError` is raised here."""
        self._greenlet = getcurrent()
        self._watcher.start(self._check_connection)

    def __exit__(self, *_: object) -> None:
        """Stop watching the connection."""
        self._greenlet = None
        self._watcher.stop()

    def close(self) -> None:
        """Release the watcher before the socket is closed."""
        self._watcher.stop()
        self._watcher.close()

    def _check_connection(self) -> None:
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            is_disconnected = not self._sock._sock.recv(1, flags)
        except BlockingIOError:
            return
        except OSError:
            is_disconnected = True
        self._watcher.stop()
        if is_disconnected and self._greenlet is not None:
            self._greenlet.throw(CallerDisconnectedError)
