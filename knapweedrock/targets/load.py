"""Load of the target: requests a second and the keys that make up most of it."""

from typing import TYPE_CHECKING

from knapweedrock.clock import NS_PER_S
from knapweedrock.nodes.view import hash_key

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

WINDOW_S = 2.0
SKETCH_KEYS = 64
HOT_SHARE = 0.05
MIN_HOT_REQUESTS = 20

HotKey = tuple[str, int, float]


class LoadMeter:
    """Counts over two windows: the one that fills and the last full one.

    Hot keys are found by the space-saving sketch, which may count a key too high
    by at most the least count it holds; that error is taken off.
    """

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.began_ns = env.clock.now_ns()
        self.count = 0
        self.keys: dict[tuple[str, str], tuple[int, int]] = {}
        self.last_rate = 0.0
        self.last_hot: list[HotKey] = []

    def add(self, service: str, key: str) -> None:
        """Count a request."""
        now_ns = self.env.clock.now_ns()
        if now_ns - self.began_ns > WINDOW_S * NS_PER_S:
            self._turn_window(now_ns)
        self.count += 1
        if not key:
            return
        place = (service, key)
        known = self.keys.get(place)
        if known is not None:
            self.keys[place] = (known[0] + 1, known[1])
            return
        error = 0
        if len(self.keys) >= SKETCH_KEYS:
            least = min(self.keys, key=self.keys.__getitem__)
            error = self.keys.pop(least)[0]
        self.keys[place] = (error + 1, error)

    def _turn_window(self, now_ns: int) -> None:
        elapsed_s = (now_ns - self.began_ns) / NS_PER_S
        self.last_rate = self.count / elapsed_s
        self.last_hot = self._find_hot()
        self.began_ns = now_ns
        self.count = 0
        self.keys = {}

    def _find_hot(self) -> list[HotKey]:
        if self.count < MIN_HOT_REQUESTS:
            return []
        shares = [
            (service, hash_key(key), (counted - error) / self.count)
            for (service, key), (counted, error) in self.keys.items()
        ]
        hot = [item for item in shares if item[2] >= HOT_SHARE]
        return sorted(hot, key=lambda item: -item[2])

    def report(self) -> tuple[int, list[HotKey]]:
        """Return requests a second and the hot keys with their shares."""
        now_ns = self.env.clock.now_ns()
        if now_ns - self.began_ns > WINDOW_S * NS_PER_S:
            self._turn_window(now_ns)
        return round(self.last_rate), self.last_hot
