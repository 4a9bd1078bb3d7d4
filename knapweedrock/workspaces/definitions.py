"""Types for the workspaces of a configuration."""

from typing import NamedTuple

from knapweedrock.workspaces.credentials import Credentials


class Workspace(NamedTuple):
    """A group of callers.

    `rate_per_s` requests per second plus a burst of `burst` may be sent to targets,
    over all nodes together; a rate of 0 sets no limit. The `priority` goes before that
    of the route; 0 is the most urgent.
    """

    name: str
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Return whether the workspace has a quota."""
        return self.rate_per_s > 0


class Workspaces(NamedTuple):
    """All workspaces of a configuration, by name, and their credentials."""

    by_name: dict[str, Workspace]
    credentials: Credentials

    def find(self, credential: str) -> Workspace | None:
        """Find the workspace that a credential belongs to, or None if it is unknown."""
        name = self.credentials.find(credential)
        return None if name is None else self.by_name[name]
