"""Steps for the rows that a node grants its target."""

from behave import given, then, when

from features.support.mesh_builders import (
    FakeClock,
    create_heartbeat,
    create_released,
    create_row,
    create_span,
)
from knapweedrock.mesh.coordinator import compute_lease_ms
from knapweedrock.mesh.holds import Holds

MAX_HOLD_MS = 10_000


def reply_to_heartbeat(context, **changes) -> None:
    """Send a heartbeat of the target and store the node's reply."""
    heartbeat = create_heartbeat(**changes)
    context.reply = context.holds.reply(heartbeat, context.rows, context.clock.ns)


def list_unheld(context) -> list:
    """List the rows that the node reports as unheld."""
    return context.holds.withdraw_unheld(context.rows, context.dead, context.clock.ns)


@given("a node with a row of keys and a lease of {lease_ms:d} ms")
def create_node(context, lease_ms: int) -> None:
    """Create the grants of a node with a lease."""
    context.clock = FakeClock()
    context.holds = Holds("n0", MAX_HOLD_MS)
    context.holds.extend_lease(context.clock.ns, lease_ms)
    context.lease_ms = lease_ms
    context.rows = [create_row(0, 99, "n0"), create_row(100, 65535, "n1")]
    context.dead = ""


@when("its target sends a heartbeat")
def send_heartbeat(context) -> None:
    """Send a heartbeat without changes."""
    reply_to_heartbeat(context)


@when("{ms:d} ms pass for the node")
def pass_time(context, ms: int) -> None:
    """Advance the clock."""
    context.clock.advance_ms(ms)


@when("the row is marked for a move to another member")
def mark_row(context) -> None:
    """Mark the node's row with its next node."""
    context.rows[0] = context.rows[0]._replace(next_node="n1")


@when("its target, still holding the row, sends a heartbeat")
def send_held(context) -> None:
    """Send a heartbeat that still lists the row."""
    reply_to_heartbeat(context, held=(create_span(context.rows[0]),))


@when("its target, having released the row, sends a heartbeat")
def send_released(context) -> None:
    """Send a heartbeat that reports the row as released."""
    reply_to_heartbeat(context, released=(create_released(context.rows[0], "mark"),))


@when("the target is detected as dead")
def end_target(context) -> None:
    """Record that the target has ended, and check that the row is unheld."""
    context.dead = "n0@1"
    assert list_unheld(context) == context.rows[:1]


@when("the row is assigned again under a higher token")
def reassign_row(context) -> None:
    """Assign the row to the same target under a new token."""
    context.rows[0] = context.rows[0]._replace(token=2)
    context.dead = ""
    assert not list_unheld(context)


@when("a new incarnation of the target sends a heartbeat")
def send_new_incarnation(context) -> None:
    """Send the heartbeat of a later incarnation."""
    reply_to_heartbeat(context, target="n0@2")


@when("the node restarts")
def restart(context) -> None:
    """Drop all state, as a new process has none."""
    context.holds = Holds("n0", MAX_HOLD_MS)


@then("the hold ends before the lease on a clock that is 2 percent slow")
def check_hold(context) -> None:
    """Check the length of the hold."""
    assert 0 < context.reply.hold_ms / 0.98 < context.lease_ms
    assert [grant.end for grant in context.reply.grants] == [99]


@then("the reply renews no holds")
def check_no_renewal(context) -> None:
    """Check that the reply leaves the holds unchanged."""
    assert context.reply.grants is None


@then("no row is granted")
def check_no_grant(context) -> None:
    """Check that the reply grants no keys."""
    assert context.reply.grants == (), context.reply


@then("the row is granted")
def check_granted(context) -> None:
    """Check that the row is granted under its new token."""
    assert [grant.token for grant in context.reply.grants] == [2]


@then("no row is reported as unheld")
def check_held(context) -> None:
    """Check that no row is unheld."""
    assert list_unheld(context) == []


@then("the row is reported as unheld")
def check_unheld(context) -> None:
    """Check that the node's row is the only unheld one."""
    assert list_unheld(context) == context.rows[:1]


@then("the release is reported with its handover")
def check_release(context) -> None:
    """Check the releases that the coordinator will receive."""
    assert [item.handover for item in context.holds.released] == ["mark"]


@then("the reply renews no holds until the node has a lease")
def check_restarted(context) -> None:
    """Check the replies before and after the node gets a lease."""
    reply_to_heartbeat(context, held=(create_span(context.rows[0]),))
    assert context.reply.grants is None
    context.holds.extend_lease(context.clock.ns, context.lease_ms)
    reply_to_heartbeat(context, held=(create_span(context.rows[0]),))
    assert [grant.token for grant in context.reply.grants] == [1]


@when("its target, holding no row, sends a heartbeat")
def send_empty(context) -> None:
    """Send a heartbeat that reports no holds."""
    reply_to_heartbeat(context, held=())


@then("a request for the row may be sent")
def check_may_serve(context) -> None:
    """Check that the node considers the row as held."""
    now_ns = context.clock.ns
    assert context.holds.may_serve(50, "n0@1", context.rows, now_ns)


@then("no request for the row may be sent")
def check_may_not_serve(context) -> None:
    """Check that the node considers the row as not held."""
    now_ns = context.clock.ns
    assert not context.holds.may_serve(50, "n0@1", context.rows, now_ns)


@when("its target holds the row and must release its second half")
def mark_half(context) -> None:
    """Grant the row, then mark its second half for a move."""
    context.whole = context.rows[0]
    reply_to_heartbeat(context, held=(create_span(context.whole),))
    first = context.whole._replace(end=49)
    second = context.whole._replace(start=50, next_node="n1")
    context.rows[:1] = [first, second]
    reply_to_heartbeat(context, held=(create_span(first), create_span(second)))
    assert [grant.end for grant in context.reply.grants] == [49]


@when("its target, having released the second half, sends a heartbeat")
def send_half(context) -> None:
    """Send a heartbeat that reports the second half as released."""
    first, second = context.rows[:2]
    reply_to_heartbeat(
        context,
        held=(create_span(first),),
        released=(create_released(second, "mark"),),
    )


@then("the second half is reported as unheld")
def check_half(context) -> None:
    """Check that the second half is the only unheld row."""
    assert list_unheld(context) == context.rows[1:2]


@when("a new coordinator has the whole row, not marked for a move")
def restore_unmarked_table(context) -> None:
    """Replace both halves by the whole row, as it is in the store."""
    context.rows[:2] = [context.whole]


@when("its target, still holding the first half, sends a heartbeat")
def send_first_half(context) -> None:
    """Send a heartbeat that reports only the first half as held."""
    reply_to_heartbeat(context, held=(create_span(context.whole._replace(end=49)),))


@given("a target with a heartbeat interval of {interval_ms:d} ms")
def set_interval(context, interval_ms: int) -> None:
    """Set the heartbeat interval."""
    context.interval_ms = interval_ms


@when("its node gets a lease {ms:d} ms before a heartbeat")
def lease_before(context, ms: int) -> None:
    """Create a node with the coordinator's lease time, and send a heartbeat later."""
    create_node(context, compute_lease_ms(context.interval_ms))
    context.clock.advance_ms(ms)
    reply_to_heartbeat(context)


@then(
    "work that starts just before the next heartbeat has {ms:d} ms until its hold"
    " expires"
)
def check_remaining(context, ms: int) -> None:
    """Check the remaining time of the hold when the next heartbeat is due."""
    remaining_ms = context.reply.hold_ms - context.interval_ms
    assert remaining_ms >= ms, remaining_ms
