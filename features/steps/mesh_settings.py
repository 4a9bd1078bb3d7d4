"""Steps about settings that a running node reloads."""

import signal

import gevent
from behave import then, when

from features.support.mesh_builders import create_heartbeat

NEW_HOLD_MS = 2500
NEW_SLACK = 7.0
POLL_INTERVAL_S = 0.1
RELOAD_WAIT_S = 3.0


@when("the settings of a node get another store, retry slack, hold time and zone")
def change_settings(context) -> None:
    """Change live settings, and one that needs a restart."""
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


@then("it calls the new store, and limits holds and retries by the new values")
def check_live_settings(context) -> None:
    """Check which store is called, the granted hold and the retry slack."""
    node = context.node
    context.mesh.find_place(context.name).front.silent = True
    assert node.store.list_kind("config").items, "the new store does not answer"
    heartbeat = create_heartbeat(node.target.instance, target=node.target.name)
    reply = node.holds.reply(heartbeat, [], node.clock.now_ns())
    assert 0 < reply.hold_ms <= NEW_HOLD_MS, reply
    assert node.settings.retry_slack == NEW_SLACK


@then("it keeps its zone")
def check_zone_unchanged(context) -> None:
    """Check that the setting that needs a restart has not changed."""
    assert context.node.settings.zone == context.before.zone
    assert context.node.membership.describe_member().zone == context.before.zone


@when("the settings file of a node sets a hold of {hold_ms:d} ms, without a signal")
def rewrite_settings_file(context, hold_ms: int) -> None:
    """Rewrite the settings file with another hold time."""
    context.node = next(iter(context.mesh.nodes.values()))
    path = context.node.log.with_suffix(".env")
    lines = [
        f"KNAPWEEDROCK_SERVE_MAX_HOLD_MS={hold_ms}" if "MAX_HOLD" in line else line
        for line in path.read_text().splitlines()
    ]
    path.write_text("\n".join(lines) + "\n")


@when("a node gets SIGHUP while its file has not changed")
def send_sighup(context) -> None:
    """Send the signal without a change of the file."""
    context.node = next(iter(context.mesh.nodes.values()))
    context.node.process.send_signal(signal.SIGHUP)
    gevent.sleep(RELOAD_WAIT_S)


@then("it logs within {seconds:d} s that its settings have changed")
def wait_for_change_line(context, seconds: int) -> None:
    """Wait for the log line about the change."""
    with gevent.Timeout(seconds, AssertionError("no line about the settings")):
        while '"settings changed"' not in context.node.log.read_text():
            gevent.sleep(POLL_INTERVAL_S)


@then("it logs nothing about settings")
def check_no_settings_line(context) -> None:
    """Check that no log line mentions settings."""
    text = context.node.log.read_text()
    assert "settings" not in text, text[-500:]
    assert context.node.process.poll() is None, "the node has ended"


@when("the window of the retry budget is set to {seconds:d} s")
def set_retry_window(context, seconds: int) -> None:
    """Change the window of all nodes, whose processes have run for longer."""
    for node in context.mesh.nodes.values():
        node.apply_settings(node.settings._replace(retry_window_s=float(seconds)))
