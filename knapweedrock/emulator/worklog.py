"""Log of what a target stand-in truly ran and of what was too much for it."""

from typing import TypedDict


class Entry(TypedDict):
    """One request that the target began to run; times are CLOCK_BOOTTIME."""

    request_id: str
    order_id: str
    key: str
    path: str
    token: int
    start_ns: int
    end_ns: int
    finished: bool
    incarnation: str


class Excess(TypedDict):
    """A moment at which the target was given more than it bears."""

    at_ns: int
    given: int
    bears: int


class Event(TypedDict):
    """A change of the target's state: `start`, `cold`, `crash`."""

    at_ns: int
    kind: str
    incarnation: str


class WorkLog:
    """Everything that a test compares with the callers' history."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.excess: list[Excess] = []
        self.events: list[Event] = []
        self.peak_given = 0
        self.peak_connections = 0
        self.refused_connections = 0
        self.cancelled = 0
        self.fenced = 0

    def to_plain(self) -> dict[str, object]:
        """Return the log as plain data."""
        return dict(vars(self))
