"""Numbered result codes, shared by HTTP responses, exit statuses, logs and docs."""

from enum import IntEnum, StrEnum
from typing import NamedTuple

# Response header with the result code of a refused request.
CODE_HEADER = "Knapweedrock-Code"


# HTTP statuses that tell callers that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Outcome(StrEnum):
    """What is known about the execution of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Code(IntEnum):
    """Number of each result; the hundreds digit groups them by subject."""

    DONE = 0
    # 1xx: ownership and membership
    NOT_OWNER = 101
    NO_OWNER = 102
    MOVING = 104
    ZONE_OUT = 105
    LEAVING = 106
    NO_LIVE_TARGET = 107
    UNKNOWN_SERVICE = 108
    NO_RULE = 109
    CONFIG_STALE = 111
    NO_COORDINATOR = 112
    # 2xx: admission and delivery
    OVERLOADED = 201
    QUEUE_TIMEOUT = 202
    DEADLINE_PASSED = 203
    TARGET_UNREACHABLE = 204
    TARGET_SHED = 205
    ANSWER_LOST = 206
    ANSWER_TRUNCATED = 207
    PEER_LOST = 208
    PEER_UNREACHABLE = 209
    QUARANTINED = 211
    TARGET_FENCED = 216
    QUOTA_EXCEEDED = 217
    QUOTA_UNKNOWN = 218
    MEMORY_SHORT = 219
    # 3xx: bad input from callers, targets or peers
    BAD_REQUEST = 301
    BAD_ANNOUNCEMENT = 303
    BAD_FRAME = 304
    BAD_PATH = 306
    REPORT_MALFORMED = 307
    REPORT_NOT_WRITTEN = 308
    CREDENTIAL_UNKNOWN = 309
    # 4xx: configuration
    CONFIGURATION_MALFORMED = 401
    # 5xx: the platform
    PLATFORM_UNAVAILABLE = 501
    PLATFORM_CONFLICT = 502
    PLATFORM_NOT_FOUND = 503
    PLATFORM_RATE_LIMITED = 504
    PLATFORM_BAD_ANSWER = 505
    # 6xx: settings and start
    SETTING_INVALID = 601
    ADDRESS_IN_USE = 602
    # 7xx: the program itself


class CodeInfo(NamedTuple):
    """HTTP status, outcome and meaning of one code, and whether a retry may help."""

    http_status: int
    outcome: Outcome
    retry: bool
    meaning: str


_NOT_RUN = Outcome.NOT_RUN
_MAY_HAVE_RUN = Outcome.MAY_HAVE_RUN

INFO: dict[Code, CodeInfo] = {
    Code.DONE: CodeInfo(200, Outcome.DONE, False, "The request was done."),
    Code.NOT_OWNER: CodeInfo(503, _NOT_RUN, True, "This node does not own the key."),
    Code.NO_OWNER: CodeInfo(503, _NOT_RUN, True, "The key has no owner now."),
    Code.MOVING: CodeInfo(503, _NOT_RUN, True, "The key is moving to another owner."),
    Code.ZONE_OUT: CodeInfo(503, _NOT_RUN, True, "The availability zone is out."),
    Code.LEAVING: CodeInfo(503, _NOT_RUN, True, "The target is leaving."),
    Code.NO_LIVE_TARGET: CodeInfo(
        503, _NOT_RUN, True, "No live target serves the service."
    ),
    Code.UNKNOWN_SERVICE: CodeInfo(
        404, _NOT_RUN, False, "The configuration has no such service."
    ),
    Code.NO_RULE: CodeInfo(404, _NOT_RUN, False, "No rule matches the request."),
    Code.CONFIG_STALE: CodeInfo(
        503, _NOT_RUN, True, "The node has no configuration in force yet."
    ),
    Code.NO_COORDINATOR: CodeInfo(
        503, _NOT_RUN, True, "The node is not the coordinator, or knows none."
    ),
    Code.OVERLOADED: CodeInfo(503, _NOT_RUN, True, "Slots and queue are full."),
    Code.QUEUE_TIMEOUT: CodeInfo(
        503, _NOT_RUN, True, "The request waited too long for a slot."
    ),
    Code.DEADLINE_PASSED: CodeInfo(
        504, _NOT_RUN, False, "The deadline passed before the request was sent."
    ),
    Code.TARGET_UNREACHABLE: CodeInfo(
        503, _NOT_RUN, True, "No connection to the target could be made."
    ),
    Code.TARGET_SHED: CodeInfo(
        503, _NOT_RUN, True, "The target refused the request before running it."
    ),
    Code.ANSWER_LOST: CodeInfo(
        504, _MAY_HAVE_RUN, False, "The request was sent and no answer came."
    ),
    Code.ANSWER_TRUNCATED: CodeInfo(
        502, _MAY_HAVE_RUN, False, "The target's answer broke off in the middle."
    ),
    Code.PEER_LOST: CodeInfo(
        504,
        _MAY_HAVE_RUN,
        False,
        "The link to the owner's node was lost after the send.",
    ),
    Code.PEER_UNREACHABLE: CodeInfo(
        503, _NOT_RUN, True, "The owner's node could not be reached."
    ),
    Code.QUARANTINED: CodeInfo(
        422, _NOT_RUN, False, "The request was in flight at two target crashes."
    ),
    Code.TARGET_FENCED: CodeInfo(
        503, _NOT_RUN, True, "The target refused the fencing token."
    ),
    Code.QUOTA_EXCEEDED: CodeInfo(
        429, _NOT_RUN, True, "The workspace has used its quota."
    ),
    Code.QUOTA_UNKNOWN: CodeInfo(
        503, _NOT_RUN, True, "The workspace's quota can't be checked now."
    ),
    Code.MEMORY_SHORT: CodeInfo(
        503, _NOT_RUN, True, "The node has no memory left for the request."
    ),
    Code.BAD_REQUEST: CodeInfo(400, _NOT_RUN, False, "The request is malformed."),
    Code.BAD_ANNOUNCEMENT: CodeInfo(
        400, _NOT_RUN, False, "The target's announcement is malformed."
    ),
    Code.BAD_FRAME: CodeInfo(400, _NOT_RUN, False, "A peer's frame is malformed."),
    Code.BAD_PATH: CodeInfo(404, _NOT_RUN, False, "There is no such page here."),
    Code.REPORT_MALFORMED: CodeInfo(
        400, _NOT_RUN, False, "The report file is malformed or of another kind."
    ),
    Code.REPORT_NOT_WRITTEN: CodeInfo(
        409, _NOT_RUN, False, "The report file can't be written."
    ),
    Code.CREDENTIAL_UNKNOWN: CodeInfo(
        401, _NOT_RUN, False, "The request has no known credential."
    ),
    Code.CONFIGURATION_MALFORMED: CodeInfo(
        400, _NOT_RUN, False, "The configuration is malformed."
    ),
    Code.PLATFORM_UNAVAILABLE: CodeInfo(
        503, _MAY_HAVE_RUN, True, "The platform does not answer."
    ),
    Code.PLATFORM_CONFLICT: CodeInfo(
        409, _NOT_RUN, False, "The object's version was another one."
    ),
    Code.PLATFORM_NOT_FOUND: CodeInfo(
        404, _NOT_RUN, False, "The platform has no such object."
    ),
    Code.PLATFORM_RATE_LIMITED: CodeInfo(
        429, _NOT_RUN, True, "The platform refused the call by its rate limit."
    ),
    Code.PLATFORM_BAD_ANSWER: CodeInfo(
        502, _MAY_HAVE_RUN, False, "The platform's answer is malformed."
    ),
    Code.SETTING_INVALID: CodeInfo(400, _NOT_RUN, False, "A setting is wrong."),
    Code.ADDRESS_IN_USE: CodeInfo(
        400, _NOT_RUN, False, "A listen address can't be bound."
    ),
}


def parse_code(number: int) -> Code:
    """Parse the number of a code that a peer sent.

    A number that only a later version defines may stand for any outcome of the request,
    so it is treated as `PEER_LOST`.
    """
    try:
        return Code(number)
    except ValueError:
        return Code.PEER_LOST
