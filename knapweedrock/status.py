"""Exit statuses of the program."""

from enum import IntEnum

from knapweedrock.codes import Code


class ExitStatus(IntEnum):
    """Exit status of each way in which the program can end."""

    SUCCESS = 0
    FAILURE = 1
    USAGE = 2
    SETTINGS = 3
    CONFIGURATION = 4
    UNREACHABLE = 6
    PROMISE_BROKEN = 7
    INTERRUPTED = 130


GROUP_STATUSES = {
    Code.CONFIGURATION_MALFORMED // 100: ExitStatus.CONFIGURATION,
    Code.PLATFORM_UNAVAILABLE // 100: ExitStatus.UNREACHABLE,
    Code.SETTING_INVALID // 100: ExitStatus.SETTINGS,
}


def get_exit_status(code: Code) -> ExitStatus:
    """Return the exit status for a result code."""
    if code == Code.DONE:
        return ExitStatus.SUCCESS
    if code in (Code.PEER_UNREACHABLE, Code.PEER_LOST):
        return ExitStatus.UNREACHABLE
    return GROUP_STATUSES.get(code // 100, ExitStatus.FAILURE)
