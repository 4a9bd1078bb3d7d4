"""Client with which an emulated target sends heartbeats to its node."""

from knapweedrock.mesh.http import JSON_HEADERS, Response, encode_request
from knapweedrock.mesh.http_connections import Connection, dial
from knapweedrock.mesh.http_parsers import ResponseParser

HEARTBEAT_TIMEOUT_S = 1.0


class HeartbeatClient:
    """Sends heartbeats over one connection as long as the node keeps it open."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._connection: Connection | None = None

    def send(self, path: str, body: bytes) -> Response:
        """Send a heartbeat and return the node's response.

        Raises `OSError` and `MalformedMessageError`; the next heartbeat then opens
        another connection.
        """
        connection, self._connection = self._connection, None
        if connection is None or not connection.is_reusable():
            connection = dial(self._address, HEARTBEAT_TIMEOUT_S)
        message = encode_request("POST", path, [("Host", "node"), *JSON_HEADERS], body)
        connection.send(message, HEARTBEAT_TIMEOUT_S)
        response = connection.read(ResponseParser(), HEARTBEAT_TIMEOUT_S)
        if response.reusable:
            self._connection = connection
        return response
