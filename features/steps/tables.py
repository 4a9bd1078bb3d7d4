"""Steps about tables whose writes get no clear answer, and ranges not yet free."""

from behave import given, then, when

from features.steps.succession import (
    CELL,
    SERVICE,
    TABLE,
    FakeOffice,
    create_environment,
    create_heartbeat,
    read_process,
)
from features.support.fakes import FakePlatform
from knapweedrock.clock import NS_PER_MS, NS_PER_S
from knapweedrock.codes import Code
from knapweedrock.configuration import create_configuration
from knapweedrock.errors import PlatformError
from knapweedrock.nodes.assignment import Move, apply_moves, create_table
from knapweedrock.nodes.roster import Roster
from knapweedrock.nodes.tables import Tables, UnwrittenError


class UnclearPlatform(FakePlatform):
    """Platform that loses the answer of its next write."""

    def __init__(self) -> None:
        super().__init__()
        self.effect = ""
        self.late: list[tuple] = []

    def put(self, *write):
        """Write now, later or never; raises `PlatformError` where that is unclear."""
        effect, self.effect = self.effect, ""
        if effect == "later":
            self.late.append(write)
        if effect in ("", "at once"):
            stored = super().put(*write)
        if effect:
            raise PlatformError(Code.PLATFORM_UNAVAILABLE, "no answer")
        return stored

    def arrive(self) -> None:
        """Let the writes that were under way arrive."""
        for write in self.late:
            try:
                super().put(*write)
            except PlatformError as error:
                assert error.code == Code.PLATFORM_CONFLICT, error


@given("a coordinator that keeps a table")
def keep_table(context):
    """Load a table that nobody owns."""
    context.env = create_environment()
    context.platform = context.env.platform = UnclearPlatform()
    context.platform.put(TABLE, create_table(SERVICE, CELL, 1), 0)
    context.tables = Tables(context.env, FakeOffice(1))
    context.tables.load()


@when("it writes an owner and the answer is lost, the write having effect {effect}")
def write_unclear(context, effect):
    """Write a takeover; what was under way arrives once it is settled."""
    table = context.tables.get(SERVICE)
    moves = [Move(table["ranges"][0]["start"], "", "node-2")]
    context.platform.effect = effect
    context.written = True
    try:
        taken = apply_moves(table, moves, {"node-2": "i"}, 1)
        context.tables.write(SERVICE, taken)
    except UnwrittenError:
        context.written = False
    context.platform.arrive()


@then("the owner is in force")
def check_owner(context):
    """Check that the write counts."""
    assert context.written
    assert context.tables.get(SERVICE)["ranges"][0]["owner"] == "node-2"


@then("the write is refused and nobody owns a range")
def check_unwritten(context):
    """Check that the write counts for nothing."""
    assert not context.written
    assert not any(r["owner"] for r in context.tables.get(SERVICE)["ranges"])


@then("no table is in force that the platform does not hold")
def check_agreement(context):
    """Compare the table in force with the platform's."""
    stored = context.env.platform.get(TABLE)
    assert context.tables.get(SERVICE) == stored.value
    assert context.tables.stored[SERVICE] == stored


@given("a target that ignores fencing and requests of up to {longest_ms:d} ms")
def hear_unfenced(context, longest_ms):
    """Hear a node beside such a target."""
    context.env = create_environment()
    value = create_configuration()
    value["services"][SERVICE] = {"longest_request_ms": longest_ms}
    context.env.configuration.replace(1, value)
    context.roster = Roster(context.env, {})
    heartbeat = create_heartbeat("first", "first:1")
    heartbeat.member["fenced"] = False
    context.roster.hear(heartbeat)
    context.process = read_process(heartbeat)
    assert context.roster.grant(context.process) > 0


@when("its node's lease lapses")
def lapse(context):
    """Let more time pass than a lease takes."""
    context.lapsed_ns = context.roster.entries["node-2"].lease_until_ns
    context.env.clock.ns += 2 * NS_PER_S
    assert context.roster.remove_lapsed() == ["node-2"]


@then("its ranges are free after another {longest_ms:d} ms")
def check_free(context, longest_ms):
    """Check from when the ranges may be given away."""
    free_ns = context.roster.free_at_ns(context.process, SERVICE)
    assert free_ns == context.lapsed_ns + longest_ms * NS_PER_MS, free_ns
