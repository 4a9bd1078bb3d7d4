"""Links of the model: requests between its nodes are calls with a delay."""

from collections.abc import Callable
from typing import Any

import gevent

from knapweedrock.clock import Clock
from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError, LinkError
from knapweedrock.mesh.links import Outage
from knapweedrock.mesh.messages import Done, Probe
from knapweedrock.mesh.pacing import Pacer
from knapweedrock.model.uplinks import Uplink
from knapweedrock.timers import Timeout

TRANSIT_MS = 1.4
Handler = Callable[[str, Any], Any]


class ModelNetwork:
    """Links of all nodes by their peer address; a node that is down has none."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.links: dict[str, ModelLinks] = {}


class ModelLinks:
    """Links of one node, with the interface of `knapweedrock.mesh.links.Links`."""

    def __init__(
        self, network: ModelNetwork, peer: str, sender: str, uplink: Uplink
    ) -> None:
        self.handlers: dict[type, Handler] = {Probe: lambda _sender, _message: Done()}
        self.pacer = Pacer(0.0, network.clock)
        self._network = network
        self._peer = peer
        self._sender = sender
        self._uplink = uplink
        self._outages: dict[str, Outage] = {}
        self._running: set[gevent.Greenlet] = set()
        # Whether requests from and to this node get lost.
        self.is_cut = False

    def start(self) -> None:
        """Accept requests."""
        self._network.links[self._peer] = self

    def abort(self) -> None:
        """End at once: requests in progress get no answer."""
        if self._network.links.get(self._peer) is self:
            del self._network.links[self._peer]
        gevent.killall(list(self._running), block=False)

    def stop(self, timeout_ms: float = 0) -> None:
        """Accept no more requests."""
        gevent.joinall(list(self._running), timeout=timeout_ms / 1000)
        self.abort()

    def is_up(self, peer: str) -> bool:
        """Return whether a peer accepts requests, as far as this node knows."""
        return peer not in self._outages or peer in self._network.links

    is_open = is_up

    def get_outage(self, peer: str) -> Outage | None:
        """Return the current outage of a peer, or None if there is none."""
        return None if peer in self._network.links else self._outages.get(peer)

    def count_unsent_bytes(self) -> int:
        """Return 0: links of the model have no limit."""
        return 0

    def request(
        self,
        peer: str,
        message: Any,
        timeout_ms: float,
        resumable: bool = False,
        interruptible: bool = False,
    ) -> Any:
        """Send a request to a peer and return its answer; raise `LinkError`."""
        gevent.sleep(TRANSIT_MS / 1000)
        other = self._network.links.get(peer)
        if other is not None and (self.is_cut or other.is_cut):
            gevent.sleep(max(timeout_ms, 1) / 1000)
            raise LinkError(Code.PEER_LOST, "no answer within the timeout")
        if other is None:
            now_ns = self._network.clock.now_ns()
            self._outages.setdefault(peer, Outage(now_ns, True))
            raise LinkError(Code.PEER_UNREACHABLE, f"{peer}: connection refused")
        self._outages.pop(peer, None)
        task = gevent.spawn(self._exchange, other, message)
        other._running.add(task)
        try:
            with Timeout(max(timeout_ms, 1) / 1000):
                answer = task.get()
        except TimeoutError as error:
            raise LinkError(Code.PEER_LOST, "no answer within the timeout") from error
        finally:
            other._running.discard(task)
            task.kill(block=False)
        if isinstance(answer, gevent.GreenletExit):
            raise LinkError(Code.PEER_LOST, "closed by the peer")
        gevent.sleep(TRANSIT_MS / 1000)
        if isinstance(answer, KnapweedrockError):
            raise LinkError(answer.code, answer.detail)
        return answer

    def _exchange(self, other: "ModelLinks", message: Any) -> Any:
        """Carry a request to a peer, let it be handled, and carry the answer back."""
        self._uplink.carry_message(message)
        answer = other.handle(self._sender, message)
        other._uplink.carry_message(answer)
        return answer

    def handle(self, sender: str, message: Any) -> Any:
        """Handle a peer's request and return its answer, or the error it ended with."""
        try:
            return self.handlers[type(message)](sender, message)
        except KnapweedrockError as error:
            return error
