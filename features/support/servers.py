"""Servers that scenarios start for the code under test."""

from collections.abc import Callable

from gevent.pywsgi import WSGIHandler, WSGIServer
from gevent.server import StreamServer

from knapweedrock.emulator.addresses import create_address
from knapweedrock.sockets import disable_nagle


def start_listener(context, handle: Callable) -> tuple[str, int]:
    """Start a server in this process that calls a function for each connection."""
    address = create_address()
    server = StreamServer(address, handle)
    server.start()
    context.add_cleanup(server.stop, 0)
    return address


def start_socket_server(context, handle: Callable) -> str:
    """Start a server like `start_listener`, and return its address as text."""
    return str(start_listener(context, handle))


class NoDelayHandler(WSGIHandler):
    """WSGI handler that disables Nagle's algorithm on its connection."""

    def __init__(self, sock, address, server, rfile=None) -> None:
        disable_nagle(sock)
        super().__init__(sock, address, server, rfile)

    def handle_one_response(self) -> None:
        """Answer a request; close the connection after a malformed chunk."""
        super().handle_one_response()
        if self.wsgi_input._chunked_input_error:
            self.close_connection = True


def create_http_server(address: tuple[str, int], application) -> WSGIServer:
    """Create an HTTP server without Nagle's algorithm and without request logs."""
    return WSGIServer(
        tuple(address),
        application,
        handler_class=NoDelayHandler,
        log=None,
        error_log=None,
    )
