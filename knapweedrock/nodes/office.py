"""The office of a coordinator: won in the platform, held by voters' promises."""

from typing import TYPE_CHECKING

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import LinkError, PlatformError, RefusalError
from knapweedrock.nodes.cell import (
    CellRecord,
    VoterRecord,
    count_majority,
    found_cell,
    name_cell,
    read_cell,
)
from knapweedrock.nodes.messages import AskPromise, Promise, Resign
from knapweedrock.nodes.timing import (
    DRIFT_MS,
    PROMISE_RENEWAL_MS,
    PROMISE_TIMEOUT_MS,
)
from knapweedrock.platform.interface import Stored

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

log = Logger("office")


class Office:
    """One epoch of this node as coordinator."""

    def __init__(self, env: "Environment", stored: Stored) -> None:
        self.env = env
        self.version = stored.version
        self.record: CellRecord = stored.value
        self.promises: dict[str, int] = {}
        self.freed: dict[str, int] = {}
        self.ended = False
        self.reason = ""
        self.tasks: dict[str, gevent.Greenlet] = {}
        self.follow_voters()

    @property
    def epoch(self) -> int:
        """Return the epoch of this office."""
        return self.record["epoch"]

    def until_ns(self) -> int:
        """Return until when a majority of the voters has promised."""
        voters = self.record["voters"]
        until = sorted((self.promises.get(name, 0) for name in voters), reverse=True)
        return until[count_majority(voters) - 1]

    def free_since_ns(self) -> int:
        """Return when the predecessor had surely lost its majority.

        That is when the promises to it of a majority of the voters had run out.
        """
        freed = sorted(self.freed[n] for n in self.record["voters"] if n in self.freed)
        return freed[count_majority(self.record["voters"]) - 1]

    def holds(self) -> bool:
        """Tell whether the coordinator may act at this moment."""
        return not self.ended and self.env.clock.now_ns() < self.until_ns()

    def wait_held(self, timeout_ms: int) -> bool:
        """Wait until a majority has promised; tell whether it has."""
        end_ns = self.env.clock.now_ns() + timeout_ms * NS_PER_MS
        while not self.ended and self.env.clock.now_ns() < end_ns:
            if self.holds():
                return True
            gevent.sleep(0.005)
        return self.holds()

    def end(self, reason: str) -> None:
        """Stop acting for good."""
        if self.ended:
            return
        self.ended = True
        self.reason = reason
        log.warning("office ended epoch={} reason={}", self.epoch, reason)
        for task in self.tasks.values():
            task.kill(block=False)

    def resign(self) -> None:
        """Stop acting, then free the voters so that a successor need not wait."""
        self.end("resigned")
        note = Resign(self.env.settings.cell, self.epoch, self._name())
        calls = [
            gevent.spawn(self._tell, name, voter, note)
            for name, voter in self.record["voters"].items()
        ]
        gevent.joinall(calls, timeout=PROMISE_TIMEOUT_MS / 1000)

    def write_voters(self, voters: dict[str, VoterRecord]) -> bool:
        """Record other voters, at most one different; tell whether it is written."""
        record: CellRecord = {**self.record, "voters": voters}
        try:
            stored = self.env.platform.put(
                name_cell(self.env.settings.cell), record, self.version
            )
        except PlatformError as error:
            self._settle_voters(error)
            return False
        self.version, self.record = stored.version, record
        self.follow_voters()
        return True

    def follow_voters(self) -> None:
        """Run one renewal task for each voter."""
        for name in list(self.tasks):
            if name not in self.record["voters"]:
                self.tasks.pop(name).kill(block=False)
                self.promises.pop(name, None)
        for name, voter in self.record["voters"].items():
            if name not in self.tasks:
                self.tasks[name] = gevent.spawn(self._renew, name, voter)

    def _settle_voters(self, error: PlatformError) -> None:
        """Find out what the record says after a write without a clear answer."""
        if error.code != Code.PLATFORM_CONFLICT:
            return
        stored = read_cell(self.env.platform, self.env.settings.cell)
        if stored is None or stored.value["epoch"] != self.epoch:
            self.end("another coordinator was elected")
            return
        self.version, self.record = stored.version, stored.value
        self.follow_voters()

    def _renew(self, name: str, voter: VoterRecord) -> None:
        ask = AskPromise(self.env.settings.cell, self.epoch, self._name(), False)
        while not self.ended:
            sent_ns = self.env.clock.now_ns()
            promise = ask_voter(self.env, name, voter, ask)
            if promise is not None:
                self._count_promise(name, promise, sent_ns)
            gevent.sleep(PROMISE_RENEWAL_MS / 1000)

    def _count_promise(self, name: str, promise: Promise, sent_ns: int) -> None:
        if promise.epoch > self.epoch:
            self.end(f"{name} promised epoch {promise.epoch}")
            return
        if promise.promise_ms > 0:
            valid_ns = (promise.promise_ms - DRIFT_MS) * NS_PER_MS
            self.promises[name] = sent_ns + valid_ns
            free_ns = self.env.clock.now_ns() - promise.free_ms * NS_PER_MS
            self.freed.setdefault(name, free_ns)

    def _tell(self, name: str, voter: VoterRecord, note: Resign) -> None:
        if name == self.env.settings.node_id:
            self.env.voter.free(note)
            return
        try:
            self.env.links.request(voter["peer"], name, note, PROMISE_TIMEOUT_MS)
        except LinkError:
            return

    def _name(self) -> str:
        return name_coordinator(self.env)


def name_coordinator(env: "Environment") -> str:
    """Return the name under which voters promise to this process."""
    return f"{env.settings.node_id}/{env.incarnation}"


def ask_voter(
    env: "Environment", name: str, voter: VoterRecord, ask: AskPromise
) -> Promise | None:
    """Ask one voter; None where it does not answer."""
    if name == env.settings.node_id:
        return env.voter.answer(ask)
    try:
        return env.links.request(voter["peer"], name, ask, PROMISE_TIMEOUT_MS)
    except LinkError:
        return None


def stand_for_office(env: "Environment") -> Office | None:
    """Try to be elected coordinator; None where another one holds or is elected.

    Raises `PlatformError` when the platform does not answer, and `RefusalError` with
    `NO_MAJORITY`.
    """
    stored = read_cell(env.platform, env.settings.cell)
    if stored is None:
        stored = found_cell(env)
        return Office(env, stored) if stored is not None else None
    record = leave_out_lost(env, stored.value)
    if not has_majority(env, record):
        return None
    own = record["voters"].get(env.settings.node_id)
    if own is None or own["peer"] != str(env.settings.peer):
        return None
    won: CellRecord = {
        **record,
        "epoch": record["epoch"] + 1,
        "coordinator": env.settings.node_id,
        "incarnation": env.incarnation,
        "peer": str(env.settings.peer),
    }
    try:
        stored = env.platform.put(name_cell(env.settings.cell), won, stored.version)
    except PlatformError as error:
        if error.code != Code.PLATFORM_CONFLICT:
            raise
        return None
    log.info("elected epoch={}", won["epoch"])
    return Office(env, stored._replace(value=won))


def leave_out_lost(env: "Environment", record: CellRecord) -> CellRecord:
    """Return the record without the voters that operators declared lost.

    Where none is left this node takes their place; only one candidate can win.
    """
    lost = set(env.configuration.list_lost_voters(env.settings.cell))
    voters = {
        name: voter
        for name, voter in record["voters"].items()
        if name_voter(name, voter) not in lost
    }
    if not voters:
        settings = env.settings
        voters[settings.node_id] = {"peer": str(settings.peer), "zone": settings.zone}
    return {**record, "voters": voters}


def name_voter(node_id: str, voter: VoterRecord) -> str:
    """Return the name by which a ticket declares a voter lost."""
    return f"{node_id}@{voter['peer']}"


def has_majority(env: "Environment", record: CellRecord) -> bool:
    """Tell whether a majority of the voters would promise the next epoch.

    Raises `RefusalError` with `NO_MAJORITY`, and the names of the voters that do not
    answer, where they are why.
    """
    cell = env.settings.cell
    ask = AskPromise(cell, record["epoch"] + 1, name_coordinator(env), True)
    calls = [
        gevent.spawn(ask_voter, env, name, voter, ask)
        for name, voter in record["voters"].items()
    ]
    gevent.joinall(calls, timeout=PROMISE_TIMEOUT_MS / 1000)
    willing = sum(1 for call in calls if call.value and call.value.promise_ms > 0)
    if willing >= count_majority(record["voters"]):
        return True
    voters = zip(record["voters"].items(), calls, strict=True)
    silent = [name_voter(*voter) for voter, call in voters if call.value is None]
    if silent:
        raise RefusalError(Code.NO_MAJORITY, f"silent voters: {', '.join(silent)}")
    return False
