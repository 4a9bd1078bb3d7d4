"""Socket options that every connection gets."""

import socket

from gevent import get_hub
from gevent import socket as gevent_socket

# Time in which the other end has to confirm bytes that were sent.
UNACKED_TIMEOUT_MS = 5000


def disable_nagle(sock: socket.socket) -> None:
    """Send small writes at once instead of waiting for an acknowledgement."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def set_unacked_timeout(sock: socket.socket) -> None:
    """End a connection whose other end confirms nothing any more."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)


def send_all(
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


def receive_nowait(sock: gevent_socket.socket, size: int) -> bytes | None:
    """Receive what has come, empty at its end, None for nothing; raises `OSError`."""
    try:
        return sock._sock.recv(size)
    except BlockingIOError:
        return None


def receive_next(sock: gevent_socket.socket, size: int) -> bytes:
    """Receive some data, empty at its end, after a turn of the event loop.

    Others get their turn and alarms go off also while data is always there. Raises
    `OSError`; the time is the business of the one who calls.
    """
    while True:
        get_hub().wait(sock._read_event)
        data = receive_nowait(sock, size)
        if data is not None:
            return data
