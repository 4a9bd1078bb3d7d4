"""A mesh on loopback: the store's stand-in, targets, nodes and callers."""

import itertools
from typing import NamedTuple

import gevent

from features.support.mesh_builders import (
    OTHER_SERVICE,
    SERVICE,
    create_address,
    create_document,
    create_settings,
)
from knapweedrock.clock import create_clock
from knapweedrock.emulator.holder import Holder
from knapweedrock.emulator.objects import Front, Objects, create_front
from knapweedrock.mesh.http import (
    Answer,
    AnswerParser,
    Connection,
    dial,
    encode_request,
)
from knapweedrock.mesh.node import Node
from knapweedrock.platform.headers import ATTEMPT_ID, KEY, REMAINING

POLL_S = 0.02
READY_S = 10.0


class Place(NamedTuple):
    """A VM: its node's settings, its target and its own way to the store."""

    settings: object
    holder: Holder
    front: Front


class Mesh:
    """Some VMs, each with a node beside its target."""

    def __init__(self, keyed: int = 3, unkeyed: int = 0) -> None:
        self.clock = create_clock()
        self.objects = Objects()
        self.objects.write("config", "main", create_document())
        self.places: list[Place] = []
        self.nodes: dict[str, Node] = {}
        self.numbers = itertools.count(1)
        self.double_owners: list[tuple[int, list[str]]] = []
        for number in range(keyed + unkeyed):
            self._add(number, SERVICE if number < keyed else OTHER_SERVICE)
        self._sampler = gevent.spawn(self._sample_owners)

    def start(self) -> None:
        """Start everything and wait until keys are held."""
        for place in self.places:
            place.front.start()
            place.holder.start()
            self.start_node(place)
        self.wait_until(self.is_settled)

    def stop(self) -> None:
        """End everything at once."""
        self._sampler.kill()
        for place in self.places:
            place.holder.crash()
            place.front.stop()
        for name in list(self.nodes):
            self.kill_node(name)

    def start_node(self, place: Place) -> Node:
        """Start the node of a place as a new process would."""
        node = Node(place.settings, self.clock)
        node.start()
        self.nodes[place.settings.node_id] = node
        return node

    def kill_node(self, name: str) -> None:
        """End a node without a word."""
        self.nodes.pop(name).abort()

    def find_place(self, name: str) -> Place:
        """Return the place of a node."""
        return next(p for p in self.places if p.settings.node_id == name)

    def find_coordinator(self) -> str:
        """Return the name of the node that coordinates, or nothing."""
        for name, node in self.nodes.items():
            if node.coordinator.term.has_authority():
                return name
        return ""

    def find_owner(self, key: int) -> Place | None:
        """Return the place whose target holds a key."""
        for place in self.places:
            if place.holder.find_held(key) is not None:
                return place
        return None

    def is_settled(self) -> bool:
        """Tell whether every key is held and every node is ready."""
        keys = range(0, 65536, 4096)
        return all(self.find_owner(key) for key in keys) and all(
            len(node.board.members) >= len(self.nodes) and node.configuration
            for node in self.nodes.values()
        )

    def wait_until(self, check, limit_s: float = READY_S) -> float:
        """Wait until a check holds and return how long it took, in s."""
        began_ns = self.clock.now_ns()
        with gevent.Timeout(limit_s, AssertionError(f"{check} did not hold in time")):
            while not check():
                gevent.sleep(POLL_S)
        return (self.clock.now_ns() - began_ns) / 1e9

    def call(
        self,
        name: str,
        path: str,
        key: int | None = None,
        method: str = "GET",
        body: bytes = b"",
        remaining_ms: int = 1500,
    ) -> Answer:
        """Send one request to a node on a connection of its own."""
        connection = self.open(name)
        try:
            data, _ = self.encode(path, key, method, body, remaining_ms)
            connection.send(data, 5)
            return connection.read(AnswerParser(), 5)
        finally:
            connection.close()

    def open(self, name: str) -> Connection:
        """Open a connection to a node."""
        return dial(self.find_place(name).settings.caller, 2)

    def encode(
        self, path: str, key: int | None, method: str, body: bytes, remaining_ms: int
    ) -> tuple[bytes, str]:
        """Encode a request with an id of its own and return both."""
        attempt_id = f"attempt-{next(self.numbers)}"
        headers = [
            ("Host", "mesh.example"),
            (ATTEMPT_ID, attempt_id),
            (REMAINING, str(remaining_ms)),
        ]
        if key is not None:
            headers.append((KEY, str(key)))
        return encode_request(method, path, headers, body), attempt_id

    def _add(self, number: int, service: str) -> None:
        front = create_front(self.objects, create_address(), seed=number)
        address = create_address()
        settings = create_settings(number, front.address, address, service)
        holder = Holder(
            service, settings.zone, address, settings.heartbeat, self.clock, number
        )
        holder.keyed = service == SERVICE
        self.places.append(Place(settings, holder, front))

    def _sample_owners(self) -> None:
        """Note keys that two targets hold at the same time."""
        while True:
            gevent.sleep(0.005)
            for key in range(0, 65536, 1024):
                owners = [
                    place.holder.target
                    for place in self.places
                    if place.holder.find_held(key) is not None
                ]
                if len(owners) > 1:
                    self.double_owners.append((key, owners))
