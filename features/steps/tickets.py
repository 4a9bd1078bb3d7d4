"""Steps about tickets."""

from copy import deepcopy
from pathlib import Path

from behave import given, then, when
from hypothesis import strategies as st

from features.support.builders import create_zone
from features.support.examples import feed_examples
from features.support.memory import MemoryPlatform
from features.support.tickets import (
    CONFIG,
    attempt_ticket,
    create_mesh_ticket,
    race_tickets,
)
from knapweedrock.codes import Code
from knapweedrock.errors import PlatformError, TicketError
from knapweedrock.operators import application
from knapweedrock.operators.files import check_ticket, read_ticket, read_ticket_file
from knapweedrock.operators.tickets import create_digest

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
WRONG_TICKET = b"""
number = "x"
bogus = 1
delete = ["zones"]
services = [{name = "s", keyed = true, longest_request_ms = 0}]
zones = [{name = "a b", region = "r", state = "in"}, {name = "a", state = "off"}]

[[rules]]
name = "one"
path_prefix = "/one"
service = "s"
key = {kind = "cookie", name = "depot"}

[[rules]]
name = "two"
path_prefix = "stock"
service = "s"
"""


@given("an empty platform")
def start_empty(context):
    """Start with a platform that holds nothing."""
    context.platform = MemoryPlatform()


@given("a platform with the services of a mesh")
def start_mesh(context):
    """Start with a mesh and a node in its first zone."""
    context.platform = MemoryPlatform()
    context.ticket = create_mesh_ticket()
    context.attempt = attempt_ticket(context.platform, context.ticket)
    voters = {"n1": {"peer": "127.0.0.1:1", "zone": "zone-a"}}
    context.platform.put("cells/c1", {"voters": voters}, 0)
    context.platform.put("status/c1", {"zones": ["zone-a", "zone-b"]}, 0)
    context.before = context.platform.get(CONFIG)


@given("a platform on which every write loses the race")
def start_losing(context):
    """Start with a platform whose writes all conflict."""
    context.platform = MemoryPlatform()

    def put(name, value, expected, timeout_ms=1000):
        raise PlatformError(Code.PLATFORM_CONFLICT)

    context.platform.put = put


@given("a platform that loses {percent:d} % of its answers with seed {seed:d}")
def start_lossy(context, percent, seed):
    """Start with a platform that loses answers."""
    context.seed = seed
    context.platform = MemoryPlatform(seed, percent / 100)


@when('the example tickets of "{deployment}" are applied in order')
def apply_examples(context, deployment):
    """Apply the example files by name."""
    paths = sorted((EXAMPLES / deployment).glob("*.toml"))
    context.attempts = [
        attempt_ticket(context.platform, read_ticket_file(path)) for path in paths
    ]


@then("each is accepted and the zone that went out is back in")
def check_examples(context):
    """Check the answers and the zones after each example."""
    assert [attempt.code for attempt in context.attempts] == [0, 0, 0]
    history = context.platform.history[CONFIG]
    states = [{zone["state"] for zone in v["zones"].values()} for v in history]
    assert states == [{"in"}, {"in", "out"}, {"in"}], states


@when("a ticket file with many mistakes is checked")
def check_wrong_ticket(context):
    """Read a ticket with a mistake in most fields."""
    try:
        read_ticket(WRONG_TICKET, "wrong.toml", ".toml")
    except ExceptionGroup as group:
        context.problems = [str(error) for error in group.exceptions]


@then("the problems name")
def check_problems(context):
    """Check that exactly the expected problems are named."""
    for row in context.table:
        start = f"wrong.toml: {row['field']}: found {row['found']}, expected "
        matching = [text for text in context.problems if start in text]
        assert len(matching) == 1, (start, context.problems)
        assert row["expected"] in matching[0].split(start)[1], matching
    assert len(context.problems) == len(context.table.rows), context.problems


@when("the last ticket is applied again with its lists in another order")
def repeat_ticket(context):
    """Apply the same ticket with reversed lists."""
    ticket = deepcopy(context.ticket)
    ticket["zones"].reverse()
    context.attempt = attempt_ticket(context.platform, ticket)


@then("it is accepted as repeated at the same version")
def check_repeated(context):
    """Check the answer to a repeated ticket."""
    assert context.attempt.applied == (10, context.before.version, True)
    assert context.platform.get(CONFIG) == context.before


RULE = {"name": "r", "path_prefix": "/r", "service": "orders"}
DOUBLED = {"path_prefix": "/orders/", "key": {"kind": "segment", "name": "1"}}
MISTAKES = {
    "an old number": {"number": 9, "zones": [create_zone("zone-a", state="out")]},
    "a used number": {"number": 10, "zones": [create_zone("zone-z")]},
    "an unknown service": {"rules": [{**RULE, "service": "nowhere"}]},
    "an unknown deletion": {"delete": ["zones/zone-z"]},
    "a service in use deleted": {"delete": ["services/orders"]},
    "a zone in use deleted": {"delete": ["zones/zone-a"]},
    "a zone of a plain member deleted": {"delete": ["zones/zone-b"]},
    "a keyless rule": {"rules": [RULE]},
    "a doubled prefix": {"rules": [{**RULE, **DOUBLED}]},
    "too many objects": {
        "zones": [create_zone(f"zone-{index:058d}") for index in range(6000)],
    },
}


@when("a ticket with {mistake} is applied")
def apply_mistake(context, mistake):
    """Apply a ticket with one mistake."""
    ticket = {"number": 11, **MISTAKES[mistake]}
    context.attempt = attempt_ticket(context.platform, ticket)


@when("a ticket is applied there")
def apply_losing(context):
    """Apply a ticket with fewer attempts than usual."""
    usual, application.MAX_ATTEMPTS = application.MAX_ATTEMPTS, 5
    context.attempt = attempt_ticket(context.platform, create_mesh_ticket())
    application.MAX_ATTEMPTS = usual


@then("it is refused with code {code:d}")
def check_refused(context, code):
    """Check the code of the refusal."""
    assert context.attempt.applied is None
    assert context.attempt.code == code, context.attempt


@then("the configuration is unchanged")
def check_unchanged(context):
    """Check that the refusal left no trace."""
    assert context.platform.get(CONFIG) == context.before


@when("{count:d} tickets touch one zone")
def apply_many(context, count):
    """Apply many tickets one after the other."""
    context.tickets = [
        {"number": number, "zones": [create_zone("zone-a")]}
        for number in range(1, count + 1)
    ]
    for ticket in context.tickets:
        assert attempt_ticket(context.platform, ticket).code == 0


@then("the configuration keeps the last {count:d} digests")
def check_digests(context, count):
    """Check which digests are kept."""
    recent = context.platform.get(CONFIG).value["recent"]
    numbers = [ticket["number"] for ticket in context.tickets]
    assert [record["number"] for record in recent] == numbers[-count:]


@then("the first of them is refused with code {code:d}")
def check_forgotten(context, code):
    """Check that a forgotten ticket is never applied again."""
    assert attempt_ticket(context.platform, context.tickets[0]).code == code


@when("{operators:d} operators race {tickets:d} tickets each on shared objects")
def race(context, operators, tickets):
    """Race tickets and keep all answers."""
    context.attempts = race_tickets(context.platform, operators, tickets, context.seed)
    context.history = context.platform.history[CONFIG]
    accepted = [attempt for attempt in context.attempts if attempt.applied]
    print(f"{len(accepted)} of {len(context.attempts)} accepted, seed {context.seed}")
    assert len(accepted) >= 10, "too few accepted tickets to prove anything"


@then("every accepted ticket is one version of the history")
def check_accepted(context):
    """Check that each accepted ticket made the version that holds it."""
    made = [value["recent"][-1] for value in context.history]
    for attempt in context.attempts:
        if not attempt.applied:
            continue
        record = {
            "number": attempt.ticket["number"],
            "digest": create_digest(attempt.ticket),
        }
        assert made.count(record) == 1, record
        version = made.index(record) + 1
        assert version <= attempt.applied.version, attempt
        assert version == attempt.applied.version or attempt.applied.repeated


@then("no refused ticket is in the history")
def check_not_run(context):
    """Check that a ticket refused for its number or content left no trace."""
    accepted = {create_digest(a.ticket) for a in context.attempts if a.applied}
    left_open = {Code.PLATFORM_UNAVAILABLE, Code.TICKET_LOST_RACE}
    made = {value["recent"][-1]["digest"] for value in context.history}
    refused = [
        attempt
        for attempt in context.attempts
        if attempt.code not in {0, *left_open}
        and create_digest(attempt.ticket) not in accepted
    ]
    assert refused, "no ticket was refused"
    for attempt in refused:
        assert create_digest(attempt.ticket) not in made, attempt


@then("each version differs from the one before by exactly one ticket")
def check_no_halves(context):
    """Replay the history and compare every version whole."""
    tickets = {create_digest(a.ticket): a.ticket for a in context.attempts}
    zones = {}
    for value in context.history:
        ticket = tickets[value["recent"][-1]["digest"]]
        zones |= {zone["name"]: zone for zone in ticket["zones"]}
        assert value["zones"] == zones, value


@then("the numbers that touched each object only grow")
def check_monotone(context):
    """Check the numbers of each object over the history."""
    last = {}
    for value in context.history:
        number = value["recent"][-1]["number"]
        for path, touched in value["touched"].items():
            before = last.get(path, 0)
            assert touched == before or touched == number > before, (path, value)
        last = value["touched"]


JSON_DATA = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["name", "region", "state", "key", "x"]), inner, max_size=4
        )
    ),
    max_leaves=8,
)
TICKET_DATA = st.dictionaries(
    st.sampled_from(["number", "services", "zones", "rules", "delete", "odd"]),
    JSON_DATA,
)


@then("arbitrary bytes and data read as tickets raise nothing but ticket errors")
def feed_reader(context):
    """Feed the decoders and the check with arbitrary input."""

    def feed_bytes(body, suffix):
        expect_ticket_errors(lambda: read_ticket(body, "arbitrary", suffix))

    def feed_data(value):
        expect_ticket_errors(lambda: check_ticket(value, "arbitrary"))

    suffixes = st.sampled_from([".toml", ".json", ".xml"])
    feed_examples(feed_bytes, st.binary(max_size=80), suffixes)
    feed_examples(feed_data, TICKET_DATA | JSON_DATA)


def expect_ticket_errors(read):
    """Read and check the type of whatever is raised."""
    try:
        create_digest(read())
    except ExceptionGroup as group:
        assert all(isinstance(error, TicketError) for error in group.exceptions)
