"""Histories of concurrent runs and the checks of what must always hold."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Outcome

MIN_GAP_MS = 100


class Execution(NamedTuple):
    """One run of a request, from a target's own log; times in CLOCK_BOOTTIME ns.

    `end_ns` is 0 while the request runs. `tag` is the caller's name of the
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
    """One request as its caller saw it; times in CLOCK_BOOTTIME ns.

    `answered` is false where no answer came at all; `own_answer` is false where
    the answer was another request's or not whole.
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
    """A promise that a history broke."""

    promise: str
    detail: str


class Gap(NamedTuple):
    """Time without a successful answer for a key while requests were offered."""

    key: str
    longest_ms: float
    total_ms: float


class Overload(NamedTuple):
    """A moment at which a target had more requests in hand than it bears."""

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
    found = []
    for runs in by_key.values():
        runs.sort(key=lambda run: run.start_ns)
        found += check_tokens(runs)
        found += check_overlaps(runs)
    return found


def check_tokens(runs: list[Execution]) -> list[Violation]:
    """Check that no lower token starts after a higher one; runs of one key."""
    found = []
    highest = None
    for run in runs:
        if highest is not None and run.token < highest.token:
            found.append(
                Violation("one owner", f"lower token later: {run} after {highest}")
            )
        if highest is None or run.token > highest.token:
            highest = run
    return found


def check_overlaps(runs: list[Execution]) -> list[Violation]:
    """Check that different targets never ran at the same time; runs of one key."""
    found = []
    open_by_target: dict[str, Execution] = {}
    for run in runs:
        for target, other in open_by_target.items():
            if target != run.target and get_end_ns(other) > run.start_ns:
                found.append(
                    Violation("one owner", f"two targets at once: {other} and {run}")
                )
        last = open_by_target.get(run.target)
        if last is None or get_end_ns(run) > get_end_ns(last):
            open_by_target[run.target] = run
    return found


def get_end_ns(run: Execution) -> float:
    """Return when the run ended, infinity where it still runs."""
    return run.end_ns or float("inf")


def check_not_run(
    calls: Iterable[Call], executions: Iterable[Execution]
) -> list[Violation]:
    """Check that no request answered as not run stands in any target's log.

    An order that its caller sent several times is checked as a whole: only where
    each answer for its id says not run must no log have it.
    """
    calls, runs = list(calls), list(executions)
    ran = {run.tag for run in runs}
    maybe_orders = {
        call.order_id for call in calls if call.outcome != Outcome.NOT_RUN.value
    }
    ran_orders = {run.order_id for run in runs} - maybe_orders
    return [
        Violation("not run is true", f"ran all the same: {call}")
        for call in calls
        if call.outcome == Outcome.NOT_RUN.value
        if (call.order_id in ran_orders if call.order_id else call.tag in ran)
    ]


def check_orders_once(executions: Iterable[Execution]) -> list[Violation]:
    """Check that each order id ran at most once over all targets."""
    by_order = defaultdict(list)
    for run in executions:
        if run.order_id:
            by_order[run.order_id].append(run)
    return [
        Violation("orders run once", f"{order_id} ran {len(runs)} times: {runs}")
        for order_id, runs in by_order.items()
        if len(runs) > 1
    ]


def check_answers(calls: Iterable[Call]) -> list[Violation]:
    """Check that each answer said to be whole belongs to its own request."""
    return [
        Violation("own whole answer", f"another's answer: {call}")
        for call in calls
        if call.answered and not call.own_answer
    ]


def check_done_ran(
    calls: Iterable[Call], executions: Iterable[Execution]
) -> list[Violation]:
    """Check that each order answered as done stands in a target's log."""
    ran = {run.order_id for run in executions}
    return [
        Violation("done has run", f"in no log: {call}")
        for call in calls
        if call.order_id and call.outcome == Outcome.DONE.value
        if call.order_id not in ran
    ]


def check_no_starts(
    executions: Iterable[Execution], targets: Iterable[str], from_ns: int, to_ns: int
) -> list[Violation]:
    """Check that the targets started nothing new between two moments."""
    silent = set(targets)
    return [
        Violation("no new work", f"started: {run}")
        for run in executions
        if run.target in silent and from_ns < run.start_ns < to_ns
    ]


def check_overloads(overloads: Iterable[Overload]) -> list[Violation]:
    """Check that no target was ever given more than it bears."""
    return [
        Violation("only what it bears", f"too much: {found}") for found in overloads
    ]


def check_all(
    calls: Iterable[Call], executions: Iterable[Execution]
) -> list[Violation]:
    """Check all that must hold at any time."""
    calls, executions = list(calls), list(executions)
    return [
        *check_one_owner(executions),
        *check_not_run(calls, executions),
        *check_orders_once(executions),
        *check_answers(calls),
        *check_done_ran(calls, executions),
    ]


def compute_gaps(calls: Iterable[Call]) -> dict[str, Gap]:
    """Measure for each key how long it went without a successful answer.

    The gap of a request runs from its intended send time to the first successful
    answer to itself or to a later request for the key, so a slow answer counts as
    well as a refused one; one that never ends counts to the key's last answer.
    """
    by_key = defaultdict(list)
    for call in calls:
        by_key[call.key].append(call)
    return {key: compute_key_gap(key, found) for key, found in by_key.items()}


def compute_key_gap(key: str, calls: list[Call]) -> Gap:
    """Measure the gaps of one key; the total leaves out gaps below the floor."""
    calls.sort(key=lambda call: call.intended_ns, reverse=True)
    served_ns = max(call.end_ns for call in calls)
    longest = total = 0
    counted_from = served_ns + 1
    for call in calls:
        if call.outcome == Outcome.DONE.value:
            served_ns = min(served_ns, call.end_ns)
        gap = served_ns - call.intended_ns
        longest = max(longest, gap)
        if gap >= MIN_GAP_MS * NS_PER_MS:
            total += max(0, min(served_ns, counted_from) - call.intended_ns)
            counted_from = call.intended_ns
    return Gap(key, longest / NS_PER_MS, total / NS_PER_MS)


def find_longest_gap(calls: Iterable[Call]) -> Gap:
    """Find the key with the longest gap."""
    gaps = compute_gaps(calls).values()
    return max(gaps, key=lambda gap: gap.longest_ms, default=Gap("", 0.0, 0.0))


def compute_imbalance(executions: Iterable[Execution], targets: Iterable[str]) -> float:
    """Measure the greatest load of a target over the mean."""
    counts = dict.fromkeys(targets, 0)
    for run in executions:
        counts[run.target] = counts.get(run.target, 0) + 1
    total = sum(counts.values())
    return max(counts.values()) * len(counts) / total if total else 1.0


def count_moves(
    before: list[dict], after: list[dict], key_space_size: int
) -> Counter[tuple[str, str]]:
    """Count the keys that went from one owner to another, by both of them.

    Both are lists of ranges by start, each with its owner; `space` counts all keys.
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
    """Measure the share of the keys with another owner in the second table."""
    return sum(count_moves(before, after, key_space_size).values()) / key_space_size


def find_owner(ranges: list[dict], position: int) -> str:
    """Find the owner of a place in the key space."""
    owner = ""
    for row in ranges:
        if row["start"] > position:
            break
        owner = row["owner"]
    return owner
