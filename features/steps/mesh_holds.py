"""Steps about what a node grants its target."""

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
    """Let the target send a heartbeat."""
    heartbeat = create_heartbeat(**changes)
    context.reply = context.holds.reply(heartbeat, context.rows, context.clock.ns)


def list_unheld(context) -> list:
    """List the rows that the node reports as unheld."""
    return context.holds.withdraw_unheld(context.rows, context.dead, context.clock.ns)


@given("a node with a row of keys and a lease of {lease_ms:d} ms")
def create_node(context, lease_ms: int) -> None:
    """Create a node's holds with a lease."""
    context.clock = FakeClock()
    context.holds = Holds("n0", MAX_HOLD_MS)
    context.holds.extend_lease(context.clock.ns, lease_ms)
    context.lease_ms = lease_ms
    context.rows = [create_row(0, 99, "n0"), create_row(100, 65535, "n1")]
    context.dead = ""


@when("its target sends a heartbeat")
def send_heartbeat(context) -> None:
    """Send a usual heartbeat."""
    reply_to_heartbeat(context)


@when("{ms:d} ms pass for the node")
def pass_time(context, ms: int) -> None:
    """Let time pass."""
    context.clock.advance_ms(ms)


@when("the row is marked for another member")
def mark_row(context) -> None:
    """Mark the node's row."""
    context.rows[0] = context.rows[0]._replace(next_node="n1")


@when("its target, which still works on the row, sends a heartbeat")
def send_held(context) -> None:
    """Send a heartbeat that still lists the row."""
    reply_to_heartbeat(context, held=(create_span(context.rows[0]),))


@when("its target, which let the row go, sends a heartbeat")
def send_released(context) -> None:
    """Send a heartbeat that lists the row as released."""
    reply_to_heartbeat(context, released=(create_released(context.rows[0], "mark"),))


@when("the target is found to have ended")
def end_target(context) -> None:
    """Note that the target ended, and report it."""
    context.dead = "n0@1"
    assert list_unheld(context) == context.rows[:1]


@when("the row comes back under a higher token")
def reassign_row(context) -> None:
    """Give the row to the same target anew."""
    context.rows[0] = context.rows[0]._replace(token=2)
    context.dead = ""
    assert not list_unheld(context)


@when("a new start of the target sends a heartbeat")
def send_new_incarnation(context) -> None:
    """Send the heartbeat of a later start."""
    reply_to_heartbeat(context, target="n0@2")


@when("the node starts again")
def restart(context) -> None:
    """Forget everything, as a new process does."""
    context.holds = Holds("n0", MAX_HOLD_MS)


@then("the hold ends before the lease, counted on a clock that is 2 percent slow")
def check_hold(context) -> None:
    """Check the length of the hold."""
    assert 0 < context.reply.hold_ms / 0.98 < context.lease_ms
    assert [grant.end for grant in context.reply.grants] == [99]


@then("the answer renews nothing")
def check_no_renewal(context) -> None:
    """Check that the reply leaves the holds alone."""
    assert context.reply.grants is None


@then("nothing is granted")
def check_no_grant(context) -> None:
    """Check that the reply grants no keys."""
    assert context.reply.grants == (), context.reply


@then("the row is granted")
def check_granted(context) -> None:
    """Check that the row is granted under its new token."""
    assert [grant.token for grant in context.reply.grants] == [2]


@then("nothing is reported as unheld")
def check_held(context) -> None:
    """Check the report."""
    assert list_unheld(context) == []


@then("the row is reported as unheld")
def check_unheld(context) -> None:
    """Check the report."""
    assert list_unheld(context) == context.rows[:1]


@then("the release is reported with its handover")
def check_release(context) -> None:
    """Check what is to be told to the coordinator."""
    assert [item.handover for item in context.holds.released] == ["mark"]


@then("the answer renews nothing until it has a lease")
def check_restarted(context) -> None:
    """Check the answers before and after a lease."""
    reply_to_heartbeat(context, held=(create_span(context.rows[0]),))
    assert context.reply.grants is None
    context.holds.extend_lease(context.clock.ns, context.lease_ms)
    reply_to_heartbeat(context, held=(create_span(context.rows[0]),))
    assert [grant.token for grant in context.reply.grants] == [1]


@when("its target, which holds nothing, sends a heartbeat")
def send_empty(context) -> None:
    """Send a heartbeat without holds."""
    reply_to_heartbeat(context, held=())


@then("a request for the row may be sent")
def check_may_serve(context) -> None:
    """Check that the node takes the row as held."""
    now_ns = context.clock.ns
    assert context.holds.may_serve(50, "n0@1", context.rows, now_ns)


@then("no request for the row may be sent")
def check_may_not_serve(context) -> None:
    """Check that the node takes the row as not held."""
    now_ns = context.clock.ns
    assert not context.holds.may_serve(50, "n0@1", context.rows, now_ns)


@when("its target holds the row and is to let its second half go")
def mark_half(context) -> None:
    """Grant the row, then mark one half of it."""
    context.whole = context.rows[0]
    reply_to_heartbeat(context, held=(create_span(context.whole),))
    first = context.whole._replace(end=49)
    second = context.whole._replace(start=50, next_node="n1")
    context.rows[:1] = [first, second]
    reply_to_heartbeat(context, held=(create_span(first), create_span(second)))
    assert [grant.end for grant in context.reply.grants] == [49]


@when("its target, which let the second half go, sends a heartbeat")
def send_half(context) -> None:
    """Send a heartbeat that lists the first half alone."""
    first, second = context.rows[:2]
    reply_to_heartbeat(
        context,
        held=(create_span(first),),
        released=(create_released(second, "mark"),),
    )


@then("the second half is reported as unheld")
def check_half(context) -> None:
    """Check the report."""
    assert list_unheld(context) == context.rows[1:2]


@when("a new coordinator knows the row as a whole, without a mark")
def restore_unmarked_table(context) -> None:
    """Put the table in force as the store has it."""
    context.rows[:2] = [context.whole]


@when("its target, which still holds the first half, sends a heartbeat")
def send_first_half(context) -> None:
    """Send a heartbeat that lists the first half alone."""
    reply_to_heartbeat(context, held=(create_span(context.whole._replace(end=49)),))


@given("heartbeats of a target that come each {apart_ms:d} ms")
def set_interval(context, apart_ms: int) -> None:
    """Set how far heartbeats are apart."""
    context.apart_ms = apart_ms


@when("its node is leased rights {ms:d} ms before a heartbeat")
def lease_before(context, ms: int) -> None:
    """Lease the rights that the coordinator gives, and let a heartbeat come."""
    create_node(context, compute_lease_ms(context.apart_ms))
    context.clock.advance_ms(ms)
    reply_to_heartbeat(context)


@then("work that begins just before the next one has {ms:d} ms until its hold runs out")
def check_remaining(context, ms: int) -> None:
    """Check what is left of the hold when the next heartbeat is due."""
    remaining_ms = context.reply.hold_ms - context.apart_ms
    assert remaining_ms >= ms, remaining_ms
