"""Small HTTP/1.1 server and client on asyncio streams, for stand-ins on loopback."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

LOOPBACK = "127.0.0.1"
MAX_HEAD_BYTES = 64 << 10


class Message(NamedTuple):
    """A whole request or response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])


class Answer(NamedTuple):
    """What a handler answers; None in its place closes the connection."""

    status: int
    headers: dict[str, str]
    body: bytes = b""


Handler = Callable[[Message], Awaitable[Answer | None]]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a body of known length; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start, headers, body)


def encode(start: str, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a message with its length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """A server whose listener can be closed and opened again at the same port."""

    def __init__(self, handler: Handler, port: int) -> None:
        self.port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Open the listener."""
        self._server = await asyncio.start_server(
            self._accept, LOOPBACK, self.port, limit=MAX_HEAD_BYTES, backlog=1024
        )

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while request := await read_message(reader):
                answer = await self._handler(request)
                if answer is None:
                    break
                start = f"HTTP/1.1 {answer.status} Status"
                writer.write(encode(start, answer.headers, answer.body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with suppress(OSError):
                writer.close()


class HttpConnection:
    """A client's connection, opened again for the next request after a failure."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Message:
        """Send a request and return the response; raises `OSError`."""
        try:
            async with asyncio.timeout(timeout_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(LOOPBACK, self.port)
                reader, writer = self._streams
                writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
                await writer.drain()
                response = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            raise ConnectionError(str(error) or type(error).__name__) from error
        except asyncio.CancelledError:
            self.close()
            raise
        if response is None:
            self.close()
            raise ConnectionError("closed without a response")
        if response.headers.get("connection", "").lower() == "close":
            self.close()
        return response

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            with suppress(OSError, RuntimeError):
                self._streams[1].close()
            self._streams = None
