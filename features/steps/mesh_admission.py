"""Steps about admission to a target."""

import gevent
from behave import given, then, when

from features.support.mesh_builders import (
    create_member,
    create_settings,
)
from knapweedrock.clock import NS_PER_MS, create_clock
from knapweedrock.emulator.addresses import create_address
from knapweedrock.errors import RefusalError
from knapweedrock.mesh.admission import Admission
from knapweedrock.mesh.targets import Target

OBJECTIVE_MS = 250.0
REMAINING_MS = 1000.0
URGENT, NORMAL, LOWEST = 0, 2, 3


def create_admission(context, slots: int, work_ms: float = 50.0) -> None:
    """Create admission to a target."""
    context.clock = create_clock()
    context.admission = Admission(context.clock)
    context.admission.slots = slots
    context.admission.service_ms = work_ms
    context.began_ns = context.clock.now_ns()
    context.sent, context.refused, context.waits = [], [], []


def request_slot(context, rank: int, work_ms: float) -> None:
    """Ask for a slot, work, and give it back."""
    asked_ns = context.clock.now_ns()
    try:
        context.admission.acquire(rank, OBJECTIVE_MS, REMAINING_MS)
    except RefusalError as error:
        waited_ms = (context.clock.now_ns() - asked_ns) / NS_PER_MS
        context.refused.append((rank, waited_ms, error.retry_after_ms))
        return
    sent_ns = context.clock.now_ns()
    context.sent.append((rank, sent_ns))
    context.waits.append((sent_ns - asked_ns) / NS_PER_MS)
    gevent.sleep(work_ms / 1000)
    context.admission.release((context.clock.now_ns() - sent_ns) / NS_PER_MS)


def offer(context, ranks: list[int], work_ms: float, ms: int, rate: float) -> None:
    """Offer requests at a steady rate, their ranks in turn."""
    tasks = []
    count = int(rate * ms / 1000)
    for number in range(count):
        due_s = number / rate - (context.clock.now_ns() - context.began_ns) / 1e9
        gevent.sleep(max(due_s, 0))
        rank = ranks[number % len(ranks)]
        tasks.append(gevent.spawn(request_slot, context, rank, work_ms))
    gevent.joinall(tasks, timeout=3)
    context.ended_ns = context.clock.now_ns()


@given(
    "admission to a target of {slots:d} slots that is cold "
    "for {s:d} s at {rate:d} a second"
)
def create_cold(context, slots: int, s: int, rate: int) -> None:
    """Create admission to a cold target."""
    create_admission(context, slots, 5)
    context.admission.cold_rate = rate
    context.admission.cold_until_ns = context.clock.now_ns() + s * 1000 * NS_PER_MS


@given("admission to a target of {slots:d} slots that a restarted node has adopted")
def create_restored(context, slots: int) -> None:
    """Adopt a target from what peers say."""
    create_admission(context, slots, 5)
    settings = create_settings(0, create_address(), create_address())
    context.admission.cold_rate = 28
    target = Target(settings, context.clock, context.admission)
    assert target.restore(create_member("node-0", slots=slots))


@given("admission to a target of {slots:d} slots whose work takes {work_ms:d} ms")
def create_warm(context, slots: int, work_ms: int) -> None:
    """Create admission to a warm target."""
    create_admission(context, slots, work_ms)


@when("{rate:d} requests a second of {work_ms:d} ms are offered for {ms:d} ms")
def offer_uniform(context, rate: int, work_ms: int, ms: int) -> None:
    """Offer requests of one kind."""
    context.work_ms = work_ms
    offer(context, [NORMAL], work_ms, ms, rate)


@when(
    "{urgent:d} urgent and {other:d} other requests a second are offered for {ms:d} ms"
)
def offer_mixed(context, urgent: int, other: int, ms: int) -> None:
    """Offer requests of two ranks in turn."""
    assert urgent == other
    offer(context, [URGENT, NORMAL], 50, ms, urgent + other)


@when("the slots are taken and one of the others and then an urgent request wait")
def fill_slots(context) -> None:
    """Take all slots, then let requests of two ranks wait."""
    tasks = [gevent.spawn(request_slot, context, NORMAL, 30) for _ in range(2)]
    gevent.sleep(0)
    tasks.append(gevent.spawn(request_slot, context, NORMAL, 30))
    gevent.sleep(0)
    tasks.append(gevent.spawn(request_slot, context, URGENT, 30))
    gevent.joinall(tasks, timeout=2)


@when("a waiting request is cancelled")
def cancel_waiting(context) -> None:
    """Let a request wait behind another and kill it."""
    gevent.spawn(request_slot, context, NORMAL, 50)
    gevent.sleep(0)
    waiter = gevent.spawn(request_slot, context, NORMAL, 50)
    gevent.sleep(0.01)
    assert context.admission.waiting == 1
    waiter.kill()


@then("no second saw more than {limit:d} of them sent")
def check_rate(context, limit: int) -> None:
    """Check every window of one second."""
    times = [sent_ns for _, sent_ns in context.sent]
    for first_ns in times:
        seen = sum(1 for at_ns in times if 0 <= at_ns - first_ns < 1_000_000_000)
        assert seen <= limit, seen


@then("at least {count:d} were sent")
def check_sent(context, count: int) -> None:
    """Check that the cold target was used."""
    assert len(context.sent) >= count, len(context.sent)


@then("at least {percent:d} percent of the slots' time was used")
def check_used(context, percent: int) -> None:
    """Check the work that was done."""
    elapsed_ms = (context.ended_ns - context.began_ns) / NS_PER_MS
    used = len(context.sent) * context.work_ms
    assert used >= elapsed_ms * context.admission.slots * percent / 100, used


@then("every refusal came within {ms:d} ms and says when to come back")
def check_refusals(context, ms: int) -> None:
    """Check how long refused requests were kept."""
    assert context.refused
    assert all(retry_ms > 0 for _, _, retry_ms in context.refused)
    slowest = max(waited for _, waited, _ in context.refused)
    assert slowest < ms, slowest


@then("every request that was served waited less than {ms:d} ms")
def check_waits(context, ms: int) -> None:
    """Check the waits of those that were served."""
    assert max(context.waits) < ms, max(context.waits)


@then("at least {percent:d} percent of the urgent were served")
def check_urgent(context, percent: int) -> None:
    """Check how the urgent fared."""
    context.urgent = sum(1 for rank, _ in context.sent if rank == URGENT)
    refused = sum(1 for rank, _, _ in context.refused if rank == URGENT)
    assert context.urgent >= (context.urgent + refused) * percent / 100, (
        context.urgent,
        refused,
    )


@then("fewer of the others were served")
def check_others(context) -> None:
    """Check that the refusals went to the less urgent."""
    others = sum(1 for rank, _ in context.sent if rank == NORMAL)
    assert 0 < others < context.urgent, (others, context.urgent)


@then("the refused were told within {ms:d} ms")
def check_refusal_times(context, ms: int) -> None:
    """Check that three quarters of the refused were told in time."""
    waits = sorted(waited for _, waited, _ in context.refused)
    assert waits
    assert waits[len(waits) * 3 // 4] < ms, waits[len(waits) * 3 // 4]


@then("the urgent request gets the first slot")
def check_urgent_first(context) -> None:
    """Check the order in which slots were handed out."""
    assert [rank for rank, _ in context.sent] == [NORMAL, NORMAL, URGENT, NORMAL]


@then("nobody waits")
def check_queue_empty(context) -> None:
    """Check the queue."""
    assert context.admission.waiting == 0


@then("the slot goes to the next that asks")
def check_next(context) -> None:
    """Check that the cancelled request left no trace."""
    request_slot(context, NORMAL, 1)
    assert len(context.sent) == 2
    assert context.admission.in_flight == 0


@when(
    "{urgent:d} urgent and {least:d} of the least urgent requests a second come "
    "for {ms:d} ms"
)
def offer_unequal(context, urgent: int, least: int, ms: int) -> None:
    """Offer many urgent requests and now and then one of the lowest rank."""
    every = urgent // least
    ranks = [URGENT] * every + [LOWEST]
    offer(context, ranks, 50, ms, urgent + least)


@then("at least {percent:d} percent of the least urgent were served")
def check_least(context, percent: int) -> None:
    """Check that a rank is not shut out."""
    served = sum(1 for rank, _ in context.sent if rank == LOWEST)
    refused = sum(1 for rank, _, _ in context.refused if rank == LOWEST)
    assert served >= (served + refused) * percent / 100, (served, refused)


@when("requests of {long_ms:d} ms fill it and one of a short kind hopes for {ms:d} ms")
def request_short(context, long_ms: int, ms: int) -> None:
    """Fill the slots, free them one after the other, and ask for a short request."""
    admission = context.admission
    for number in range(admission.slots):
        admission.acquire(NORMAL, 5000, 5000, "long")
        gevent.spawn_later(0.2 + number * 0.1, admission.release, long_ms, "long")
    context.error = None
    try:
        admission.acquire(NORMAL, ms, ms, "short")
    except RefusalError as error:
        context.error = error


@then("the short one gets a slot")
def check_short(context) -> None:
    """Check that the short request was let in."""
    assert context.error is None, context.error
