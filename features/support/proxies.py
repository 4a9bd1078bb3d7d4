"""TCP proxies on loopback that delay, reset, block or silence their connections."""

import random
from contextlib import suppress

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from knapweedrock.sockets import disable_nagle

CHUNK_BYTES = 65536
DIAL_TIMEOUT_S = 2.0
REFUSAL_PREFIX = b"HTTP/1.1 503 "


class Direction:
    """One direction of a proxy: bytes may be delayed, or blocked while not `open`."""

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.open = Event()
        self.open.set()


class Proxy:
    """Proxy for one upstream address, whose connections can be disturbed."""

    def __init__(
        self, listen_address: tuple[str, int], upstream_address: tuple[str, int]
    ) -> None:
        self.listen_address = listen_address
        self.upstream_address = upstream_address
        self.directions = (Direction(), Direction())
        self._server = StreamServer(listen_address, self._serve)
        self._sockets: set[socket.socket] = set()
        self._silenced: set[socket.socket] = set()

    def start(self) -> None:
        """Open the listener."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self.restore()
        self._server.close()
        self.reset()

    def restore(self) -> None:
        """Forward bytes without delay again, starting with those that were blocked."""
        for direction in self.directions:
            direction.delay_s = 0.0
            direction.open.set()

    def reset(self) -> None:
        """Reset every connection."""
        for sock in list(self._sockets):
            with suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def silence(self) -> None:
        """Drop all further data on open connections; new connections work."""
        self._silenced |= self._sockets

    def _serve(self, sock: socket.socket, _address: tuple) -> None:
        try:
            other = socket.create_connection(self.upstream_address, DIAL_TIMEOUT_S)
        except OSError:
            sock.close()
            return
        other.settimeout(None)
        pair = (sock, other)
        for item in pair:
            disable_nagle(item)
            self._sockets.add(item)
        tasks = [
            gevent.spawn(self._forward, sock, other, self.directions[0]),
            gevent.spawn(self._forward, other, sock, self.directions[1]),
        ]
        gevent.joinall(tasks)
        for item in pair:
            self._sockets.discard(item)
            self._silenced.discard(item)
            item.close()

    def _forward(
        self, source: socket.socket, sink: socket.socket, direction: Direction
    ) -> None:
        """Forward bytes in one direction until either end closes."""
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if direction.delay_s:
                    gevent.sleep(direction.delay_s)
                direction.open.wait()
                if source not in self._silenced:
                    self._before_sending(data, source, sink, direction)
                    sink.sendall(data)
        with suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

    def _before_sending(
        self,
        data: bytes,
        source: socket.socket,
        sink: socket.socket,
        direction: Direction,
    ) -> None:
        """Handle bytes that are about to be sent; subclasses may send others first."""


class TargetProxy(Proxy):
    """Proxy of a target that sends refusals a second time, before the next response.

    `repeat_share` is the share of the refusals that come twice.
    """

    def __init__(
        self,
        listen_address: tuple[str, int],
        upstream_address: tuple[str, int],
        seed: int = 1,
    ) -> None:
        super().__init__(listen_address, upstream_address)
        self.repeat_share = 0.0
        self.repeat_count = 0
        self._random = random.Random(seed)
        # Refusals to send again, by the socket of the node's connection.
        self._late_copies: dict[socket.socket, bytes] = {}

    def restore(self) -> None:
        """Forward bytes without delay again, and each response once."""
        super().restore()
        self.repeat_share = 0.0

    def _before_sending(
        self,
        data: bytes,
        source: socket.socket,
        sink: socket.socket,
        direction: Direction,
    ) -> None:
        if direction is self.directions[0]:
            if copy := self._late_copies.pop(source, b""):
                self.repeat_count += 1
                source.sendall(copy)
            return
        if data.startswith(REFUSAL_PREFIX) and self._random.random() < (
            self.repeat_share
        ):
            self._late_copies[sink] = data
