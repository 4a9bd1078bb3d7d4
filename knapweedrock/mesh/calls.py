"""Requests to a peer that wait for their answers."""

from collections.abc import Callable
from typing import Any

from gevent.event import AsyncResult

from knapweedrock.codes import Code
from knapweedrock.errors import LinkError
from knapweedrock.timers import Alarm


class Call:
    """A request to a peer until its answer comes or nobody waits for it any more.

    One that is `kept` outlives the connection that it was sent on. With `leaves` its
    caller is told once that the link is silent, and may come back to it.
    """

    def __init__(
        self,
        number: int,
        resumable: bool = False,
        interruptible: bool = False,
        on_end: Callable[["Call", bool], None] = lambda _call, _answered: None,
    ) -> None:
        self.number = number
        self.resumable = resumable
        self._interruptible = interruptible
        self._on_end = on_end
        self._result = AsyncResult()

    def ready(self) -> bool:
        """Tell whether it was answered or has failed."""
        return self._result.ready()

    def get_result(self) -> AsyncResult:
        """Return what is ready once it was answered or has failed."""
        return self._result

    def complete(self, message: Any) -> None:
        """Take the answer."""
        self._result.set(message)

    def fail(self, code: Code, reason: str) -> None:
        """Fail it, unless it was answered."""
        if not self.ready():
            self._result.set_exception(LinkError(code, reason))

    def interrupt(self) -> None:
        """Tell the one who waits that the link is silent."""
        if not self._interruptible or self.ready():
            return
        self._interruptible = False
        interrupted, self._result = self._result, AsyncResult()
        interrupted.set_exception(SilentLinkError(self))

    def wait(self, timeout_ms: float) -> Any:
        """Wait for the answer.

        Raises `LinkError`; after a `SilentLinkError` it may be waited for again.
        """
        try:
            with Alarm(max(timeout_ms, 1) / 1000):
                message = self._result.get()
        except SilentLinkError:
            raise
        except TimeoutError as error:
            self._on_end(self, False)
            raise LinkError(Code.PEER_LOST, "no answer in time") from error
        except BaseException:
            self._on_end(self, False)
            raise
        self._on_end(self, True)
        return message

    def cancel(self) -> None:
        """Give it up; one that was answered or has failed is left as it is."""
        self._on_end(self, self.ready())


class SilentLinkError(LinkError):
    """A request on a silent link, which may still be answered: `call`."""

    def __init__(self, call: Call) -> None:
        super().__init__(Code.PEER_LOST, "silent")
        self.call = call
