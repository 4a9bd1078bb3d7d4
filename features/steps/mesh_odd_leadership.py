"""Steps about odd objects among those that the coordinator writes itself."""

import msgspec
from behave import given, then, when

from features.support.mesh_builders import SERVICE, create_row
from features.support.odd_objects import ODDITIES, write_odd_object
from features.support.stores import start_store
from features.support.task_watch import watch_tasks
from knapweedrock.clock import create_clock
from knapweedrock.errors import PlatformError
from knapweedrock.mesh.tables import encode_stored_table
from knapweedrock.mesh.terms import LEADER_NAME, Memory, Term
from knapweedrock.platform.documents import LEADER_KIND, TABLE_KIND


@when("another writer stores all odd objects beside the tables and the leader record")
def write_oddities_beside_own(context) -> None:
    """Write an object of each oddity to the kinds that the mesh writes itself."""
    watch_tasks(context)
    objects = context.mesh.objects
    for kind in (TABLE_KIND, LEADER_KIND):
        for number, oddity in enumerate(ODDITIES):
            write_odd_object(objects, kind, oddity, f"odd-{number}")
    context.odd_tables = copy_odd_tables(context)


@when("another writer replaces the leader record by one {oddity}")
def replace_leader_record(context, oddity: str) -> None:
    """Write an odd object under the name of the leader record."""
    watch_tasks(context)
    mesh = context.mesh
    context.epoch = mesh.nodes[mesh.find_coordinator()].board.epoch
    write_odd_object(mesh.objects, LEADER_KIND, oddity, LEADER_NAME)


@given("a store with a table of epoch {epoch:d} and an odd leader record")
def write_odd_leader_record(context, epoch: int) -> None:
    """Write a table and a leader record that is not readable."""
    start_store(context)
    value = encode_stored_table(epoch, [create_row(0, 9, "n0")])
    context.objects.write(TABLE_KIND, SERVICE, value)
    write_odd_object(context.objects, LEADER_KIND, "nested 2,000 deep", LEADER_NAME)


@given("a store with an odd object under the name of a table")
def write_odd_table(context) -> None:
    """Write an object that is no table under the name of a service."""
    start_store(context)
    write_odd_object(context.objects, TABLE_KIND, "with a port out of range", SERVICE)
    context.odd_tables = copy_odd_tables(context)


@when("a node that knows of epoch {epoch:d} claims the leadership")
def claim_over_odd_record(context, epoch: int) -> None:
    """Claim the leadership over the record as it was read."""
    context.term = create_term(context)
    record = context.client.get(LEADER_KIND, LEADER_NAME)
    assert context.term.claim(record, Memory(epoch))


@when("a coordinator is elected and writes that table")
def write_taken_table(context) -> None:
    """Claim the leadership, and write a table under the name that is taken."""
    context.term = create_term(context)
    assert context.term.claim(None)
    context.error = None
    try:
        context.term.write_table(SERVICE, [create_row(0, 9, "n0")])
    except PlatformError as error:
        context.error = error


@then("the odd objects beside the tables are as they were")
@then("the odd object is as it was")
def check_odd_tables(context) -> None:
    """Check that nobody has written to the odd objects, nor removed them."""
    assert copy_odd_tables(context) == context.odd_tables


@then("a coordinator with a later epoch is elected within {seconds:d} s")
def check_elected(context, seconds: int) -> None:
    """Wait until a coordinator with a later epoch has authority."""
    mesh = context.mesh

    def is_elected() -> bool:
        name = mesh.find_coordinator()
        return bool(name) and mesh.nodes[name].board.epoch > context.epoch

    mesh.wait_until(is_elected, seconds)


@then("no key has two holders")
def check_holders(context) -> None:
    """Check what the mesh has sampled so far."""
    assert not context.mesh.double_owners, context.mesh.double_owners[:3]


@then("its epoch is {epoch:d}")
def check_epoch(context, epoch: int) -> None:
    """Check the epoch of the term."""
    assert context.term.epoch == epoch, context.term.epoch


@then("the write fails and the coordinator still leads")
def check_taken_table(context) -> None:
    """Check that the conflict ended the write alone."""
    assert context.error is not None
    assert context.term.leading


def copy_odd_tables(context) -> dict[str, str]:
    """Return a text of each object beside the tables that is no table."""
    objects = context.mesh.objects if "mesh" in context else context.objects
    return {
        name: str(msgspec.json.encode(item))
        for name, item in objects.kinds[TABLE_KIND].items()
        if name.startswith("odd") or "mesh" not in context
    }


def create_term(context) -> Term:
    """Create the term of a node that has not led yet."""
    return Term("n1", "process-1", "n1:1", context.client, create_clock())
