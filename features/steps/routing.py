"""Steps about routing through a whole mesh of processes."""

import time
from collections import Counter

import gevent
from behave import given, then, when

from features.support.builders import create_layout
from features.support.calls import latency_ms
from features.support.mesh import start_mesh
from features.support.owners import create_callers
from features.support.tasks import finish_all
from knapweedrock.client import create_client
from knapweedrock.codes import Outcome

DEADLINE_MS = 4000
RESENDS = 5
SETTLE_S = 2
SETTLE_TRIES = 15
MS_PER_S = 1000


@given("a mesh of {count:d} targets of depot-orders and a client of all its nodes")
def start_keyed(context, count):
    """Start a keyed mesh and a client."""
    start_mesh(context, create_layout({"depot-orders": count}))
    context.client = create_client(
        [vm.caller for vm in context.mesh.vms.values()], deadline_ms=DEADLINE_MS
    )
    context.add_cleanup(context.client.close)


@when("the client reads {keys:d} mesh keys twice")
def read_twice(context, keys):
    """Read each key twice and keep the second replies."""
    names = [f"key-{number}" for number in range(keys)]
    wait_until_settled(context, names)
    for name in names:
        read(context, name)
    context.second = {name: read(context, name) for name in names}


def wait_until_settled(context, keys: list[str]) -> None:
    """Wait until no key has changed its owner for a while."""
    former: list[str] = []
    for _ in range(SETTLE_TRIES):
        owners = [context.mesh.find_owner("depot-orders", key) for key in keys]
        if owners == former and all(owners):
            return
        former = owners
        gevent.sleep(SETTLE_S)
    raise AssertionError(f"owners kept changing: {former}")


def read(context, key: str):
    """Read one key."""
    headers = {"Order-Key": key}
    return context.client.send("GET", f"/depot-orders/{key}", headers=headers, key=key)


@then("the second reply to each key came from its owner's node")
def check_straight(context):
    """Compare the nodes that answered with the owners."""
    for key, reply in context.second.items():
        owner = context.mesh.find_owner("depot-orders", key)
        assert reply.outcome == Outcome.DONE, reply
        assert reply.node == context.mesh.vms[owner].caller, (owner, reply)


@when(
    "one node is killed while the client sends {orders:d} orders and {reads:d} "
    "reads in {duration_s:d} s"
)
def kill_one(context, orders, reads, duration_s):
    """Send at an even pace and kill a node that is not the coordinator."""
    context.orders, context.reads, calls = [], [], []
    coordinator = context.mesh.find_coordinator()
    victim = next(name for name in context.mesh.vms if name != coordinator)
    start, total = time.monotonic(), orders + reads
    for index in range(total):
        gevent.sleep(max(0, start + index * duration_s / total - time.monotonic()))
        if index == total // 4:
            context.mesh.vms[victim].node.kill()
        send = (
            send_order
            if index * orders // total != (index + 1) * orders // total
            else send_read
        )
        calls.append(gevent.spawn(send, context, f"key-{index % 30}"))
    finish_all(calls, 40)


def send_read(context, key: str) -> None:
    """Send a read and keep its reply and time."""
    start = time.monotonic()
    reply = read(context, key)
    context.reads.append((reply, (time.monotonic() - start) * MS_PER_S))


def send_order(context, key: str) -> None:
    """Send an order for a key of its own, so that the log tells orders apart."""
    key = f"{key}-order-{len(context.orders)}"
    context.orders.append((key, None))
    index = len(context.orders) - 1
    headers = {"Order-Key": key}
    for _ in range(RESENDS):
        reply = context.client.send(
            "POST", f"/depot-orders/{key}", b"butter", headers, key
        )
        if reply.outcome != Outcome.NOT_RUN:
            break
    context.orders[index] = (key, reply)


@then("every read was done within {limit_ms:d} ms")
def check_reads(context, limit_ms):
    """Check outcomes and times of the reads."""
    longest_ms = max(taken_ms for _, taken_ms in context.reads)
    print(f"longest read {longest_ms:.0f} ms")
    failed = [r for r, _ in context.reads if r.outcome != Outcome.DONE]
    assert not failed, failed[:3]
    assert longest_ms <= limit_ms, longest_ms


@then("no order of the client ran twice and none that did not run was run")
def check_orders(context):
    """Compare the replies with the targets' logs."""
    executions = context.mesh.fetch_all_executions()
    ran = Counter(e.key for e in executions if e.order_id)
    print(Counter(str(reply.outcome) for _, reply in context.orders))
    for key, reply in context.orders:
        assert ran[key] <= 1, (key, ran[key])
        if reply.outcome == Outcome.NOT_RUN:
            assert ran[key] == 0, reply
        if reply.outcome == Outcome.DONE:
            assert ran[key] == 1, reply


@then("at least {share:d} % of the orders were done")
def check_order_share(context, share):
    """Check how many orders were done."""
    done = sum(1 for _, reply in context.orders if reply.outcome == Outcome.DONE)
    found = 100 * done / len(context.orders)
    assert found >= share, (found, [r.code for _, r in context.orders if r.code])


@given("a mesh of {count:d} targets of catalogue with policy {policy} and {copies}")
def start_unkeyed(context, count, policy, copies):
    """Start an unkeyed mesh in place of the former one."""
    if getattr(context, "mesh", None):
        context.mesh.stop()
    flag = "--copies" if copies == "copies" else "--no-copies"
    start_mesh(
        context,
        create_layout({"catalogue": count}, unkeyed=("catalogue",)),
        node_flags=("--choice-policy", policy, flag),
        target_flags=("--work-ms", "10", "--cold-s", "1"),
    )
    create_callers(context)
    context.callers.offer([""], "catalogue", 100, 2.0)
    context.before = len(context.mesh.fetch_all_executions())


@when(
    "{rate:d} reads a second come for {duration_s:d} s while one target is slowed "
    "{factor:d} times"
)
def offer_slowed(context, rate, duration_s, factor):
    """Offer reads to all nodes while one target is slowed."""
    name = next(iter(context.mesh.vms))
    context.mesh.change_target(
        name, slowdown=float(factor), slow_for_ms=duration_s * 1000.0
    )
    context.callers.history.clear()
    context.callers.offer([""], "catalogue", rate, duration_s)
    context.taken_ms = [latency_ms(call) for call in context.callers.history]


@then("every read is its caller's own and at most {share:d} % ran beside them")
def check_own(context, share):
    """Compare answers with requests and count the extra executions."""
    calls = context.callers.history
    foreign = [call for call in calls if call.outcome != "done" or not call.own_answer]
    assert not foreign, foreign[:3]
    ran = len(context.mesh.fetch_all_executions()) - context.before
    found = 100 * (ran - len(calls)) / len(calls)
    print(f"{found:.1f} % extra")
    assert found <= share, (ran, len(calls))
