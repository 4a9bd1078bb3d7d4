"""Steps about the load program."""

import json
import re
import time
from collections import Counter

from behave import given, then, when

from features.support.processes import start_child
from features.support.servers import create_http_server, start_socket_server
from knapweedrock.checker import parse_address
from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import CODE_HEADER
from knapweedrock.emulator.addresses import create_address
from knapweedrock.load.arrivals import create_arrivals
from knapweedrock.load.keys import create_keys
from knapweedrock.load.program import LoadOptions, offer_load
from knapweedrock.load.report import FORMATTERS
from knapweedrock.platform.headers import SHARD_KEY

DRAWS = 2000
COMMAND_TIMEOUT_S = 30


def serve(context, application):
    """Serve a WSGI application until the scenario ends."""
    context.address = str(create_address())
    server = create_http_server(parse_address(context.address), application)
    server.start()
    context.add_cleanup(server.stop, 0)


@given("a plain server that stalls once for {stall_ms:d} ms")
def start_server(context, stall_ms):
    """Start a server in this process whose requests all wait for its stall to end."""
    stall_end_s = 0.0

    def application(environ, start_response):
        nonlocal stall_end_s
        stall_end_s = stall_end_s or time.monotonic() + stall_ms / 1000
        time.sleep(max(0.0, stall_end_s - time.monotonic()))
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    serve(context, application)


@given("a server that answers with status {status:d} and code {code}")
def start_status_server(context, status, code):
    """Start a server in this process that always responds with one status."""
    headers = [("Content-Length", "0")]
    if code != "none":
        headers.append((CODE_HEADER, code))

    def application(_environ, start_response):
        start_response(f"{status} Status", headers)
        return [b""]

    serve(context, application)


@given("an address where nobody listens")
def take_address(context):
    """Reserve an address without a listener."""
    context.address = str(create_address())


@given("a server that reads a request and closes the connection")
def start_closing_server(context):
    """Start a server that records requests and never responds."""
    context.requests = []

    def close(connection, _address):
        context.requests.append(connection.recv(4096))
        connection.close()

    context.address = start_socket_server(context, close)


@when("load is offered at {rate:d} a second for {duration_s:d} s")
@when(
    "load is offered at {rate:d} a second for {duration_s:d} s "
    "with at most {in_flight:d} in flight"
)
def offer_counted_load(context, rate, duration_s, in_flight=1000):
    """Offer load and record all samples."""
    context.samples = []
    options = LoadOptions(
        (context.address,), rate, duration_s, max_in_flight=in_flight, seed=7
    )
    context.report = offer_load(options, context.samples.append)


@when("the load command offers {rate:d} a second for {duration_s:d} s")
@when("the load command offers {rate:d} a second for {duration_s:d} s with")
def run_load_command(context, rate, duration_s):
    """Run the load command as a process."""
    options = ["load", "--node", context.address, "--rate", str(rate)]
    options += ["--seconds", str(duration_s), "--json"]
    options += [part for row in context.table or () for part in row]
    child = start_child(context, "load", options)
    context.status = child.process.wait(COMMAND_TIMEOUT_S)
    context.output = child.log.read_text()


@then("each request carries its key in its header, path and query")
def expect_key(context):
    """Expect the same key in all three places."""
    for request in context.requests:
        line, _, rest = request.decode().partition("\r\n")
        key = re.search(rf"^{SHARD_KEY}: (\d+)\r$", rest, re.M | re.I)[1]
        assert line == f"GET /x/{key}?k={key} HTTP/1.1", request
    assert context.requests, context.output


@then("it exits with status {status:d} and its report counts all requests as not run")
def expect_command_report(context, status):
    """Expect the exit status and the counts of the report."""
    assert context.status == status, context.output
    value = json.loads(context.output)
    assert value["not_run"] == value["offered"] > 0, value


@then(
    "arrivals at {rate:d} a second for {duration_s:d} s are the same for seed "
    "{seed:d} and differ for seed {other:d}"
)
def compare_arrivals(context, rate, duration_s, seed, other):
    """Compare arrivals of the same seed and of another seed."""
    first = list(create_arrivals(rate, duration_s, seed))
    assert first == list(create_arrivals(rate, duration_s, seed))
    assert first != list(create_arrivals(rate, duration_s, other))
    assert abs(len(first) - rate * duration_s) < rate * duration_s / 5


@then('keys drawn twice with seed {seed:d} are equal and "{key}" is the most frequent')
def compare_keys(context, seed, key):
    """Compare the keys of two sources with the same seed."""
    first, second = create_keys(100, 1.0, seed), create_keys(100, 1.0, seed)
    keys = [first.draw() for _ in range(DRAWS)]
    assert keys == [second.draw() for _ in range(DRAWS)]
    assert Counter(keys).most_common(1)[0][0] == key


@then(
    "{draws:d} draws from {count:d} keys with exponent {exponent:f} match the "
    "distribution"
)
def compare_frequencies(context, draws, count, exponent):
    """Compare frequencies with the Zipf distribution, within 5 standard deviations."""
    source = create_keys(count, exponent, seed=5)
    counts = Counter(source.draw() for _ in range(draws))
    total_weight = sum(rank**-exponent for rank in range(1, count + 1))
    for rank in range(1, count + 1):
        share = rank**-exponent / total_weight
        deviation = (draws * share * (1 - share)) ** 0.5
        assert abs(counts[str(rank)] - draws * share) < 5 * deviation, rank


@then("one of {count:d} keys with exponent {exponent:f} is drawn")
def draw_of_many(context, count, exponent):
    """Draw one of billions of keys."""
    rank = int(create_keys(count, exponent, seed=5).draw())
    assert 1 <= rank <= count


@then("all requests are done and at least {count:d} took over {limit_ms:d} ms")
def expect_stall(context, count, limit_ms):
    """Expect that the latency of requests due during the stall includes it."""
    report = context.report
    assert report.done == report.offered, report
    slow = [
        sample
        for sample in context.samples
        if sample.end_ns - sample.intended_ns > limit_ms * NS_PER_MS
    ]
    assert len(slow) >= count, report


@then("the text and the JSON of the report give the same count of requests done")
def compare_formats(context):
    """Compare the text and the JSON of the report."""
    value = json.loads(FORMATTERS["json"](context.report))
    assert value["done"] == context.report.done > 0
    assert value["latency"]["all"]["count"] == value["done"]
    assert f"done          {value['done']}" in FORMATTERS["text"](context.report)


@then("every request counts as {outcome}")
def expect_outcome(context, outcome):
    """Expect all requests offered to have the same outcome."""
    report = context.report
    counted = getattr(report, outcome.replace(" ", "_"))
    assert counted == report.offered > 0, report


@then("requests are unsent and every request is accounted for")
def expect_unsent(context):
    """Expect every request offered to be done or unsent."""
    report = context.report
    assert report.unsent > 0, report
    assert report.done + report.unsent == report.offered, report
    assert report.unanswered == 0, report
