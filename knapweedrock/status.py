"""Exit statuses of the program."""

from enum import IntEnum


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
