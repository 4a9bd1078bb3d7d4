"""Simulated nodes that choose between a limited target and another one."""

import itertools
import random

from features.support.mesh_builders import FakeClock, create_member
from knapweedrock.clock import NS_PER_MS, NS_PER_S
from knapweedrock.mesh.messages import TargetNotice
from knapweedrock.mesh.rates import RateLimit
from knapweedrock.mesh.selection import TargetSelector
from knapweedrock.mesh.senders import Senders

LIMITED = create_member("limited")
FREE = create_member("free")
LATENCY_MS = 50.0


class RequestingNodes:
    """Nodes that send requests independently of each other."""

    def __init__(self, nodes: int, limit: float) -> None:
        self.clock = FakeClock()
        self.request_times_ns: list[int] = []
        self._members = [LIMITED._replace(limit=limit), FREE]
        self._selectors = [
            TargetSelector("zone-a", self.clock, lambda _peer: True)
            for _ in range(nodes)
        ]
        self._rate = RateLimit(self.clock)
        self._rate.set_limit(limit)
        self._senders = Senders(self.clock)
        self._random = random.Random(1)

    def run(self, rate: int, seconds: int) -> None:
        """Let each node send requests at a rate per second for some time."""
        end_ns = self.clock.ns + seconds * NS_PER_S
        while self.clock.ns < end_ns:
            self.clock.advance_ms(1000 / rate / len(self._selectors))
            number = self._random.randrange(len(self._selectors))
            self._send(str(number), self._selectors[number])

    def compute_request_rate(self, seconds: int) -> float:
        """Return the recent requests per second to the limited target."""
        start_ns = self.clock.ns - seconds * NS_PER_S
        return sum(1 for at_ns in self.request_times_ns if at_ns >= start_ns) / seconds

    def compute_longest_gap_ms(self) -> float:
        """Return the longest time in ms without a request to the limited target."""
        times = [*self.request_times_ns, self.clock.ns]
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        return max(gaps) / NS_PER_MS

    def _send(self, name: str, selector: TargetSelector) -> None:
        member = selector.select(self._members, (), ())
        selector.record_sent(member)
        notice = None
        if member.node_id == LIMITED.node_id:
            self.request_times_ns.append(self.clock.ns)
            self._senders.record(name)
            if self._rate.has_room():
                self._rate.consume()
            pace_ms = self._senders.compute_interval_ms(self._rate.rate_per_s)
            notice = TargetNotice(member.target, False, pace_ms)
        selector.record_response(member, 0.1, LATENCY_MS)
        selector.record_notice(member, notice)
