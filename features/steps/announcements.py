"""Steps about the announcements of targets."""

import json
import socket

from behave import given, then, when
from hypothesis import strategies as st

from features.support.choices import register_choices
from features.support.examples import feed_examples
from features.support.http import Reply, call
from features.support.processes import Child, wait_for
from features.support.raw_http import build_request
from features.support.raw_http import read_reply as read_raw_reply
from features.support.target_bench import TargetBench
from knapweedrock.codes import Code

PROCESS_ACTIONS = {
    "is killed": Child.kill,
    "is started again": Child.start,
    "is paused": Child.pause,
    "goes on": Child.resume,
}

BREAKS = {
    "ends before its length": ["Content-Length: 100"],
    "has a broken chunk": ["Transfer-Encoding: chunked"],
    "is cut in a chunk": ["Transfer-Encoding: chunked"],
}

register_choices("ProcessAction", PROCESS_ACTIONS)


def create_announcement(**changes) -> dict:
    """Create a right announcement."""
    value = {
        "service": "depot-orders",
        "address": "127.0.0.1:8",
        "zone": "zone-a",
        "slots": 20,
        "connections": 130,
        "fenced": True,
        "incarnation": "i1",
    }
    return value | changes


def announce(context, value) -> Reply:
    """Announce a target to the node."""
    address = str(context.bench.env.settings.target)
    return call(address, "POST", "/announce", value)


@given("a node without a target")
def start_node(context):
    """Start the node's side alone."""
    context.bench = TargetBench()
    context.add_cleanup(context.bench.close)


@when("a target announces itself")
def announce_right(context):
    """Announce a target."""
    context.reply = announce(context, create_announcement())
    assert context.reply.status == 200, context.reply


@when("a target announces itself with {field} as {value}")
def announce_wrong(context, field, value):
    """Announce a target with another value."""
    changes = {field: json.loads(value)}
    context.reply = announce(context, create_announcement(**changes))


@when("{count:d} random bodies are announced")
def announce_random(context, count):
    """Announce random values in random fields."""
    context.replies = []
    fields = sorted(create_announcement()) + ["cold_s", "other"]
    scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
    values = st.recursive(scalars, st.lists, max_leaves=4)
    bodies = values | st.dictionaries(st.sampled_from(fields), values, max_size=9)

    def send(value):
        context.replies.append(announce(context, value))

    feed_examples(send, bodies, count=count)


@when("a body that {breaks} is announced")
def announce_broken(context, breaks):
    """Send a broken body and close the sending side."""
    raw = build_request("POST /announce", BREAKS[breaks])
    raw += b"zz\r\n" if "broken" in breaks else b"5\r\n{"
    with socket.create_connection(context.bench.env.settings.target, 5) as sock:
        sock.sendall(raw)
        sock.shutdown(socket.SHUT_WR)
        context.reply = Reply(*read_raw_reply(sock))
        assert not sock.recv(1), "what follows a broken body was answered too"


@when("the target {act:ProcessAction}")
def act_on_target(context, act):
    """Kill, start, pause or resume the target's process."""
    act(context.bench.target)


@then("the announcement is refused with {name}")
def check_refused(context, name):
    """Check the number of the refusal."""
    assert context.reply.status == 400, context.reply
    assert context.reply.json()["code"] == Code[name], context.reply


@then("every one was refused by number")
def check_all_refused(context):
    """Check the numbers of all refusals."""
    codes = {reply.json()["code"] for reply in context.replies}
    assert codes == {Code.BAD_ANNOUNCEMENT}, codes


@then('the member\'s state is "{state}"')
def check_state(context, state):
    """Check what the member record says."""
    fields = context.bench.delivery.member_fields()
    assert fields["state"] == state, fields


@then('within {limit:d} ms the member\'s state is "{state}"')
def wait_for_state(context, limit, state):
    """Wait for what the member record says."""
    member_fields = context.bench.delivery.member_fields
    wait_for(lambda: member_fields()["state"] == state, limit / 1000, state)
