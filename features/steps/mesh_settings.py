"""Steps about settings that change while a node runs."""

import signal

import gevent
from behave import then, when

from features.support.mesh_builders import create_heartbeat

NEW_HOLD_MS = 2500
NEW_SLACK = 7.0
POLL_S = 0.1
QUIET_S = 3.0


@when("a node is given another store, slack, hold and zone")
def change_settings(context) -> None:
    """Change settings of each sort."""
    context.name = next(iter(context.mesh.nodes))
    context.node = context.mesh.nodes[context.name]
    context.before = context.node.settings
    other = next(p for p in context.mesh.places if p.settings.node_id != context.name)
    context.other_front = other.front
    context.node.apply_settings(
        context.before._replace(
            store=other.front.address,
            retry_slack=NEW_SLACK,
            max_hold_ms=NEW_HOLD_MS,
            zone="zone-elsewhere",
        )
    )


@then("it calls the new store, and grants and repeats by the new bounds")
def check_changed(context) -> None:
    """Check the store that is called, a grant and the budget."""
    node = context.node
    context.mesh.find_place(context.name).front.silent = True
    assert node.store.list_kind("config").items, "the new store does not answer"
    heartbeat = create_heartbeat(node.target.instance, target=node.target.name)
    reply = node.holds.reply(heartbeat, [], node.clock.now_ns())
    assert 0 < reply.hold_ms <= NEW_HOLD_MS, reply
    assert node.settings.retry_slack == NEW_SLACK


@then("it keeps its zone")
def check_kept(context) -> None:
    """Check that what needs a restart has not changed."""
    assert context.node.settings.zone == context.before.zone
    assert context.node.membership.describe_member().zone == context.before.zone


@when("the settings file of a node gives a hold of {hold_ms:d} ms, without a signal")
def change_file(context, hold_ms: int) -> None:
    """Write a new settings file."""
    context.node = next(iter(context.mesh.nodes.values()))
    path = context.node.log.with_suffix(".env")
    lines = [
        f"KNAPWEEDROCK_SERVE_MAX_HOLD_MS={hold_ms}" if "MAX_HOLD" in line else line
        for line in path.read_text().splitlines()
    ]
    path.write_text("\n".join(lines) + "\n")


@when("a node gets SIGHUP though its file has not changed")
def signal_node(context) -> None:
    """Send the signal alone."""
    context.node = next(iter(context.mesh.nodes.values()))
    context.node.process.send_signal(signal.SIGHUP)
    gevent.sleep(QUIET_S)


@then("its log says within {seconds:d} s that its settings have changed")
def check_log(context, seconds: int) -> None:
    """Wait for the line about the change."""
    with gevent.Timeout(seconds, AssertionError("no line about the settings")):
        while '"settings changed"' not in context.node.log.read_text():
            gevent.sleep(POLL_S)


@then("its log says nothing of settings")
def check_quiet(context) -> None:
    """Check that no line speaks of settings."""
    text = context.node.log.read_text()
    assert "settings" not in text, text[-500:]
    assert context.node.process.poll() is None, "the node has ended"
