"""Steps about what one target is given: cold starts, overload, connections."""

import gevent
from behave import given, then, when

from features.support.choices import register_choices
from features.support.target_bench import create_bench, create_request
from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code

TURNS = {
    "crashes and is cold again": ("crash", 3.5),
    "turns cold without warning": ("cold", 4),
}

register_choices("Turn", TURNS)


@given("a cold target that {says} how it warms")
def start_cold_target(context, says):
    """Start a target with a cold start, which it may keep to itself."""
    bench = create_bench(context, cold_s=3, cold_slots=4)
    if says == "hides":
        bench.change_target(announces_cold=False, crash=True)
        old = bench.delivery.crashes.incarnation
        while bench.delivery.crashes.incarnation == old:
            gevent.sleep(0.02)


@given("a warm target of {work_ms:d} ms work under {rate:d} requests a second")
def start_loaded_target(context, work_ms, rate):
    """Start a target, wait until it is warm, and offer requests."""
    bench = create_bench(context, cold_s=1, cold_slots=4, work_ms=work_ms)
    bench.offer(60, 1.6, "warm").join()
    bench.offer(250, 0.6, "fill").join()
    assert bench.delivery.ramp.get_limit() == 20, bench.delivery.dump()
    bench.calls.clear()
    context.work_ms = work_ms
    context.began_ns = bench.env.clock.now_ns()
    load = bench.offer(rate, 60, "load")
    context.add_cleanup(load.kill)
    gevent.sleep(0.5)


@given("a target whose slots are taken")
def fill_target(context):
    """Start a target and let long requests take all its slots."""
    bench = create_bench(context)
    for index in range(20):
        request = create_request(f"long{index}", headers={"Work-Ms": "150"})
        gevent.spawn(bench.delivery.deliver, request)
    gevent.sleep(0.1)


@when("{rate:d} requests a second are offered for {seconds:d} seconds")
def offer(context, rate, seconds):
    """Offer requests, open-loop, and wait for the end."""
    context.bench.offer(rate, seconds, "o").get()


@when("{seconds:d} seconds pass")
def wait(context, seconds):
    """Let the load go on."""
    context.bench.calls.clear()
    context.since_ns = context.bench.env.clock.now_ns()
    gevent.sleep(seconds)
    context.elapsed_s = seconds


@when("the target {turn:Turn}")
def turn_cold(context, turn):
    """Turn the target cold and let the load go on until it is warm."""
    behaviour, warm_s = turn
    context.bench.change_target(**{behaviour: True})
    gevent.sleep(warm_s)


@when("another caller sends {rate:d} requests a second for {seconds:d} seconds")
def send_modestly(context, rate, seconds):
    """Send the modest requests of another caller."""
    offered = context.bench.offer(rate, seconds, "m", caller="modest")
    context.modest = offered.get()


@when("{count:d} callers go away while their requests run")
def go_away(context, count):
    """Kill the tasks of running requests."""
    deliver = context.bench.delivery.deliver
    headers = {"Work-Ms": "1000"}
    tasks = [
        gevent.spawn(deliver, create_request(f"gone{n}", headers=headers))
        for n in range(count)
    ]
    gevent.sleep(0.3)
    gevent.killall(tasks)


@then("the target was never given more than it bears")
def check_excess(context, since_ns=0):
    """Check the target's own record of excess."""
    excess = context.bench.fetch_log()["excess"]
    excess = [item for item in excess if item["at_ns"] >= since_ns]
    assert not excess, (len(excess), excess[:3])


@then("the target was never given more than it bears since its start")
def check_excess_since_start(context):
    """Check the excess of the last incarnation."""
    check_excess(context, context.bench.fetch_events("start")[-1]["at_ns"])


@then("the target was given too much for at most {limit:d} ms")
def check_excess_time(context, limit):
    """Check how long after its turn the target was given too much."""
    turned_ns = context.bench.fetch_events("cold")[-1]["at_ns"]
    excess = context.bench.fetch_log()["excess"]
    last_ns = max([e["at_ns"] for e in excess], default=turned_ns)
    assert last_ns - turned_ns <= limit * NS_PER_MS, (last_ns - turned_ns) / NS_PER_MS


@then("the limit has grown to at least {limit:d}")
def check_limit(context, limit):
    """Check the limit."""
    dump = context.bench.delivery.ramp.dump()
    assert dump["limit"] >= limit, dump


@then("at least {share:d} percent of its capacity was served")
def check_goodput(context, share):
    """Compare what was served with slots over the mean time of work."""
    done = [c for c in context.bench.calls if c.outcome == "done"]
    capacity = 20 * 1000 / context.work_ms * context.elapsed_s
    served = 100 * len(done) / capacity
    assert served >= share, served


@then("refusals came within {limit:d} ms and say when to come back")
def check_refusals(context, limit):
    """Check that refusals are quick and bear a time."""
    refused = [c for c in context.bench.calls if c.outcome == "not-run"]
    assert refused
    took = max((c.end_ns - c.sent_ns) / NS_PER_MS for c in refused)
    assert took <= limit, took
    assert all(d.retry_after_ms > 0 for d in context.bench.answers if d.code)


@then("at least {share:d} percent of its requests are done")
def check_modest(context, share):
    """Check what the modest caller got."""
    assert context.modest, "the modest caller sent nothing"
    done = [d for d in context.modest if d.code == Code.DONE]
    assert 100 * len(done) >= share * len(context.modest), len(done)


@then("the target refused no connection")
def check_connections(context):
    """Check that the target never had too many connections."""
    log = context.bench.fetch_log()
    assert log["refused_connections"] == 0, log["refused_connections"]


@then("the target was told of {count:d} cancelled requests")
def check_cancelled(context, count):
    """Count the requests that were cancelled at the target."""
    assert context.bench.fetch_log()["cancelled"] == count
