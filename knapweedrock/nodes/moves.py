"""Changes of owners: takeovers after a loss, and planned moves with a handover.

A planned move is announced in the platform before the owner releases the range, so
its end needs no platform. A successor that finds an announced move cannot know how
far it came: nobody serves the range until both nodes have released it.
"""

from typing import TYPE_CHECKING

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_MS
from knapweedrock.errors import KnapweedrockError
from knapweedrock.nodes.assignment import (
    Move,
    announce_moves,
    apply_moves,
    plan_balance,
    plan_load,
    plan_orphans,
    settle_moves,
)
from knapweedrock.nodes.handovers import RELEASE_TIMEOUT_MS, Handovers
from knapweedrock.nodes.roster import Process
from knapweedrock.nodes.splits import HotKeys, plan_reunions
from knapweedrock.nodes.tables import UnwrittenError
from knapweedrock.nodes.view import Member, Range, Table

if TYPE_CHECKING:
    from knapweedrock.environment import Environment
    from knapweedrock.nodes.coordinator import Term

TEND_INTERVAL_MS = 40
EVACUATION_BATCH_RANGES = 64
BALANCE_BATCH_RANGES = 16
BALANCE_INTERVAL_MS = 200
LOAD_INTERVAL_MS = 1000
CLAIM_INTERVAL_MS = 5000
LOAD_ROUNDS = 3

log = Logger("moves")


class TableKeeper:
    """Keeps the owners of one service's ranges right for as long as a term lasts."""

    def __init__(self, env: "Environment", term: "Term", service: str) -> None:
        self.env = env
        self.term = term
        self.service = service
        self.balanced_ns = 0
        self.load_checked_ns = 0
        self.claimed_ns = 0
        self.trouble = ""
        self.load_rounds = 0
        self.hot_keys = HotKeys(env.clock, service)
        self.surveyed: Table | None = None
        self.even: tuple[Table, dict[str, Member]] | None = None
        self.announced = False
        self.processes: set[Process] = set()
        self.handovers = Handovers(env, term, service)

    def run(self) -> None:
        """Tend the table until the term ends."""
        while not self.term.office.ended:
            gevent.sleep(TEND_INTERVAL_MS / 1000)
            if not self.term.office.holds():
                continue
            trouble = ""
            try:
                self._tend()
            except (UnwrittenError, KnapweedrockError) as error:
                self.env.counters.count("table_tends_failed")
                trouble = str(error)
            if trouble != self.trouble:
                self.trouble = trouble
                log.warning(
                    "table service={} {}", self.service, trouble or "kept again"
                )

    def _tend(self) -> None:
        tables = self.term.tables
        if tables.get(self.service) is None and not self._create_table():
            return
        tables.flush(self.service)
        settled = self._is_settled()
        if not settled and (self._resolve_announced() or self._take_over()):
            return
        if not self.env.coordinator.platform_ok:
            return
        if not settled and self._evacuate():
            return
        if self._is_due("balanced_ns", BALANCE_INTERVAL_MS) and self._balance():
            return
        if self._is_due("load_checked_ns", LOAD_INTERVAL_MS):
            self._balance_load()

    def _create_table(self) -> bool:
        """Create the table where targets want one and no other cell keeps the keys."""
        foreign = self.term.foreign
        if not self._list_owners():
            return False
        if self.service in foreign and not self._is_due(
            "claimed_ns", CLAIM_INTERVAL_MS
        ):
            return False
        keeper = self.term.tables.claim(self.service)
        if keeper != self.env.settings.cell:
            if foreign.get(self.service) != keeper:
                log.warning("keys kept by cell={} service={}", keeper, self.service)
            foreign[self.service] = keeper
            return False
        foreign.pop(self.service, None)
        self.term.tables.create(self.service)
        self.term.publish()
        return True

    def _is_settled(self) -> bool:
        """Tell whether all ranges have owners that may keep them, and none moves.

        The table is walked once for each state of it, not at each round.
        """
        table = self._get_table()
        if self.surveyed is not table:
            self.surveyed = table
            self.announced = any("next" in entry for entry in table["ranges"])
            self.processes = {
                Process(entry["owner"], entry["incarnation"])
                for entry in table["ranges"]
            }
        owners = self._list_owners()
        roster = self.term.roster
        return not self.announced and all(
            process.node_id in owners and roster.is_alive(process)
            for process in self.processes
        )

    def _take_over(self) -> bool:
        """Give away the ranges whose owner is gone for sure."""
        table = self._get_table()
        orphans = {
            entry["start"]
            for entry in table["ranges"]
            if "next" not in entry
            and self._is_free(Process(entry["owner"], entry["incarnation"]))
        }
        moves = plan_orphans(table, orphans, self._list_owners())
        if not moves:
            return False
        self._write_takeovers(moves)
        log.info("ranges taken over service={} ranges={}", self.service, len(moves))
        return True

    def _resolve_announced(self) -> bool:
        """Settle the moves that a predecessor announced and may have finished."""
        table = self._get_table()
        announced = [
            entry
            for entry in table["ranges"]
            if "next" in entry and (self.service, entry["start"]) in self.term.moving
        ]
        resolved = {r["start"] for r in announced if self._is_released_by_both(r)}
        moves = plan_orphans(table, resolved, self._list_owners())
        if not moves:
            return False
        self._write_takeovers(moves)
        log.info("moves resolved service={} ranges={}", self.service, len(moves))
        return True

    def _is_released_by_both(self, entry: Range) -> bool:
        following = entry["next"]
        processes = {
            Process(entry["owner"], entry["incarnation"]),
            Process(following["owner"], following["incarnation"]),
        }
        return all(self._is_released_by(entry, process) for process in processes)

    def _is_released_by(self, entry: Range, process: Process) -> bool:
        """Tell whether a process surely serves the range no more."""
        if not self.term.roster.is_alive(process):
            return self._is_free(process)
        if not self.term.roster.is_heard(process):
            return False
        order = self.handovers.create_release({entry["start"]}, process.incarnation)
        try:
            self.term.ask(process.node_id, order, RELEASE_TIMEOUT_MS)
        except KnapweedrockError as error:
            self.handovers.count_failure(process.node_id, error)
            return False
        return True

    def _evacuate(self) -> bool:
        """Move ranges away from owners that leave or whose zone is out."""
        table = self._get_table()
        roster = self.term.roster
        owners = self._list_owners()
        starts = [
            entry["start"]
            for entry in table["ranges"]
            if entry["owner"] not in owners
            and "next" not in entry
            and roster.is_heard(Process(entry["owner"], entry["incarnation"]))
        ]
        batch = set(starts[:EVACUATION_BATCH_RANGES])
        return self._move(plan_orphans(table, batch, owners), "evacuation")

    def _balance(self) -> bool:
        table, owners = self._get_table(), self._list_owners()
        if (table, owners) == self.even:
            return False
        if not plan_balance(table, owners, {}, BALANCE_BATCH_RANGES):
            self.even = (table, owners)
            return False
        loads = self._list_loads(owners)
        moves = plan_balance(table, owners, loads, BALANCE_BATCH_RANGES)
        return self._move(moves, "balance")

    def _balance_load(self) -> None:
        """Isolate hot keys, and move ranges when one owner stays overloaded."""
        if self._follow_hot_keys():
            return
        owners = self._list_owners()
        reunions = plan_reunions(self._get_table(), owners, BALANCE_BATCH_RANGES)
        if self._move(reunions, "reunion"):
            return
        loads = self._list_loads(owners)
        moves = plan_load(self._get_table(), owners, loads, BALANCE_BATCH_RANGES)
        self.load_rounds = self.load_rounds + 1 if moves else 0
        if self.load_rounds >= LOAD_ROUNDS:
            self.load_rounds = 0
            self._move(moves, "load")

    def _follow_hot_keys(self) -> bool:
        """Split ranges around hot keys or merge them; tell whether any changed."""
        table = self._get_table()
        entries = self.term.roster.entries
        serving = [entries[name] for name in self._list_owners()]
        changed = self.hot_keys.update(table, serving)
        if changed == table:
            return False
        self.term.tables.write(self.service, changed)
        self.term.publish()
        grown = len(changed["ranges"]) - len(table["ranges"])
        name = "ranges_split" if grown > 0 else "ranges_merged"
        self.env.counters.count(name, abs(grown))
        return True

    def _list_loads(self, owners: dict[str, Member]) -> dict[str, float]:
        entries = self.term.roster.entries
        return {name: float(entries[name].load) for name in owners}

    def _move(self, moves: list[Move], reason: str) -> bool:
        """Announce moves, release the ranges at their owners, then grant them."""
        sources = {
            entry["start"]: Process(entry["owner"], entry["incarnation"])
            for entry in self._get_table()["ranges"]
        }
        # A process that was started again under the owner's name owns nothing yet.
        moves = [m for m in moves if self.term.roster.is_heard(sources[m.start])]
        if not moves:
            return False
        tables = self.term.tables
        incarnations = self.term.roster.list_incarnations()
        announced = announce_moves(self._get_table(), moves, incarnations)
        tables.write(self.service, announced)
        names = {(self.service, move.start) for move in moves}
        self.term.moving |= names
        self.term.publish()
        done: list[Move] = []
        try:
            done = self.handovers.run(moves, incarnations)
        finally:
            starts = {move.start for move in moves}
            now_ms = self.env.clock.wall_ms()
            settled = settle_moves(announced, done, starts, now_ms)
            tables.put_in_force(self.service, settled)
            self.term.moving -= names
            self.term.publish_to_all()
        self._count_moved(reason, len(done))
        tables.flush(self.service)
        return bool(done)

    def _write_takeovers(self, moves: list[Move]) -> None:
        changed = apply_moves(
            self._get_table(),
            moves,
            self.term.roster.list_incarnations(),
            self.env.clock.wall_ms(),
        )
        self.term.tables.write(self.service, changed)
        self.term.moving -= {(self.service, move.start) for move in moves}
        self._count_moved("takeover", len(moves))
        self.term.publish_to_all()

    def _count_moved(self, reason: str, count: int) -> None:
        self.env.counters.count("ranges_moved", count, reason=reason)

    def _get_table(self) -> Table:
        return self.term.tables.get(self.service)

    def _list_owners(self) -> dict[str, Member]:
        return self.term.roster.list_owners(self.service)

    def _is_free(self, process: Process) -> bool:
        """Tell whether the ranges of a process may be given away."""
        roster = self.term.roster
        if roster.is_alive(process):
            return False
        if not process.node_id:
            return True
        return self.env.clock.now_ns() >= roster.free_at_ns(process, self.service)

    def _is_due(self, name: str, interval_ms: int) -> bool:
        now = self.env.clock.now_ns()
        if now - getattr(self, name) < interval_ms * NS_PER_MS:
            return False
        setattr(self, name, now)
        return True
