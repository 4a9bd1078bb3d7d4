"""Builders of log lines, copied from runs on the users' platform."""

import json

ATTEMPT_ID = "dedcda27ba6fdd68"
KEY = 57840


def create_log_line(
    time_of_day: str, node: str, part: str, message: str, **fields
) -> str:
    """Create one line of a node's log at a time of day."""
    time = f"2026-07-22T{time_of_day}"
    line = {"time": time, "node": node, "part": part, "message": message, **fields}
    return json.dumps(line)


def create_failure_line(clock: str, code: str, **fields) -> str:
    """Create the log line of a failed request."""
    return create_log_line(
        clock,
        "node-4",
        "requests",
        "request failed",
        id=ATTEMPT_ID,
        key=KEY,
        owner="node-8",
        code=code,
        board="2.43",
        **fields,
    )


def create_refusal_lines(code: str, **fields) -> list[str]:
    """Create the log lines of a request that the node beside its target refused."""
    delivery = create_log_line(
        "13:37:13.236",
        "node-8",
        "requests",
        "delivery failed",
        id=ATTEMPT_ID,
        key=KEY,
        code=code,
        service_ms=129.6,
        remaining_ms=378.0,
        **fields,
    )
    return [delivery, create_failure_line("13:37:13.237", code)]


def create_limit_lines() -> list[str]:
    """Create the log lines of a request that exceeded a target's limit."""
    return create_refusal_lines(
        "OVERLOADED", in_flight=2, waiting=4, limit=5.0, objective_ms=200.0
    )


def create_overload_lines() -> list[str]:
    """Create the log lines of a request that waited past its latency objective."""
    return create_refusal_lines(
        "QUEUE_TIMEOUT", in_flight=18, waiting=17, objective_ms=-422.0
    )


def create_outage_lines() -> list[str]:
    """Create the log lines of a request that failed while the store was unavailable."""
    return [
        create_log_line(
            "13:37:22.206", "node-8", "target", "target announced itself", target="i"
        ),
        create_log_line(
            "13:37:22.631",
            "node-4",
            "node",
            "coordinator not found",
            reason="timed out",
        ),
        create_failure_line("13:37:23.379", "NOT_OWNER"),
    ]


def create_move_lines() -> list[str]:
    """Create the log lines of a request whose key was moved to another target."""
    return [
        create_log_line(
            "13:37:20.631",
            "node-4",
            "node",
            "coordinator not found",
            reason="timed out",
        ),
        create_log_line(
            "13:37:22.206",
            "node-1",
            "coordinator",
            "keys given",
            about="node-8",
            keys="57723-57900",
        ),
        create_failure_line("13:37:22.379", "NOT_OWNER"),
    ]


def create_late_lines() -> list[str]:
    """Create the log line of a request that its target answered at its deadline."""
    found = {"status": 504, "ms": 1196.6, "left_ms": 3.4, "sent": 18}
    return [create_failure_line("13:37:02.069", "DONE", **found)]


LINES_BY_REQUEST = {
    "a request past its objective": create_overload_lines,
    "a request to a target under a limit": create_limit_lines,
    "a request while no coordinator was found": create_outage_lines,
    "a request during a move of its key": create_move_lines,
    "a request that its target answered late": create_late_lines,
}
