"""Histories of concurrent requests, and checks of the guarantees on them."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Outcome

MIN_GAP_MS = 100


class Execution(NamedTuple):
    """One execution of a request, from a target's log; times in CLOCK_BOOTTIME ns.

    `end_ns` is 0 while the request runs. `tag` is the caller's name for the
    request, taken from its path.
    """

    target: str
    request_id: str
    order_id: str
    key: str
    token: int
    start_ns: int
    end_ns: int
    finished: bool
    tag: str = ""


class Call(NamedTuple):
    """One request as seen by its caller; times in CLOCK_BOOTTIME ns.

    `answered` is false if no response came; `own_answer` is false if the response
    belonged to another request or was truncated.
    """

    tag: str
    order_id: str
    service: str
    key: str
    method: str
    node: str
    intended_ns: int
    sent_ns: int
    end_ns: int
    status: int
    code: int
    outcome: str
    answered: bool
    own_answer: bool


class Violation(NamedTuple):
    """A guarantee that a history violates."""

    promise: str
    detail: str


class Gap(NamedTuple):
    """Time without a successful response for a key while it was requested."""

    key: str
    longest_ms: float
    total_ms: float


class Overload(NamedTuple):
    """A moment at which a target had more requests in flight than its capacity."""

    target: str
    at_ns: int
    in_flight: int
    capacity: int


def check_one_owner(executions: Iterable[Execution]) -> list[Violation]:
    """Check that each key had at most one owner at any time."""
    by_key = defaultdict(list)
    for execution in executions:
        if execution.key:
            by_key[execution.key].append(execution)
    violations = []
    for key_executions in by_key.values():
        key_executions.sort(key=lambda execution: execution.start_ns)
        violations += check_tokens(key_executions)
        violations += check_overlaps(key_executions)
    return violations


def check_tokens(executions: list[Execution]) -> list[Violation]:
    """Check that no execution starts with a lower token than an earlier one.

    `executions` are the executions of one key, sorted by start.
    """
    violations = []
    highest = None
    for execution in executions:
        if highest is not None and execution.token < highest.token:
            violations.append(
                Violation(
                    "one owner",
                    f"lower token started later: {execution} after {highest}",
                )
            )
        if highest is None or execution.token > highest.token:
            highest = execution
    return violations


def check_overlaps(executions: list[Execution]) -> list[Violation]:
    """Check that different targets never executed requests at the same time.

    `executions` are the executions of one key, sorted by start.
    """
    violations = []
    latest_by_target: dict[str, Execution] = {}
    for execution in executions:
        for target, other in latest_by_target.items():
            if target != execution.target and get_end_ns(other) > execution.start_ns:
                violations.append(
                    Violation(
                        "one owner",
                        f"executed by two targets at once: {other} and {execution}",
                    )
                )
        last = latest_by_target.get(execution.target)
        if last is None or get_end_ns(execution) > get_end_ns(last):
            latest_by_target[execution.target] = execution
    return violations


def get_end_ns(execution: Execution) -> float:
    """Return when an execution ended; infinity if it is still running."""
    return execution.end_ns or float("inf")


def check_not_run(
    calls: Iterable[Call], executions: Iterable[Execution]
) -> list[Violation]:
    """Check that no request answered as not run is in any target's log.

    An order that its caller sent several times is checked as a whole: it must be in no
    log only if every response for its id says not run.
    """
    calls, executions = list(calls), list(executions)
    executed_tags = {execution.tag for execution in executions}
    maybe_orders = {
        call.order_id for call in calls if call.outcome != Outcome.NOT_RUN.value
    }
    executed_orders = {execution.order_id for execution in executions} - maybe_orders
    return [
        Violation("not run is true", f"executed: {call}")
        for call in calls
        if call.outcome == Outcome.NOT_RUN.value
        if (
            call.order_id in executed_orders
            if call.order_id
            else call.tag in executed_tags
        )
    ]


def check_orders_once(executions: Iterable[Execution]) -> list[Violation]:
    """Check that each order was executed at most once across all targets."""
    by_order = defaultdict(list)
    for execution in executions:
        if execution.order_id:
            by_order[execution.order_id].append(execution)
    return [
        Violation(
            "orders run once",
            f"{order_id} ran {len(order_executions)} times: {order_executions}",
        )
        for order_id, order_executions in by_order.items()
        if len(order_executions) > 1
    ]


def check_answers(calls: Iterable[Call]) -> list[Violation]:
    """Check that each response is complete and belongs to its own request."""
    return [
        Violation(
            "own whole answer", f"response truncated or of another request: {call}"
        )
        for call in calls
        if call.answered and not call.own_answer
    ]


def check_done_ran(
    calls: Iterable[Call], executions: Iterable[Execution]
) -> list[Violation]:
    """Check that each order answered as done is in a target's log."""
    executed_orders = {execution.order_id for execution in executions}
    return [
        Violation("done has run", f"in no target's log: {call}")
        for call in calls
        if call.order_id and call.outcome == Outcome.DONE.value
        if call.order_id not in executed_orders
    ]


def check_no_starts(
    executions: Iterable[Execution], targets: Iterable[str], from_ns: int, to_ns: int
) -> list[Violation]:
    """Check that the targets started no execution between two moments."""
    silent = set(targets)
    return [
        Violation("no new work", f"started: {execution}")
        for execution in executions
        if execution.target in silent and from_ns < execution.start_ns < to_ns
    ]


def check_overloads(overloads: Iterable[Overload]) -> list[Violation]:
    """Check that no target was ever overloaded."""
    return [
        Violation("only what it bears", f"overloaded: {overload}")
        for overload in overloads
    ]


def check_all(
    calls: Iterable[Call], executions: Iterable[Execution]
) -> list[Violation]:
    """Run all checks of guarantees that must hold at any time."""
    calls, executions = list(calls), list(executions)
    return [
        *check_one_owner(executions),
        *check_not_run(calls, executions),
        *check_orders_once(executions),
        *check_answers(calls),
        *check_done_ran(calls, executions),
    ]


def compute_gaps(calls: Iterable[Call]) -> dict[str, Gap]:
    """Compute for each key how long it went without a successful response.

    The gap of a request runs from its intended send time to the first successful
    response to that request or to a later request for the key, so slow responses count
    as well as refusals. A gap that never closes ends at the key's last response.
    """
    by_key = defaultdict(list)
    for call in calls:
        by_key[call.key].append(call)
    return {key: compute_key_gap(key, key_calls) for key, key_calls in by_key.items()}


def compute_key_gap(key: str, calls: list[Call]) -> Gap:
    """Compute the gaps of one key; gaps below `MIN_GAP_MS` are not in the total."""
    calls.sort(key=lambda call: call.intended_ns, reverse=True)
    served_ns = max(call.end_ns for call in calls)
    longest_ns = total_ns = 0
    counted_from_ns = served_ns + 1
    for call in calls:
        if call.outcome == Outcome.DONE.value:
            served_ns = min(served_ns, call.end_ns)
        gap_ns = served_ns - call.intended_ns
        longest_ns = max(longest_ns, gap_ns)
        if gap_ns >= MIN_GAP_MS * NS_PER_MS:
            total_ns += max(0, min(served_ns, counted_from_ns) - call.intended_ns)
            counted_from_ns = call.intended_ns
    return Gap(key, longest_ns / NS_PER_MS, total_ns / NS_PER_MS)


def find_longest_gap(calls: Iterable[Call]) -> Gap:
    """Find the key with the longest gap."""
    gaps = compute_gaps(calls).values()
    return max(gaps, key=lambda gap: gap.longest_ms, default=Gap("", 0.0, 0.0))


def compute_imbalance(executions: Iterable[Execution], targets: Iterable[str]) -> float:
    """Compute the ratio of the greatest load of a target to the mean load."""
    counts = dict.fromkeys(targets, 0)
    for execution in executions:
        counts[execution.target] = counts.get(execution.target, 0) + 1
    total = sum(counts.values())
    return max(counts.values()) * len(counts) / total if total else 1.0


def count_moves(
    before: list[dict], after: list[dict], key_space_size: int
) -> Counter[tuple[str, str]]:
    """Count the keys whose owner changed, by old and new owner.

    `before` and `after` are lists of ranges sorted by start, each with its owner.
    """
    moved: Counter[tuple[str, str]] = Counter()
    edges = sorted({row["start"] for row in before} | {row["start"] for row in after})
    for start, end in zip(edges, [*edges[1:], key_space_size], strict=False):
        source, destination = find_owner(before, start), find_owner(after, start)
        if source != destination:
            moved[source, destination] += end - start
    return moved


def compute_churn(
    before: list[dict], after: list[dict], key_space_size: int = 1 << 64
) -> float:
    """Compute the share of keys whose owner differs between two tables."""
    return sum(count_moves(before, after, key_space_size).values()) / key_space_size


def find_owner(ranges: list[dict], position: int) -> str:
    """Find the owner of a position in the key space; empty if there is none."""
    owner = ""
    for row in ranges:
        if row["start"] > position:
            break
        owner = row["owner"]
    return owner
