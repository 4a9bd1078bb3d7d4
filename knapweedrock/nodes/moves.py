"""Changes of owners: takeovers after a loss, and planned moves with a handover."""

from collections import defaultdict
from typing import TYPE_CHECKING

import gevent
from logbook import Logger

from knapweedrock.errors import KnapweedrockError
from knapweedrock.nodes.assignment import (
    HOT_SHARE,
    Move,
    apply_moves,
    plan_balance,
    plan_load,
    plan_orphans,
    split_hot_key,
)
from knapweedrock.nodes.messages import Adopt, Release, Released
from knapweedrock.nodes.roster import Process
from knapweedrock.nodes.tables import UnwrittenError
from knapweedrock.nodes.view import HASH_SPACE, Table

if TYPE_CHECKING:
    from knapweedrock.environment import Environment
    from knapweedrock.nodes.coordinator import Term

TEND_INTERVAL_MS = 40
RELEASE_TIMEOUT_MS = 1500
ADOPT_TIMEOUT_MS = 500
EVACUATION_BATCH_RANGES = 64
BALANCE_BATCH_RANGES = 16
BALANCE_INTERVAL_MS = 200
LOAD_INTERVAL_MS = 1000
LOAD_ROUNDS = 3
FAILED_RELEASES_LIMIT = 2

log = Logger("moves")


class TableKeeper:
    """Keeps the owners of one service's ranges right for as long as a term lasts."""

    def __init__(self, env: "Environment", term: "Term", service: str) -> None:
        self.env = env
        self.term = term
        self.service = service
        self.balanced_ns = 0
        self.load_checked_ns = 0
        self.load_rounds = 0
        self.failed_releases: dict[str, int] = defaultdict(int)

    def run(self) -> None:
        """Tend the table until the term ends."""
        while not self.term.office.ended:
            gevent.sleep(TEND_INTERVAL_MS / 1000)
            if not self.term.office.holds():
                continue
            try:
                self._tend()
            except UnwrittenError as error:
                log.warning("table not written service={} {}", self.service, error)
            except KnapweedrockError as error:
                self.env.counters.count("table_tends_failed")
                log.warning("table not tended service={} {}", self.service, error)

    def _tend(self) -> None:
        tables = self.term.tables
        if tables.get(self.service) is None:
            tables.create(self.service)
            self.term.publish()
        if self._take_over() or not self.env.coordinator.platform_ok:
            return
        if self._evacuate():
            return
        if self._is_due("balanced_ns", BALANCE_INTERVAL_MS) and self._balance():
            return
        if self._is_due("load_checked_ns", LOAD_INTERVAL_MS):
            self._balance_load()

    def _take_over(self) -> bool:
        """Give away the ranges whose owner is gone for sure."""
        table = self.term.tables.get(self.service)
        now = self.env.clock.now_ns()
        roster = self.term.roster
        orphans = set()
        for entry in table["ranges"]:
            process = Process(entry["owner"], entry["incarnation"])
            if roster.is_alive(process):
                continue
            if entry["owner"] and now < roster.free_at_ns(process, self.service):
                continue
            orphans.add(entry["start"])
        moves = plan_orphans(table, orphans, roster.list_owners(self.service))
        if not moves:
            return False
        self._write_moves(moves)
        log.info("ranges taken over service={} ranges={}", self.service, len(moves))
        return True

    def _evacuate(self) -> bool:
        """Move ranges away from owners that leave or whose zone is out."""
        table = self.term.tables.get(self.service)
        roster = self.term.roster
        owners = roster.list_owners(self.service)
        starts = [
            entry["start"]
            for entry in table["ranges"]
            if entry["owner"] not in owners
            and roster.is_heard(Process(entry["owner"], entry["incarnation"]))
        ]
        batch = set(starts[:EVACUATION_BATCH_RANGES])
        return self._move(plan_orphans(table, batch, owners))

    def _balance(self) -> bool:
        table = self.term.tables.get(self.service)
        owners = self.term.roster.list_owners(self.service)
        return self._move(plan_balance(table, owners, BALANCE_BATCH_RANGES))

    def _balance_load(self) -> None:
        """Isolate hot keys, and move ranges when one owner stays overloaded."""
        self._isolate_hot_keys()
        table = self.term.tables.get(self.service)
        owners = self.term.roster.list_owners(self.service)
        entries = self.term.roster.entries
        loads = {name: float(entries[name].load) for name in owners if name in entries}
        moves = plan_load(table, owners, loads, BALANCE_BATCH_RANGES)
        self.load_rounds = self.load_rounds + 1 if moves else 0
        if self.load_rounds >= LOAD_ROUNDS:
            self.load_rounds = 0
            self._move(moves)

    def _isolate_hot_keys(self) -> None:
        table = self.term.tables.get(self.service)
        copy: Table = {**table, "ranges": [dict(r) for r in table["ranges"]]}
        changed = False
        for entry in self.term.roster.entries.values():
            for service, key_hash, share in entry.hot:
                if service == self.service and share >= HOT_SHARE:
                    changed = split_hot_key(copy, key_hash) or changed
        if changed:
            self.term.tables.write(self.service, copy)
            self.term.publish()
            self.env.counters.count("hot_keys_isolated")

    def _move(self, moves: list[Move]) -> bool:
        """Release ranges at their owners, write the table, then grant them."""
        if not moves:
            return False
        by_source: dict[str, list[Move]] = defaultdict(list)
        for move in moves:
            by_source[move.source].append(move)
        names = {(self.service, move.start) for move in moves}
        self.term.moving |= names
        self.term.publish()
        try:
            calls = [
                gevent.spawn(self._hand_over, source, part)
                for source, part in by_source.items()
            ]
            gevent.joinall(calls)
            done = [move for call in calls for move in call.value or []]
            if done:
                self._write_moves(done, names)
        finally:
            self.term.moving -= names
            self.term.publish_to({move.source for move in moves})
        return bool(done)

    def _hand_over(self, source: str, moves: list[Move]) -> list[Move]:
        """Release ranges at one owner and pass its records to the receivers."""
        starts = {move.start for move in moves}
        order = Release(
            self.term.office.epoch,
            self.term.count,
            self.service,
            self._find_spans(starts),
            RELEASE_TIMEOUT_MS,
        )
        try:
            released: Released = self.term.ask(
                source, order, RELEASE_TIMEOUT_MS + ADOPT_TIMEOUT_MS
            )
        except KnapweedrockError as error:
            self._count_failed_release(source, error)
            return []
        self.failed_releases.pop(source, None)
        receivers = {move.receiver for move in moves}
        informed = {name for name in receivers if self._pass_records(name, released)}
        return [move._replace(complete=move.receiver in informed) for move in moves]

    def _pass_records(self, receiver: str, released: Released) -> bool:
        adopt = Adopt(self.term.office.epoch, self.service, released.orders)
        try:
            self.term.ask(receiver, adopt, ADOPT_TIMEOUT_MS)
        except KnapweedrockError:
            self.env.counters.count("adoptions_failed")
            return False
        return True

    def _count_failed_release(self, source: str, error: KnapweedrockError) -> None:
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

    def _write_moves(self, moves: list[Move], names: set | None = None) -> None:
        table = self.term.tables.get(self.service)
        incarnations = {
            name: entry.member["incarnation"]
            for name, entry in self.term.roster.entries.items()
        }
        moves = [move for move in moves if move.receiver in incarnations]
        now_ms = self.env.clock.wall_ms()
        changed = apply_moves(table, moves, incarnations, now_ms)
        self.term.tables.write(self.service, changed)
        self.term.moving -= names or set()
        self.env.counters.count("ranges_moved", len(moves))
        self.term.publish_to({move.receiver for move in moves})

    def _find_spans(self, starts: set[int]) -> list[tuple[int, int]]:
        ranges = self.term.tables.get(self.service)["ranges"]
        ends = [entry["start"] for entry in ranges[1:]] + [HASH_SPACE]
        return [
            (entry["start"], end)
            for entry, end in zip(ranges, ends, strict=True)
            if entry["start"] in starts
        ]

    def _is_due(self, name: str, interval_ms: int) -> bool:
        now = self.env.clock.now_ns()
        if now - getattr(self, name) < interval_ms * 1_000_000:
            return False
        setattr(self, name, now)
        return True
