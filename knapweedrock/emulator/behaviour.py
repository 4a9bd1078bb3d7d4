"""Behaviour of a target stand-in, changed by test programs while it runs."""

from typing import Any, NamedTuple

import msgspec


class Behaviour(NamedTuple):
    """How the stand-in behaves now.

    Fields that end in `_next` count requests: each affected request takes one
    away. `slowdown` multiplies the time of work until `slow_until_ms` after the
    change (0: for good). `load_factor` and `load_lag_ms` falsify the load report.
    """

    work_ms: float = 20.0
    slowdown: float = 1.0
    slow_for_ms: float = 0.0
    shedding: bool = False
    announcing: bool = True
    announces_cold: bool = True
    announces_restart: bool = True
    healthy: bool = True
    load_factor: float = 1.0
    load_lag_ms: float = 0.0
    restart_ms: float = 300.0
    late_ms: float = 200.0
    late_next: int = 0
    truncate_next: int = 0
    reset_next: int = 0
    reset_before_next: int = 0
    silent_next: int = 0
    lose_answer_next: int = 0
    double_next: int = 0
    unframed_next: int = 0


class BehaviourHolder:
    """The current behaviour and its counted faults."""

    def __init__(self, behaviour: Behaviour) -> None:
        self.value = behaviour

    def update(self, changes: dict[str, Any]) -> None:
        """Apply changes; raises `msgspec.ValidationError` on a wrong one."""
        unknown = set(changes) - set(Behaviour._fields)
        if unknown:
            raise msgspec.ValidationError(f"unknown fields {sorted(unknown)}")
        merged = [changes.get(name, getattr(self.value, name)) for name in self.fields]
        self.value = msgspec.convert(merged, Behaviour)

    @property
    def fields(self) -> tuple[str, ...]:
        """Return the names of all fields."""
        return Behaviour._fields

    def take(self, name: str) -> bool:
        """Take one from a counted fault; tell whether there was one."""
        left = getattr(self.value, name)
        if left <= 0:
            return False
        self.value = self.value._replace(**{name: left - 1})
        return True
