"""Allocate free loopback addresses for emulators and nodes.

A process owns the ports that it allocates until it exits. Otherwise the port of a node
that is down could go to another process, whose node would then receive the traffic for
the first node.
"""

import itertools
import os
import socket
from collections.abc import Iterator
from contextlib import suppress

from knapweedrock.checker import Address

HOST = "127.0.0.1"
FIRST_PORT = 10_000
# The ports above are the system's ephemeral ports for outgoing connections.
LAST_PORT = 32_000
PORTS_PER_BLOCK = 100
BLOCK_COUNT = (LAST_PORT - FIRST_PORT) // PORTS_PER_BLOCK

# Each socket is bound to the first port of a block and reserves the block for this
# process.
_locks: list[socket.socket] = []


def find_free_port() -> int:
    """Return a port owned by this process on which nothing listens."""
    for port in itertools.islice(_ports, LAST_PORT - FIRST_PORT):
        with suppress(OSError), bind(port):
            return port
    raise OSError("no free port in the blocks of this process")


def create_address() -> Address:
    """Return a free loopback address."""
    return Address(HOST, find_free_port())


def bind(port: int) -> socket.socket:
    """Bind a socket to a loopback port; raise `OSError` if the port is in use."""
    sock = socket.socket()
    try:
        sock.bind((HOST, port))
    except OSError:
        sock.close()
        raise
    return sock


def iterate_ports() -> Iterator[int]:
    """Yield the ports of newly claimed blocks, then cycle through all claimed ports."""
    owned: list[int] = []
    for block in claim_blocks():
        owned += block
        yield from block
    yield from itertools.cycle(owned)


def claim_blocks() -> Iterator[range]:
    """Claim the blocks of ports that no other process owns, one at a time.

    Each process starts its search at another block, because child processes of an
    earlier process may still be running on the ports of its blocks.
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
