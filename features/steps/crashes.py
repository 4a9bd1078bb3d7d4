"""Steps about requests that crash a target."""

import gevent
from behave import given, then, when

from features.support.target_bench import create_order, create_request
from knapweedrock.codes import Code
from knapweedrock.nodes.messages import Quarantine
from knapweedrock.targets.messages import Suspect


@given("{count:d} peers")
def add_peers(context, count):
    """Add peers to the view."""
    members = context.bench.env.views.view["members"]
    context.peers = [f"p{index}" for index in range(count)]
    for name in context.peers:
        members[name] = {"node_id": name, "peer": "127.0.0.1:1"}


@when("a crashing request is sent until it is settled beside {count:d} innocent ones")
def send_crashing(context, count):
    """Send a request that crashes the target among others."""
    bench = context.bench
    innocent = [
        create_request(f"in{n}", f"k{n}", headers={"Work-Ms": "100"}, deadline_ms=8000)
        for n in range(count)
    ]
    tasks = bench.start_all(innocent)
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


@when("a late announcement of the target arrives right after each broken exchange")
def announce_late(context):
    """Let the node take what the target said of itself before the break."""
    crashes = context.bench.env.delivery.crashes
    note_break = crashes.note_break

    def note_both(*arguments) -> None:
        note_break(*arguments)
        crashes.note_incarnation(crashes.incarnation)

    crashes.note_break = note_both


@when("a crashing order is sent {count:d} times under new ids")
def send_crashing_orders(context, count):
    """Send a crashing order whose caller makes a new id each time."""
    for _ in range(count):
        order = create_order("crash", headers={"Crash-Target": "yes"})
        context.bench.send(order)
        gevent.sleep(getattr(context, "resend_s", 0.6))


@then("the target did not crash")
@then("the target crashed {count:d} times")
def check_crashes(context, count=0):
    """Count the target's crashes."""
    crashes = context.bench.fetch_events("crash")
    assert len(crashes) == count, crashes


@then("the crashing request is quarantined")
def check_quarantined(context):
    """Check the last answer to the crashing request."""
    assert context.crashing.code == Code.QUARANTINED, context.crashing


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
