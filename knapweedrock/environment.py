"""The environment that is handed down in place of globals."""

from typing import TYPE_CHECKING

from knapweedrock.clock import Clock, create_clock
from knapweedrock.configuration import ConfigurationHolder
from knapweedrock.counters import Counters
from knapweedrock.faults import Faults
from knapweedrock.nodes.view import ViewHolder
from knapweedrock.settings import NodeSettings

if TYPE_CHECKING:
    from knapweedrock.nodes.coordinator import Coordinator
    from knapweedrock.nodes.leases import NodeLease
    from knapweedrock.nodes.links import Links
    from knapweedrock.nodes.membership import Membership
    from knapweedrock.nodes.voter import Voter
    from knapweedrock.platform.interface import Platform
    from knapweedrock.targets.delivery import Delivery


class Environment:
    """All that the parts of one node share.

    The parts that `node.create_node` builds (`platform`, `links`, `lease`, `voter`,
    `membership`, `coordinator`, `delivery`) are set once, before a listener opens.
    """

    platform: "Platform"
    links: "Links"
    lease: "NodeLease"
    voter: "Voter"
    membership: "Membership"
    coordinator: "Coordinator"
    delivery: "Delivery"

    def __init__(
        self, settings: NodeSettings, incarnation: str, clock: Clock | None = None
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.clock = clock or create_clock()
        self.counters = Counters()
        self.faults = Faults()
        self.configuration = ConfigurationHolder()
        self.views = ViewHolder(settings.cell)
        self.dumps: dict[str, Dump] = {}


class Dump:
    """A part whose state can be dumped on request."""

    def dump(self) -> dict[str, object]:
        """Return the part's whole state as plain data."""
        raise NotImplementedError
