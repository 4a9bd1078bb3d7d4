"""Connections to the target: pooled, paced, and never more than it takes."""

import contextlib
import select
import socket
from typing import TYPE_CHECKING

import gevent
from gevent import monkey
from gevent import socket as gevent_socket
from gevent.lock import BoundedSemaphore

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError
from knapweedrock.settings import Address
from knapweedrock.sockets import disable_delay

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

CONNECT_SPACING_MS = 1.0
CONNECT_TIMEOUT_MS = 500
TRUSTED_IDLE_MS = 250
RETRY_AFTER_MS = 200

# The system's own poll: it is asked without waiting, so that the hub is not needed.
create_poller = monkey.get_original("select", "poll")


class Connection:
    """One connection to the target."""

    def __init__(self, sock: gevent_socket.socket, generation: int) -> None:
        self.sock = sock
        self.generation = generation
        self.was_idle = False
        self.last_answer_ns = 0
        self._poller = create_poller()
        self._poller.register(sock.fileno(), select.POLLIN)

    def is_clean(self) -> bool:
        """Tell whether the idle connection is open and nothing unasked came on it."""
        return not self._poller.poll(0)

    def shut_down(self) -> None:
        """Wake whoever reads from the connection, as if its peer had closed it."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket."""
        with contextlib.suppress(OSError):
            self.sock.close()


class ConnectionPool:
    """Idle and busy connections to one target."""

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.address = Address("", 0)
        self.highest = 0
        self.idle: list[Connection] = []
        self.open_count = 0
        self.generation = 0
        self.closed_idle = 0
        self._dialling = BoundedSemaphore(1)

    def reset(self, address: Address, highest: int) -> None:
        """Point the pool at a new incarnation of the target."""
        self.address = address
        self.highest = highest
        self.generation += 1
        self.drop_idle()

    def drop_idle(self) -> None:
        """Close all idle connections."""
        idle, self.idle = self.idle, []
        for connection in idle:
            self.drop(connection)

    def take_idle(self, trusted_only: bool) -> Connection | None:
        """Take a clean idle connection, the last one used first.

        With `trusted_only` it must have answered within `TRUSTED_IDLE_MS`.
        """
        now_ns = self.env.clock.now_ns()
        while self.idle:
            idle_ns = now_ns - self.idle[-1].last_answer_ns
            if trusted_only and idle_ns > TRUSTED_IDLE_MS * NS_PER_MS:
                return None
            connection = self.idle.pop()
            if connection.is_clean():
                return connection
            self.env.counters.count("target_connections_closed_idle")
            self.closed_idle += 1
            self.drop(connection)
        return None

    def dial(self, timeout_ms: float = CONNECT_TIMEOUT_MS) -> Connection:
        """Open a connection; raises `TARGET_UNREACHABLE`, when nothing was sent."""
        if self.open_count >= self.highest and self.idle:
            self.drop(self.idle.pop(0))
        if self.open_count >= self.highest:
            raise RefusalError(
                Code.TARGET_UNREACHABLE,
                "all connections that the target takes are in use",
                RETRY_AFTER_MS,
            )
        self.open_count += 1
        try:
            sock = self._dial_paced(min(timeout_ms, CONNECT_TIMEOUT_MS))
        except OSError as error:
            self.open_count -= 1
            self.env.counters.count("target_connects_failed")
            raise RefusalError(
                Code.TARGET_UNREACHABLE, str(error), RETRY_AFTER_MS
            ) from error
        except BaseException:
            self.open_count -= 1
            raise
        self.env.counters.count("target_connects")
        return Connection(sock, self.generation)

    def _dial_paced(self, timeout_ms: float) -> gevent_socket.socket:
        with self._dialling:
            gevent.sleep(CONNECT_SPACING_MS / 1000)
        sock = gevent_socket.create_connection(
            self.address, timeout=max(timeout_ms, 1) / 1000
        )
        disable_delay(sock)
        return sock

    def give_back(self, connection: Connection) -> None:
        """Take back a connection whose answer is whole."""
        connection.last_answer_ns = self.env.clock.now_ns()
        self.keep(connection)

    def keep(self, connection: Connection) -> None:
        """Keep a connection that owes nothing."""
        if connection.generation != self.generation:
            self.drop(connection)
            return
        connection.was_idle = True
        self.idle.append(connection)

    def drop(self, connection: Connection) -> None:
        """Close a connection for good."""
        self.open_count -= 1
        connection.close()
