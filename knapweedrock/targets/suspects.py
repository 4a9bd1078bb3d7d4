"""Requests that crash targets: suspects run alone, the proven are quarantined."""

from typing import TYPE_CHECKING

import gevent
import logbook
import xxhash

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError, RefusalError
from knapweedrock.nodes.handlers import Sender, handles
from knapweedrock.nodes.messages import Deliver, Done, Quarantine
from knapweedrock.targets.messages import Cleared, Suspect

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

SUSPECT_MS = 60_000
QUARANTINE_MS = 300_000
MAX_FINGERPRINTS = 4096
SPREAD_TIMEOUT_MS = 1000

log = logbook.Logger("suspects")


def create_fingerprint(request: Deliver) -> str:
    """Create the identity of what a request does, whoever sends it."""
    digest = xxhash.xxh3_128(request.method.encode())
    for part in (request.service, request.path, request.key):
        digest.update(b"\0")
        digest.update(part.encode())
    digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()


class Suspects:
    """Fingerprints seen at crashes, with the time until which they count."""

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.suspected: dict[str, int] = {}
        self.quarantined: dict[str, int] = {}

    def check(self, fingerprint: str) -> None:
        """Raise `QUARANTINED` where the fingerprint is refused now."""
        until_ns = self.quarantined.get(fingerprint)
        if until_ns is None:
            return
        if self.env.clock.now_ns() < until_ns:
            raise RefusalError(Code.QUARANTINED)
        del self.quarantined[fingerprint]

    def must_run_alone(self, fingerprint: str) -> bool:
        """Tell whether the fingerprint was in flight at a crash."""
        until_ns = self.suspected.get(fingerprint)
        if until_ns is None:
            return False
        if self.env.clock.now_ns() < until_ns:
            return True
        del self.suspected[fingerprint]
        return False

    def count_crash(self, fingerprints: set[str]) -> list[gevent.Greenlet]:
        """Note who was in flight at a crash; return the tasks that tell the peers."""
        self.env.counters.count("target_crashes")
        telling: list[gevent.Greenlet] = []
        for fingerprint in fingerprints:
            if self.must_run_alone(fingerprint):
                self.quarantine(fingerprint, QUARANTINE_MS)
                telling += self._spread(Quarantine(fingerprint, QUARANTINE_MS))
            else:
                self.suspect(fingerprint, SUSPECT_MS)
                telling += self._spread(Suspect(fingerprint, SUSPECT_MS))
        return telling

    def suspect(self, fingerprint: str, remaining_ms: int) -> None:
        """Let a fingerprint run only alone for a while."""
        self._put(self.suspected, fingerprint, min(remaining_ms, SUSPECT_MS))

    def quarantine(self, fingerprint: str, remaining_ms: int) -> None:
        """Refuse a fingerprint for a while."""
        if fingerprint not in self.quarantined:
            self.env.counters.count("requests_quarantined")
            log.warning("request {} quarantined for crashing targets", fingerprint)
        self.suspected.pop(fingerprint, None)
        self._put(self.quarantined, fingerprint, min(remaining_ms, QUARANTINE_MS))

    def clear(self, fingerprint: str) -> None:
        """Free a suspect that ran alone without a crash."""
        if self.suspected.pop(fingerprint, None):
            self.env.counters.count("suspects_cleared")
            self._spread(Cleared(fingerprint))

    def _put(self, known: dict[str, int], fingerprint: str, remaining_ms: int) -> None:
        known.pop(fingerprint, None)
        while len(known) >= MAX_FINGERPRINTS:
            del known[next(iter(known))]
        known[fingerprint] = self.env.clock.now_ns() + remaining_ms * NS_PER_MS

    def _spread(self, message: Quarantine | Suspect | Cleared) -> list[gevent.Greenlet]:
        """Tell all members of the cell, each in a task of its own."""
        own = self.env.settings.node_id
        return [
            gevent.spawn(self._tell, member["peer"], member["node_id"], message)
            for member in self.env.views.view["members"].values()
            if member["node_id"] != own
        ]

    def _tell(self, address: str, node_id: str, message) -> None:
        try:
            self.env.links.request(address, node_id, message, SPREAD_TIMEOUT_MS)
        except KnapweedrockError:
            self.env.counters.count("suspects_untold")

    def dump(self) -> dict[str, object]:
        """Return the state as plain data."""
        return {
            "suspected": list(self.suspected),
            "quarantined": list(self.quarantined),
        }


@handles(Quarantine)
def take_quarantine(env: "Environment", _sender: Sender, message: Quarantine) -> Done:
    """Refuse what a peer found to crash targets."""
    suspects = env.delivery.suspects
    suspects.quarantine(message.fingerprint, message.remaining_ms)
    return Done()


@handles(Suspect)
def take_suspect(env: "Environment", _sender: Sender, message: Suspect) -> Done:
    """Run alone what a peer saw in flight at a crash."""
    env.delivery.suspects.suspect(message.fingerprint, message.remaining_ms)
    return Done()


@handles(Cleared)
def take_cleared(env: "Environment", _sender: Sender, message: Cleared) -> Done:
    """Free what ran alone at a peer without a crash."""
    env.delivery.suspects.suspected.pop(message.fingerprint, None)
    return Done()
