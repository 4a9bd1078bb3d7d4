"""Steps about outages, cuts and rates of the platform."""

import json
import time

import gevent
from behave import then, when

from features.support.builders_platform import create_test_client
from features.support.failures import check_fails
from features.support.servers import read_platform_stats, set_platform_faults
from features.support.tasks import finish_all
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import PlatformError
from knapweedrock.faults import Cuts, Faults
from knapweedrock.platform.rates import Limits

DEADLINE_MARGIN_MS = 150


@when("the platform's faults are {faults}")
def change_faults(context, faults):
    """Change the faults, and run a task beside that measures how it is held up."""
    set_platform_faults(context.address, **json.loads(faults))
    context.longest_s = 0.0

    def tick():
        while True:
            started_s = time.monotonic()
            gevent.sleep(0.01)
            context.longest_s = max(context.longest_s, time.monotonic() - started_s)

    context.add_cleanup(gevent.spawn(tick).kill)


@then("each method fails with PLATFORM_UNAVAILABLE within its deadline")
def check_outage(context):
    """Check all methods side by side."""
    client = context.client
    in_time_ms = 500 + DEADLINE_MARGIN_MS
    calls = [
        (lambda: client.get("x", 500), in_time_ms),
        (lambda: client.put("x", 1, 0, 500), in_time_ms),
        (lambda: client.list("x", 500), in_time_ms),
        (lambda: client.watch("x", 0, 5000), 2000),
    ]
    unavailable = Code.PLATFORM_UNAVAILABLE
    finish_all([gevent.spawn(check_fails, unavailable, *call) for call in calls])
    assert not client.dump()["reachable"]


@then("a watch fails with PLATFORM_UNAVAILABLE within {longest_ms:d} ms")
def check_watch_fails(context, longest_ms):
    """Watch while no call is answered."""
    watch = context.client.watch
    check_fails(Code.PLATFORM_UNAVAILABLE, lambda: watch("x", 0, 20_000), longest_ms)


@then("another task was never held up for more than {longest_ms:d} ms")
def check_not_held_up(context, longest_ms):
    """Check the task that ran beside."""
    assert 0 < context.longest_s * 1000 < longest_ms, context.longest_s


@then("an object can be written again")
def check_back(context):
    """Write after an outage."""
    assert context.client.put("after", 1, 0).version == 1
    assert context.client.dump()["reachable"]


@then("{least:d} of {count:d} writes with a deadline of {ms:d} ms succeed at the least")
def check_slow_writes(context, least, count, ms):
    """Write to a slow platform."""
    codes = []
    for index in range(count):
        try:
            context.client.put(f"slow/{index}", 1, 0, ms)
            codes.append(Code.DONE)
        except PlatformError as error:
            codes.append(error.code)
    assert codes.count(Code.DONE) >= least, codes


@then('"{cut}" fails with PLATFORM_UNAVAILABLE and "{other}" writes')
def check_cut_client(context, cut, other):
    """Check both clients."""
    client = create_test_client(context.address, cut)
    check_fails(Code.PLATFORM_UNAVAILABLE, lambda: client.get("x", 300))
    assert create_test_client(context.address, other).put("x", 1, 0).version == 1


@then("with calls cut before the platform nothing reaches it")
def check_send_cut(context):
    """Check the cut on the way to the platform."""
    context.faults = Faults()
    context.cut = create_test_client(context.address, "cut", context.faults)
    context.faults.cuts = Cuts(platform_send=True)
    check_fails(
        Code.PLATFORM_UNAVAILABLE,
        lambda: context.cut.put("x", 1, 0, 300),
        300 + DEADLINE_MARGIN_MS,
    )
    assert "cut" not in read_platform_stats(context.address)["calls"]


@then("with answers cut after the platform a write takes effect and is left open")
def check_receive_cut(context):
    """Check the cut on the way back."""
    context.faults.cuts = Cuts(platform_receive=True)
    put = context.cut.put
    check_fails(Code.PLATFORM_UNAVAILABLE, lambda: put("x", "effect", 0, 300))
    context.faults.cuts = Cuts()
    assert context.client.get("x") == (1, "effect")


@then("calls above the platform's rate get 429 and succeed later")
def check_platform_rate(context):
    """Write faster than the platform admits, with answers lost on top."""
    set_platform_faults(context.address, writes_per_s=20, lose_answers=3)
    context.counters = Counters()
    client = create_test_client(context.address, "fast", counters=context.counters)
    tasks = [gevent.spawn(client.put, f"r/{i}", 1, 0, 5000) for i in range(40)]
    gevent.joinall(tasks, raise_error=True)
    assert read_platform_stats(context.address)["endings"]["rate_limited"] > 0


@then("calls above the client's own rate fail with PLATFORM_RATE_LIMITED unsent")
def check_client_rate(context):
    """Read faster than the client's own rate."""
    limits = Limits(10, 5, 10, 5)
    client = create_test_client(context.address, "small", limits=limits)
    started_s = time.monotonic()
    for _ in range(8):
        client.get("x")
    assert 0.25 < time.monotonic() - started_s < 1.5
    check_fails(Code.PLATFORM_RATE_LIMITED, lambda: client.get("x", 50))
    assert read_platform_stats(context.address)["calls"]["small"] == {"get": 8}


@then("the stand-in and the client counted the same calls")
def check_counts(context):
    """Compare the counts of both ends."""
    counted = {
        dict(labels)["method"]: count
        for (name, labels), count in context.counters.counts.items()
        if name == "platform_calls"
    }
    assert counted["get"] == 3, counted
    assert read_platform_stats(context.address)["calls"]["fast"] == counted
