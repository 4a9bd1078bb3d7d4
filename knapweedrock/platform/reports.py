"""Decoding of the headers with which targets report their state in responses."""

import re
from collections.abc import Iterable

from knapweedrock.mesh.definitions import SelfReport
from knapweedrock.platform.headers import COLD_MS, LEAVING, RATE_LIMIT

DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
YES = "1"
# Longer warm-up times are rejected as errors of the target.
MAX_COLD_MS = 600_000.0


def decode_report(headers: Iterable[tuple[str, str]]) -> SelfReport:
    """Decode a target's report on itself from the headers of its response.

    `is_readable` is false in the report if any of its headers is malformed.
    """
    by_name: dict[str, list[str]] = {RATE_LIMIT: [], LEAVING: [], COLD_MS: []}
    for name, value in headers:
        values = by_name.get(name.lower())
        if values is not None:
            values.append(value.strip())
    is_readable, is_limit_known = set(by_name[LEAVING]) <= {YES}, True
    limit, cold_ms = None, 0.0
    try:
        limit = decode_limit(by_name[RATE_LIMIT])
    except ValueError:
        is_readable = is_limit_known = False
    try:
        cold_ms = decode_cold_ms(by_name[COLD_MS][0]) if by_name[COLD_MS] else 0.0
    except ValueError:
        is_readable = False
    return SelfReport(
        limit, YES in by_name[LEAVING], cold_ms, is_readable, is_limit_known
    )


def decode_limit(values: list[str]) -> float | None:
    """Decode the values of the rate limit header; raise `ValueError`."""
    if not values:
        return None
    if len(values) > 1 or not DECIMAL.fullmatch(values[0]):
        raise ValueError(f"expected one decimal number, found {values!r}")
    return float(values[0])


def decode_cold_ms(value: str | float) -> float:
    """Decode how long in ms a target stays cold; raise `ValueError`."""
    cold_ms = float(value)
    if not 0 <= cold_ms <= MAX_COLD_MS:
        raise ValueError(f"expected 0 to {MAX_COLD_MS:.0f} ms, found {value!r}")
    return cold_ms
