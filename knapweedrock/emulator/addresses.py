"""Free loopback addresses for stand-ins and the nodes beside them.

A process owns the ports that it hands out until it ends: that of a node that is down
goes to no other process, whose node would get what is meant for the first one.
"""

import itertools
import os
import socket
from collections.abc import Iterator
from contextlib import suppress

from knapweedrock.checker import Address

HOST = "127.0.0.1"
FIRST_PORT = 10_000
# Below the ports that the system gives to outgoing connections.
LAST_PORT = 32_000
PORTS_PER_BLOCK = 100
BLOCK_COUNT = (LAST_PORT - FIRST_PORT) // PORTS_PER_BLOCK

# Bound to the first port of each block that this process owns.
_locks: list[socket.socket] = []


def find_free_port() -> int:
    """Find a port of this process on which nobody listens."""
    for port in itertools.islice(_ports, LAST_PORT - FIRST_PORT):
        with suppress(OSError), bind(port):
            return port
    raise OSError("no free port")


def create_address() -> Address:
    """Create a free loopback address."""
    return Address(HOST, find_free_port())


def bind(port: int) -> socket.socket:
    """Bind a port that nobody else can bind then; raises `OSError`."""
    sock = socket.socket()
    try:
        sock.bind((HOST, port))
    except OSError:
        sock.close()
        raise
    return sock


def iterate_ports() -> Iterator[int]:
    """List the ports of new blocks, and where none is left those of the own ones."""
    owned: list[int] = []
    for block in claim_blocks():
        owned += block
        yield from block
    yield from itertools.cycle(owned)


def claim_blocks() -> Iterator[range]:
    """Take the blocks of ports that no other process owns, one at a time.

    Processes begin at different blocks: what one has left running may go on a while.
    """
    for number in range(BLOCK_COUNT):
        block = (os.getpid() + number) % BLOCK_COUNT
        first = FIRST_PORT + block * PORTS_PER_BLOCK
        try:
            lock = bind(first)
        except OSError:
            continue
        _locks.append(lock)
        yield range(first + 1, first + PORTS_PER_BLOCK)


_ports = iterate_ports()
