"""Attempts of a request at one target after another, and what they result in."""

from logbook import Logger

from knapweedrock.codes import INFO, Code, Outcome, parse_code
from knapweedrock.errors import LinkError
from knapweedrock.mesh.calls import Call
from knapweedrock.mesh.messages import Forwarded, Member

FIRST_SERVER_ERROR_STATUS = 500

log = Logger("routing")


class Progress:
    """State of a request across its attempts, with deadlines for waits for an owner."""

    def __init__(self, unreachable_deadline_ns: int, move_deadline_ns: int) -> None:
        self.unreachable_deadline_ns = unreachable_deadline_ns
        self.move_deadline_ns = move_deadline_ns
        self.member: Member | None = None
        # Attempts, whether or not a target was found for them.
        self.sent_count = 0
        # Attempts that may have reached a target; the route limits them.
        self.reached_count = 0
        self.tried_node_ids: set[str] = set()
        # Result of the latest attempt that may have been executed but has no complete
        # response.
        self.lost_result: Forwarded | None = None
        # Attempts on silent links; their responses may still arrive.
        self.open_calls: list[Call] = []
        # Latest response of a target with a server error.
        self.failed_result: Forwarded | None = None


def get_attempt_result(call: Call) -> Forwarded | None:
    """Return the response to a finished attempt, or None if the attempt failed."""
    try:
        return call.wait(0)
    except LinkError as error:
        log.debug("no response to an open attempt", reason=error.detail)
        return None


def is_success(result: Forwarded) -> bool:
    """Return whether a target responded without a server error."""
    return result.code == Code.DONE and result.status < FIRST_SERVER_ERROR_STATUS


def create_failure(
    code: Code, detail: str = "", retry_after_ms: float = 0.0
) -> Forwarded:
    """Create the result of an attempt that failed without a response."""
    return Forwarded(int(code), 0, [], b"", detail, retry_after_ms, 0.0)


def resolve_result(last: Forwarded, progress: Progress) -> Forwarded:
    """Return the result that holds for all attempts of a request together.

    If the last attempt was not executed, an earlier one may still have been.
    """
    if last.code == Code.DONE:
        return last
    if progress.failed_result is not None:
        return progress.failed_result
    if (
        progress.lost_result is None
        or INFO[parse_code(last.code)].outcome is Outcome.MAY_HAVE_RUN
    ):
        return last
    return progress.lost_result
