"""Steps about the client of the platform's store, and leadership kept in the store."""

import gevent
from behave import given, then, when

from features.support.mesh_builders import create_row
from features.support.proxies import Proxy
from knapweedrock.clock import create_clock
from knapweedrock.counters import Counters
from knapweedrock.emulator.addresses import create_address
from knapweedrock.emulator.store import ObjectStore, create_endpoint
from knapweedrock.errors import PlatformError
from knapweedrock.mesh.tables import decode_stored_table
from knapweedrock.mesh.terms import LEADER_NAME, Term
from knapweedrock.platform.documents import LEADER_KIND, TABLE_KIND
from knapweedrock.platform.store import ConflictError, RevisionExpiredError, Store

KIND, NAME = "things", "one"
TIMEOUT_S = 4.0
SHORT_S = 0.5


def create_client(context) -> Store:
    """Create a client of the store."""
    return Store(context.front.address, create_clock(), Counters())


@given("a store and a client of it")
def start_store(context) -> None:
    """Start a store that contains one object."""
    context.objects = ObjectStore()
    context.front = create_endpoint(context.objects, create_address())
    context.front.start()
    context.add_cleanup(context.front.stop)
    context.client = create_client(context)
    context.found = context.client.create(KIND, NAME, {"value": 0}, TIMEOUT_S)


@given("1 of every {count:d} answers to writes is lost")
def lose_answers(context, count: int) -> None:
    """Lose a share of the answers to writes."""
    context.front.lost_write_share = 1 / count


@given("the first write takes effect {ms:d} ms late, without an answer")
def delay_writes(context, ms: int) -> None:
    """Delay the effect of every write, and send no answer."""
    context.front.late_write_share, context.front.late_write_delay_s = 1.0, ms / 1000


@given("{count:d} objects of a kind")
def write_objects(context, count: int) -> None:
    """Write objects of a kind that has many."""
    for number in range(count):
        context.objects.write("many", f"name-{number:05}", number)


def replace_object(context, timeout_s: float) -> None:
    """Replace the object at the revision that the client knows, and keep the result."""
    context.written = context.error = None
    try:
        context.written = context.client.replace(
            KIND, NAME, {"value": 1}, context.found, timeout_s
        )
    except PlatformError as error:
        context.error = error


@when("the client replaces an object and the store answers again after {ms:d} ms")
def replace_during_outage(context, ms: int) -> None:
    """Replace the object; answers are lost or late until the given time."""

    def restore_answers() -> None:
        context.front.lost_write_share = context.front.late_write_share = 0.0

    gevent.spawn_later(ms / 1000, restore_answers)
    replace_object(context, TIMEOUT_S)


@when("another writer changes the object first")
def lose_race(context) -> None:
    """Change the object, then write at the old revision."""
    context.objects.write(KIND, NAME, {"value": 7})
    replace_object(context, TIMEOUT_S)


@when("{count:d} clients create the same object at once")
def race_to_create(context, count: int) -> None:
    """Let several clients create the same object concurrently."""
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


@when("the store drops its history after the client has listed the objects")
def drop_history(context) -> None:
    """List the objects, change one, and drop the store's history."""
    listing = context.client.list_kind(KIND)
    context.objects.write(KIND, NAME, {"value": 2})
    context.objects.forget_history()
    context.revision = listing.revision


@when("the store answers every call with {status:d}")
def refuse_calls(context, status: int) -> None:
    """Refuse every call, and attempt a write."""
    context.front.status = status
    replace_object(context, SHORT_S)


@then("the client confirms that the write took effect")
def check_confirmed(context) -> None:
    """Compare the client's result with the object in the store."""
    current = context.objects.get(KIND, NAME)
    assert context.written is not None, context.error
    assert context.written.value == {"value": 1}
    assert context.written.revision == current["metadata"]["revision"]


@then("the object was changed exactly once")
def check_changed_once(context) -> None:
    """Count the object's changes after its creation."""
    changes = [event for _, kind, event in context.objects.history if kind == KIND]
    assert len(changes) == 2, changes


@then("the client's write fails with a conflict that contains the other value")
def check_conflict(context) -> None:
    """Check that the conflict contains the other writer's value."""
    assert isinstance(context.error, ConflictError), context.error
    assert context.error.current.value == {"value": 7}


@then("exactly one of them has created it")
def check_winner(context) -> None:
    """Check that one client succeeded, and that the store has its value."""
    assert len(context.winners) == 1, context.winners
    winner = context.objects.get(KIND, "term")["specification"]["holder"]
    assert context.winners == [winner]


@then("the listing has {count:d} objects")
def check_listed(context, count: int) -> None:
    """Check that the listing contains each object once."""
    names = {item.name for item in context.listing.items}
    assert len(names) == len(context.listing.items) == count


@then("the client's watch fails because the history is gone")
def check_watch_fails(context) -> None:
    """Watch from a revision that the history no longer contains."""
    try:
        context.client.watch(KIND, context.revision, 1)
    except RevisionExpiredError:
        return
    raise AssertionError("the watch did not fail")


@then("the client's write fails with code {code:d}")
def check_code(context, code: int) -> None:
    """Check the code of the failure."""
    assert context.error is not None
    assert int(context.error.code) == code, context.error


@then("the object was not changed")
def check_unchanged(context) -> None:
    """Check that the object still has its first value."""
    stored = context.objects.get(KIND, NAME)
    assert stored["specification"] == {"value": 0}, stored


def create_term(context, name: str) -> Term:
    """Create the term of a node that has not claimed the leadership yet."""
    client = create_client(context)
    return Term(name, f"process-{name}", f"{name}:1", client, create_clock())


@given("a coordinator that has written a table")
def start_coordinator(context) -> None:
    """Claim the leadership and write a table of one row."""
    context.former = create_term(context, "n0")
    assert context.former.claim(None)
    context.rows = [create_row(0, 65535, "n0")]
    context.former.write_table("orders", context.rows)


@when("another node claims the leadership and the former coordinator writes the table")
def claim_as_successor(context) -> None:
    """Claim the leadership as a successor does, then write as the predecessor."""
    context.successor = create_term(context, "n1")
    assert context.successor.claim(context.client.get(LEADER_KIND, LEADER_NAME))
    context.error = None
    try:
        context.former.write_table("orders", [create_row(0, 65535, "n2", 2)])
    except ConflictError as error:
        context.error = error


@then("the former coordinator's write fails and ends its term")
def check_former_write_failed(context) -> None:
    """Check that the write conflicts, and that the term has ended."""
    assert context.error is not None, "the write took effect"
    assert not context.former.leading
    assert not context.former.has_authority()


@then("the table has the same rows, under the successor's epoch")
def check_table(context) -> None:
    """Check the table in the store."""
    stored = context.client.get(TABLE_KIND, "orders")
    assert stored.value["epoch"] == context.successor.epoch == 2, stored
    assert context.successor.list_tables() == {"orders": context.rows}
    assert decode_stored_table(stored).rows == context.rows


@when(
    "its writes take effect {late_ms:d} ms late, without an answer, for {seconds:d} s"
)
def renew_late(context, late_ms: int, seconds: int) -> None:
    """Renew the leadership while writes get no answer; count lapses of authority."""
    context.epoch = context.former.epoch
    context.front.late_write_share, context.front.late_write_delay_s = (
        1.0,
        late_ms / 1000,
    )
    renewing = gevent.spawn(context.former.run, context.former.epoch)
    context.add_cleanup(renewing.kill)
    context.lapses = 0
    for _ in range(seconds * 100):
        context.lapses += not context.former.has_authority()
        gevent.sleep(0.01)


@then("it had authority the whole time, in the same epoch")
def check_authority(context) -> None:
    """Check that the authority never lapsed."""
    assert context.former.leading, "the term has ended"
    assert not context.lapses, f"no authority for {context.lapses * 10} ms"
    assert context.former.epoch == context.epoch


@when("it claims the leadership again while its renewals continue")
def claim_again(context) -> None:
    """Claim the leadership a second time, while the first renewal loop still runs."""
    term = context.former
    for _ in range(2):
        renewing = gevent.spawn(term.run, term.epoch)
        context.add_cleanup(renewing.kill)
        gevent.sleep(0.1)
        stored_leader = context.client.get(LEADER_KIND, LEADER_NAME)
        context.before = stored_leader.revision
        if term.epoch == 1:
            assert term.claim(stored_leader)


@then("the leadership was renewed at most {max_count:d} times in {seconds:d} s")
def check_renewals(context, max_count: int, seconds: int) -> None:
    """Count the changes of the leader record, which only renewals change."""
    before = context.client.get(LEADER_KIND, LEADER_NAME)
    gevent.sleep(seconds)
    after = context.client.get(LEADER_KIND, LEADER_NAME)
    renewed = after.revision - before.revision
    assert 0 < renewed <= max_count, renewed
    assert context.former.has_authority()


@then("a table computed for the former term is not written")
def check_former_table(context) -> None:
    """Start a write, and start a new term before the write takes effect."""
    term = context.former
    context.front.late_write_share, context.front.late_write_delay_s = 1.0, 0.5
    writing = gevent.spawn(term.write_table, "orders", [create_row(0, 65535, "n9", 9)])
    gevent.sleep(0.1)
    term.epoch += 1
    context.front.late_write_share = 0.0
    writing.join(5)
    assert isinstance(writing.exception, PlatformError), writing.value
    assert term.list_tables() == {"orders": context.rows}


LOST_NODE = "n7"


@when("it renews its leadership and records that a node is lost")
def record_lost(context) -> None:
    """Renew the leadership, with one node recorded as lost."""
    renewing = gevent.spawn(context.former.run, context.former.epoch)
    context.add_cleanup(renewing.kill)
    context.former.set_lost_nodes([LOST_NODE])


@when("the node returns while the store does not answer")
def remove_from_lost(context) -> None:
    """Remove the node from the lost nodes; the store does not get this write."""
    context.front.silent = True
    context.former.set_lost_nodes([])


@when("the store answers its client again")
def restore_store(context) -> None:
    """Let the store answer again."""
    context.front.silent = False


@then("the node may not get a lease for {seconds:d} s")
def check_no_lease(context, seconds: int) -> None:
    """Check for the whole time that the node may not get a lease."""
    for _ in range(seconds * 20):
        assert not context.former.may_lease(LOST_NODE)
        gevent.sleep(0.05)


@then("the node may get a lease within {seconds:d} s")
def check_lease(context, seconds: int) -> None:
    """Wait until the node may get a lease, and check the leader record."""
    with gevent.Timeout(seconds, AssertionError("no lease")):
        while not context.former.may_lease(LOST_NODE):
            gevent.sleep(0.02)
    stored = context.client.get(LEADER_KIND, LEADER_NAME)
    assert stored.value["lost"] == [], stored


@given("a store behind a proxy, with {count:d} open connections")
def open_connections(context, count: int) -> None:
    """Make some calls at once, so that each of them opens a connection."""
    start_store(context)
    context.proxy = Proxy(create_address(), context.front.address)
    context.proxy.start()
    context.add_cleanup(context.proxy.stop)
    context.client.change_address(context.proxy.listen_address)
    calls = [gevent.spawn(context.client.list_kind, KIND) for _ in range(count)]
    gevent.joinall(calls, raise_error=True)
    context.connection_count = count


@when("the connections fall silent, and {pause_ms:d} ms pass")
def silence_connections(context, pause_ms: int) -> None:
    """Drop all further data on the open connections, and wait."""
    context.proxy.silence()
    gevent.sleep(pause_ms / 1000)


@then("of the next calls, one after the other, at most {failures:d} fail")
def check_failed_calls(context, failures: int) -> None:
    """Make as many calls as there were connections, and count those that fail."""
    failed = 0
    for _ in range(context.connection_count):
        try:
            context.client.get(KIND, NAME, SHORT_S)
        except PlatformError:
            failed += 1
    assert failed <= failures, failed
