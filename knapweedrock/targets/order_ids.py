"""Order ids: UUIDs of version 7, which carry the time they were made."""

import uuid

from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError

VERSION = 7
TIME_SHIFT = 80


def read_order_time_ms(order_id: str) -> int:
    """Read the wall time of an order id; raises `ORDER_ID_INVALID`."""
    try:
        parsed = uuid.UUID(order_id)
    except ValueError as error:
        raise KnapweedrockError(Code.ORDER_ID_INVALID, str(error)) from error
    if parsed.version != VERSION:
        raise KnapweedrockError(
            Code.ORDER_ID_INVALID,
            f"found a UUID of version {parsed.version}, expected {VERSION}",
        )
    return parsed.int >> TIME_SHIFT
