"""Quarantine of requests that crash targets: each is refused after three crashes."""

import xxhash

from knapweedrock.clock import NS_PER_MS, NS_PER_S, Clock

CRASHES_TO_QUARANTINE = 3
CRASH_RETENTION_S = 120
MAX_FINGERPRINTS = 4096
# A list of this many fingerprints takes about 30 KB.
MAX_LISTED_FINGERPRINTS = 512


def compute_fingerprint(method: str, path: str, key: int, body: bytes) -> str:
    """Compute a hash of what a request asks for, independent of its sender."""
    digest = xxhash.xxh3_128(f"{method} {path} {key}\n".encode("latin-1", "replace"))
    digest.update(body)
    return digest.hexdigest()


class Quarantine:
    """Counts, by fingerprint, the crashes of targets while a request was in flight."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._crash_times_ns: dict[str, list[int]] = {}

    def record_crash(self, fingerprints: list[str]) -> None:
        """Record the requests that were in flight at a target when it crashed."""
        now_ns = self._clock.now_ns()
        for fingerprint in fingerprints:
            while len(self._crash_times_ns) >= MAX_FINGERPRINTS:
                del self._crash_times_ns[next(iter(self._crash_times_ns))]
            self._crash_times_ns.setdefault(fingerprint, []).append(now_ns)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request was in flight at too many recent crashes."""
        times_ns = self._crash_times_ns.get(fingerprint)
        if not times_ns:
            return False
        oldest_ns = self._clock.now_ns() - CRASH_RETENTION_S * NS_PER_S
        return (
            sum(1 for at_ns in times_ns if at_ns > oldest_ns) >= CRASHES_TO_QUARANTINE
        )

    def clear(self, fingerprint: str) -> None:
        """Forget the crashes of a request that was executed without a crash."""
        self._crash_times_ns.pop(fingerprint, None)

    def list_ages_ms(self) -> dict[str, list[float]]:
        """Return the ages in ms of the crashes, for the fingerprints added last."""
        now_ns = self._clock.now_ns()
        latest = list(self._crash_times_ns.items())[-MAX_LISTED_FINGERPRINTS:]
        return {
            fingerprint: [(now_ns - at_ns) / NS_PER_MS for at_ns in times_ns]
            for fingerprint, times_ns in latest
        }

    def add_ages_ms(self, ages_ms: dict[str, list[float]]) -> None:
        """Add the crashes that another node remembers, unless more are known here."""
        now_ns = self._clock.now_ns()
        for fingerprint, ages in ages_ms.items():
            if len(ages) > len(self._crash_times_ns.get(fingerprint, [])):
                self._crash_times_ns.pop(fingerprint, None)
                while len(self._crash_times_ns) >= MAX_FINGERPRINTS:
                    del self._crash_times_ns[next(iter(self._crash_times_ns))]
                self._crash_times_ns[fingerprint] = [
                    now_ns - int(age_ms * NS_PER_MS) for age_ms in ages
                ]
