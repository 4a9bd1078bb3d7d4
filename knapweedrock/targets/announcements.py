"""The target beside this node, as it announces itself."""

from typing import TYPE_CHECKING, NotRequired, TypedDict

import msgspec

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError, RefusalError
from knapweedrock.settings import Address

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

SILENT_AFTER_MS = 3000
DOUBTED_AFTER_MS = 1150
REFUSING_AFTER_MS = 500
REPLACE_AFTER_MS = 2500
MAX_SLOTS = 100_000
MAX_CONNECTIONS = 100_000
MAX_COLD_S = 3600
RETRY_AFTER_MS = 1000


class Announcement(TypedDict):
    """What a target says of itself once a second.

    A target may say how its cold start goes: it bears `cold_slots` at first and
    evenly more until it bears `slots` after `cold_s` seconds.
    """

    service: str
    address: str
    zone: str
    slots: int
    connections: int
    fenced: bool
    incarnation: str
    cold_slots: NotRequired[int]
    cold_s: NotRequired[float]


def decode_announcement(body: bytes) -> Announcement:
    """Decode and check an announcement; raises `BAD_ANNOUNCEMENT`."""
    try:
        value = msgspec.json.decode(body, type=Announcement)
        parse_target_address(value["address"])
    except (msgspec.MsgspecError, ValueError) as error:
        raise KnapweedrockError(Code.BAD_ANNOUNCEMENT, str(error)) from error
    if not value["service"] or not value["incarnation"]:
        raise KnapweedrockError(
            Code.BAD_ANNOUNCEMENT, "service and incarnation must not be empty"
        )
    if not 0 <= value.get("cold_s", 0) <= MAX_COLD_S:
        raise KnapweedrockError(
            Code.BAD_ANNOUNCEMENT, f"cold_s: expected 0 to {MAX_COLD_S}"
        )
    bounds = (
        ("slots", value["slots"], MAX_SLOTS),
        ("connections", value["connections"], MAX_CONNECTIONS),
        ("cold_slots", value.get("cold_slots", 1), value["slots"]),
    )
    for name, found, highest in bounds:
        if not 1 <= found <= highest:
            raise KnapweedrockError(
                Code.BAD_ANNOUNCEMENT,
                f"{name}: found {found}, expected 1 to {highest}",
            )
    return value


def parse_target_address(text: str) -> Address:
    """Parse `host:port`; raises ValueError."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not 0 < int(port) < 1 << 16:
        raise ValueError(f"address: found {text!r}, expected HOST:PORT")
    return Address(host, int(port))


class Target:
    """The target beside this node and when it was last heard of."""

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.announcement: Announcement | None = None
        self.address = Address("", 0)
        self.heard_ns = 0
        self.refused_ns = 0
        self.leaving = False

    def is_live(self) -> bool:
        """Tell whether the target announced itself lately and takes connections."""
        if self.announcement is None:
            return False
        now_ns = self.env.clock.now_ns()
        if self.refused_ns:
            return now_ns - self.refused_ns < REFUSING_AFTER_MS * NS_PER_MS
        return now_ns - self.heard_ns < SILENT_AFTER_MS * NS_PER_MS

    def is_doubted(self, answered_ns: int) -> bool:
        """Tell whether an announcement is overdue, and no answer came since either."""
        if self.announcement is None or self.refused_ns:
            return False
        silent_ns = self.env.clock.now_ns() - max(self.heard_ns, answered_ns)
        return DOUBTED_AFTER_MS * NS_PER_MS < silent_ns < SILENT_AFTER_MS * NS_PER_MS

    def note_refused(self) -> None:
        """Note that the target refused a connection, since when it counts as gone."""
        self.refused_ns = self.refused_ns or self.env.clock.now_ns()

    def require(self, service: str) -> Announcement:
        """Return the live target's announcement; raises `NO_LIVE_TARGET`."""
        announcement = self.announcement
        if announcement is None or not self.is_live():
            raise RefusalError(
                Code.NO_LIVE_TARGET, "no target beside this node", RETRY_AFTER_MS
            )
        if announcement["service"] != service:
            raise RefusalError(
                Code.NO_LIVE_TARGET,
                f"the target beside this node serves {announcement['service']}",
                RETRY_AFTER_MS,
            )
        return announcement

    def take(self, announcement: Announcement) -> bool:
        """Take an announcement; tell whether it is of a new incarnation.

        Raises `BAD_ANNOUNCEMENT` while another target beside this node is live.
        """
        now_ns = self.env.clock.now_ns()
        known = self.announcement
        if known and known["address"] != announcement["address"]:
            silent_ns = now_ns - self.heard_ns
            if silent_ns < REPLACE_AFTER_MS * NS_PER_MS:
                raise KnapweedrockError(
                    Code.BAD_ANNOUNCEMENT,
                    f"the target at {known['address']} is still live",
                )
        self.announcement = announcement
        self.address = parse_target_address(announcement["address"])
        self.heard_ns = now_ns
        self.refused_ns = 0
        is_new = known is None or known["incarnation"] != announcement["incarnation"]
        if is_new:
            self.leaving = False
        return is_new
