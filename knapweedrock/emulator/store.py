"""Versioned objects in memory, with watches and rates, behind the stand-in."""

import time

from gevent.event import Event
from gevent.timeout import Timeout

NAME_MAX_CHARACTERS = 512
VALUE_MAX_BYTES = 1 << 20


class ConflictError(Exception):
    """A conditional write met another version."""

    def __init__(self, version: int) -> None:
        super().__init__(f"the version is {version}")
        self.version = version


class Rate:
    """Token bucket that holds one second's worth of calls."""

    def __init__(self, calls_per_s: float) -> None:
        self.calls_per_s = calls_per_s
        self._tokens = calls_per_s
        self._filled_s = time.monotonic()

    def admit(self) -> bool:
        """Count a call; tell whether it is within the rate."""
        now_s = time.monotonic()
        gained = (now_s - self._filled_s) * self.calls_per_s
        self._tokens = min(self.calls_per_s, self._tokens + gained)
        self._filled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Store:
    """Objects as JSON bytes, each with a version that grows by one a write."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, bytes]] = {}
        self._changes: dict[str, Event] = {}

    def get(self, name: str) -> tuple[int, bytes] | None:
        """Read an object; None where it does not exist."""
        return self.objects.get(name)

    def list(self, prefix: str) -> dict[str, tuple[int, bytes]]:
        """Read all objects whose name starts with the prefix."""
        return {
            name: found
            for name, found in self.objects.items()
            if name.startswith(prefix)
        }

    def put(self, name: str, value: bytes, expected: int) -> int:
        """Write at the expected version and return the new one."""
        version = self.objects.get(name, (0, b""))[0]
        if version != expected:
            raise ConflictError(version)
        self.objects[name] = (version + 1, value)
        self.wake(name)
        return version + 1

    def watch(self, name: str, after: int, wait_ms: int) -> tuple[int, bytes] | None:
        """Wait for a version above `after`; None where none came in time."""
        with Timeout(wait_ms / 1000, False):
            while self.objects.get(name, (0, b""))[0] <= after:
                self._changes.setdefault(name, Event()).wait()
        found = self.objects.get(name)
        return found if found and found[0] > after else None

    def wake(self, name: str) -> None:
        """Let the object's watches look again."""
        change = self._changes.pop(name, None)
        if change is not None:
            change.set()
