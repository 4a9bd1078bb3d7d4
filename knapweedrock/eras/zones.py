"""Zones that were out of service when an era ended and are not listed in the next one.

The copy that the store came back from may lack an acknowledged evacuation until its
operator writes it again.
"""

from collections.abc import Collection

from knapweedrock.clock import NS_PER_MS

# Time that operators have to write their objects again.
KEPT_ZONE_MS = 15_000


class KeptZones:
    """Zones that stay out of service for a time, whatever the new era lists."""

    def __init__(self) -> None:
        # End of the time of each zone. Zones whose time is over stay here, so that
        # other nodes do not begin it anew.
        self._until_ns: dict[str, int] = {}

    def begin_era(self, zones: Collection[str], now_ns: int) -> None:
        """Keep the zones that were out in the former era."""
        self._until_ns = dict.fromkeys(zones, now_ns + KEPT_ZONE_MS * NS_PER_MS)

    def add(self, zone: str, remaining_ms: int, now_ns: int) -> None:
        """Keep a zone that another node keeps, unless it is known in this era."""
        remaining_ms = min(remaining_ms, KEPT_ZONE_MS)
        self._until_ns.setdefault(zone, now_ns + remaining_ms * NS_PER_MS)

    def release(self, zones: Collection[str], now_ns: int) -> None:
        """Keep zones no longer, as the new era shows that they are back in service."""
        self._until_ns |= dict.fromkeys(zones, now_ns)

    def list_current(self, now_ns: int) -> list[tuple[str, int]]:
        """List the kept zones with the time in ms for which each is still kept."""
        return [
            (zone, (until_ns - now_ns) // NS_PER_MS)
            for zone, until_ns in sorted(self._until_ns.items())
            if until_ns > now_ns
        ]
