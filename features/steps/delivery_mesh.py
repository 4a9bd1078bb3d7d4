"""Steps about delivery on a whole mesh of real processes."""

import random

import gevent
from behave import given, then, when

from features.support.builders import create_layout
from features.support.calls import Callers, Request
from features.support.http import call
from features.support.mesh import start_mesh
from features.support.owners import SERVICE, create_callers, list_running_names
from knapweedrock.codes import Code
from knapweedrock.history import check_all, check_bearable

UNDIVIDED = "catalogue"
FAULT_PAUSE_S = 1.2
PAUSED_S = 2.5
WORK_MS = 40.0
BROKEN = ("reset_next", "truncate_next", "reset_before_next")


@given("a mesh of an undivided service with {count:d} targets")
def start_undivided(context, count):
    """Start a mesh whose service is not divided by key."""
    layout = create_layout({UNDIVIDED: count}, unkeyed=(UNDIVIDED,))
    start_mesh(context, layout)


@when("orders of {keys:d} keys are sent again on every failure while by seed {seed:d}")
def send_under_faults(context, keys, seed):
    """Let callers insist on their orders while faults come one after the other."""
    print(f"seed {seed}")
    context.chance = random.Random(seed)
    callers = create_callers(context, seed)
    for name in context.mesh.vms:
        context.mesh.change_target(name, work_ms=WORK_MS)
    ended = []
    senders = [
        gevent.spawn(insist, callers, f"k{number}", ended) for number in range(keys)
    ]
    for row in context.table:
        gevent.sleep(FAULT_PAUSE_S)
        FAULTS[row["fault"]](context)
    gevent.sleep(PAUSED_S)
    ended.append(True)
    gevent.joinall(senders, raise_error=True)


def insist(callers: Callers, key: str, ended: list[bool]) -> None:
    """Send order after order, each until it is settled."""
    while not ended:
        callers.send_order(Request(SERVICE, key, deadline_ms=1000), attempts=8)
        gevent.sleep(0.05)


def choose_running(context) -> str:
    """Choose a node that runs."""
    return context.chance.choice(sorted(list_running_names(context.mesh)))


def pause_owner(context) -> None:
    """Pause an owner past its lease, and let it go on later."""
    node = context.mesh.vms[choose_running(context)].node
    node.pause()
    gevent.spawn_later(PAUSED_S, node.resume)


def break_answers(context) -> None:
    """Break answers of every target."""
    for name in context.mesh.vms:
        context.mesh.change_target(name, **{context.chance.choice(BROKEN): 10})


FAULTS = {
    "a target crashes": lambda context: context.mesh.change_target(
        choose_running(context), crash=True
    ),
    "an owner is paused": pause_owner,
    "an owner is killed": lambda context: context.mesh.restart_node(
        choose_running(context)
    ),
    "answers are broken off": break_answers,
    "a zone goes out": lambda context: context.mesh.set_zones_out("zone-a"),
    "a zone comes back": lambda context: context.mesh.set_zones_out(),
}


@when("a crashing read is sent {count:d} times to any node beside others")
def send_crashing_reads(context, count):
    """Send a read that crashes targets, again and again, beside others."""
    callers = create_callers(context, 5)
    callers.start_offer([""], UNDIVIDED, 30, 0.8 * count, deadline_ms=3000)
    addresses = [vm.caller for vm in context.mesh.vms.values()]
    context.codes = []
    for number in range(count):
        reply = call(
            addresses[number % len(addresses)],
            "GET",
            f"/{UNDIVIDED}/crash-me",
            headers={"Crash-Target": "yes", "Request-Deadline-Ms": "1500"},
            timeout_s=6.0,
        )
        context.codes.append(reply.headers.get("knapweedrock-code"))
    callers.wait()


@when(
    "{rate:d} reads a second are offered while a target crashes and a zone leaves "
    "and returns"
)
def offer_through_changes(context, rate):
    """Offer reads through a crash, a zone's leave and its return."""
    callers = create_callers(context, 6)
    keys = [f"k{number}" for number in range(60)]
    offer = callers.start_offer(keys, SERVICE, rate, 9)
    gevent.sleep(1)
    context.mesh.change_target("n1", crash=True)
    gevent.sleep(2)
    context.mesh.set_zones_out("zone-a")
    gevent.sleep(3)
    context.mesh.set_zones_out()
    offer.join()
    callers.wait()


@then("no order ran twice and every answer was true")
def check_promises(context):
    """Compare all calls with all logs."""
    history = context.callers.history
    found = check_all(history, context.mesh.fetch_all_executions())
    assert not found, found[:3]
    done = [call for call in history if call.outcome == "done"]
    assert len(done) > len(history) / 4, (len(done), len(history))


@then("the targets crashed at most {count:d} times in all")
def check_crashes(context, count):
    """Count the crashes of all targets."""
    crashes = [
        (name, event)
        for name in context.mesh.vms
        for event in context.mesh.fetch_log(name)["events"]
        if event["kind"] == "crash"
    ]
    assert len(crashes) <= count, (crashes, context.codes)
    assert context.codes[-1] == str(int(Code.QUARANTINED)), context.codes


@then("the other reads are done")
def check_others(context):
    """Check the reads beside the crashing one."""
    history = context.callers.history
    assert history, "no read was sent"
    wrong = [c for c in history if c.outcome != "done"]
    assert not wrong, (len(wrong), wrong[:3])


@then("no target was given more than it bears")
def check_excess(context):
    """Check the targets' own records of excess."""
    done = [call for call in context.callers.history if call.outcome == "done"]
    assert done, "no target was given anything"
    found = check_bearable(context.mesh.fetch_all_excess())
    assert not found, (len(found), found[:3])
