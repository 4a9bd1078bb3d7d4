"""Socket options that every connection gets."""

import socket
from contextlib import suppress

from gevent import get_hub
from gevent import socket as gevent_socket

from knapweedrock.timers import Alarm


def disable_delay(sock: socket.socket) -> None:
    """Send small writes at once instead of waiting for an acknowledgement."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def send_whole(
    sock: gevent_socket.socket, data: bytes, timeout_s: float | None = None
) -> None:
    """Send all of the data; raises `OSError`.

    The system takes most messages in one call, for which gevent's loop, its timer and
    its look at the size of the buffer are not needed.
    """
    try:
        sent = sock._sock.send(data)
    except BlockingIOError:
        sent = 0
    if sent < len(data):
        sock.settimeout(timeout_s)
        sock.sendall(memoryview(data)[sent:])


def receive_within(sock: gevent_socket.socket, size: int, timeout_s: float) -> bytes:
    """Receive some data, empty at its end; raises `OSError`."""
    with suppress(BlockingIOError):
        return sock._sock.recv(size)
    with Alarm(timeout_s):
        while True:
            get_hub().wait(sock._read_event)
            with suppress(BlockingIOError):
                return sock._sock.recv(size)
