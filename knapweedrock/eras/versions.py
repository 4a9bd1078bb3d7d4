"""Versions of what was read from the platform's store."""

from typing import NamedTuple


class StoreVersion(NamedTuple):
    """A revision of the store within an era; the later of two versions is larger.

    Revisions are given out again in a new era, so they have no order of their own.
    """

    era: int
    revision: int


# Before anything was read.
NO_VERSION = StoreVersion(0, 0)
