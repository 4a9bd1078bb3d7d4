"""Steps about changes in the store that watches do not report."""

from unittest import mock

import gevent
from behave import given, then, when

from features.support.mesh_builders import create_document
from features.support.mesh_proxied import StoreProxyMesh
from features.support.stores import ScriptedStore
from knapweedrock.eras.versions import StoreVersion
from knapweedrock.mesh.config_watcher import ConfigWatcher
from knapweedrock.mesh.messages import PublishConfiguration
from knapweedrock.platform.documents import CONFIGURATION_KIND, EVACUATION_KIND
from knapweedrock.platform.stored_objects import Change, ChangeBatch, StoredObject


@given("a mesh of {count:d} keyed targets with proxies before the store")
def start_store_proxy_mesh(context, count: int) -> None:
    """Start a mesh whose nodes reach the store through proxies."""
    context.mesh = StoreProxyMesh(count)
    context.add_cleanup(context.mesh.stop)
    context.mesh.start()


@when("all open connections to the store fall silent")
def silence_connections(context) -> None:
    """Drop all further data on the connections that are open now."""
    for proxy in context.mesh.proxies.values():
        proxy.silence()


@when("{ms:d} ms later operators write a configuration")
def write_configuration(context, ms: int) -> None:
    """Write the next version after some time."""
    gevent.sleep(ms / 1000)
    context.version = 2
    context.mesh.configure(create_document(context.version))


@when("{ms:d} ms later operators take a zone out of service")
def take_zone_out(context, ms: int) -> None:
    """Take the zone of a target out of service after some time."""
    gevent.sleep(ms / 1000)
    context.zone = context.mesh.places[0].settings.zone
    context.mesh.evacuate_zone(context.zone)


@then("every node knows within {ms:d} ms that the zone is out of service")
def check_zone_known(context, ms: int) -> None:
    """Wait until all nodes know the zone that is out of service."""
    nodes = context.mesh.nodes.values()
    context.mesh.wait_until(
        lambda: all(context.zone in node.zones_out for node in nodes), ms / 1000
    )


@given("a node that has read at revision {revision:d} that no zone is out of service")
def create_watcher(context, revision: int) -> None:
    """Create a watcher that has learned the zones out of service by a push."""
    context.store = ScriptedStore()
    context.watcher = ConfigWatcher(context.store, lambda: None, lambda: True)
    context.watcher.handle_push(PublishConfiguration(0, b"", [], revision))
    context.watcher.start()
    context.add_cleanup(context.watcher.stop)


@when("its watch reports up to revision {revision:d} that a zone went out of service")
def report_late(context, revision: int) -> None:
    """Let the watch of the zones report a change that is older."""
    change = Change(StoredObject("zone-a", revision, {}), False)
    context.store.reports[EVACUATION_KIND].set(ChangeBatch([change], revision))
    gevent.sleep(0.1)


@then("no zone is out of service for the node, as of revision {revision:d}")
def check_no_zone(context, revision: int) -> None:
    """Check the zones that are out of service, and their revision."""
    assert context.watcher.zones_out == frozenset(), context.watcher.zones_out
    version = context.watcher.zones_version
    assert version == StoreVersion(0, revision), version


@when("half of the coordinator's writes lose their answers for {seconds:d} s")
def lose_answers(context, seconds: int) -> None:
    """Lose answers, and count how often the coordinator reads what it missed."""
    mesh = context.mesh
    name = mesh.find_coordinator()
    watcher = mesh.nodes[name].config_watcher
    context.refresh = mock.Mock(side_effect=watcher.refresh)
    watcher.refresh = context.refresh
    mesh.find_place(name).front.lost_write_share = 0.5
    gevent.sleep(seconds)
    assert mesh.find_coordinator() == name


@then("the coordinator has read no configuration for changes that it missed")
def check_no_refresh(context) -> None:
    """Check that nothing was read beside the watches."""
    assert context.refresh.call_count == 0, context.refresh.call_count


@given("a node whose store does not know the kind of zones")
def create_watcher_without_zones(context) -> None:
    """Create a watcher of a store whose listing of zones has no revision."""
    context.store = ScriptedStore()
    context.store.revisions[EVACUATION_KIND] = 0
    context.watcher = ConfigWatcher(context.store, lambda: None, lambda: True)


@when("the node writes {count:d} times, {pause_ms:d} ms apart")
def write_repeatedly(context, count: int, pause_ms: int) -> None:
    """Record writes whose revisions follow each other."""
    for _ in range(count):
        context.store.revisions[CONFIGURATION_KIND] += 1
        revision = context.store.revisions[CONFIGURATION_KIND]
        context.watcher.record_write(StoreVersion(0, revision))
        gevent.sleep(pause_ms / 1000)


@then("it has read the configuration once")
def check_read_once(context) -> None:
    """Check how often the configuration was listed."""
    assert context.store.listed[CONFIGURATION_KIND] == 1, context.store.listed
