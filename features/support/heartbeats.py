"""Heartbeats that scenarios send to a node in place of its target."""

from typing import Any

from features.support.mesh_harness import Place
from knapweedrock.mesh.http import encode_request
from knapweedrock.mesh.http_connections import dial
from knapweedrock.mesh.http_parsers import ResponseParser

TIMEOUT_S = 2.0
# Start time in ms that is later than that of any emulated target.
LATE_START_MS = 1 << 40


def create_heartbeat_fields(place: Place) -> dict[str, Any]:
    """Create a complete draining heartbeat, of a start after the target's own."""
    settings = place.settings
    return {
        "address": "{}:{}".format(*settings.target),
        "born": LATE_START_MS,
        "information": {
            "service": settings.service,
            "version": "v1",
            "zone": settings.zone,
            "slots": 18,
        },
        "status": {"state": "draining", "seq": 1_000_000, "coldRemainingMs": 0},
        "holds": [],
        "freed": [],
    }


def send_heartbeat(place: Place, instance: str, body: bytes) -> int:
    """Send a heartbeat to the node of a VM and return the response status."""
    connection = dial(place.settings.heartbeat, TIMEOUT_S)
    path = f"/instances/{instance}/heartbeat"
    message = encode_request("POST", path, [("Host", "node")], body)
    connection.send(message, TIMEOUT_S)
    status = connection.read(ResponseParser(), TIMEOUT_S).status
    connection.close()
    return status
