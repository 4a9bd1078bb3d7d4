"""Checks of what targets hold, and under which tokens, from outside."""

from collections.abc import Iterable
from typing import NamedTuple

from knapweedrock.emulator.target import EmulatedTarget
from knapweedrock.mesh.snapshots import KEY_COUNT

SAMPLED_KEYS = range(0, KEY_COUNT, 64)
MAX_VIOLATIONS = 5


class HeldKey(NamedTuple):
    """The highest token of a key, and the target that had it."""

    token: int
    target: str


class HoldMonitor:
    """Compares the holds of all targets each time that it is told to look."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self._highest: dict[int, HeldKey] = {}
        self._had: set[tuple[str, int, int]] = set()
        self._former_holds: dict[str, set[tuple[int, int, int]]] = {}

    def check(self, targets: Iterable[EmulatedTarget]) -> None:
        """Check that no key has two holders, and that tokens rise with each owner."""
        holders: dict[int, str] = {}
        for target in targets:
            holds = {hold[:3] for hold in target.list_holds()}
            former = self._former_holds.get(target.target, set())
            for start, end, token in holds - former:
                self._check_take(target.target, start, end, token)
            self._former_holds[target.target] = holds
            for start, end, _ in holds:
                self._check_overlap(holders, target.target, start, end)

    def _check_take(self, target: str, start: int, end: int, token: int) -> None:
        """Check that a token is above all with which others had the keys."""
        worst = None
        for key in list_samples(start, end):
            highest = self._highest.get(key, HeldKey(0, ""))
            is_same = (target, key, token) in self._had
            if highest.target not in ("", target) and not is_same:
                worst = highest if token <= highest.token else worst
            self._had.add((target, key, token))
            if token >= highest.token:
                self._highest[key] = HeldKey(token, target)
        if worst is not None:
            self._report(
                f"{target} takes {start}-{end} with {token}, not above {worst}"
            )

    def _check_overlap(
        self, holders: dict[int, str], target: str, start: int, end: int
    ) -> None:
        for key in list_samples(start, end):
            other = holders.setdefault(key, target)
            if other != target:
                self._report(f"{key} is held by {other} and {target}")
                return

    def _report(self, text: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(text)


def list_samples(start: int, end: int) -> range:
    """List the sampled keys in a range of keys."""
    step = SAMPLED_KEYS.step
    return range(-(-start // step) * step, end + 1, step)


def list_unheld_keys(targets: Iterable[EmulatedTarget]) -> list[int]:
    """List the sampled keys that no target holds."""
    held: set[int] = set()
    for target in targets:
        for hold in target.list_holds():
            held.update(list_samples(hold.start, hold.end))
    return [key for key in SAMPLED_KEYS if key not in held]
