"""Grants of ranges, pushed to a target that checks fencing tokens."""

from itertools import pairwise
from typing import TYPE_CHECKING

import gevent

from knapweedrock.clock import NS_PER_MS
from knapweedrock.errors import KnapweedrockError
from knapweedrock.nodes.view import HASH_SPACE, ViewVersion
from knapweedrock.targets.announcements import Target
from knapweedrock.targets.control import Control

if TYPE_CHECKING:
    from knapweedrock.environment import Environment


class Grants:
    """The ranges that the target was last told of."""

    def __init__(self, env: "Environment", target: Target, control: Control) -> None:
        self.env = env
        self.target = target
        self.control = control
        self.pushed = ViewVersion(-1, 0)
        self.pushing = False

    def push_soon(self) -> None:
        """Push again although the view is the same: the target is a new one."""
        self.pushed = ViewVersion(-1, 0)

    def push_if_due(self) -> None:
        """Push the ranges where the target does not know them."""
        known = self.target.announcement
        if known is None or not known["fenced"] or self.pushing:
            return
        if self.pushed != self.env.views.version and self.target.is_live():
            self.pushing = True
            gevent.spawn(self._push, known["service"])

    def _push(self, service: str) -> None:
        version = self.env.views.version
        try:
            ranges = self._list_own(service)
            lease_ms = self.env.lease.remaining_ms()
            value = {
                "service": service,
                "token": max([token for _, _, token in ranges], default=0),
                "ranges": ranges,
                "lease_until": self.env.clock.now_ns() + int(lease_ms * NS_PER_MS),
            }
            if self.control.call("PUT", "/grants", value).status == 200:
                self.pushed = version
        except KnapweedrockError:
            self.env.counters.count("grants_unpushed")
        finally:
            self.pushing = False

    def _list_own(self, service: str) -> list[tuple[int, int, int]]:
        """List `(start, end, token)` of the ranges that this node owns."""
        table = self.env.views.view["tables"].get(service)
        if table is None:
            return []
        ends = [r["start"] for r in table["ranges"]] + [HASH_SPACE]
        spans = zip(table["ranges"], pairwise(ends), strict=True)
        own = self.env.settings.node_id
        return [
            (start, end, held["token"])
            for held, (start, end) in spans
            if held["owner"] == own
        ]
