"""Headers that no caller passes through a node."""

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
