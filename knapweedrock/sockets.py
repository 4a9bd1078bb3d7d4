"""Socket options that every connection gets."""

import socket
from contextlib import suppress

from gevent import get_hub
from gevent import socket as gevent_socket
from gevent.pywsgi import WSGIHandler, WSGIServer

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


class NoDelayHandler(WSGIHandler):
    """WSGI handler that switches off the delay on its connection."""

    def __init__(self, sock, address, server, rfile=None) -> None:
        disable_delay(sock)
        super().__init__(sock, address, server, rfile)

    def handle_one_response(self) -> None:
        """Answer a request; what follows a broken chunk is no request."""
        super().handle_one_response()
        if self.wsgi_input._chunked_input_error:
            self.close_connection = True


def create_http_server(address: tuple[str, int], application) -> WSGIServer:
    """Create an HTTP server with the delay switched off and without request logs."""
    return WSGIServer(
        tuple(address),
        application,
        handler_class=NoDelayHandler,
        log=None,
        error_log=None,
    )
