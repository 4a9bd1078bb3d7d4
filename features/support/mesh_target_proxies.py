"""Local mesh whose nodes reach their targets through proxies."""

from collections.abc import Callable
from typing import Any

from features.support.mesh_harness import Mesh, Place
from features.support.proxies import Proxy
from knapweedrock.emulator.addresses import create_address

# Creates the proxy that listens on the first address and connects to the second one.
ProxyFactory = Callable[[tuple[str, int], tuple[str, int]], Proxy]


class TargetProxyMesh(Mesh):
    """Mesh with a proxy in front of each target."""

    def __init__(self, keyed: int, create_proxy: ProxyFactory, **changes: Any) -> None:
        """Create the mesh; `changes` replace settings of its nodes."""
        super().__init__(keyed)
        self.target_proxies: list[Proxy] = []
        self._create_proxy = create_proxy
        self.places = [self._add_proxy(place, changes) for place in self.places]

    def start(self) -> None:
        """Start the proxies, then everything else."""
        for proxy in self.target_proxies:
            proxy.start()
        super().start()

    def stop(self) -> None:
        """End everything at once."""
        super().stop()
        for proxy in self.target_proxies:
            proxy.stop()

    def _add_proxy(self, place: Place, changes: dict[str, Any]) -> Place:
        listen = create_address()
        proxy = self._create_proxy(listen, place.settings.target)
        self.target_proxies.append(proxy)
        place.holder.announce(listen)
        settings = place.settings._replace(target=listen, **changes)
        return place._replace(settings=settings)
