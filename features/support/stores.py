"""An emulated store, and clients of one, for scenarios without nodes."""

from collections import Counter, defaultdict

from gevent.event import AsyncResult

from knapweedrock.clock import create_clock
from knapweedrock.counters import Counters
from knapweedrock.emulator.addresses import create_address
from knapweedrock.emulator.store import ObjectStore, create_endpoint
from knapweedrock.platform.store import Store
from knapweedrock.platform.stored_objects import ChangeBatch, Listing


def start_store(context) -> None:
    """Start an empty store and create a client of it."""
    context.objects = ObjectStore()
    front = create_endpoint(context.objects, create_address())
    front.start()
    context.add_cleanup(front.stop)
    context.counters = Counters()
    context.client = Store(front.address, create_clock(), context.counters)


class ScriptedStore:
    """Client of an empty store whose watches report what a scenario sets.

    `reports` has the next report of the watch of each kind, and `revisions` the
    revision of its listings. Listings are counted in `listed`.
    """

    def __init__(self) -> None:
        self.reports: dict[str, AsyncResult] = defaultdict(AsyncResult)
        self.revisions: dict[str, int] = defaultdict(lambda: 1)
        self.listed: Counter[str] = Counter()

    def list_kind(self, kind: str) -> Listing:
        """Return an empty listing."""
        self.listed[kind] += 1
        return Listing([], self.revisions[kind])

    def watch(self, kind: str, _revision: int, _wait_s: float) -> ChangeBatch:
        """Wait for the next report of the kind."""
        batch = self.reports[kind].get()
        self.reports[kind] = AsyncResult()
        return batch
