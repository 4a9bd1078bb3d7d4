"""Steps about heartbeats that do not come from the target beside their node."""

from copy import deepcopy

import msgspec
from behave import then, when

from features.support.heartbeats import create_heartbeat_fields, send_heartbeat
from features.support.mesh_harness import list_held_keys, map_holds


@when("a node receives a draining heartbeat {fault}")
def send_foreign_heartbeat(context, fault: str) -> None:
    """Send a heartbeat with a fault to the first node."""
    place = context.mesh.places[0]
    context.holds_before = map_holds(context.mesh)
    is_own = fault.startswith("of its instance")
    instance = place.holder.instance if is_own else "i-other"
    fields = create_heartbeat_fields(place)
    remove_fields(fields, fault)
    context.status = send_heartbeat(place, instance, msgspec.json.encode(fields))


@when("a target crashes and starts again under another instance id")
def restart_target(context) -> None:
    """Crash the first target and start it again."""
    holder = context.mesh.places[0].holder
    holder.crash()
    holder.start()


@when(
    "a node receives a complete heartbeat of another instance, and no health page"
    " answers"
)
def send_unconfirmed_heartbeat(context) -> None:
    """Send a heartbeat while the target does not listen."""
    place = context.mesh.places[0]
    place.holder.crash()
    data = msgspec.json.encode(create_heartbeat_fields(place))
    context.status = send_heartbeat(place, "i-other", data)


@then("no key has moved, and no key has two holders")
def check_holds(context) -> None:
    """Compare the holders of the sampled keys, and check the samples of all keys."""
    assert map_holds(context.mesh) == context.holds_before
    assert not context.mesh.double_owners, context.mesh.double_owners[:3]


@then("a request for a key of that target is served")
def check_served(context) -> None:
    """Send a request for a key that the target held before."""
    mesh, place = context.mesh, context.mesh.places[0]
    key = list_held_keys(place)[0]
    response = mesh.call(mesh.places[1].settings.node_id, "/read/1", key)
    assert response.status == 200, response


@then("the node has the new incarnation within {seconds:d} s")
def check_new_incarnation(context, seconds: int) -> None:
    """Wait until the node has accepted a heartbeat of the new incarnation."""
    place = context.mesh.places[0]
    node = context.mesh.nodes[place.settings.node_id]
    context.mesh.wait_until(lambda: node.target.name == place.holder.target, seconds)


def remove_fields(fields: dict, fault: str) -> None:
    """Remove the fields that a fault names from a heartbeat."""
    complete = deepcopy(fields)
    match fault.partition("without ")[2]:
        case "lists of keys":
            del fields["holds"], fields["freed"]
        case "one of the lists":
            del fields["freed"]
        case "a version":
            del fields["information"]["version"]
        case "a start time":
            del fields["born"]
        case "":
            assert fields == complete
        case missing:
            raise AssertionError(f"unknown field {missing}")
