"""Builders of the records that callers and targets keep of requests."""

from knapweedrock.clock import NS_PER_MS
from knapweedrock.history import Call, Execution
from knapweedrock.load.samples import Sample


def create_execution(
    target: str = "t1",
    key: str = "k1",
    token: int = 1,
    start_ms: float = 0,
    end_ms: float = 1,
    order_id: str = "",
    tag: str = "",
) -> Execution:
    """Create an execution as in a target's log, with times in milliseconds."""
    start_ns, end_ns = int(start_ms * NS_PER_MS), int(end_ms * NS_PER_MS)
    return Execution(target, "r1", order_id, key, token, start_ns, end_ns, True, tag)


def create_call(
    tag: str = "c1",
    key: str = "k1",
    intended_ms: float = 0,
    end_ms: float = 1,
    outcome: str = "done",
    order_id: str = "",
    answered: bool = True,
    own_answer: bool = True,
) -> Call:
    """Create a caller's record of one request, with times in milliseconds."""
    intended_ns = int(intended_ms * NS_PER_MS)
    return Call(
        tag=tag,
        order_id=order_id,
        service="depot-orders",
        key=key,
        method="GET",
        node="n1",
        intended_ns=intended_ns,
        sent_ns=intended_ns,
        end_ns=int(end_ms * NS_PER_MS),
        status=200 if outcome == "done" else 503,
        code=0,
        outcome=outcome,
        answered=answered,
        own_answer=own_answer,
    )


def create_sample(
    intended_ns: int = 0, end_ns: int = 0, outcome: str = "done", key: str = "k1"
) -> Sample:
    """Create a sample of the load program."""
    return Sample(
        "read", key, "127.0.0.1:1", intended_ns, end_ns, 200, 0, outcome, False
    )
