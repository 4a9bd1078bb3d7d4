"""Requests to a peer whose answers are still awaited."""

from collections.abc import Callable
from typing import Any

from gevent.event import AsyncResult

from knapweedrock.codes import Code
from knapweedrock.errors import LinkError
from knapweedrock.timers import Timeout


class Call:
    """Request to a peer, until it is answered, fails or is given up.

    A `resumable` call survives the loss of the connection that it was sent on. The
    waiter of an `interruptible` call gets a `SilentLinkError` once if the link falls
    silent, and may wait for the call again afterwards. `on_end` is called with the call
    and whether it was answered or has failed.
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
        """Return whether the call was answered or has failed."""
        return self._result.ready()

    def get_result(self) -> AsyncResult:
        """Return the result, which is ready once the call is answered or has failed."""
        return self._result

    def complete(self, message: Any) -> None:
        """Complete the call with its answer."""
        self._result.set(message)

    def fail(self, code: Code, reason: str) -> None:
        """Fail the call unless it was already answered or has failed."""
        if not self.ready():
            self._result.set_exception(LinkError(code, reason))

    def interrupt(self) -> None:
        """Raise `SilentLinkError` in the waiter of an interruptible call, once."""
        if not self._interruptible or self.ready():
            return
        self._interruptible = False
        interrupted, self._result = self._result, AsyncResult()
        interrupted.set_exception(SilentLinkError(self))

    def wait(self, timeout_ms: float) -> Any:
        """Wait for the answer and return it.

        Raises `LinkError`; after a `SilentLinkError` the caller may wait again.
        """
        try:
            with Timeout(max(timeout_ms, 1) / 1000):
                message = self._result.get()
        except SilentLinkError:
            raise
        except TimeoutError as error:
            self._on_end(self, False)
            raise LinkError(Code.PEER_LOST, "no answer within the timeout") from error
        except BaseException:
            self._on_end(self, False)
            raise
        self._on_end(self, True)
        return message

    def cancel(self) -> None:
        """Give up the call unless it was already answered or has failed."""
        self._on_end(self, self.ready())


class SilentLinkError(LinkError):
    """Raised when the link of `call` is silent; the call may still be answered."""

    def __init__(self, call: Call) -> None:
        super().__init__(Code.PEER_LOST, "silent")
        self.call = call
