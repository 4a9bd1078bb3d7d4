"""Steps for admission to a target."""

import gevent
from behave import given, then, when

from features.support.mesh_builders import (
    create_member,
    create_settings,
)
from knapweedrock.clock import NS_PER_MS, Clock, create_clock
from knapweedrock.emulator.addresses import create_address
from knapweedrock.errors import RefusalError
from knapweedrock.mesh.admission import Admission
from knapweedrock.mesh.targets import Target
from knapweedrock.model.virtual_time import VirtualLoop, run_in_virtual_time

OBJECTIVE_MS = 250.0
REMAINING_MS = 1000.0
URGENT, NORMAL, LOWEST = 0, 2, 3


class ScenarioClock:
    """The system's clock, or that of virtual time while requests are offered."""

    def __init__(self) -> None:
        self.source: Clock = create_clock()

    def now_ns(self) -> int:
        """Return the time of the current source."""
        return self.source.now_ns()


def create_admission(context, slots: int, work_ms: float = 50.0) -> None:
    """Create the admission to a target with free slots."""
    context.clock = ScenarioClock()
    context.admission = Admission(context.clock)
    context.admission.slots = slots
    context.admission.service_ms = work_ms
    context.began_ns = context.clock.now_ns()
    context.served, context.refused, context.waits = [], [], []


def request_slot(context, priority: int, work_ms: float) -> None:
    """Acquire a slot, work, and release it; record the outcome."""
    asked_ns = context.clock.now_ns()
    try:
        context.admission.acquire(priority, OBJECTIVE_MS, REMAINING_MS)
    except RefusalError as error:
        waited_ms = (context.clock.now_ns() - asked_ns) / NS_PER_MS
        context.refused.append((priority, waited_ms, error.retry_after_ms))
        return
    sent_ns = context.clock.now_ns()
    context.served.append((priority, sent_ns))
    context.waits.append((sent_ns - asked_ns) / NS_PER_MS)
    gevent.sleep(work_ms / 1000)
    context.admission.release((context.clock.now_ns() - sent_ns) / NS_PER_MS)


def offer(context, priorities: list[int], work_ms: float, ms: int, rate: float) -> None:
    """Offer requests in virtual time, so that no busy processor delays them."""

    def run(loop: VirtualLoop) -> None:
        context.clock.source = loop
        offer_steadily(context, priorities, work_ms, ms, rate)

    run_in_virtual_time(run, context.clock.now_ns())


def offer_steadily(
    context, priorities: list[int], work_ms: float, ms: int, rate: float
) -> None:
    """Offer requests at a steady rate, cycling through the priorities."""
    tasks = []
    count = int(rate * ms / 1000)
    for number in range(count):
        due_s = number / rate - (context.clock.now_ns() - context.began_ns) / 1e9
        gevent.sleep(max(due_s, 0))
        priority = priorities[number % len(priorities)]
        tasks.append(gevent.spawn(request_slot, context, priority, work_ms))
    gevent.joinall(tasks, timeout=3)
    context.ended_ns = context.clock.now_ns()


@given(
    "admission to a target of {slots:d} slots that is cold for {s:d} s at {rate:d}"
    " requests per second"
)
def create_cold(context, slots: int, s: int, rate: int) -> None:
    """Create admission to a cold target."""
    create_admission(context, slots, 5)
    context.admission.cold_rate = rate
    context.admission.cold_until_ns = context.clock.now_ns() + s * 1000 * NS_PER_MS


@given(
    "admission to a target of {slots:d} slots that a restarted node knows from its"
    " peers"
)
def create_restored(context, slots: int) -> None:
    """Restore a target from the membership record that peers have."""
    create_admission(context, slots, 5)
    settings = create_settings(0, create_address(), create_address())
    context.admission.cold_rate = 28
    target = Target(settings, context.clock, context.admission)
    assert target.restore(create_member("node-0", slots=slots))


@given("admission to a target of {slots:d} slots with a service time of {work_ms:d} ms")
def create_warm(context, slots: int, work_ms: int) -> None:
    """Create admission to a warm target."""
    create_admission(context, slots, work_ms)


@when("{rate:d} requests per second of {work_ms:d} ms are offered for {ms:d} ms")
def offer_uniform(context, rate: int, work_ms: int, ms: int) -> None:
    """Offer requests of one kind."""
    context.work_ms = work_ms
    offer(context, [NORMAL], work_ms, ms, rate)


@when(
    "{urgent:d} urgent and {normal:d} normal requests per second are offered for"
    " {ms:d} ms"
)
def offer_mixed(context, urgent: int, normal: int, ms: int) -> None:
    """Offer requests of two priorities in turn."""
    assert urgent == normal
    offer(context, [URGENT, NORMAL], 50, ms, urgent + normal)


@when("the slots are in use and a normal and then an urgent request wait")
def fill_slots(context) -> None:
    """Fill all slots, then queue requests of two priorities."""
    tasks = [gevent.spawn(request_slot, context, NORMAL, 30) for _ in range(2)]
    gevent.sleep(0)
    tasks.append(gevent.spawn(request_slot, context, NORMAL, 30))
    gevent.sleep(0)
    tasks.append(gevent.spawn(request_slot, context, URGENT, 30))
    gevent.joinall(tasks, timeout=2)


@when("a waiting request is cancelled")
def cancel_waiting(context) -> None:
    """Queue a request behind another one and kill it."""
    gevent.spawn(request_slot, context, NORMAL, 50)
    gevent.sleep(0)
    waiter = gevent.spawn(request_slot, context, NORMAL, 50)
    gevent.sleep(0.01)
    assert context.admission.waiting == 1
    waiter.kill()


@then("at most {limit:d} of them were sent in any second")
def check_rate(context, limit: int) -> None:
    """Check every window of one second."""
    times = [sent_ns for _, sent_ns in context.served]
    for first_ns in times:
        seen = sum(1 for at_ns in times if 0 <= at_ns - first_ns < 1_000_000_000)
        assert seen <= limit, seen


@then("at least {count:d} of them were sent")
def check_sent(context, count: int) -> None:
    """Check that the cold rate was used."""
    assert len(context.served) >= count, len(context.served)


@then("the slots were in use for at least {percent:d} percent of the time")
def check_used(context, percent: int) -> None:
    """Check the total service time of the served requests."""
    elapsed_ms = (context.ended_ns - context.began_ns) / NS_PER_MS
    used = len(context.served) * context.work_ms
    assert used >= elapsed_ms * context.admission.slots * percent / 100, used


@then("every refusal came within {ms:d} ms with a retry time")
def check_refusals(context, ms: int) -> None:
    """Check the retry time of the refused requests, and how long they waited."""
    assert context.refused
    assert all(retry_ms > 0 for _, _, retry_ms in context.refused)
    slowest = max(waited for _, waited, _ in context.refused)
    assert slowest < ms, slowest


@then("every served request waited less than {ms:d} ms")
def check_waits(context, ms: int) -> None:
    """Check the waits of the served requests."""
    assert max(context.waits) < ms, max(context.waits)


@then("at least {percent:d} percent of the urgent requests were served")
def check_urgent(context, percent: int) -> None:
    """Check the share of urgent requests that were served."""
    context.urgent = sum(1 for priority, _ in context.served if priority == URGENT)
    refused = sum(1 for priority, _, _ in context.refused if priority == URGENT)
    assert context.urgent >= (context.urgent + refused) * percent / 100, (
        context.urgent,
        refused,
    )


@then("fewer of the normal requests were served")
def check_others(context) -> None:
    """Check that fewer normal than urgent requests were served."""
    others = sum(1 for priority, _ in context.served if priority == NORMAL)
    assert 0 < others < context.urgent, (others, context.urgent)


@then("three quarters of the refusals came within {ms:d} ms")
def check_refusal_times(context, ms: int) -> None:
    """Check the third quartile of the waits before a refusal."""
    waits = sorted(waited for _, waited, _ in context.refused)
    assert waits
    assert waits[len(waits) * 3 // 4] < ms, waits[len(waits) * 3 // 4]


@then("the urgent request gets the first free slot")
def check_urgent_first(context) -> None:
    """Check the order in which slots were assigned."""
    assert [priority for priority, _ in context.served] == [
        NORMAL,
        NORMAL,
        URGENT,
        NORMAL,
    ]


@then("the queue is empty")
def check_queue_empty(context) -> None:
    """Check the queue."""
    assert context.admission.waiting == 0


@then("the next request gets the slot")
def check_next(context) -> None:
    """Check that the cancelled request holds no slot."""
    request_slot(context, NORMAL, 1)
    assert len(context.served) == 2
    assert context.admission.in_flight == 0


@when(
    "{urgent:d} urgent and {lowest:d} least urgent requests per second are offered for"
    " {ms:d} ms"
)
def offer_unequal(context, urgent: int, lowest: int, ms: int) -> None:
    """Offer many urgent requests and a few of the lowest priority."""
    every = urgent // lowest
    priorities = [URGENT] * every + [LOWEST]
    offer(context, priorities, 50, ms, urgent + lowest)


@then("at least {percent:d} percent of the least urgent requests were served")
def check_least(context, percent: int) -> None:
    """Check that the lowest priority is not starved."""
    served = sum(1 for priority, _ in context.served if priority == LOWEST)
    refused = sum(1 for priority, _, _ in context.refused if priority == LOWEST)
    assert served >= (served + refused) * percent / 100, (served, refused)


@when(
    "requests of {long_ms:d} ms fill it and a short kind of request has an objective"
    " of {ms:d} ms"
)
def request_short(context, long_ms: int, ms: int) -> None:
    """Fill the slots, free them one by one, and acquire a slot for a short request."""
    admission = context.admission
    for number in range(admission.slots):
        admission.acquire(NORMAL, 5000, 5000, "long")
        gevent.spawn_later(0.2 + number * 0.1, admission.release, long_ms, "long")
    context.error = None
    try:
        admission.acquire(NORMAL, ms, ms, "short")
    except RefusalError as error:
        context.error = error


@then("the short request gets a slot")
def check_short(context) -> None:
    """Check that the short request was admitted."""
    assert context.error is None, context.error
