"""Requests that crash targets: counted at each crash, refused after the third."""

import xxhash

from knapweedrock.clock import NS_PER_S, Clock

CRASHES_TO_REFUSE = 3
MEMORY_S = 120
MAX_FINGERPRINTS = 4096


def create_fingerprint(method: str, path: str, key: int, body: bytes) -> str:
    """Create the identity of what a request does, whoever sends it."""
    digest = xxhash.xxh3_128(f"{method} {path} {key}\n".encode("latin-1", "replace"))
    digest.update(body)
    return digest.hexdigest()


class Suspects:
    """Crashes at which each fingerprint was present, while they count."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, list[int]] = {}

    def count_crash(self, fingerprints: list[str]) -> None:
        """Note which requests were at a target when it crashed."""
        now_ns = self._clock.now_ns()
        for fingerprint in fingerprints:
            while len(self._seen) >= MAX_FINGERPRINTS:
                del self._seen[next(iter(self._seen))]
            self._seen.setdefault(fingerprint, []).append(now_ns)

    def is_refused(self, fingerprint: str) -> bool:
        """Tell whether the request was present at too many crashes."""
        seen = self._seen.get(fingerprint)
        if not seen:
            return False
        oldest_ns = self._clock.now_ns() - MEMORY_S * NS_PER_S
        return sum(1 for at_ns in seen if at_ns > oldest_ns) >= CRASHES_TO_REFUSE

    def clear(self, fingerprint: str) -> None:
        """Free a request that ran without a crash."""
        self._seen.pop(fingerprint, None)
