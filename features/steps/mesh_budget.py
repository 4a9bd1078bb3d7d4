"""Steps about the retry budget and the delay of requests between nodes."""

from behave import given, then, when

from features.support.mesh_builders import FakeClock, create_forward
from knapweedrock.clock import NS_PER_S
from knapweedrock.mesh.budgets import (
    USE_WITH_CALLS,
    USE_WITH_KEYS,
    BudgetTerms,
    BudgetUse,
    PeakCount,
    RetryBudget,
)
from knapweedrock.mesh.transit import TransitDelays

STEP_MS = 10
WINDOW_S = 10


@given("{count:d} nodes with a retry ratio of {ratio:g} and a slack of {slack:d}")
@given(
    "{count:d} nodes with a retry ratio of {ratio:g} and a slack of {slack:d} in "
    "{window_s:d} s"
)
def create_budgets(
    context, count: int, ratio: float, slack: int, window_s: int = WINDOW_S
) -> None:
    """Create the budgets of some nodes for two services."""
    context.clock = FakeClock()
    context.terms = BudgetTerms(ratio, slack, window_s)
    started_ns = context.clock.ns
    context.clock.advance_ms(window_s * 1000)
    context.caller_budgets = [create_budget(context, started_ns) for _ in range(count)]
    context.callee_budgets = [create_budget(context, started_ns) for _ in range(count)]
    context.requests, context.retries = [], []


def create_budget(
    context, started_ns: int, use: BudgetUse = USE_WITH_CALLS
) -> RetryBudget:
    """Create the budget of a node whose process started at some time."""
    return RetryBudget(context.clock, context.terms, started_ns, use)


def create_key_budgets(context, started_ns: int) -> list[RetryBudget]:
    """Create a budget for a service with keys at each node."""
    count = len(context.caller_budgets)
    return [create_budget(context, started_ns, USE_WITH_KEYS) for _ in range(count)]


def record(context, events: list, count: float) -> None:
    """Record requests or retries at the current time."""
    events.append((context.clock.ns, count))


@when("each gets {rate:d} requests per second for {seconds:d} s and retries all it may")
def retry_all(context, rate: int, seconds: int) -> None:
    """Retry every request as far as the budgets allow."""
    for _ in range(seconds * 1000 // STEP_MS):
        context.clock.advance_ms(STEP_MS)
        for budget in context.caller_budgets:
            for _ in range(rate * STEP_MS // 1000 or 1):
                budget.count_request()
                record(context, context.requests, 1)
                if budget.spend(len(context.caller_budgets)):
                    record(context, context.retries, 1)


@when(
    "each gets {rate:d} requests with keys per second for {seconds:d} s and retries "
    "all it may"
)
def retry_with_keys(context, rate: int, seconds: int) -> None:
    """Retry every request for a key as far as the budgets allow."""
    budgets = create_key_budgets(context, 0)
    for _ in range(seconds * rate):
        context.clock.advance_ms(1000 / rate)
        retry_requests(context, budgets, len(budgets))


@when(
    "each gets {rate:d} requests with keys per second for {seconds:d} s, retries all "
    "it may, and restarts every {interval:d} s"
)
def restart_and_retry(context, rate: int, seconds: int, interval: int) -> None:
    """Retry every request as far as the budgets allow; restart all nodes at times."""
    budgets = create_key_budgets(context, 0)
    for number in range(seconds * rate):
        context.clock.advance_ms(1000 / rate)
        if number % (interval * rate) == 0:
            budgets = create_key_budgets(context, context.clock.ns)
        retry_requests(context, budgets, len(budgets))


@when(
    "each gets {rate:d} requests with keys per second for {seconds:d} s, retries all "
    "it may from second {first:d} on, and restarts at second {restart:d}"
)
def save_and_restart(
    context, rate: int, seconds: int, first: int, restart: int
) -> None:
    """Retry nothing at first, then all that the budgets allow, and restart once."""
    budgets = create_key_budgets(context, 0)
    for number in range(seconds * rate):
        context.clock.advance_ms(1000 / rate)
        if number == restart * rate:
            budgets = create_key_budgets(context, context.clock.ns)
        if number >= first * rate:
            retry_requests(context, budgets, len(budgets))
            continue
        for budget in budgets:
            budget.count_request()
            record(context, context.requests, 1)


@when(
    "each gets {rate:d} requests with keys per second for {seconds:d} s, retries all "
    "it may, and each board names {few:d} members for 1 s in {interval:d}"
)
def shrink_boards_and_retry(
    context, rate: int, seconds: int, few: int, interval: int
) -> None:
    """Retry every request as far as the budgets allow, with changing boards."""
    budgets = create_key_budgets(context, 0)
    member_count = PeakCount(context.clock, context.terms.window_s)
    member_count.record(len(budgets))
    for number in range(seconds * rate):
        context.clock.advance_ms(1000 / rate)
        is_few = number // rate % interval == interval - 1
        member_count.record(few if is_few else len(budgets))
        retry_requests(context, budgets, member_count.get())


def retry_requests(context, budgets: list[RetryBudget], node_count: int) -> None:
    """Count one request at each node, and retry all that the budgets allow."""
    for budget in budgets:
        budget.count_request()
        record(context, context.requests, 1)
        while budget.spend(node_count):
            record(context, context.retries, 1)


@when(
    "{rate:d} requests per second, each making {calls:g} calls when it is executed, "
    "all fail for {seconds:d} s"
)
def retry_executions(context, rate: int, calls: float, seconds: int) -> None:
    """Retry executions and the calls that they make, each by its own budget."""
    number = 0
    node_count = len(context.caller_budgets)
    for _ in range(seconds * 1000 // STEP_MS):
        context.clock.advance_ms(STEP_MS)
        for _ in range(rate * STEP_MS // 1000):
            number += 1
            caller = context.caller_budgets[number % node_count]
            caller.count_request()
            executions = 1
            if caller.spend(node_count, was_executed=True):
                executions += 1
                record(context, context.retries, calls)
            make_calls(
                context, context.callee_budgets[number % node_count], executions * calls
            )


def make_calls(context, budget: RetryBudget, count: float) -> None:
    """Make calls that all fail, and retry them as far as the budget allows."""
    for _ in range(round(count)):
        budget.count_request()
        record(context, context.requests, 1)
        if budget.spend(len(context.callee_budgets)):
            record(context, context.retries, 1)


@when("the budget is exhausted and {seconds:d} s pass without requests")
def exhaust_budget(context, seconds: int) -> None:
    """Exhaust the budget and advance the clock."""
    budget = context.caller_budgets[0]
    while budget.spend(1):
        pass
    context.clock.advance_ms(seconds * 1000)


@then(
    "at most {ratio:g} of the requests plus {slack:d} are retried in any {seconds:d} s"
)
@then("at most {ratio:g} of the calls plus {slack:d} are retried in any {seconds:d} s")
def check_windows(context, seconds: int, ratio: float, slack: int) -> None:
    """Check the windows that begin at every half second."""
    assert seconds == context.terms.window_s
    assert context.retries
    for first_ns in range(context.requests[0][0], context.clock.ns, NS_PER_S // 2):
        last_ns = first_ns + seconds * NS_PER_S
        requests = sum(n for at, n in context.requests if first_ns <= at < last_ns)
        retries = sum(n for at, n in context.retries if first_ns <= at < last_ns)
        assert retries <= requests * ratio + slack, (retries, requests)


@then("a retry is allowed again")
def check_retry_allowed(context) -> None:
    """Check that the budget has recovered."""
    assert context.caller_budgets[0].spend(1)


@when("{count:d} requests come in {seconds:d} s and nothing is retried")
def count_requests(context, count: int, seconds: int) -> None:
    """Count requests at equal intervals."""
    for _ in range(count):
        context.clock.advance_ms(seconds * 1000 / count)
        context.caller_budgets[0].count_request()


@then("the budget remembers at most {count:d} requests")
def check_remembered(context, count: int) -> None:
    """Check how many requests the budget remembers."""
    remembered = context.caller_budgets[0].get_request_count()
    assert remembered <= count, remembered


@given("two nodes whose clocks differ by {seconds:d} s")
def create_clocks(context, seconds: int) -> None:
    """Create two clocks with a difference."""
    context.sender, context.receiver = FakeClock(), FakeClock()
    context.receiver.advance_ms(seconds * 1000)


@when(
    "requests with {remaining:d} ms remaining take {first:d} ms, {second:d} ms and "
    "{third:d} ms from one to the other"
)
def delay_requests(
    context, remaining: int, first: int, second: int, third: int
) -> None:
    """Send requests that are in transit for the given times."""
    sender, receiver = TransitDelays(context.sender), TransitDelays(context.receiver)
    context.remaining_ms = []
    for transit_ms in (first, second, third):
        request = sender.stamp(create_forward(remaining_ms=float(remaining)))
        for clock in (context.sender, context.receiver):
            clock.advance_ms(transit_ms)
        context.remaining_ms.append(receiver.deduct_delay("n0/1", request).remaining_ms)


@then("at least {first:d} ms, at least {second:d} ms and at most {third:d} ms remain")
def check_remaining(context, first: int, second: int, third: int) -> None:
    """Check the remaining time of each request."""
    remaining_ms = context.remaining_ms
    assert (
        remaining_ms[0] >= first
        and remaining_ms[1] >= second
        and remaining_ms[2] <= third
    ), remaining_ms
