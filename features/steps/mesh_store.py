"""Steps about the client of the platform's store."""

import gevent
from behave import given, then, when

from features.support.mesh_builders import create_row
from knapweedrock.clock import create_clock
from knapweedrock.counters import Counters
from knapweedrock.emulator.addresses import create_address
from knapweedrock.emulator.objects import Objects, create_front
from knapweedrock.errors import PlatformError
from knapweedrock.mesh.tables import read_stored_table, unpack_rows
from knapweedrock.mesh.terms import LEADER_NAME, Term
from knapweedrock.platform.documents import LEADER_KIND, TABLE_KIND
from knapweedrock.platform.store import ConflictError, HistoryGoneError, Store

KIND, NAME = "things", "one"
TIMEOUT_S = 4.0
SHORT_S = 0.5


def create_client(context) -> Store:
    """Create a client of the store."""
    return Store(context.front.address, create_clock(), Counters())


@given("a store and a client of it")
def give_store(context) -> None:
    """Start a store that holds one object."""
    context.objects = Objects()
    context.front = create_front(context.objects, create_address())
    context.front.start()
    context.add_cleanup(context.front.stop)
    context.client = create_client(context)
    context.found = context.client.create(KIND, NAME, {"value": 0}, TIMEOUT_S)


@given("1 of every {count:d} answers to writes is lost")
def give_losses(context, count: int) -> None:
    """Lose a share of the answers."""
    context.front.lost = 1 / count


@given("the first write takes effect {ms:d} ms late, without an answer")
def give_late(context, ms: int) -> None:
    """Let writes take effect late."""
    context.front.late, context.front.late_s = 1.0, ms / 1000


@given("{count:d} objects of a kind")
def give_objects(context, count: int) -> None:
    """Write objects of another kind."""
    for number in range(count):
        context.objects.write("many", f"name-{number:05}", number)


def replace_object(context, timeout_s: float) -> None:
    """Replace the object under the revision that the client knows."""
    context.written = context.error = None
    try:
        context.written = context.client.replace(
            KIND, NAME, {"value": 1}, context.found.revision, timeout_s
        )
    except PlatformError as error:
        context.error = error


@when("the client replaces an object and the store answers again after {ms:d} ms")
def replace(context, ms: int) -> None:
    """Replace the object while answers are lost."""

    def mend() -> None:
        context.front.lost = context.front.late = 0.0

    gevent.spawn_later(ms / 1000, mend)
    replace_object(context, TIMEOUT_S)


@when("another writer changes the object first")
def lose_race(context) -> None:
    """Change the object, then write under the old revision."""
    context.objects.write(KIND, NAME, {"value": 7})
    replace_object(context, TIMEOUT_S)


@when("{count:d} clients create the same object at once")
def race(context, count: int) -> None:
    """Let clients race for an object."""
    context.winners = []

    def claim(number: int) -> None:
        client = create_client(context)
        try:
            client.create(KIND, "term", {"holder": number}, TIMEOUT_S)
        except PlatformError:
            return
        context.winners.append(number)

    tasks = [gevent.spawn(claim, number) for number in range(count)]
    gevent.joinall(tasks, timeout=TIMEOUT_S + 2, raise_error=True)


@when("the client lists the kind")
def list_kind(context) -> None:
    """List all objects."""
    context.listing = context.client.list_kind("many")


@when("the store forgets its history after the client has listed")
def forget(context) -> None:
    """Drop the history behind a client's back."""
    listing = context.client.list_kind(KIND)
    context.objects.write(KIND, NAME, {"value": 2})
    context.objects.forget_history()
    context.revision = listing.revision


@when("the store answers every call with {status:d}")
def refuse(context, status: int) -> None:
    """Refuse every call and try a write."""
    context.front.status = status
    replace_object(context, SHORT_S)


@then("the write is known to have taken effect")
def check_effect(context) -> None:
    """Check what the client returned against the store."""
    current = context.objects.get(KIND, NAME)
    assert context.written is not None, context.error
    assert context.written.value == {"value": 1}
    assert context.written.revision == current["metadata"]["revision"]


@then("the object was changed once")
def check_once(context) -> None:
    """Count the object's changes after its creation."""
    changes = [event for _, kind, event in context.objects.history if kind == KIND]
    assert len(changes) == 2, changes


@then("the client's write is refused and shows the other one")
def check_conflict(context) -> None:
    """Check the conflict."""
    assert isinstance(context.error, ConflictError), context.error
    assert context.error.current.value == {"value": 7}


@then("one of them has created it")
def check_winner(context) -> None:
    """Check that the winner is the one whom the store holds."""
    assert len(context.winners) == 1, context.winners
    held = context.objects.get(KIND, "term")["specification"]["holder"]
    assert context.winners == [held]


@then("it has {count:d} objects")
def check_listed(context, count: int) -> None:
    """Check the listing."""
    names = {item.name for item in context.listing.items}
    assert len(names) == len(context.listing.items) == count


@then("the client's watch says that the history is gone")
def check_gone(context) -> None:
    """Watch from the forgotten revision."""
    try:
        context.client.watch(KIND, context.revision, 1)
    except HistoryGoneError:
        return
    raise AssertionError("the watch said nothing")


@then("the client's write fails with code {code:d}")
def check_code(context, code: int) -> None:
    """Check the code of the failure."""
    assert context.error is not None
    assert int(context.error.code) == code, context.error


@then("the object was not changed")
def check_unchanged(context) -> None:
    """Check that the store holds what it held."""
    held = context.objects.get(KIND, NAME)
    assert held["specification"] == {"value": 0}, held


def create_term(context, name: str) -> Term:
    """Create a node's right to coordinate, not claimed yet."""
    client = create_client(context)
    return Term(name, f"process-{name}", f"{name}:1", client, create_clock())


@given("a coordinator that has written a table")
def give_coordinator(context) -> None:
    """Claim the right and write a table of one row."""
    context.former = create_term(context, "n0")
    assert context.former.claim(None)
    context.rows = [create_row(0, 65535, "n0")]
    context.former.write_table("orders", context.rows)


@when("another node takes the right and the former one writes the table")
def take_right(context) -> None:
    """Claim the right as a successor does, then write as the predecessor."""
    context.successor = create_term(context, "n1")
    assert context.successor.claim(context.client.get(LEADER_KIND, LEADER_NAME))
    context.error = None
    try:
        context.former.write_table("orders", [create_row(0, 65535, "n2", 2)])
    except ConflictError as error:
        context.error = error


@then("the former one's write fails and ends its term")
def check_former(context) -> None:
    """Check that the write was refused."""
    assert context.error is not None, "the write took effect"
    assert not context.former.leading
    assert not context.former.has_authority()


@then("the table is as the successor found it, under its epoch")
def check_table(context) -> None:
    """Check the table in the store."""
    stored = context.client.get(TABLE_KIND, "orders")
    assert stored.value["epoch"] == context.successor.epoch == 2, stored
    assert context.successor.list_tables() == {"orders": context.rows}
    assert unpack_rows(read_stored_table(stored.value)) == context.rows


@when(
    "its writes take effect {late_ms:d} ms late, without an answer, for {seconds:d} s"
)
def renew_late(context, late_ms: int, seconds: int) -> None:
    """Renew the right while no write is answered, and watch it."""
    context.epoch = context.former.epoch
    context.front.late, context.front.late_s = 1.0, late_ms / 1000
    renewing = gevent.spawn(context.former.run, context.former.epoch)
    context.add_cleanup(renewing.kill)
    context.lapses = 0
    for _ in range(seconds * 100):
        context.lapses += not context.former.has_authority()
        gevent.sleep(0.01)


@then("it had authority all the while, in the same epoch")
def check_authority(context) -> None:
    """Check that the right was never without effect."""
    assert context.former.leading, "the term was given up"
    assert not context.lapses, f"no authority for {context.lapses * 10} ms"
    assert context.former.epoch == context.epoch


@when("it takes the right again while its renewals go on")
def take_again(context) -> None:
    """Claim the right a second time and renew it, beside the first renewals."""
    term = context.former
    for _ in range(2):
        renewing = gevent.spawn(term.run, term.epoch)
        context.add_cleanup(renewing.kill)
        gevent.sleep(0.1)
        lock = context.client.get(LEADER_KIND, LEADER_NAME)
        context.before = lock.revision
        if term.epoch == 1:
            assert term.claim(lock)


@then("the right was renewed at most {most:d} times in {seconds:d} s")
def check_renewals(context, most: int, seconds: int) -> None:
    """Count the changes of the lock, which nothing else changes."""
    before = context.client.get(LEADER_KIND, LEADER_NAME)
    gevent.sleep(seconds)
    after = context.client.get(LEADER_KIND, LEADER_NAME)
    renewed = after.revision - before.revision
    assert 0 < renewed <= most, renewed
    assert context.former.has_authority()


@then("a table that it computed for the former term is not written")
def check_former_table(context) -> None:
    """Begin a write, and a new term while it is on its way."""
    term = context.former
    context.front.late, context.front.late_s = 1.0, 0.5
    writing = gevent.spawn(term.write_table, "orders", [create_row(0, 65535, "n9", 9)])
    gevent.sleep(0.1)
    term.epoch += 1
    context.front.late = 0.0
    writing.join(5)
    assert isinstance(writing.exception, PlatformError), writing.value
    assert term.list_tables() == {"orders": context.rows}


LOST = "n7"


@when("it renews its right and notes that a node is lost")
def note_lost(context) -> None:
    """Renew the right, with one node among the lost."""
    renewing = gevent.spawn(context.former.run, context.former.epoch)
    context.add_cleanup(renewing.kill)
    context.former.set_lost_nodes([LOST])


@when("the node is back while the store is silent")
def note_back(context) -> None:
    """Take the node off the lost ones, which the store does not learn."""
    context.front.silent = True
    context.former.set_lost_nodes([])


@when("the store answers its client again")
def answer_again(context) -> None:
    """Let the store answer."""
    context.front.silent = False


@then("the node may get no lease within {seconds:d} s")
def check_no_lease(context, seconds: int) -> None:
    """Check the node's right to a lease all the while."""
    for _ in range(seconds * 20):
        assert not context.former.may_lease(LOST)
        gevent.sleep(0.05)


@then("the node may get a lease within {seconds:d} s")
def check_lease(context, seconds: int) -> None:
    """Wait until the node may get a lease."""
    with gevent.Timeout(seconds, AssertionError("no lease")):
        while not context.former.may_lease(LOST):
            gevent.sleep(0.02)
    held = context.client.get(LEADER_KIND, LEADER_NAME)
    assert held.value["lost"] == [], held
