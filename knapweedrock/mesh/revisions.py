"""Revisions of the store that a node has seen, to tell whether it has missed some."""

# More revisions after a gap are not kept one by one.
MAX_LATER_REVISIONS = 1000


class SeenRevisions:
    """Revisions of the changes that a node has made or read in an era of the store.

    The store numbers all changes with one counter, so a number that is missing between
    two others belongs to a change that the node does not know.
    """

    def __init__(self, era: int = 0) -> None:
        self.era = era
        self._all_until = 0
        self._later: set[int] = set()

    def add(self, revision: int) -> None:
        """Add the revision of one change."""
        if revision <= self._all_until:
            return
        if len(self._later) >= MAX_LATER_REVISIONS:
            self._later.clear()
        self._later.add(revision)
        self._close_gap()

    def add_all_until(self, revision: int) -> None:
        """Add all revisions up to one, whose state the node has read."""
        if revision <= self._all_until:
            return
        self._all_until = revision
        self._later = {later for later in self._later if later > revision}
        self._close_gap()

    def has_gap(self) -> bool:
        """Return whether a revision before the latest one was not seen."""
        return bool(self._later)

    def _close_gap(self) -> None:
        while self._all_until + 1 in self._later:
            self._all_until += 1
            self._later.remove(self._all_until)
