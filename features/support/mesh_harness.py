"""A local mesh that takes requests and detects keys with two owners."""

import itertools

import gevent

from features.support.mesh_builders import (
    OTHER_SERVICE,
    SERVICE,
    create_document,
    create_spot,
)
from knapweedrock.emulator.local_mesh import LocalMesh, Place
from knapweedrock.mesh import snapshots
from knapweedrock.mesh.http import Headers, Response, encode_request
from knapweedrock.mesh.http_connections import Connection, dial
from knapweedrock.mesh.http_parsers import ResponseParser
from knapweedrock.platform.headers import ATTEMPT_ID, REMAINING_MS, SHARD_KEY

__all__ = [
    "SAMPLED_KEYS",
    "Mesh",
    "Place",
    "choose_other_node",
    "list_held_keys",
    "map_holds",
]

# Keys whose owners scenarios look up.
SAMPLED_KEYS = tuple(range(0, snapshots.KEY_COUNT, 2048))


class Mesh(LocalMesh):
    """Local mesh of VMs, each with a node beside its target."""

    def __init__(self, keyed: int = 3, unkeyed: int = 0) -> None:
        spots = [
            create_spot(number, SERVICE if number < keyed else OTHER_SERVICE)
            for number in range(keyed + unkeyed)
        ]
        super().__init__(create_document(), spots)
        self.attempt_numbers = itertools.count(1)
        self.double_owners: list[tuple[int, list[str]]] = []
        self._sampler = gevent.spawn(self._sample_owners)

    def stop(self) -> None:
        """Stop all nodes, targets and the sampler at once."""
        self._sampler.kill()
        super().stop()

    def call(
        self,
        name: str,
        path: str,
        key: int | None = None,
        method: str = "GET",
        body: bytes = b"",
        remaining_ms: int = 1500,
        extra_headers: Headers | None = None,
    ) -> Response:
        """Send one request to a node on a new connection, and return its response."""
        connection = self.open_connection(name)
        try:
            data, _ = self.encode_call(
                path, key, method, body, remaining_ms, extra_headers
            )
            connection.send(data, 5)
            return connection.read(ResponseParser(), 5)
        finally:
            connection.close()

    def open_connection(self, name: str) -> Connection:
        """Open a connection to a node."""
        return dial(self.find_place(name).settings.caller, 2)

    def encode_call(
        self,
        path: str,
        key: int | None,
        method: str,
        body: bytes,
        remaining_ms: int,
        extra_headers: Headers | None = None,
    ) -> tuple[bytes, str]:
        """Encode a request with a unique attempt id; return both."""
        attempt_id = f"attempt-{next(self.attempt_numbers)}"
        headers = [
            ("Host", "mesh.example"),
            (ATTEMPT_ID, attempt_id),
            (REMAINING_MS, str(remaining_ms)),
            *(extra_headers or []),
        ]
        if key is not None:
            headers.append((SHARD_KEY, str(key)))
        return encode_request(method, path, headers, body), attempt_id

    def _sample_owners(self) -> None:
        """Record keys that several targets hold at the same time."""
        while True:
            gevent.sleep(0.005)
            for key in range(0, snapshots.KEY_COUNT, 1024):
                owners = [
                    place.holder.target
                    for place in self.places
                    if place.holder.find_hold(key) is not None
                ]
                if len(owners) > 1:
                    self.double_owners.append((key, owners))


def map_holds(mesh: Mesh) -> dict[int, tuple[str, int]]:
    """Map each sampled key that is held to its target and token."""
    found = {}
    for key in SAMPLED_KEYS:
        place = mesh.find_owner(key)
        if place is not None:
            held = place.holder.find_hold(key)
            found[key] = (place.holder.target, held.token)
    return found


def choose_other_node(mesh: Mesh, other: str) -> str:
    """Return the first node that is not the named one."""
    return next(name for name in mesh.nodes if name != other)


def list_held_keys(place: Place) -> list[int]:
    """List the sampled keys that a target holds."""
    return [key for key in SAMPLED_KEYS if place.holder.find_hold(key) is not None]
