"""Local mesh whose nodes connect to each other through proxies."""

from features.support.mesh_builders import create_document
from features.support.mesh_harness import SAMPLED_KEYS, Mesh, Place
from features.support.proxies import Proxy
from knapweedrock.emulator.addresses import create_address

LONG_TIMEOUT_MS = 6000


class ProxiedMesh(Mesh):
    """Mesh with a proxy in front of the peer address of each node."""

    def __init__(self, keyed: int) -> None:
        super().__init__(keyed)
        self.configure(create_long_timeout_document())
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

    def find_remote_key(self, name: str) -> int:
        """Find a key whose target is beside a node other than the named one."""
        own = self.find_place(name)
        return next(key for key in SAMPLED_KEYS if self.find_owner(key) is not own)

    def _put_proxy(self, place: Place) -> Place:
        listen = create_address()
        settings = place.settings._replace(peer_listen=listen)
        self.proxies[settings.node_id] = Proxy(settings.peer, listen)
        return place._replace(settings=settings)


def create_long_timeout_document() -> dict:
    """Create a configuration whose routes have a long timeout."""
    document = create_document()
    for route in document["routes"].values():
        route["timeoutMs"] = LONG_TIMEOUT_MS
    return document
