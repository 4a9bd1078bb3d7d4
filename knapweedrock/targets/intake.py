"""Whether this node takes new work: zones that are out, targets that leave."""

from typing import TYPE_CHECKING

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

REFUSE_AFTER_MS = 2000
RETRY_AFTER_MS = 1000


class Intake:
    """Reasons to refuse new work, each from its own moment on.

    Ranges move away first; what still arrives after `REFUSE_AFTER_MS` is refused.
    """

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.refuse_from_ns: dict[Code, int] = {}
        self._config_version = -1

    def refresh(self) -> None:
        """Follow the configuration in force."""
        holder = self.env.configuration
        if holder.version == self._config_version:
            return
        self._config_version = holder.version
        if holder.zone_is_out(self.env.settings.zone):
            self.close(Code.ZONE_OUT)
        else:
            self.open(Code.ZONE_OUT)

    def close(self, code: Code, after_ms: int = REFUSE_AFTER_MS) -> None:
        """Refuse new work by this code after a while."""
        at_ns = self.env.clock.now_ns() + after_ms * NS_PER_MS
        known_ns = self.refuse_from_ns.get(code)
        self.refuse_from_ns[code] = min(at_ns, known_ns) if known_ns else at_ns

    def open(self, code: Code) -> None:
        """Take new work again as far as this code goes."""
        self.refuse_from_ns.pop(code, None)

    def is_closing(self, code: Code) -> bool:
        """Tell whether new work is or will be refused by this code."""
        return code in self.refuse_from_ns

    def check(self) -> None:
        """Raise the refusal that is due, if any."""
        self.refresh()
        if not self.refuse_from_ns:
            return
        now_ns = self.env.clock.now_ns()
        for code, from_ns in self.refuse_from_ns.items():
            if now_ns >= from_ns:
                raise RefusalError(code, retry_after_ms=RETRY_AFTER_MS)
