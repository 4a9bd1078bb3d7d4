"""Platform in memory that keeps every version, loses answers and yields."""

import random
from copy import deepcopy
from typing import Any

import gevent

from knapweedrock.codes import Code
from knapweedrock.errors import PlatformError
from knapweedrock.platform.interface import Stored


class MemoryPlatform:
    """Platform whose answers get lost with a given share."""

    def __init__(self, seed: int = 1, lost_share: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.lost_share = lost_share
        self.history: dict[str, list[Any]] = {}

    def get(self, name: str, timeout_ms: int = 1000) -> Stored | None:
        """Read an object."""
        self._pause()
        versions = self.history.get(name)
        if not versions:
            return None
        return Stored(len(versions), deepcopy(versions[-1]))

    def put(
        self, name: str, value: Any, expected: int, timeout_ms: int = 1000
    ) -> Stored:
        """Write an object if its version is the expected one."""
        self._pause()
        versions = self.history.setdefault(name, [])
        if len(versions) != expected:
            raise PlatformError(Code.PLATFORM_CONFLICT)
        versions.append(deepcopy(value))
        stored = Stored(len(versions), value)
        self._pause()
        return stored

    def list(self, prefix: str, timeout_ms: int = 1000) -> dict[str, Stored]:
        """Read all objects below a prefix."""
        self._pause()
        return {
            name: Stored(len(versions), deepcopy(versions[-1]))
            for name, versions in self.history.items()
            if name.startswith(prefix) and versions
        }

    def _pause(self) -> None:
        """Let others run, and lose the call with the given share."""
        gevent.sleep(self.random.uniform(0, 0.002))
        if self.random.random() < self.lost_share:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "the answer was lost")
