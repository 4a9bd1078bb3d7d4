"""Handovers: owners release ranges and pass their records to the receivers."""

from collections import defaultdict
from typing import TYPE_CHECKING

import gevent
from logbook import Logger

from knapweedrock.errors import KnapweedrockError
from knapweedrock.nodes.assignment import Move
from knapweedrock.nodes.messages import Adopt, Release, Released
from knapweedrock.nodes.view import HASH_SPACE

if TYPE_CHECKING:
    from knapweedrock.environment import Environment
    from knapweedrock.nodes.coordinator import Term

RELEASE_TIMEOUT_MS = 1500
ADOPT_TIMEOUT_MS = 500
FAILED_RELEASES_LIMIT = 2

log = Logger("handovers")


class Handovers:
    """Handovers of one service's ranges during a term."""

    def __init__(self, env: "Environment", term: "Term", service: str) -> None:
        self.env = env
        self.term = term
        self.service = service
        self.failed_releases: dict[str, int] = defaultdict(int)

    def run(self, moves: list[Move], incarnations: dict[str, str]) -> list[Move]:
        """Release ranges at their owners in parallel; return the moves done."""
        by_source: dict[str, list[Move]] = defaultdict(list)
        for move in moves:
            by_source[move.source].append(move)
        calls = [
            gevent.spawn(self._hand_over, source, part, incarnations)
            for source, part in by_source.items()
        ]
        gevent.joinall(calls)
        return [move for call in calls for move in call.value or []]

    def _hand_over(
        self, source: str, moves: list[Move], incarnations: dict[str, str]
    ) -> list[Move]:
        """Release ranges at one owner and pass its records to the receivers."""
        starts = {move.start for move in moves}
        order = self.create_release(starts, incarnations.get(source, ""))
        try:
            released: Released = self.term.ask(
                source, order, RELEASE_TIMEOUT_MS + ADOPT_TIMEOUT_MS
            )
        except KnapweedrockError as error:
            self.count_failure(source, error)
            return []
        self.failed_releases.pop(source, None)
        receivers = {move.receiver for move in moves}
        calls = {
            name: gevent.spawn(
                self._pass_records, name, incarnations.get(name, ""), released
            )
            for name in receivers
        }
        gevent.joinall(list(calls.values()))
        informed = {name for name, call in calls.items() if call.value}
        return [move._replace(complete=move.receiver in informed) for move in moves]

    def create_release(self, starts: set[int], incarnation: str) -> Release:
        """Create the order to release ranges, to the process that owns them."""
        return Release(
            self.term.office.epoch,
            self.term.count,
            incarnation,
            self.service,
            self._find_spans(starts),
            RELEASE_TIMEOUT_MS,
        )

    def _pass_records(
        self, receiver: str, incarnation: str, released: Released
    ) -> bool:
        epoch = self.term.office.epoch
        adopt = Adopt(epoch, self.service, incarnation, released.orders)
        try:
            self.term.ask(receiver, adopt, ADOPT_TIMEOUT_MS)
        except KnapweedrockError:
            self.env.counters.count("adoptions_failed")
            return False
        return True

    def count_failure(self, source: str, error: KnapweedrockError) -> None:
        """Let the lease of an owner lapse that cannot be told to release."""
        self.env.counters.count("releases_failed")
        self.failed_releases[source] += 1
        entry = self.term.roster.entries.get(source)
        if entry is None or entry.suspended:
            return
        if self.failed_releases[source] < FAILED_RELEASES_LIMIT:
            return
        entry.suspended = True
        log.warning("lease withheld node={} reason={}", source, error)

    def _find_spans(self, starts: set[int]) -> list[tuple[int, int]]:
        ranges = self.term.tables.get(self.service)["ranges"]
        ends = [entry["start"] for entry in ranges[1:]] + [HASH_SPACE]
        return [
            (entry["start"], end)
            for entry, end in zip(ranges, ends, strict=True)
            if entry["start"] in starts
        ]
