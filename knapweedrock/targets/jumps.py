"""Jumps of latency, by which a target shows that it turned cold without warning."""

from typing import TYPE_CHECKING

import gevent
import logbook

from knapweedrock.clock import NS_PER_MS
from knapweedrock.targets.attempts import Attempts
from knapweedrock.targets.ramp import Ramp

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

WATCH_INTERVAL_MS = 10
IDLE_INTERVAL_MS = 40
LATE_SHARE = 0.5
MIN_LATE = 3
JUMP_TICKS = 3
STALL_FACTOR = 2

log = logbook.Logger("jumps")


class JumpWatch:
    """Looks at the age of what is in flight, since late answers come too late."""

    def __init__(self, env: "Environment", attempts: Attempts, ramp: Ramp) -> None:
        self.env = env
        self.attempts = attempts
        self.ramp = ramp

    def run(self) -> None:
        """Watch for as long as the node runs.

        A stall of this process makes everything late, so only timely ticks count.
        """
        ticks = 0
        while True:
            began_ns = self.env.clock.now_ns()
            pause_ms = WATCH_INTERVAL_MS if self.attempts.sent else IDLE_INTERVAL_MS
            gevent.sleep(pause_ms / 1000)
            slept_ms = (self.env.clock.now_ns() - began_ns) / NS_PER_MS
            was_stalled = slept_ms > STALL_FACTOR * pause_ms
            ticks = ticks + 1 if self.is_jump() and not was_stalled else 0
            if ticks >= JUMP_TICKS:
                ticks = 0
                log.warning("the target's latency jumped; its limit starts again")
                self.ramp.restart("target_latency_jumps")
                self.attempts.displace_excess()

    def is_jump(self) -> bool:
        """Tell whether most requests in flight are late, and too many to bear cold."""
        sent = self.attempts.sent
        late_ms = self.ramp.get_late_ms()
        if not late_ms or len(sent) <= self.ramp.start_limit:
            return False
        before_ns = self.env.clock.now_ns() - int(late_ms * NS_PER_MS)
        late = sum(1 for attempt in sent.values() if attempt.began_ns < before_ns)
        return late >= max(MIN_LATE, LATE_SHARE * len(sent))
