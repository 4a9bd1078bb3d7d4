"""Local meshes with a proxy at one address of each VM."""

from collections.abc import Callable
from typing import Any

from features.support.mesh_builders import create_document
from features.support.mesh_harness import SAMPLED_KEYS, Mesh, Place
from features.support.proxies import Proxy
from knapweedrock.emulator.addresses import create_address

LONG_TIMEOUT_MS = 6000

# Creates the proxy that listens on the first address and connects to the second one.
ProxyFactory = Callable[[tuple[str, int], tuple[str, int]], Proxy]


class ProxyMesh(Mesh):
    """Mesh with one proxy for each VM; subclasses choose its place."""

    def __init__(self, keyed: int) -> None:
        super().__init__(keyed)
        # Proxies by the name of the VM's node.
        self.proxies: dict[str, Proxy] = {}
        self.places = [self._put_proxy(place) for place in self.places]

    def start(self) -> None:
        """Start the proxies, then everything else."""
        for proxy in self.proxies.values():
            proxy.start()
        super().start()

    def stop(self) -> None:
        """End everything at once."""
        super().stop()
        for proxy in self.proxies.values():
            proxy.stop()

    def _put_proxy(self, place: Place) -> Place:
        """Create the proxy of a VM and return the VM that uses it."""
        raise NotImplementedError


class ProxiedMesh(ProxyMesh):
    """Mesh with a proxy in front of the peer address of each node."""

    def __init__(self, keyed: int) -> None:
        super().__init__(keyed)
        self.configure(create_long_timeout_document())

    def find_remote_key(self, name: str) -> int:
        """Find a key whose target is beside a node other than the named one."""
        own = self.find_place(name)
        return next(key for key in SAMPLED_KEYS if self.find_owner(key) is not own)

    def _put_proxy(self, place: Place) -> Place:
        listen = create_address()
        settings = place.settings._replace(peer_listen=listen)
        self.proxies[settings.node_id] = Proxy(settings.peer, listen)
        return place._replace(settings=settings)


class StoreProxyMesh(ProxyMesh):
    """Mesh with a proxy between each node and the store."""

    def _put_proxy(self, place: Place) -> Place:
        listen = create_address()
        self.proxies[place.settings.node_id] = Proxy(listen, place.front.address)
        return place._replace(settings=place.settings._replace(store=listen))


class TargetProxyMesh(ProxyMesh):
    """Mesh with a proxy in front of each target."""

    def __init__(self, keyed: int, create_proxy: ProxyFactory, **changes: Any) -> None:
        """Create the mesh; `changes` replace settings of its nodes."""
        self._create_proxy = create_proxy
        self._changes = changes
        super().__init__(keyed)

    def _put_proxy(self, place: Place) -> Place:
        listen = create_address()
        proxy = self._create_proxy(listen, place.settings.target)
        self.proxies[place.settings.node_id] = proxy
        place.holder.announce(listen)
        settings = place.settings._replace(target=listen, **self._changes)
        return place._replace(settings=settings)


def create_long_timeout_document() -> dict:
    """Create a configuration whose routes have a long timeout."""
    document = create_document()
    for route in document["routes"].values():
        route["timeoutMs"] = LONG_TIMEOUT_MS
    return document
