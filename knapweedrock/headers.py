"""Headers that no caller passes through a node."""

from functools import lru_cache

CACHED_NAMES = 4096

# Headers that end at one connection, and those that only a node may set.
DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "fencing-token",
        "idempotency-key",
        "keep-alive",
        "lease-until",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "request-deadline-ms",
        "request-id",
        "service-key",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@lru_cache(CACHED_NAMES)
def is_dropped(name: str) -> bool:
    """Tell whether no caller passes this header through a node."""
    return name.lower() in DROPPED_HEADERS
