"""Steps about objects in the store that another writer left odd."""

import gevent
from behave import given, then, when

from features.support.odd_objects import ODDITIES, write_odd_object
from features.support.stores import start_store
from features.support.task_watch import watch_tasks
from knapweedrock.clock import create_clock
from knapweedrock.platform.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATION_KIND,
)

KIND = "things"
WATCH_S = 2.0
# Objects of a page of the emulated store.
PAGE_COUNT = 500
# Oddities that leave an object without a specification that can be read.
UNREADABLE = set(ODDITIES) - {
    "with a port out of range",
    "with a text as its specification",
    "with null as its specification",
    "with an integer that no float holds",
}
DELAY_INTERVAL_S = 0.005


@given("a store with a sound object before and one after an object {oddity}")
def write_objects(context, oddity: str) -> None:
    """Write three objects, whose names are in the order of the listing."""
    start_store(context)
    context.oddity, context.revision = oddity, context.objects.revision
    context.objects.write(KIND, "a", {"value": 1})
    write_odd_object(context.objects, KIND, oddity, "odd")
    context.objects.write(KIND, "z", {"value": 2})
    context.expected = [("a", {"value": 1}), ("z", {"value": 2})]


@given("a store with {count} objects of which every page ends with an odd one")
def write_pages(context, count: str) -> None:
    """Write many objects; the last of each page has no readable specification."""
    start_store(context)
    context.expected = []
    for number in range(int(count.replace(",", ""))):
        name = f"name-{number:05}"
        if number % PAGE_COUNT == PAGE_COUNT - 1:
            write_odd_object(context.objects, KIND, "nested 2,000 deep", name)
        else:
            context.objects.write(KIND, name, number)
            context.expected.append((name, number))


@given("a store with {count:d} objects whose names have to be quoted")
def write_quoted_names(context, count: int) -> None:
    """Write objects whose names have no place in a query as they are."""
    start_store(context)
    context.expected = []
    for number in range(count):
        name = f"{number:05} \u017e&after=?#\r\nX: 1"
        context.objects.write(KIND, name, number)
        context.expected.append((name, number))


@when("a client lists the objects")
def list_objects(context) -> None:
    """List all objects."""
    context.listing = context.client.list_kind(KIND)


@when("a client lists the objects and watches their changes")
def list_and_watch(context) -> None:
    """List all objects, and read all changes so far."""
    list_objects(context)
    context.batch = context.client.watch(KIND, context.revision, WATCH_S)


@when("a client lists the objects while another task measures its delays")
def list_and_measure(context) -> None:
    """List all objects; another task sleeps for short times meanwhile."""
    clock, context.delays_ms = create_clock(), []

    def measure_delays() -> None:
        while True:
            start_ns = clock.now_ns()
            gevent.sleep(DELAY_INTERVAL_S)
            context.delays_ms.append((clock.now_ns() - start_ns) / 1e6)

    task = gevent.spawn(measure_delays)
    gevent.sleep(DELAY_INTERVAL_S)
    list_objects(context)
    gevent.sleep(DELAY_INTERVAL_S * 2)
    task.kill()


@when(
    "another writer stores all odd objects beside the configuration and the evacuations"
)
def write_all_oddities(context) -> None:
    """Write an object of each oddity to both kinds."""
    watch_tasks(context)
    for kind in (CONFIGURATION_KIND, EVACUATION_KIND):
        for number, oddity in enumerate(ODDITIES):
            name = f"odd-{number}"
            write_odd_object(context.mesh.objects, kind, oddity, name)


@when("another writer replaces the configuration by one {oddity}")
def replace_configuration(context, oddity: str) -> None:
    """Write an odd object under the name of the configuration."""
    watch_tasks(context)
    write_odd_object(
        context.mesh.objects, CONFIGURATION_KIND, oddity, CONFIGURATION_NAME
    )


@when("another writer evacuates the zone of a target by an object {oddity}")
def write_odd_evacuation(context, oddity: str) -> None:
    """Write an odd object under the name of a zone."""
    context.zone = context.mesh.places[0].settings.zone
    write_odd_object(context.mesh.objects, EVACUATION_KIND, oddity, context.zone)


@when("operators take the zone of a target out")
def evacuate_zone(context) -> None:
    """Evacuate a zone in the usual way."""
    context.zone = context.mesh.places[0].settings.zone
    context.mesh.evacuate_zone(context.zone)


@when("all nodes are killed and started again")
def restart_nodes(context) -> None:
    """Kill all nodes at once, and start them again."""
    for place in context.mesh.places:
        context.mesh.kill_node(place.settings.node_id)
    for place in context.mesh.places:
        context.mesh.start_node(place)


@then("both give the sound objects")
def check_sound_objects(context) -> None:
    """Check the listing and the changes."""
    check_listing(context)
    changed = [
        (change.item.name, change.item.value)
        for change in context.batch.changes
        if change.item.name in ("a", "z")
    ]
    assert changed == context.expected, changed


@then("the client has counted the odd object if it can't read it")
def check_count(context) -> None:
    """Check the count of the listing and the watch together."""
    count = context.counters.get_total("store_objects_unreadable")
    assert count == (2 if context.oddity in UNREADABLE else 0), count


@then("it gets every sound object once")
def check_listing(context) -> None:
    """Check the listing without the odd objects."""
    expected_names = {name for name, _ in context.expected}
    listed = [
        (item.name, item.value)
        for item in context.listing.items
        if item.name in expected_names
    ]
    assert listed == context.expected, listed[:5]


@then("the other task was never delayed by {ms:d} ms")
def check_delays(context, ms: int) -> None:
    """Check the longest delay."""
    assert len(context.delays_ms) > 1
    assert max(context.delays_ms) < ms, max(context.delays_ms)


@then("no node sends requests to that zone after {seconds:d} s")
def check_zone_out(context, seconds: int) -> None:
    """Wait until every node counts the zone as out."""
    mesh = context.mesh
    mesh.wait_until(
        lambda: all(context.zone in node.zones_out for node in mesh.nodes.values()),
        seconds,
    )


@then("no task of a node has failed")
def check_tasks(context) -> None:
    """Check that nothing was logged about an unexpected error."""
    failed = [
        record.kwargs
        for record in context.logged.records
        if record.message == "task failed"
    ]
    assert not failed, failed
    assert not context.greenlet_errors, context.greenlet_errors
