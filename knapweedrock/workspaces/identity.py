"""Identification of the workspace that a request belongs to."""

from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.mesh.definitions import Route
from knapweedrock.mesh.http import Request
from knapweedrock.platform.headers import CREDENTIAL
from knapweedrock.workspaces.definitions import Workspace, Workspaces

# Priorities of routes that can be told apart within a priority of workspaces.
ROUTE_PRIORITIES = 1000


def identify_workspace(
    workspaces: Workspaces | None, route: Route, request: Request
) -> Workspace | None:
    """Identify the workspace of a request, or None if it belongs to none.

    Raises `CREDENTIAL_UNKNOWN` if the route needs a credential and the request has no
    known one.
    """
    if workspaces is None:
        return None
    credentials = [value for name, value in request.headers if name == CREDENTIAL]
    workspace = workspaces.find(credentials[0]) if len(credentials) == 1 else None
    if workspace is None and not route.public:
        raise KnapweedrockError(Code.CREDENTIAL_UNKNOWN)
    return workspace


def combine_priorities(workspace: Workspace | None, route: Route) -> int:
    """Return the rank of a request: by its workspace's priority, then its route's."""
    if workspace is None:
        return route.priority
    route_priority = min(max(route.priority, 0), ROUTE_PRIORITIES - 1)
    return workspace.priority * ROUTE_PRIORITIES + route_priority
