"""Steps about the era that the store states in its responses."""

from behave import given, then, when

from knapweedrock.clock import create_clock
from knapweedrock.counters import Counters
from knapweedrock.emulator.addresses import create_address
from knapweedrock.emulator.store import ObjectStore, create_endpoint
from knapweedrock.eras.numbers import next_number
from knapweedrock.eras.reader import EraReader
from knapweedrock.errors import PlatformError
from knapweedrock.platform.store import EraEndedError, RevisionExpiredError, Store

KIND, NAME, OTHER_NAME = "things", "one", "two"
TIMEOUT_S = 2.0


@given("a client of the store that has seen the eras {first:d} and {second:d}")
def create_reader(context, first: int, second: int) -> None:
    """Create a reader that has seen two eras."""
    context.reader = EraReader(create_clock(), Counters())
    for era in (first, second):
        context.reader.accept(str(era))


@given("a client of the store that has seen no era")
def create_new_reader(context) -> None:
    """Create a reader that has seen no response."""
    context.reader = EraReader(create_clock(), Counters())


@when('a response states the era "{header}"')
@when('a response states the era ""')
def accept_header(context, header: str = "") -> None:
    """Read a header, and remember whether its response counts."""
    try:
        context.reader.accept(header)
        context.counts = True
    except PlatformError:
        context.counts = False


@then("the response counts")
def check_counts(context) -> None:
    """Check that the last response counts."""
    assert context.counts


@then("the response is not accepted")
def check_rejected(context) -> None:
    """Check that the last response failed its call."""
    assert not context.counts


@then("the known era is {era:d}")
def check_era(context, era: int) -> None:
    """Check the era of the reader."""
    assert context.reader.era == era, context.reader.era


@given("a store with eras, and a client that has read an object")
def start_store(context) -> None:
    """Start a store, take a copy, and let a client create an object and read it."""
    context.objects = ObjectStore(era=1)
    front = create_endpoint(context.objects, create_address())
    front.start()
    context.add_cleanup(front.stop)
    context.client = Store(front.address, create_clock(), Counters())
    context.objects.write(KIND, OTHER_NAME, {"value": 0})
    context.copy = context.objects.copy()
    context.client.create(KIND, NAME, {"value": 1}, TIMEOUT_S)
    context.found = context.client.get(KIND, NAME)


@when("the store comes back from a copy that is older than the object")
def restore(context) -> None:
    """Restore the copy, which lacks the object."""
    context.objects.restore(context.copy)


@when("the store comes back from a copy, and another writer uses the object's revision")
def restore_and_write(context) -> None:
    """Restore the copy, and give the object's revision out again."""
    context.objects.restore(context.copy)
    context.objects.write(KIND, NAME, {"value": "other"})
    revision = context.objects.get(KIND, NAME)["metadata"]["revision"]
    assert revision == context.found.revision, revision


@when("the client reads another object and then replaces the first one")
def read_and_replace(context) -> None:
    """Let the client learn of the new era, and write by the revision it knows."""
    context.client.get(KIND, OTHER_NAME)
    replace_found(context)


@when("the client replaces the object")
def replace_found(context) -> None:
    """Replace the object that the client has read in the first era."""
    context.error = None
    try:
        context.client.replace(KIND, NAME, {"value": 2}, context.found, TIMEOUT_S)
    except PlatformError as error:
        context.error = error


@then("the write fails since the era has ended")
def check_ended(context) -> None:
    """Check the error of the write."""
    assert isinstance(context.error, EraEndedError), context.error


@then("the object is that of the other writer")
def check_object(context) -> None:
    """Check that the client's value was not written."""
    stored = context.objects.get(KIND, NAME)["specification"]
    assert stored == {"value": "other"}, stored


@then("a watch from the object's revision has expired")
def check_watch(context) -> None:
    """Check that the watch is rejected at once."""
    try:
        context.client.watch(KIND, context.found.revision, TIMEOUT_S)
    except RevisionExpiredError:
        return
    raise AssertionError("the watch was accepted")


@then("the known era of the client is {era:d}")
def check_client_era(context, era: int) -> None:
    """Check the era that the client has read from the response."""
    assert context.client.eras.era == era, context.client.eras.era


@then("the number after {number:d} in era {era:d} is {expected:d}")
def check_number(context, number: int, era: int, expected: int) -> None:
    """Check the next epoch or token."""
    assert next_number(number, era) == expected, next_number(number, era)
