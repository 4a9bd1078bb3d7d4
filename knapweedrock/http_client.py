"""HTTP client for the load program and tests: no delayed writes, no hidden retries."""

from http.client import HTTPException

from geventhttpclient import HTTPClient

from knapweedrock.sockets import disable_nagle

NO_RETRIES_SIZE = -1

# Errors that a request raises if it gets no complete response.
EXCHANGE_ERRORS = (OSError, ValueError, HTTPException)


def create_client(address: str, timeout_s: float, concurrency: int = 1) -> HTTPClient:
    """Create a client for one `host:port` that sends each request exactly once."""
    host, _, port = address.rpartition(":")
    client = HTTPClient(
        host.strip("[]"),
        int(port),
        concurrency=concurrency,
        connection_timeout=timeout_s,
        network_timeout=timeout_s,
    )
    pool = client._connection_pool
    pool.after_connect = disable_nagle
    # geventhttpclient retries an idempotent request `size + 1` times by itself.
    pool.size = NO_RETRIES_SIZE
    return client
