"""Headers that no caller passes through a node."""

from functools import lru_cache

CACHED_NAMES = 4096

# Headers that end at one connection.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Those, and the headers that only a node may set.
DROPPED_HEADERS = HOP_HEADERS | {
    "fencing-token",
    "idempotency-key",
    "lease-until",
    "proxy-authenticate",
    "proxy-authorization",
    "request-deadline-ms",
    "request-id",
    "service-key",
}


@lru_cache(CACHED_NAMES)
def is_dropped(name: str) -> bool:
    """Tell whether no caller passes this header through a node."""
    return name.lower() in DROPPED_HEADERS
