"""Socket options of all connections, and fast paths for sending and receiving."""

import socket

from gevent import get_hub
from gevent import socket as gevent_socket

# The peer must acknowledge sent bytes within this time.
UNACKED_TIMEOUT_MS = 5000


def disable_nagle(sock: socket.socket) -> None:
    """Set TCP_NODELAY: send small writes without waiting for acknowledgements."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def set_unacked_timeout(sock: socket.socket) -> None:
    """Set TCP_USER_TIMEOUT: close connections whose peer stops acknowledging data."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)


def send_all(
    sock: gevent_socket.socket, data: bytes, timeout_s: float | None = None
) -> None:
    """Send all of the data; raise `OSError`.

    The system accepts most messages in one call, which needs neither gevent's event
    loop nor its timer nor its check of the buffer size.
    """
    try:
        sent = sock._sock.send(data)
    except BlockingIOError:
        sent = 0
    if sent < len(data):
        sock.settimeout(timeout_s)
        sock.sendall(memoryview(data)[sent:])


def receive_nowait(sock: gevent_socket.socket, size: int) -> bytes | None:
    """Receive without blocking; raise `OSError`.

    Returns the available data, empty bytes at the end of the stream, or None if no data
    is available yet.
    """
    try:
        return sock._sock.recv(size)
    except BlockingIOError:
        return None


def receive_next(sock: gevent_socket.socket, size: int) -> bytes:
    """Receive data after yielding to the event loop; empty at the end of the stream.

    Yielding lets other greenlets run and timeouts fire even if data is always
    available. Raises `OSError`; the caller sets any timeout.
    """
    while True:
        get_hub().wait(sock._read_event)
        data = receive_nowait(sock, size)
        if data is not None:
            return data
