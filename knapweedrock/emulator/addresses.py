"""Free loopback addresses for stand-ins and the nodes beside them."""

import itertools
import os
import socket

from knapweedrock.checker import Address

# Below the ports that the system gives to outgoing connections.
LAST_PORT = 32_000
FIRST_PORT = 10_000
# Processes that run at the same time begin to look at different ports.
PROCESSES = 200
PORTS_A_PROCESS = 100

_first = FIRST_PORT + os.getpid() % PROCESSES * PORTS_A_PROCESS
PORTS = itertools.cycle(range(_first, LAST_PORT))


def find_free_port() -> int:
    """Find a port on which nobody listens and that no connection takes."""
    for port in itertools.islice(PORTS, LAST_PORT - _first):
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


def create_address() -> Address:
    """Create a free loopback address."""
    return Address("127.0.0.1", find_free_port())
