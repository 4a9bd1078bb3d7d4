"""Load of requests that are sent to a mesh at a steady rate."""

import itertools
from typing import NamedTuple

import gevent

from features.support.mesh_harness import Mesh
from knapweedrock.clock import NS_PER_MS, NS_PER_S

TIMEOUT_MS = 1000


class Result(NamedTuple):
    """Outcome of a request; a status of 0 means that there was no answer."""

    attempt_id: str
    sent_ns: int
    status: int
    elapsed_ms: float
    retry_after: str


class OfferedLoad:
    """Requests to all nodes of a mesh in turn, and their outcomes."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.results: list[Result] = []
        self.ended_ns = 0

    def list_recent(self, ms: int) -> list[Result]:
        """List the results of the requests sent in the last `ms` of the load."""
        from_ns = self.ended_ns - ms * NS_PER_MS
        return [result for result in self.results if result.sent_ns >= from_ns]

    def send(self, name: str, key: int | None) -> None:
        """Send one request to a node, and record its outcome."""
        path = "/list/1" if key is None else f"/read/{key}"
        sent_ns = self.mesh.clock.now_ns()
        attempt_id, status, retry_after = "", 0, ""
        try:
            answer = self.mesh.call(name, path, key, remaining_ms=TIMEOUT_MS)
        except OSError:
            pass
        else:
            attempt_id = answer.get_header("x-attempt-id")
            status, retry_after = answer.status, answer.get_header("retry-after")
        elapsed_ms = (self.mesh.clock.now_ns() - sent_ns) / NS_PER_MS
        self.results.append(
            Result(attempt_id, sent_ns, status, elapsed_ms, retry_after)
        )


def offer_requests(
    offer: OfferedLoad, rate: int, ms: int, keys: list[int | None]
) -> None:
    """Send requests for keys in turn to all running nodes, and await the outcomes."""
    names = itertools.cycle([p.settings.node_id for p in offer.mesh.places])
    next_keys = itertools.cycle(keys)
    began_ns = offer.mesh.clock.now_ns()
    tasks = []
    for number in range(rate * ms // 1000):
        due_ns = began_ns + number * NS_PER_S // rate
        gevent.sleep(max(due_ns - offer.mesh.clock.now_ns(), 0) / NS_PER_S)
        name = next(n for n in names if n in offer.mesh.nodes)
        tasks.append(gevent.spawn(offer.send, name, next(next_keys)))
    offer.ended_ns = offer.mesh.clock.now_ns()
    gevent.joinall(tasks, timeout=TIMEOUT_MS / 1000 + 1)
