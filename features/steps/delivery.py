"""Steps about the delivery of requests to one target."""

import contextlib
import hashlib
import json
import random

import cbor2
import gevent
from behave import given, then, when

from features.support.history import check_all
from features.support.http import call
from features.support.target_bench import (
    SERVICE,
    create_bench,
    create_orders,
    create_request,
)
from knapweedrock.client.order_ids import create_order_id
from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.configuration import create_configuration
from knapweedrock.nodes.messages import Quarantine
from knapweedrock.nodes.view import HASH_SPACE
from knapweedrock.targets.messages import Suspect
from knapweedrock.targets.orders import Orders
from knapweedrock.targets.parser import AnswerParser, MalformedAnswerError

WHOLE = [(0, HASH_SPACE)]
BIG_BYTES = 8 << 20
FAULTS = ("reset_next", "reset_before_next", "truncate_next", "late_next")


@given("a target")
def start_target(context):
    """Start a target without a cold start."""
    create_bench(context)


@given("a target that takes {count:d} connections")
def start_small_target(context, count):
    """Start a target that takes few connections."""
    create_bench(context, connections=count)


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


@given("the ownership began now")
def begin_ownership(context):
    """Let the ownership begin now."""
    env = context.bench.env
    env.lease.since_ms = env.clock.wall_ms()


@given("room for {count:d} order records")
def bound_records(context, count):
    """Bound the memory for order records."""
    context.bench.delivery.orders.max_bytes = count * 800


@given("{count:d} peers")
def add_peers(context, count):
    """Add peers to the view."""
    members = context.bench.env.views.view["members"]
    context.peers = [f"p{index}" for index in range(count)]
    for name in context.peers:
        members[name] = {"node_id": name, "peer": "127.0.0.1:1"}


@given("an encoded answer")
def encode_answer(context):
    """Encode an answer with a length and one in chunks."""
    head = b"HTTP/1.1 200 OK\r\n"
    context.encoded = [
        head + b"Content-Length: 12\r\nA: b\r\n\r\nhello hello\n",
        head + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n3\r\nabc\r\n0\r\n\r\n",
    ]


@when('the target\'s next {count:d} answers are "{fault}"')
def set_fault(context, count, fault):
    """Let the next answers go wrong."""
    context.bench.change_target(**{fault: count})


@when("another node's grant has a higher token")
def grant_elsewhere(context):
    """Grant the target's keys to another node, which this one has not heard of."""
    bench = context.bench
    value = {"ranges": [(0, HASH_SPACE, bench.env.lease.token + 1)]}
    assert call(bench.address, "PUT", "/grants", value).status == 200


@when("the target sheds its load")
def shed(context):
    """Let the target refuse all work."""
    context.bench.change_target(shedding=True)


@when("{count:d} idempotent requests of {callers:d} callers are sent at once")
def send_at_once(context, count, callers):
    """Send requests at once."""
    bench = context.bench
    bench.calls.clear()
    context.delivered = bench.send_all(
        [
            create_request(f"r{n}", f"k{n % 9}", caller=f"caller-{n % callers}")
            for n in range(count)
        ]
    )


@when("{count:d} idempotent requests are sent one after the other")
def send_in_turn(context, count):
    """Send requests one after the other."""
    bench = context.bench
    context.delivered = [bench.send(create_request(f"s{n}")) for n in range(count)]


@when("{count:d} requests give up before their late answers come")
def send_late(context, count):
    """Send requests whose deadline passes while the target holds their answers."""
    bench = context.bench
    bench.change_target(late_next=count, late_ms=250)
    requests = [create_request(f"late{n}", deadline_ms=120) for n in range(count)]
    assert all(d.code == Code.ANSWER_LOST for d in bench.send_all(requests))


@when("a request runs while the node loses its key")
def lose_key(context):
    """Take the key away before the request can be sent again."""
    bench = context.bench
    request = create_request("lost", headers={"Work-Ms": "200"})
    task = gevent.spawn(bench.send, request)
    gevent.sleep(0.1)
    bench.env.lease.refusal = Code.NOT_OWNER
    context.delivered = [task.get()]


@when("a request with a body of 8 MB asks for an answer of 8 MB")
def send_big(context):
    """Send and receive big bodies."""
    context.body = random.Random(3).randbytes(BIG_BYTES)
    headers = {"Answer-Bytes": str(BIG_BYTES)}
    request = create_request("big", body=context.body, headers=headers)
    context.delivered = [context.bench.send(request)]


@when("an order is sent")
def send_order(context):
    """Send a new order."""
    context.order = create_request("order", order_id=create_order_id(), deadline_ms=800)
    context.delivered = [context.bench.send(context.order)]


@when("the order is sent again")
def resend_order(context):
    """Send the same order again."""
    context.first = getattr(context, "delivered", [None])[-1]
    context.delivered = [context.bench.send(context.order)]


@when("the same order is sent {count:d} times at once")
def send_copies(context, count):
    """Send copies of one order at once."""
    order = create_request("order", order_id=create_order_id())
    context.delivered = context.bench.send_all([order] * count)


@when("a caller sends an order and goes away while it runs")
def abandon_order(context):
    """Kill the task of an order's caller."""
    context.order = create_request(
        "order", order_id=create_order_id(), headers={"Work-Ms": "200"}
    )
    task = gevent.spawn(context.bench.delivery.deliver, context.order)
    gevent.sleep(0.1)
    task.kill()


@when("the order's id is sent with another body")
def reuse_id(context):
    """Send another request under the same id."""
    other = context.order._replace(body=b"another")
    context.delivered = [context.bench.delivery.deliver(other)]


@when("an order whose id is {age_ms:d} ms old is sent")
def send_aged(context, age_ms):
    """Send an order whose id carries another time."""
    wall_ms = context.bench.env.clock.wall_ms() - age_ms
    order = create_request("aged", order_id=create_order_id(wall_ms))
    context.delivered = [context.bench.send(order)]


@when("an order without a key is sent")
def send_without_key(context):
    """Send an order without a key."""
    order = create_request("order", key="", order_id=create_order_id())
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
    order = create_request("order", order_id=create_order_id())
    task = gevent.spawn(context.bench.send, order)
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


@when("the target crashes and is cold again")
def crash(context):
    """Crash the target and let the load go on until it is warm."""
    context.bench.change_target(crash=True)
    gevent.sleep(3.5)


@when("the target turns cold without warning")
def turn_cold(context):
    """Turn the target cold and let the load go on until it is warm."""
    context.bench.change_target(cold=True)
    gevent.sleep(4)


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


@when("a crashing request is sent until it is settled beside {count:d} innocent ones")
def send_crashing(context, count):
    """Send a request that crashes the target among others."""
    bench = context.bench
    innocent = [
        create_request(f"in{n}", f"k{n}", headers={"Work-Ms": "100"}, deadline_ms=8000)
        for n in range(count)
    ]
    tasks = [gevent.spawn(bench.send, request) for request in innocent]
    gevent.sleep(0.05)
    crashing = create_request("crash", headers={"Crash-Target": "yes"})
    context.crashing = bench.send_until_settled(crashing)
    gevent.joinall(tasks, raise_error=True)
    context.delivered = [task.value for task in tasks]
    bench.calls = [call for call in bench.calls if call.tag != "crash"]


@when("the target is silent about itself")
def silence_announcements(context):
    """Let the target come back from a crash without a word."""
    context.bench.change_target(
        announcing=False, announces_restart=False, restart_ms=100
    )
    context.resend_s = 0.2


@when("a crashing order is sent {count:d} times under new ids")
def send_crashing_orders(context, count):
    """Send a crashing order whose caller makes a new id each time."""
    for _ in range(count):
        order = create_request(
            "crash", order_id=create_order_id(), headers={"Crash-Target": "yes"}
        )
        context.bench.send(order)
        gevent.sleep(getattr(context, "resend_s", 0.6))


@when("the configuration takes its zone out")
def take_zone_out(context):
    """Put a configuration in force with the zone out."""
    set_zone(context, "out")


@when("the configuration brings its zone back in")
def bring_zone_in(context):
    """Put a configuration in force with the zone in."""
    set_zone(context, "in")


def set_zone(context, state: str) -> None:
    """Put a configuration in force."""
    holder = context.bench.env.configuration
    value = create_configuration()
    value["zones"]["zone-a"] = {"name": "zone-a", "region": "r", "state": state}
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
    tasks = [
        gevent.spawn(bench.send, create_request(f"d{n}", headers=headers))
        for n in range(count)
    ]
    gevent.sleep(0.1)
    assert bench.delivery.drain(3000)
    assert all(task.ready() for task in tasks)
    context.delivered = [task.value for task in tasks]


@when("ranges are released while an order runs on them")
def release(context):
    """Release all ranges while an order runs."""
    bench = context.bench
    order = create_request(
        "order", order_id=create_order_id(), headers={"Work-Ms": "300"}
    )
    gevent.spawn(bench.delivery.deliver, order)
    gevent.sleep(0.1)
    bench.env.lease.refusal = Code.MOVING
    context.records = bench.delivery.release(SERVICE, WHOLE, 1000)
    bench.env.lease.refusal = None


@then("all requests are done")
def check_done(context):
    """Check that every request is done."""
    wrong = [d for d in context.delivered if d.code != Code.DONE]
    assert not wrong, wrong[:3]


@then("the history keeps every promise")
def check_history(context):
    """Compare the callers' history with the target's log."""
    bench = context.bench
    found = check_all(bench.calls, bench.fetch_executions())
    assert not found, found[:3]


@then("its code is {name}")
def check_code(context, name):
    """Check the code of the last answer."""
    assert context.delivered[-1].code == Code[name], context.delivered[-1]


@then("every code is {name}")
def check_codes(context, name):
    """Check the codes of all answers."""
    wrong = [d for d in context.delivered if d.code != Code[name]]
    assert not wrong, wrong[:3]


@then('its outcome is "{outcome}"')
def check_outcome(context, outcome):
    """Check the outcome of the last answer."""
    assert context.bench.calls[-1].outcome == outcome, context.bench.calls[-1]


@then("both answers are the same")
def compare_answers(context):
    """Compare the answer with the first one."""
    assert context.delivered[-1].body == context.first.body


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


@then("every request took at most {limit:d} ms")
def check_longest(context, limit):
    """Check the longest request."""
    took = [(c.end_ns - c.sent_ns) / NS_PER_MS for c in context.bench.calls]
    assert max(took) < limit, max(took)


@then("the answer is whole and repeats the digest of the body")
def check_big(context):
    """Check a big answer."""
    value = json.loads(context.delivered[0].body)
    assert value["digest"] == hashlib.sha256(context.body).hexdigest()
    assert len(value["padding"]) == BIG_BYTES


@then("no part of it parses as a whole answer")
def check_parts(context):
    """Cut the answer at every place."""
    for encoded in context.encoded:
        for cut in range(len(encoded)):
            parser = AnswerParser(is_head=False)
            assert parser.feed_data(encoded[:cut]) is None, cut
            answer = parser.feed_data(encoded[cut:])
            assert answer is not None, cut
            assert answer.reusable, cut


@then("bytes after it make its connection unusable")
def check_trailing(context):
    """Add bytes after the answer, at once and later."""
    for encoded in context.encoded:
        for extra in (b"HTTP/1.1 200 OK\r\n", b"x", encoded):
            parser = AnswerParser(is_head=False)
            answer = parser.feed_data(encoded + extra)
            assert not answer.reusable, extra
            assert not answer.body.endswith(extra), extra
    try:
        AnswerParser(is_head=False).feed_data(b"SMTP ready\r\n\r\n")
    except MalformedAnswerError:
        return
    raise AssertionError("took something else for HTTP")


@then("the target was never given more than it bears")
def check_excess(context):
    """Check the target's own record of excess."""
    excess = context.bench.fetch_log()["excess"]
    assert not excess, (len(excess), excess[:3])


@then("the target was never given more than it bears since its start")
def check_excess_since_start(context):
    """Check the excess of the last incarnation."""
    log = context.bench.fetch_log()
    start_ns = [e["at_ns"] for e in log["events"] if e["kind"] == "start"][-1]
    excess = [item for item in log["excess"] if item["at_ns"] >= start_ns]
    assert not excess, (len(excess), excess[:3])


@then("the target was given too much for at most {limit:d} ms")
def check_excess_time(context, limit):
    """Check how long after its turn the target was given too much."""
    log = context.bench.fetch_log()
    turned_ns = [e["at_ns"] for e in log["events"] if e["kind"] == "cold"][-1]
    last_ns = max([e["at_ns"] for e in log["excess"]], default=turned_ns)
    assert last_ns - turned_ns <= limit * NS_PER_MS, (last_ns - turned_ns) / NS_PER_MS


@then("the target did not crash")
def check_no_crash(context):
    """Check that the target did not crash."""
    events = context.bench.fetch_log()["events"]
    assert not [e for e in events if e["kind"] == "crash"], events


@then("the target crashed {count:d} times")
def check_crashes(context, count):
    """Count the target's crashes."""
    events = context.bench.fetch_log()["events"]
    assert len([e for e in events if e["kind"] == "crash"]) == count, events


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


@then("the crashing request is quarantined")
def check_quarantined(context):
    """Check the last answer to the crashing request."""
    assert context.crashing.code == Code.QUARANTINED, context.crashing


@then("all innocent requests are done")
def check_innocent(context):
    """Check the requests that were in flight at a crash."""
    check_done(context)


@then("each peer was told of the suspect and of the quarantine")
def check_spread(context):
    """Check what went to the peers."""
    gevent.sleep(0.05)
    sent = context.bench.env.links.sent
    for name in context.peers:
        kinds = [type(message) for peer, message in sent if peer == name]
        assert Suspect in kinds, kinds
        assert Quarantine in kinds, kinds


@then("nobody is suspected")
def check_no_suspects(context):
    """Check that no fingerprint has to run alone."""
    suspects = context.bench.delivery.suspects.dump()
    assert not suspects["suspected"], suspects


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
    send_order(context)
    check_code(context, name)


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
    except Exception as error:
        assert error.code == Code.MOVING
        return
    raise AssertionError("released with work in flight")
