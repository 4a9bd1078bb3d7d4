"""Configurations with workspaces, and their credentials."""

from typing import Any

from features.support.mesh_builders import OTHER_SERVICE, create_document

BLUE = "blue"
BLUE_CREDENTIAL = "b1ue-secret-credential"
NEW_CREDENTIAL = "b1ue-renewed-credential"
GREEN_CREDENTIAL = "gr33n-secret-credential"
SMALL_CREDENTIAL = "sma11-secret-credential"
UNKNOWN_CREDENTIAL = "unkn0wn-secret-credential"
CREDENTIALS = (
    BLUE_CREDENTIAL,
    NEW_CREDENTIAL,
    GREEN_CREDENTIAL,
    SMALL_CREDENTIAL,
    UNKNOWN_CREDENTIAL,
)
SMALL_RATE = 5
SMALL_BURST = 10


def create_workspaces(blue_credential: str = BLUE_CREDENTIAL) -> dict[str, Any]:
    """Create workspaces as operators write them; only `small` has a quota."""
    return {
        BLUE: {"apiKeys": [blue_credential], "priority": 1},
        "green": {"apiKeys": [GREEN_CREDENTIAL], "priority": 2, "ratePerS": 0},
        "small": {
            "apiKeys": [SMALL_CREDENTIAL],
            "ratePerS": SMALL_RATE,
            "burst": SMALL_BURST,
        },
    }


def create_workspace_document(
    version: int = 1, blue_credential: str = BLUE_CREDENTIAL, **odd: Any
) -> dict[str, Any]:
    """Create a configuration with workspaces and a public route.

    With fields in `odd` it has another workspace, named odd, with these fields.
    """
    document = create_document(version)
    listing = document["routes"]["list"]
    document["routes"]["public"] = {
        **listing,
        "pathPrefix": "/public/",
        "service": OTHER_SERVICE,
        "public": True,
    }
    document["tenants"] = create_workspaces(blue_credential)
    if odd:
        document["tenants"]["odd"] = odd
    return document
