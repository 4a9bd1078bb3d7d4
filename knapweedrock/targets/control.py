"""Calls to the target's own endpoints: health, grants and cancellation."""

from typing import TYPE_CHECKING, Any

import msgspec

from knapweedrock.clock import NS_PER_MS
from knapweedrock.errors import KnapweedrockError
from knapweedrock.targets.connections import ConnectionPool
from knapweedrock.targets.exchange import (
    BrokenExchangeError,
    Exchange,
    SilentExchangeError,
)
from knapweedrock.targets.parser import Answer

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

CONTROL_TIMEOUT_MS = 500


class Control:
    """Client of the target's endpoints; each call has a connection of its own."""

    def __init__(self, env: "Environment", pool: ConnectionPool) -> None:
        self.env = env
        self.pool = pool

    def call(self, method: str, path: str, value: Any = None) -> Answer:
        """Call an endpoint.

        Raises `RefusalError` where no connection could be made, and
        `BrokenExchangeError` or `SilentExchangeError`.
        """
        body = b"" if value is None else msgspec.json.encode(value)
        address = self.pool.address
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {address.host}:{address.port}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        until_ns = self.env.clock.now_ns() + CONTROL_TIMEOUT_MS * NS_PER_MS
        connection = self.pool.dial()
        try:
            exchange = Exchange(self.env.clock, connection, "", False)
            exchange.send(head.encode() + body, until_ns)
            return exchange.read(until_ns)
        finally:
            self.pool.drop(connection)

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; tell whether it surely runs no more."""
        self.env.counters.count("target_cancels")
        try:
            answer = self.call("POST", f"/cancel/{request_id}")
        except (BrokenExchangeError, SilentExchangeError):
            return False
        except KnapweedrockError as error:
            return "refused" in error.detail
        return answer.status == 200

    def read_incarnation(self) -> str:
        """Read the incarnation that the target's health tells; empty: unknown."""
        try:
            answer = self.call("GET", "/health")
            value = msgspec.json.decode(answer.body)
        except (KnapweedrockError, msgspec.MsgspecError):
            return ""
        found = value.get("incarnation") if isinstance(value, dict) else None
        return found if isinstance(found, str) else ""
