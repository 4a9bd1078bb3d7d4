"""Steps about tables whose writes get no clear answer, and ranges not yet free."""

from contextlib import suppress
from types import SimpleNamespace
from unittest.mock import Mock

import gevent
from behave import given, then, when
from logbook import TestHandler

from features.support.builders import create_layout
from features.support.caller_builders import build_member
from features.support.failures import check_fails
from features.support.http import call
from features.support.memory import MemoryPlatform
from features.support.mesh import Mesh, remove_directory
from features.support.offices import (
    CELL,
    SERVICE,
    TABLE,
    FakeOffice,
    create_environment,
    create_heartbeat,
    read_process,
)
from features.support.processes import wait_for
from knapweedrock.clock import NS_PER_MS, NS_PER_S
from knapweedrock.codes import Code
from knapweedrock.configuration import create_configuration
from knapweedrock.errors import PlatformError
from knapweedrock.nodes.assignment import Move, apply_moves, create_table
from knapweedrock.nodes.messages import Heartbeat, Released
from knapweedrock.nodes.moves import TableKeeper
from knapweedrock.nodes.roster import Roster
from knapweedrock.nodes.tables import Tables, UnwrittenError


class UnclearPlatform(MemoryPlatform):
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


@given("node-{owner:d} owns all its ranges and node-{other:d} none")
def own_all(context, owner, other):
    """Give all ranges to one of two nodes."""
    context.roster = Roster(context.env, {})
    for number in (owner, other):
        member = build_member(number, SERVICE)
        heartbeat = Heartbeat(
            CELL, member["node_id"], member["incarnation"], 1, 1, 1, 0, True, member
        )
        context.roster.hear(heartbeat)
        assert context.roster.grant(read_process(heartbeat)) > 0
    table = context.tables.get(SERVICE)
    moves = [Move(entry["start"], "", f"node-{owner}") for entry in table["ranges"]]
    incarnations = context.roster.list_incarnations()
    context.tables.write(SERVICE, apply_moves(table, moves, incarnations, 1))
    context.move = Move(0, f"node-{owner}", f"node-{other}")


@when("the coordinator moves a range and its write has no effect")
def move_unwritten(context):
    """Move a range and note who is asked for anything."""
    context.asked = []
    term = SimpleNamespace(
        office=FakeOffice(1),
        tables=context.tables,
        roster=context.roster,
        moving=set(),
        count=1,
        publish=lambda: None,
        publish_to_all=lambda: None,
        ask=lambda *request: context.asked.append(request) or Released([]),
    )
    context.platform.effect = "never"
    with suppress(UnwrittenError):
        TableKeeper(context.env, term, SERVICE)._move([context.move], "load")


@when("its table can't be tended for {wait_ms:d} ms")
def fail_tending(context, wait_ms):
    """Let the keeper run while each of its rounds fails."""
    office = SimpleNamespace(ended=False, holds=lambda: True)
    keeper = TableKeeper(context.env, SimpleNamespace(office=office), SERVICE)
    keeper._tend = Mock(side_effect=PlatformError(Code.PLATFORM_UNAVAILABLE))
    context.logged = TestHandler()
    with context.logged.applicationbound():
        task = gevent.spawn(keeper.run)
        gevent.sleep(wait_ms / 1000)
        office.ended = True
        task.join()
    context.rounds = keeper._tend.call_count


@then("each round is counted and one line is logged")
def check_logged(context):
    """Compare the counter and the lines with the rounds."""
    assert context.rounds >= 3, context.rounds
    assert context.env.counters.total("table_tends_failed") == context.rounds
    assert len(context.logged.records) == 1, context.logged.formatted_records


@then("no node is asked to release")
def check_unasked(context):
    """Check that the move ended with its write."""
    assert not context.asked, context.asked


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


@when("its claim of a service has effect and the answer is lost")
def claim_unclear(context):
    """Claim the keys once without an answer."""
    context.platform.effect = "at once"
    check_fails(Code.PLATFORM_UNAVAILABLE, lambda: context.tables.claim(SERVICE))


@then("the next claim finds that its own cell keeps the keys")
def claim_again(context):
    """Claim the keys once more."""
    assert context.tables.claim(SERVICE) == CELL


@then("the claim of another cell finds the same")
def claim_elsewhere(context):
    """Claim the keys for another cell."""
    other = SimpleNamespace(
        platform=context.platform, settings=SimpleNamespace(cell="cell-2")
    )
    assert Tables(other, FakeOffice(1)).claim(SERVICE) == CELL


@when("nodes and targets of the same service start in another cell")
def start_other_cell(context):
    """Start a second cell at the platform of the first."""
    first = context.mesh
    layout = create_layout({SERVICE: 2}, fenced=True)
    other = Mesh(layout, cell="cell-2", ports=first.ports)
    context.add_cleanup(remove_directory, other.directory)
    context.add_cleanup(other.stop)
    other.platform_address = first.platform_address
    for name in other.vms:
        other.start_node(name)
        other.start_target(name)
    context.other = other


@then("the status of that cell names the cell that keeps the keys")
def check_kept_elsewhere(context):
    """Wait until the second cell knows."""

    def is_named() -> bool:
        status = context.other.read_status("n1")
        return status.get("kept_elsewhere") == {SERVICE: "cell-1"}

    wait_for(is_named, 15, "the second cell knows who keeps the keys")
    troubles = context.other.read_status("n1")["troubles"]
    assert any("kept by cell cell-1" in t["trouble"] for t in troubles), troubles


@then("the platform holds one table of the service")
def check_one_table(context):
    """Look for both tables."""
    assert context.mesh.fetch_object(f"tables/{SERVICE}/cell-1")
    assert context.mesh.fetch_object(f"tables/{SERVICE}/cell-2") is None


@then("the keys are still served by their owners")
def check_served(context):
    """Send a read to each node of the first cell."""
    running = context.mesh.list_running()
    assert running, "no node of the first cell runs"
    for vm in running:
        headers = {"Order-Key": "key-1"}
        reply = call(vm.caller, "GET", f"/{SERVICE}/x", headers=headers)
        assert reply.status == 200, reply
