"""Steps about standing orders at one target."""

import contextlib
import random

import cbor2
import gevent
from behave import given, then, when

from features.support.target_bench import (
    SERVICE,
    WHOLE,
    create_order,
    create_orders,
    create_request,
)
from knapweedrock.client.order_ids import create_order_id
from knapweedrock.targets.orders import Orders

FAULTS = ("reset_next", "reset_before_next", "truncate_next", "late_next")


@given("the ownership began now")
def begin_ownership(context):
    """Let the ownership begin now."""
    env = context.bench.env
    env.lease.since_ms = env.clock.wall_ms()


@given("room for {count:d} order records")
def bound_records(context, count):
    """Bound the memory for order records."""
    context.bench.delivery.orders.max_bytes = count * 800


@when("an order is sent")
@when("an order whose id is {age_ms:d} ms old is sent")
def send_order(context, age_ms=0):
    """Send a new order; its id may carry another time."""
    order_id = create_order_id(context.bench.env.clock.wall_ms() - age_ms)
    context.order = create_request("order", order_id=order_id, deadline_ms=800)
    context.delivered = [context.bench.send(context.order)]


@when("the order is sent again")
def resend_order(context):
    """Send the same order again."""
    context.first = getattr(context, "delivered", [None])[-1]
    context.delivered = [context.bench.send(context.order)]


@when("the same order is sent {count:d} times at once")
def send_copies(context, count):
    """Send copies of one order at once."""
    context.delivered = context.bench.send_all([create_order()] * count)


@when("a caller sends an order and goes away while it runs")
def abandon_order(context):
    """Kill the task of an order's caller."""
    context.order = create_order(headers={"Work-Ms": "200"})
    task = gevent.spawn(context.bench.delivery.deliver, context.order)
    gevent.sleep(0.1)
    task.kill()


@when("the order's id is sent with another body")
def reuse_id(context):
    """Send another request under the same id."""
    other = context.order._replace(body=b"another")
    context.delivered = [context.bench.delivery.deliver(other)]


@when("an order without a key is sent")
def send_without_key(context):
    """Send an order without a key."""
    order = create_order(key="")
    context.delivered = [context.bench.send(order)]


@when("its key is handed over to another node")
def hand_over(context):
    """Hand the records to a node that knows nothing, which delivers from now on."""
    delivery = context.bench.delivery
    records = delivery.release(SERVICE, WHOLE, 1000)
    delivery.orders = Orders(context.bench.env)
    delivery.adopt(SERVICE, cbor2.loads(cbor2.dumps(records)))


@when("{count:d} orders are sent and each is sent again afterwards")
def send_twice(context, count):
    """Send many orders, then all of them again."""
    orders = []
    for _ in range(count):
        orders += create_orders(1, f"e{len(orders)}-")
        context.bench.send(orders[-1])
    for order in orders:
        context.bench.send(order)


@when("an order waits while the key's token changes")
def change_token(context):
    """Change the token while an order waits for a slot."""
    task = gevent.spawn(context.bench.send, create_order())
    gevent.sleep(0.01)
    context.bench.env.lease.token += 2
    context.delivered = [task.get()]


@when("{count:d} orders are sent again on every failure under faults by seed {seed:d}")
def send_under_faults(context, count, seed):
    """Send orders while answers break and the target crashes."""
    print(f"seed {seed}")
    chance = random.Random(seed)
    bench = context.bench
    bench.change_target(restart_ms=100, late_ms=50)
    ended = []

    def break_answers() -> None:
        while not ended:
            fault = chance.choice((*FAULTS, "crash"))
            with contextlib.suppress(OSError):
                bench.change_target(**{fault: True if fault == "crash" else 3})
            gevent.sleep(chance.uniform(0.05, 0.3))

    breaker = gevent.spawn(break_answers)
    tasks = []
    for order in create_orders(count, "f"):
        tasks.append(gevent.spawn(bench.send_until_settled, order))
        gevent.sleep(chance.uniform(0, 0.01))
    gevent.joinall(tasks, raise_error=True)
    ended.append(True)
    breaker.join()
    gevent.sleep(0.3)


@then("both answers are the same")
def compare_answers(context):
    """Compare the answer with the first one."""
    assert context.delivered[-1].body == context.first.body


@then("{count:d} answer came from the record")
def check_recorded(context, count):
    """Check how many answers are counted as those of a record."""
    assert context.bench.env.counters.total("orders_answered") == count


@then("the target ran {count:d} {noun}")
def check_runs(context, count, noun):
    """Count what the target ran, requests all of them."""
    assert noun.startswith("request")
    ran = context.bench.fetch_log()["entries"]
    assert len(ran) == count, len(ran)


@then("no order ran")
def check_no_order(context):
    """Check that the target ran no order."""
    ran = [entry for entry in context.bench.fetch_log()["entries"] if entry["order_id"]]
    assert not ran, ran


@then("at least {count:d} orders are done")
def count_done_orders(context, count):
    """Count the orders that are done."""
    done = {call.order_id for call in context.bench.calls if call.outcome == "done"}
    assert len(done) >= count, len(done)
