"""What targets of the users' platform say of themselves in their answers."""

import re
from collections.abc import Iterable

from knapweedrock.mesh.definitions import SelfReport
from knapweedrock.platform.headers import LEAVING, LIMIT

DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
YES = "1"


def decode_report(headers: Iterable[tuple[str, str]]) -> SelfReport:
    """Decode what an answer's headers say of the target that gave it."""
    limits, leaving = [], []
    for name, value in headers:
        key = name.lower()
        if key == LIMIT:
            limits.append(value.strip())
        elif key == LEAVING:
            leaving.append(value.strip())
    limit = None
    is_readable = set(leaving) <= {YES}
    if len(limits) == 1 and DECIMAL.fullmatch(limits[0]):
        limit = float(limits[0])
    elif limits:
        is_readable = False
    return SelfReport(limit, YES in leaving, is_readable)
