"""Exit statuses of the program."""

from enum import IntEnum

from knapweedrock.codes import Code


class ExitStatus(IntEnum):
    """Exit status of each way to end."""

    SUCCESS = 0
    FAILURE = 1
    USAGE = 2
    SETTINGS = 3
    TICKET_REFUSED = 4
    NOT_IN_FORCE = 5
    UNREACHABLE = 6
    PROMISE_BROKEN = 7
    INTERRUPTED = 130


GROUP_STATUSES = {
    Code.TICKET_MALFORMED // 100: ExitStatus.TICKET_REFUSED,
    Code.PLATFORM_UNAVAILABLE // 100: ExitStatus.UNREACHABLE,
    Code.SETTING_INVALID // 100: ExitStatus.SETTINGS,
}


def find_status(code: Code) -> ExitStatus:
    """Find the exit status that a result code ends the program with."""
    if code == Code.DONE:
        return ExitStatus.SUCCESS
    if code == Code.TICKET_NOT_IN_FORCE:
        return ExitStatus.NOT_IN_FORCE
    if code in (Code.PEER_UNREACHABLE, Code.PEER_LOST):
        return ExitStatus.UNREACHABLE
    return GROUP_STATUSES.get(code // 100, ExitStatus.FAILURE)
