"""Examples drawn by hypothesis, the same ones in every run."""

from collections.abc import Callable
from typing import Any

from hypothesis import given, settings
from hypothesis.strategies import SearchStrategy


def feed_examples(
    check: Callable, *strategies: SearchStrategy, count: int = 300, **options: Any
) -> None:
    """Call a check with this many examples of its arguments."""
    bounds = settings(
        max_examples=count, derandomize=True, deadline=None, database=None, **options
    )
    bounds(given(*strategies)(check))()
