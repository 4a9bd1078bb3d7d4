"""The voter: promises a coordinator to help no other for a short time.

Promises live in memory only. A voter that has just started may have forgotten one,
so it promises nothing until any earlier promise has surely run out.
"""

from typing import TYPE_CHECKING

from knapweedrock.clock import NS_PER_MS
from knapweedrock.nodes.handlers import Sender, handles
from knapweedrock.nodes.messages import AskPromise, Done, Promise, Resign
from knapweedrock.nodes.timing import DRIFT_MS, PROMISE_MS

if TYPE_CHECKING:
    from knapweedrock.environment import Environment


class Voter:
    """Promises of this node."""

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.epoch = 0
        self.coordinator = ""
        self.silent_until_ns = env.clock.now_ns() + (PROMISE_MS + DRIFT_MS) * NS_PER_MS
        # A promise forgotten at a restart has run out by then.
        self.until_ns = self.silent_until_ns
        env.dumps["voter"] = self

    def answer(self, ask: AskPromise) -> Promise:
        """Promise to help only the asking coordinator, or promise nothing."""
        now = self.env.clock.now_ns()
        if not self._may_promise(ask, now):
            return Promise(self.epoch, 0)
        if ask.try_only:
            return Promise(self.epoch, PROMISE_MS)
        free_ms = max(now - self.until_ns, 0) // NS_PER_MS
        self.epoch = ask.epoch
        self.coordinator = ask.coordinator
        self.until_ns = now + PROMISE_MS * NS_PER_MS
        return Promise(ask.epoch, PROMISE_MS, free_ms)

    def free(self, resign: Resign) -> None:
        """Forget the promise to a coordinator that has stopped acting."""
        if (resign.epoch, resign.coordinator) == (self.epoch, self.coordinator):
            self.until_ns = min(self.until_ns, self.env.clock.now_ns())

    def dump(self) -> dict[str, object]:
        """Return the promise in force."""
        return {
            "epoch": self.epoch,
            "coordinator": self.coordinator,
            "remaining_ms": (self.until_ns - self.env.clock.now_ns()) / NS_PER_MS,
        }

    def _may_promise(self, ask: AskPromise, now: int) -> bool:
        if ask.cell != self.env.settings.cell or now < self.silent_until_ns:
            return False
        if ask.epoch < self.epoch:
            return False
        same = (ask.epoch, ask.coordinator) == (self.epoch, self.coordinator)
        return same or (ask.epoch > self.epoch and now >= self.until_ns)


@handles(AskPromise)
def answer_promise(env: "Environment", _sender: Sender, ask: AskPromise) -> Promise:
    """Answer a coordinator or candidate."""
    return env.voter.answer(ask)


@handles(Resign)
def accept_resignation(env: "Environment", _sender: Sender, resign: Resign) -> Done:
    """Free the promise to a coordinator that resigns."""
    env.voter.free(resign)
    env.membership.expect_election()
    return Done()


def create_voter(env: "Environment") -> Voter:
    """Create the voter of a node, silent at first."""
    return Voter(env)
