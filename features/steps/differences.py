"""Steps about views and configurations that travel as differences."""

import cbor2
from behave import given, then, when
from hypothesis import strategies as st

from features.support.builders_nodes import create_node_settings
from features.support.examples import feed_examples
from knapweedrock.clock import create_clock
from knapweedrock.differences import apply_difference, compare_maps
from knapweedrock.environment import Environment
from knapweedrock.nodes.assignment import Move, apply_moves, create_table
from knapweedrock.nodes.messages import ViewAnswer
from knapweedrock.nodes.updates import NO_VIEW, take_view
from knapweedrock.nodes.view import ViewHolder, ViewVersion, create_view

SERVICE = "depot-orders"
NAMES = st.text("abc", min_size=1, max_size=2)
PLAIN = st.integers(0, 3) | st.text("ab", max_size=2)
VALUES = st.recursive(
    PLAIN,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(NAMES, inner),
    max_leaves=8,
)
MAPS = st.dictionaries(NAMES, VALUES)
USELESS = {
    "from an unknown version": ((7, 7), {"put": {}, "removed": [], "inner": {}}),
    "that removes an unknown": ((1, 1), {"put": {}, "removed": ["x"], "inner": {}}),
    "of another shape": ((1, 1), {"put": 5}),
}


def publish(context, **fields) -> None:
    """Publish the coordinator's next view."""
    view = context.sender.view
    context.sender.replace({**view, **fields, "count": view["count"] + 1})


def send(context) -> ViewAnswer:
    """Send the member what brings it up to date, through the codec."""
    change = context.sender.find_change(context.member.views.version)
    context.sent = cbor2.dumps(list(change))
    answer = ViewAnswer(*cbor2.loads(context.sent))
    context.fitted = take_view(context.member, answer)
    return answer


@then("{count:d} pairs of values come out of their differences as they were")
def check_pairs(_context, count):
    """Compare and apply differences of arbitrary values, through the codec."""

    def check(old, new):
        difference = cbor2.loads(cbor2.dumps(compare_maps(old, new)))
        made = apply_difference(old, difference)
        assert made == new

    feed_examples(check, MAPS, MAPS, count=count)


@given("a coordinator and a member with the same view")
def create_holders(context):
    """Create a view with one table of 256 ranges at both."""
    context.sender = ViewHolder("cell-1")
    table = create_table(SERVICE, "cell-1", 1)
    view = {**create_view("cell-1"), "epoch": 1, "tables": {SERVICE: table}}
    context.sender.replace({**view, "count": 1})
    own = create_node_settings(node_id="node-1")
    context.member = Environment(own, "incarnation", create_clock())
    assert send(context).view is not None


@when("{count:d} ranges get another owner and a member joins")
def change_owners(context, count):
    """Publish one view with moves and one with a member."""
    table = context.sender.view["tables"][SERVICE]
    starts = [entry["start"] for entry in table["ranges"][:count]]
    moves = [Move(start, "", "node-2") for start in starts]
    moved = apply_moves(table, moves, {"node-2": "i2"}, 1)
    publish(context, tables={SERVICE: moved})
    publish(context, members={"node-2": {"node_id": "node-2", "state": "joining"}})
    context.answer = send(context)


@when("the coordinator publishes {count:d} more views")
def publish_many(context, count):
    """Publish views until those that the member held are kept no more."""
    for number in range(count):
        publish(context, standby=f"node-{number}")
    context.answer = send(context)


@when("the member is sent a difference {flaw}")
def send_useless(context, flaw):
    """Send a difference that can't be followed."""
    publish(context, standby="node-3")
    context.held = context.member.views.view
    base, difference = USELESS[flaw]
    answer = ViewAnswer(base, difference, None)
    context.fitted = take_view(context.member, answer)


@then("what the member is sent takes less than a tenth of the whole view")
def check_size(context):
    """Compare the bytes sent with those of the whole view."""
    whole = len(cbor2.dumps(context.sender.view))
    print(f"sent {len(context.sent)} bytes, whole view {whole} bytes")
    assert context.answer.view is None
    assert len(context.sent) * 10 < whole


@then("the member is sent the whole view")
def check_whole(context):
    """Check that no difference was sent."""
    assert context.answer.difference is None


@then("the member holds the coordinator's view")
def check_same(context):
    """Check version and content."""
    assert context.fitted
    assert context.member.views.version == context.sender.version
    assert context.member.views.view == context.sender.view


@then("it takes nothing and counts it")
def check_unused(context):
    """Check that the member's view is as before."""
    assert not context.fitted
    assert context.member.views.view is context.held
    assert context.member.counters.total("differences_unused") == 1


@then("the next whole view is taken")
def take_whole(context):
    """Fetch as a member does that holds no view."""
    answer = ViewAnswer(*context.sender.find_change(NO_VIEW))
    assert take_view(context.member, answer)
    assert context.member.views.version == ViewVersion(1, 2)
