"""Steps about zones that are out, targets that leave, drains and releases."""

import gevent
from behave import then, when

from features.support.builders import create_zone
from features.support.choices import register_choices
from features.support.target_bench import SERVICE, WHOLE, create_order, create_request
from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.configuration import create_configuration
from knapweedrock.errors import KnapweedrockError

ZONE_CHANGES = {"takes its zone out": "out", "brings its zone back in": "in"}

register_choices("ZoneChange", ZONE_CHANGES)


@when("the configuration {state:ZoneChange}")
def set_zone(context, state):
    """Put a configuration in force with the zone out or in."""
    holder = context.bench.env.configuration
    value = create_configuration()
    value["zones"]["zone-a"] = create_zone("zone-a", state=state)
    holder.replace(holder.version + 1, value)
    context.changed_ns = context.bench.env.clock.now_ns()


@when("the target leaves")
def leave(context):
    """Let the target announce that it leaves."""
    context.bench.change_target(leave=True)
    context.changed_ns = context.bench.env.clock.now_ns()


@when("the node drains while {count:d} requests run")
def drain(context, count):
    """Drain while requests are in flight."""
    bench = context.bench
    headers = {"Work-Ms": "300"}
    tasks = bench.start_all(
        [create_request(f"d{n}", headers=headers) for n in range(count)]
    )
    gevent.sleep(0.1)
    assert bench.delivery.drain(3000)
    assert all(task.ready() for task in tasks)
    context.delivered = [task.value for task in tasks]


@when("ranges are released while an order runs on them")
def release(context):
    """Release all ranges while an order runs."""
    bench = context.bench
    order = create_order(headers={"Work-Ms": "300"})
    gevent.spawn(bench.delivery.deliver, order)
    gevent.sleep(0.1)
    bench.env.lease.refusal = Code.MOVING
    context.records = bench.delivery.release(SERVICE, WHOLE, 1000)
    bench.env.lease.refusal = None


@then("nothing started later than {limit:d} ms after the change")
def check_no_new_work(context, limit):
    """Check that the target got no new work any more."""
    runs = context.bench.fetch_executions()
    last_ns = max(run.start_ns for run in runs)
    assert last_ns <= context.changed_ns + limit * NS_PER_MS


@then("the last requests were refused with {name}")
def check_last_refused(context, name):
    """Check the code of the last requests."""
    last = {Code(call.code).name for call in context.bench.calls[-50:]}
    assert last == {name}, last


@then("an order is refused with {name}")
def check_order_refused(context, name):
    """Send an order and check its code."""
    delivered = context.bench.send(create_order(deadline_ms=800))
    assert delivered.code == Code[name], delivered


@then("the records handed over hold the order's answer")
def check_records(context):
    """Check the records of a release."""
    orders = [r for r in context.records if r["kind"] == "order"]
    assert [r["state"] for r in orders] == ["done"], orders
    assert orders[0]["delivered"]


@then("a release that can't wait fails with MOVING")
def check_release_timeout(context):
    """Release while a request runs for longer."""
    bench = context.bench
    request = create_request("long", headers={"Work-Ms": "500"})
    gevent.spawn(bench.delivery.deliver, request)
    gevent.sleep(0.1)
    try:
        bench.delivery.release(SERVICE, WHOLE, 50)
    except KnapweedrockError as error:
        assert error.code == Code.MOVING
        return
    raise AssertionError("released with work in flight")
