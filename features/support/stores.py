"""An emulated store, and a client of it, for scenarios without nodes."""

from knapweedrock.clock import create_clock
from knapweedrock.counters import Counters
from knapweedrock.emulator.addresses import create_address
from knapweedrock.emulator.store import ObjectStore, create_endpoint
from knapweedrock.platform.store import Store


def start_store(context) -> None:
    """Start an empty store and create a client of it."""
    context.objects = ObjectStore()
    front = create_endpoint(context.objects, create_address())
    front.start()
    context.add_cleanup(front.stop)
    context.counters = Counters()
    context.client = Store(front.address, create_clock(), context.counters)
