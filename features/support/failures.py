"""Checks of calls to the platform that must fail."""

import math
import time
from collections.abc import Callable

from knapweedrock.codes import Code
from knapweedrock.errors import PlatformError


def fail_with(task: Callable) -> Code:
    """Run a call that must fail and return its code."""
    try:
        found = task()
    except PlatformError as error:
        return error.code
    raise AssertionError(f"succeeded: {found!r:.200}")


def check_fails(code: Code, task: Callable, longest_ms: float = math.inf) -> None:
    """Check that a call fails with a code and within its time."""
    started_s = time.monotonic()
    found = fail_with(task)
    assert found == code, found
    taken_ms = (time.monotonic() - started_s) * 1000
    assert taken_ms < longest_ms, taken_ms
