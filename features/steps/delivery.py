"""Steps about the delivery of requests to one target."""

import hashlib
import json
import random

import gevent
from behave import given, then, when

from features.support.http import call
from features.support.target_bench import create_bench, create_request
from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code
from knapweedrock.history import check_all
from knapweedrock.nodes.view import HASH_SPACE
from knapweedrock.targets.parser import AnswerParser, MalformedAnswerError

BIG_BYTES = 8 << 20


@given("a target")
@given("a target that takes {connections:d} connections")
def start_target(context, connections=130):
    """Start a target without a cold start."""
    create_bench(context, connections=connections)


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


@then("all requests are done")
@then("all innocent requests are done")
def check_done(context):
    """Check that every request is done."""
    check_codes(context, "DONE")


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
    assert context.delivered, "nothing was sent"
    wrong = [d for d in context.delivered if d.code != Code[name]]
    assert not wrong, wrong[:3]


@then('its outcome is "{outcome}"')
def check_outcome(context, outcome):
    """Check the outcome of the last answer."""
    assert context.bench.calls[-1].outcome == outcome, context.bench.calls[-1]


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
