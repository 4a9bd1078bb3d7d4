"""Servers that a scenario starts beside what it tests."""

from collections.abc import Callable
from typing import Any

from gevent.server import StreamServer

from features.support.http import call, call_or_none
from features.support.processes import (
    Ports,
    create_loopback_host,
    start_child,
    wait_for,
)

START_TIMEOUT_S = 15.0


def start_platform(context) -> str:
    """Start the platform stand-in as a process and return its address."""
    address = Ports(create_loopback_host()).take()
    start_child(context, "platform", ["emulate", "platform", "--listen", address])
    wait_for(
        lambda: call_or_none(address, "GET", "/emulator/stats"),
        START_TIMEOUT_S,
        "the platform stand-in answers",
    )
    return address


def set_platform_faults(address: str, **faults: object) -> None:
    """Put exactly these faults of the platform stand-in into force."""
    reply = call(address, "POST", "/emulator/faults", faults)
    assert reply.status == 200, reply


def read_platform_stats(address: str) -> dict[str, Any]:
    """Read the platform stand-in's counts."""
    return call(address, "GET", "/emulator/stats").json()


def start_socket_server(context, handle: Callable) -> str:
    """Start a server in this process that hands each connection to a function."""
    host = create_loopback_host()
    server = StreamServer((host, 0), handle)
    server.start()
    context.add_cleanup(server.stop, 0)
    return f"{host}:{server.server_port}"
