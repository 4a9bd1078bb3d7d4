"""Program that sends endless data on a connection, in a process of its own.

A sender in the process under test would share its event loop, and so could not keep
data available all the time. The arguments are the name of a script in `SCRIPTS` and the
port to connect to; without a port the program listens on a free port and prints it.
Sending ends after some seconds, so that a failing test uses little memory.
"""

import contextlib
import select
import socket
import sys
import threading
import time
from typing import NamedTuple

SEND_DURATION_S = 2.5
READ_BYTES = 65536
SEND_INTERVAL_S = 0.1
READ_DELAY_S = 0.8
IDLE_TIMEOUT_S = 0.05
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
POST_HEAD = b"POST /order/1 HTTP/1.1\r\nHost: mesh.example\r\n"
GET_REQUEST = b"GET / HTTP/1.1\r\nHost: mesh.example\r\n\r\n"


class Script(NamedTuple):
    """Bytes that are sent first, and bytes that are then sent repeatedly.

    `pause_s` is the pause before each repetition, `read_delay_s` the delay before the
    first read.
    """

    first: bytes
    repeated: bytes
    pause_s: float = 0.0
    read_delay_s: float = 0.0


def fill_piece(unit: bytes) -> bytes:
    """Repeat some bytes to fill a piece of at most `READ_BYTES`."""
    return unit * (READ_BYTES // len(unit))


SCRIPTS = {
    # Answers of targets and stores.
    "headers": Script(HEAD, fill_piece(b"a: b\r\n")),
    "one header": Script(HEAD + b"X-Long: ", fill_piece(b"a")),
    "a status line": Script(b"HTTP/1.1 200 ", fill_piece(b"a")),
    "chunks of one byte": Script(HEAD + CHUNKED, fill_piece(b"1\r\na\r\n")),
    "a body without length": Script(HEAD + b"\r\n", fill_piece(b"a")),
    "a chunk's extension": Script(HEAD + CHUNKED + b"1;", fill_piece(b"a")),
    "trailers": Script(HEAD + CHUNKED + b"1\r\na\r\n0\r\n", fill_piece(b"a: b\r\n")),
    "one trailer": Script(HEAD + CHUNKED + b"1\r\na\r\n0\r\nX: ", fill_piece(b"a")),
    "interim answers": Script(b"", fill_piece(b"HTTP/1.1 102 Processing\r\n\r\n")),
    "slow interim answers": Script(
        b"", b"HTTP/1.1 102 Processing\r\n\r\n", SEND_INTERVAL_S
    ),
    "a slow head": Script(HEAD + b"X-Long: ", b"a", SEND_INTERVAL_S),
    "a slow body": Script(
        HEAD + b"Content-Length: 1000\r\n\r\n", b"a", SEND_INTERVAL_S
    ),
    "a slow body after a late read": Script(
        HEAD + b"Content-Length: 1000\r\n\r\n", b"a", SEND_INTERVAL_S, READ_DELAY_S
    ),
    "another protocol": Script(
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
        b"Connection: upgrade\r\n\r\n",
        fill_piece(b"a"),
    ),
    # Requests of callers.
    "requests' headers": Script(POST_HEAD, fill_piece(b"a: b\r\n")),
    "one header of a request": Script(POST_HEAD + b"X-Long: ", fill_piece(b"a")),
    "a request target": Script(b"GET /", fill_piece(b"a")),
    "a slow head of a request": Script(POST_HEAD + b"X-Long: ", b"a", SEND_INTERVAL_S),
    "a body in chunks of one byte": Script(
        POST_HEAD + CHUNKED, fill_piece(b"1\r\na\r\n")
    ),
    "trailers of a request": Script(
        POST_HEAD + CHUNKED + b"1\r\na\r\n0\r\n", fill_piece(b"a: b\r\n")
    ),
    "one trailer of a request": Script(
        POST_HEAD + CHUNKED + b"1\r\na\r\n0\r\nX: ", fill_piece(b"a")
    ),
    "a slow body of a request": Script(
        POST_HEAD + b"Content-Length: 1000\r\n\r\n", b"a", SEND_INTERVAL_S
    ),
    "bytes that are not a request": Script(b"\0\1garbage", fill_piece(b"a")),
    "whole requests": Script(GET_REQUEST, fill_piece(GET_REQUEST)),
    "a head of 20000 bytes in one piece": Script(
        POST_HEAD + b"X-Long: " + b"a" * 20_000 + b"\r\n\r\n", b""
    ),
}


def send_script(sock: socket.socket, script: Script) -> bytes:
    """Send until the other end closes or time is up; return the first data received."""
    end_s = time.monotonic() + SEND_DURATION_S
    received = b""
    data = script.first or script.repeated
    while time.monotonic() < end_s:
        readable, writable, _ = select.select(
            [sock], [sock] if data else [], [], SEND_INTERVAL_S
        )
        if readable:
            piece = sock.recv(READ_BYTES)
            if not piece:
                break
            received = received or piece
        if writable:
            data = data[sock.send(data) :]
            if not data:
                data = script.repeated
                time.sleep(script.pause_s)
    return received


def respond(sock: socket.socket, script: Script) -> None:
    """Read a request and send an endless answer."""
    with sock, contextlib.suppress(OSError):
        time.sleep(script.read_delay_s)
        sock.recv(READ_BYTES)
        while select.select([sock], [], [], IDLE_TIMEOUT_S)[0] and sock.recv(
            READ_BYTES
        ):
            pass
        sock.setblocking(False)
        send_script(sock, script)


def listen(script: Script) -> None:
    """Print a port and answer every connection to it until the process is killed."""
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        task = threading.Thread(target=respond, args=(sock, script), daemon=True)
        task.start()


def call(script: Script, port: int) -> None:
    """Connect to a port, send endless data and print the first line of the answer."""
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.setblocking(False)
        try:
            received = send_script(sock, script)
        except OSError as error:
            received = repr(error).encode()
    print(received.partition(b"\r\n")[0].decode("latin-1"), flush=True)


if __name__ == "__main__":
    if len(sys.argv) > 2:
        call(SCRIPTS[sys.argv[1]], int(sys.argv[2]))
    else:
        listen(SCRIPTS[sys.argv[1]])
