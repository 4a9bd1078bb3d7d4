"""Credentials of workspaces, which no output may show."""

from collections.abc import Iterable

from knapweedrock.json_input import InputError


class Credentials:
    """Names of workspaces by credential."""

    def __init__(self) -> None:
        self._workspaces: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._workspaces)

    def __repr__(self) -> str:
        return f"<Credentials: {len(self)}>"

    def add_all(self, workspace: str, credentials: Iterable[str]) -> None:
        """Add the credentials of a workspace.

        Raises `InputError`, which names the workspaces but no credential, if one is no
        text, is empty, or belongs to another workspace, too.
        """
        for credential in credentials:
            if not isinstance(credential, str) or not credential:
                raise InputError(
                    f"workspace {workspace!r}: found a credential that is no text"
                )
            owner = self._workspaces.setdefault(credential, workspace)
            if owner != workspace:
                raise InputError(
                    f"workspaces {owner!r} and {workspace!r} share a credential"
                )

    def find(self, credential: str) -> str | None:
        """Find the name of a credential's workspace, or None if it is unknown."""
        return self._workspaces.get(credential)
