"""HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them."""

import asyncio
from typing import NamedTuple

MAX_HEAD_BYTES = 64 << 10
STREAM_LIMIT_BYTES = 1 << 20


class Message(NamedTuple):
    """A request or response; header names are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader, prefix: bytes = b"") -> Message:
    """Read one message; raise `EOFError` or `OSError` if it does not arrive whole."""
    try:
        head = prefix + await reader.readuntil(b"\r\n\r\n")
        start_line, *lines = head.decode("latin-1").rstrip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
    except asyncio.IncompleteReadError as error:
        raise EOFError(f"{len(error.partial)} bytes of a message") from error
    return Message(start_line, headers, body)


def get_status(message: Message) -> int:
    """Return the status of a response."""
    return int(message.start_line.split()[1])


def encode(start_line: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Encode a message with a body of known length."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: tuple[str, int], data: bytes, timeout_s: float
) -> Message | None:
    """Send a request on a new connection; return None without a whole response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, limit=STREAM_LIMIT_BYTES
            )
            writer.write(data)
            await writer.drain()
            return await read_message(reader)
    except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            writer.close()
