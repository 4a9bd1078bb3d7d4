"""Steps about ownership on a mesh of real processes, checked by its history."""

import random
import time
from http.client import HTTPException

import gevent
from behave import given, step, then, when

from features.support.builders import create_full_configuration, create_layout
from features.support.calls import Callers, Request
from features.support.history import (
    check_all,
    check_silence,
    find_longest_gap,
    find_owner,
    measure_gaps,
)
from features.support.http import call, call_or_none
from features.support.mesh import create_mesh
from features.support.processes import wait_for
from knapweedrock.clock import NS_PER_MS, NS_PER_S, create_clock
from knapweedrock.codes import Outcome
from knapweedrock.nodes.view import hash_key

SERVICE = "depot-orders"
OFFER_RATE = 60
ORDER_SHARE = 0.3
READ_RATE = 250
DEADLINE_MS = 800
SETTLE_S = 1.0
BALANCE_SLACK_RANGES = 4
QUIET_S = 1.0
CLOCK = create_clock()


def is_balanced(mesh) -> bool:
    """Tell whether all running nodes own about as many ranges, and none moves."""
    ranges = read_ranges(mesh)
    owners = [entry["owner"] for entry in ranges]
    counts = [owners.count(vm.spec.node_id) for vm in mesh.list_running()]
    if not is_covered(mesh) or max(counts) - min(counts) > BALANCE_SLACK_RANGES:
        return False
    gevent.sleep(QUIET_S)
    return ranges == read_ranges(mesh)


def create_callers(context, seed: int) -> Callers:
    """Create callers at all running nodes."""
    nodes = {vm.spec.node_id: vm.caller for vm in context.mesh.list_running()}
    callers = Callers(nodes, seed)
    context.add_cleanup(callers.close)
    return callers


@given("a mesh of {count:d} {fencing} targets in {zones:d} zones")
def start_mesh(context, count, fencing, zones):
    """Start a whole mesh and wait until it serves."""
    names = tuple(f"zone-{letter}" for letter in "abcd"[:zones])
    layout = create_layout({SERVICE: count}, names, fenced=fencing == "fenced")
    context.mesh = create_mesh(context, layout)
    context.mesh.start()
    wait_for(lambda: is_balanced(context.mesh), 30, "the ranges are balanced")
    context.random = random.Random(0)
    context.before = read_ranges(context.mesh)
    context.lost = set()


@given("each target takes {work_ms:d} ms for a request")
def slow_targets(context, work_ms):
    """Let requests be in flight when something is lost."""
    for name in context.mesh.vms:
        context.mesh.change_target(name, work_ms=work_ms)


def read_ranges(mesh) -> list[dict]:
    """Read the table's ranges from the platform."""
    stored = mesh.fetch_object(f"tables/{SERVICE}/{mesh.cell}")
    return stored["value"]["ranges"] if stored else []


def is_covered(mesh) -> bool:
    """Tell whether every range has an owner whose node runs."""
    running = {vm.spec.node_id for vm in mesh.list_running()}
    ranges = read_ranges(mesh)
    return bool(ranges) and all(entry["owner"] in running for entry in ranges)


@given(
    "callers offer reads and orders on {keys:d} keys for {seconds:d} s "
    "with seed {seed:d}"
)
def offer_mixed(context, keys, seconds, seed):
    """Offer a mixed load in the background."""
    start_callers(context, keys, seconds, seed, OFFER_RATE, ORDER_SHARE)


@given("callers offer reads on {keys:d} keys for {seconds:d} s with seed {seed:d}")
def offer_reads(context, keys, seconds, seed):
    """Offer reads in the background, each key several times a second."""
    start_callers(context, keys, seconds, seed, READ_RATE, 0.0)


def start_callers(context, keys, seconds, seed, rate, order_share) -> None:
    """Start callers at all nodes and note the seed."""
    print(f"seed {seed}")
    context.random = random.Random(seed)
    context.callers = create_callers(context, seed)
    names = [f"key-{index}" for index in range(keys)]
    context.keys = names
    context.callers.start_offer(names, SERVICE, rate, seconds, order_share, DEADLINE_MS)
    gevent.sleep(SETTLE_S)


def choose_owner(context) -> str:
    """Choose a running owner that is not the coordinator."""
    mesh = context.mesh
    coordinator = mesh.find_coordinator()
    names = [vm.spec.node_id for vm in mesh.list_running()]
    return context.random.choice([name for name in names if name != coordinator])


@when("a caller asks for {count:d} keys at the node that does not own them")
def ask_elsewhere(context, count):
    """Send each key's request to a node that is not its owner."""
    mesh = context.mesh
    context.callers = create_callers(context, 1)
    names = [vm.spec.node_id for vm in mesh.list_running()]
    for index in range(count):
        key = f"key-{index}"
        owner = mesh.find_owner(SERVICE, key)
        assert owner in names, owner
        other = next(name for name in names if name != owner)
        context.callers.send(Request(SERVICE, key), other)


@then("each answer is the owner's whole answer to its own request")
def check_own_answers(context):
    """Check status, identity and the target that ran each request."""
    runs = {run.tag: run for run in context.mesh.fetch_all_executions()}
    for answered in context.callers.history:
        assert answered.status == 200 and answered.own_answer, answered
        owner = context.mesh.find_owner(SERVICE, answered.key)
        assert runs[answered.tag].target == owner != answered.node, answered


@when("an owner is paused for {seconds:d} s and resumed")
def pause_owner(context, seconds):
    """Pause an owner past its lease."""
    pause(context, choose_owner(context), seconds)


@when("the coordinator is paused for {seconds:d} s and resumed")
def pause_coordinator(context, seconds):
    """Pause the coordinator past its promises."""
    pause(context, context.mesh.find_coordinator(), seconds)


@when("a voter is paused for {seconds:d} s and resumed")
def pause_voter(context, seconds):
    """Pause a voter that is not the coordinator."""
    record = context.mesh.fetch_object(f"cells/{context.mesh.cell}")["value"]
    names = [name for name in record["voters"] if name != record["coordinator"]]
    pause(context, context.random.choice(sorted(names)), seconds)


def pause(context, name: str, seconds: float) -> None:
    """Pause a node's process, then let it go on as if nothing had happened."""
    child = context.mesh.vms[name].node
    child.pause()
    gevent.sleep(seconds)
    child.resume()
    gevent.sleep(0.5)


@when("an owner's frames to its peers are cut for {seconds:d} s")
def cut_send(context, seconds):
    """Cut one way: nothing of the owner reaches its peers."""
    cut(context, choose_owner(context), seconds, send=("*",))


@when("an owner's frames from its peers are cut for {seconds:d} s")
def cut_receive(context, seconds):
    """Cut the other way: nothing of the peers reaches the owner."""
    cut(context, choose_owner(context), seconds, receive=("*",))


@when("the coordinator is cut off from its peers for {seconds:d} s")
def cut_coordinator(context, seconds):
    """Cut the coordinator off both ways."""
    cut(context, context.mesh.find_coordinator(), seconds, ("*",), ("*",))


@when("the coordinator is cut off from peers and platform for {seconds:d} s")
def cut_coordinator_whole(context, seconds):
    """Cut the coordinator off from all but its callers and its target."""
    name = context.mesh.find_coordinator()
    cut(context, name, seconds, ("*",), ("*",), platform_send=True)


@when("the coordinator is cut off from the platform for {seconds:d} s")
def cut_platform(context, seconds):
    """Drop the coordinator's calls to the platform, then its answers."""
    name = context.mesh.find_coordinator()
    cut(context, name, seconds / 2, platform_send=True)
    cut(context, name, seconds / 2, platform_receive=True)


def cut(context, name: str, seconds: float, send=(), receive=(), **platform) -> None:
    """Cut a node for a while."""
    context.mesh.cut(name, send, receive, **platform)
    gevent.sleep(seconds)
    context.mesh.heal(name)
    gevent.sleep(0.5)


@when("a zone goes out and the coordinator is killed in the middle of the moves")
def kill_coordinator_moving(context):
    """Kill the coordinator while ranges leave a zone."""
    context.mesh.set_zones_out("zone-a")
    gevent.sleep(context.random.uniform(0.05, 0.3))
    kill(context, context.mesh.find_coordinator())
    gevent.sleep(3)


@when("a zone goes out while the coordinator is cut off from the platform")
def cut_moving(context):
    """Ask for moves that the coordinator cannot write."""
    mesh = context.mesh
    name = mesh.find_coordinator()
    zones = {vm.spec.node_id: vm.spec.zone for vm in mesh.list_running()}
    mesh.cut(name, platform_send=True)
    mesh.set_zones_out(next(z for z in sorted(zones.values()) if z != zones[name]))
    gevent.sleep(3)
    mesh.heal(name)


@when("the zone comes back and an owner is killed in the middle of the moves")
def kill_owner_moving(context):
    """Kill an owner while ranges come back."""
    context.mesh.set_zones_out()
    gevent.sleep(context.random.uniform(0.2, 0.6))
    kill(context, choose_owner(context))
    gevent.sleep(2)


def kill(context, *names: str) -> None:
    """Kill nodes at once; their targets go on."""
    context.at_loss = read_ranges(context.mesh)
    for name in names:
        context.mesh.vms[name].node.send_signal(9)
        context.callers.nodes.pop(name, None)
    for name in names:
        context.mesh.vms[name].node.kill()
    context.lost |= set(names)
    context.lost_ns = CLOCK.now_ns()


@when("the coordinator is killed")
def kill_coordinator(context):
    """Kill the coordinator."""
    kill(context, context.mesh.find_coordinator())
    gevent.sleep(2.5)


@when("within {seconds:d} s its vote has passed to a living node")
def wait_for_voters(context, seconds):
    """Wait until all voters live and none is missing; a second loss may follow."""
    running = {vm.spec.node_id for vm in context.mesh.list_running()}

    def is_repaired() -> bool:
        record = context.mesh.fetch_object(f"cells/{context.mesh.cell}")["value"]
        return len(record["voters"]) >= 5 and set(record["voters"]) <= running

    wait_for(is_repaired, seconds, "the voters are repaired")


@when("{count:d} voters are killed for good")
def kill_voters(context, count):
    """Kill more than half of the voters, the coordinator among them."""
    record = context.mesh.fetch_object(f"cells/{context.mesh.cell}")["value"]
    others = sorted(set(record["voters"]) - {record["coordinator"]})
    names = [record["coordinator"], *others][:count]
    peers = {name: record["voters"][name]["peer"] for name in names}
    context.lost_voters = [f"{name}@{peer}" for name, peer in peers.items()]
    kill(context, *names)


@then("the status names the silent voters")
def check_waiting(context):
    """Check what operators are told, and that nobody took over."""
    gevent.sleep(4)
    vm = context.mesh.list_running()[0]
    troubles = call(vm.operator, "GET", "/status").json()["troubles"]
    text = " ".join(f"{item['trouble']} {item['action']}" for item in troubles)
    assert all(voter in text for voter in context.lost_voters), text
    assert "lost_voters" in text, text


@when("a ticket declares them lost")
def declare_lost(context):
    """Apply the ticket through the command line at a living node."""
    voters = ", ".join(f'"{voter}"' for voter in context.lost_voters)
    text = f'number = 1\n[[cells]]\nname = "{context.mesh.cell}"\n'
    status, output = context.mesh.apply_ticket(f"{text}lost_voters = [{voters}]\n")
    assert status == 0, output


@when("every node of one zone is killed")
def kill_zone(context):
    """Kill all nodes of the zone that still has the most."""
    running = context.mesh.list_running()
    zones = [vm.spec.zone for vm in running]
    zone = max(sorted(set(zones)), key=zones.count)
    kill(context, *[vm.spec.node_id for vm in running if vm.spec.zone == zone])


@when("every node is killed at once and started again")
def restart_all(context):
    """Lose every process of the system at once."""
    names = [vm.spec.node_id for vm in context.mesh.list_running()]
    context.tokens = {r["start"]: r["token"] for r in read_ranges(context.mesh)}
    kill(context, *names)
    for name in names:
        context.mesh.start_node(name)
        context.callers.nodes[name] = context.mesh.vms[name].caller
    context.lost = set()


@when("the platform loses the next {count:d} answers to writes and an owner is killed")
def lose_answers(context, count):
    """Lose answers after their effect while an owner must be replaced."""
    context.mesh.fault_platform(lose_answers=count)
    kill(context, choose_owner(context))


@when("an owner is killed")
def kill_owner(context):
    """Kill an owner that is not the coordinator."""
    kill(context, choose_owner(context))


@when("the coordinator's process, an owner, is killed")
def kill_coordinator_owner(context):
    """Kill the coordinator, which owns ranges itself."""
    kill(context, context.mesh.find_coordinator())


@when("an owner and the coordinator are killed")
def kill_both(context):
    """Kill an owner and the coordinator at the same moment."""
    kill(context, choose_owner(context), context.mesh.find_coordinator())


@when("the platform is down for {seconds:d} s")
def stop_platform(context, seconds):
    """Take the platform down, then bring it back."""
    context.mesh.fault_platform(outage=True)
    gevent.sleep(seconds)
    context.mesh.fault_platform()


@then("an owner that is killed afterwards is replaced within {seconds:d} s")
def replace_owner(context, seconds):
    """Check that changes of owner go on by themselves."""
    gevent.sleep(2)
    kill(context, choose_owner(context))
    wait_for(lambda: is_covered(context.mesh), seconds, "the owner is replaced")


@then("within {seconds:d} s every key is served by a living owner")
def check_covered(context, seconds):
    """Wait for a full table, then ask for every key."""
    wait_for(lambda: is_covered(context.mesh), seconds, "every range is owned")
    for key in context.keys:
        wait_for(lambda key=key: is_served(context, key), seconds, f"{key} is served")


def is_served(context, key: str) -> bool:
    """Tell whether a read of the key is answered."""
    node = context.random.choice(context.mesh.list_running()).spec.node_id
    return context.callers.send(Request(SERVICE, key), node).status == 200


@then("no range of a living owner changed hands by the loss of others")
def check_kept(context):
    """Check that ranges moved only from the lost."""
    after = {entry["start"]: entry["owner"] for entry in read_ranges(context.mesh)}
    kept = [r for r in context.at_loss if r["owner"] not in context.lost]
    moved = [r for r in kept if after[r["start"]] != r["owner"]]
    assert not moved, moved[:3]


@then("tokens never went back in the platform")
def check_tokens(context):
    """Check that each range's token is at least the one before."""
    for entry in read_ranges(context.mesh):
        assert entry["token"] >= context.tokens[entry["start"]], entry


@then("no key went longer than {limit:d} ms without an answer")
def check_gaps(context, limit):
    """Check the longest gap over all keys."""
    context.callers.wait()
    gap = find_longest_gap(context.callers.history)
    print(f"longest gap {gap}")
    assert gap.longest_ms <= limit, (gap, describe_refusals(context))


@then("the keys of living owners never went longer than {limit:d} ms")
def check_living_gaps(context, limit):
    """Check the keys whose owner was not lost."""
    gaps = measure_gaps(context.callers.history)
    owners = {key: find_former_owner(context, key) for key in gaps}
    for key, gap in gaps.items():
        if owners[key] not in context.lost:
            assert gap.longest_ms <= limit, (gap, owners[key])


def find_former_owner(context, key: str) -> str:
    """Find the owner that a key had before the loss."""
    return find_owner(context.at_loss, hash_key(key))


def describe_refusals(context) -> dict:
    """Count the answers by code."""
    counts: dict[int, int] = {}
    for found in context.callers.history:
        counts[found.code] = counts.get(found.code, 0) + 1
    return counts


@step("the history of all calls keeps every promise")
def check_history(context):
    """Check callers' history against the logs of all targets."""
    context.callers.wait()
    violations = check_all(context.callers.history, context.mesh.fetch_all_executions())
    print(f"answers by code {describe_refusals(context)}")
    assert not violations, violations[:5]


@then("at least {changes:d} owners changed and {done:d} requests were done")
def check_happened(context, changes, done):
    """Check that the run was no empty one."""
    before = {entry["start"]: entry["token"] for entry in context.before}
    after = read_ranges(context.mesh)
    changed = sum(1 for entry in after if before.get(entry["start"]) != entry["token"])
    assert changed >= changes, changed
    finished = [
        found
        for found in context.callers.history
        if found.outcome == Outcome.DONE.value
    ]
    assert len(finished) >= done, (len(finished), describe_refusals(context))


@when("a zone is taken out while its nodes are cut off from the platform")
def take_zone_out(context):
    """Cut a zone's nodes off from the platform, then take the zone out."""
    mesh = context.mesh
    names = [vm.spec.node_id for vm in mesh.list_running() if vm.spec.zone == "zone-a"]
    for name in names:
        mesh.cut(name, platform_send=True)
    context.silent = names
    mesh.set_zones_out("zone-a")
    context.accepted_ns = CLOCK.now_ns()


@when("a target announces its leaving while its node is cut off from the platform")
def leave_target(context):
    """Let a target tell its node that it leaves."""
    name = choose_owner(context)
    context.mesh.cut(name, platform_send=True)
    context.silent = [name]
    reply = call(context.mesh.vms[name].announce, "POST", "/leave", {})
    assert reply.status == 200, reply
    context.accepted_ns = CLOCK.now_ns()


@then("its targets started nothing new after {seconds:d} s")
def check_nothing_new(context, seconds):
    """Check the targets' logs for work that began later."""
    context.callers.wait()
    from_ns = context.accepted_ns + seconds * NS_PER_S
    violations = check_silence(
        context.mesh.fetch_all_executions(), context.silent, from_ns, CLOCK.now_ns()
    )
    assert not violations, violations[:5]
    offered = [c for c in context.callers.history if c.sent_ns > from_ns]
    assert len(offered) > 50, len(offered)


@when("a node that owns keys is shut down by SIGTERM")
def terminate_node(context):
    """Shut a node down and wait until it has ended."""
    gevent.sleep(1)
    name = choose_owner(context)
    context.callers.nodes.pop(name)
    context.left = name
    before = CLOCK.now_ns()
    status = context.mesh.vms[name].node.terminate(20)
    context.left_ms = (CLOCK.now_ns() - before) / NS_PER_MS
    print(f"left after {context.left_ms} ms")
    assert status == 0, status


@then("no request in flight there was cut off")
def check_uncut(context):
    """Check that no caller saw a broken or uncertain answer."""
    context.callers.wait()
    uncertain = [
        found
        for found in context.callers.history
        if found.outcome == Outcome.MAY_HAVE_RUN.value or not found.answered
    ]
    assert not uncertain, uncertain[:5]


@given("the versions in force at every node are recorded")
def record_versions(context):
    """Poll every node's version in the background."""
    context.versions = []
    mesh = context.mesh

    def poll() -> None:
        while True:
            for name, vm in mesh.vms.items():
                reply = call_or_none(vm.operator, "GET", "/dump")
                if reply is not None and reply.status == 200:
                    value = reply.json()
                    pid = vm.node.pid
                    context.versions.append((CLOCK.now_ns(), name, pid, value))
            time.sleep(0.2)

    task = gevent.spawn(poll)
    context.add_cleanup(task.kill)


@when(
    "{count:d} operators race conflicting tickets for {seconds:d} s with seed {seed:d}"
)
def race_operators(context, count, seconds, seed):
    """Change the longest request of the service, each operator at its own pace."""
    print(f"seed {seed}")
    context.accepted = []
    context.random = random.Random(seed)
    end_ns = CLOCK.now_ns() + seconds * NS_PER_S

    def run(operator: int) -> None:
        while CLOCK.now_ns() < end_ns:
            value = create_full_configuration(context.mesh.layout)
            value["services"][SERVICE]["longest_request_ms"] = 1000 + operator
            try:
                version = context.mesh.put_configuration(value)
            except (RuntimeError, OSError, HTTPException):
                continue
            context.accepted.append((CLOCK.now_ns(), version))
            time.sleep(context.random.uniform(0.1, 0.6))

    context.race = [gevent.spawn(run, index) for index in range(count)]


@when("meanwhile a node is cut off from the platform and another from its peers")
def cut_two(context):
    """Cut the coordinator off from the platform, and a member from its peers."""
    gevent.sleep(1)
    first = context.mesh.find_coordinator()
    second = choose_owner(context)
    context.mesh.cut(first, platform_send=True)
    context.mesh.cut(second, ("*",), ("*",))
    gevent.sleep(4)
    context.mesh.heal(first)
    context.mesh.heal(second)


@when("meanwhile a node is restarted and the platform loses {count:d} answers")
def restart_one(context, count):
    """Restart a member and lose answers of the platform."""
    context.mesh.fault_platform(lose_answers=count)
    context.mesh.restart_node(choose_owner(context))
    gevent.joinall(context.race)
    gevent.sleep(7)


@then("every accepted ticket was in force at every serving node within {seconds:d} s")
def check_in_force(context, seconds):
    """Check each record taken later than the bound, where the node held a lease."""
    assert len(context.accepted) > 10, context.accepted
    late = []
    checked = 0
    for at_ns, name, _pid, dump in context.versions:
        due = [
            version
            for accepted_ns, version in context.accepted
            if accepted_ns + seconds * NS_PER_S < at_ns
        ]
        if not due or dump["parts"]["lease"]["remaining_ms"] <= 0:
            continue
        checked += 1
        if dump["parts"]["membership"]["config_version"] < max(due):
            late.append((name, at_ns, max(due), dump["parts"]["membership"]))
    assert checked > 50, checked
    assert not late, late[:3]
    final = max(version for _, version in context.accepted)
    last = {name: dump for _, name, _, dump in context.versions}
    assert len(last) == len(context.mesh.vms)
    for name, dump in last.items():
        assert dump["parts"]["membership"]["config_version"] >= final, name


@then("no node's version ever went back")
def check_versions(context):
    """Check the versions of each process in order."""
    held: dict[tuple[str, int], int] = {}
    for _, name, pid, dump in context.versions:
        version = dump["parts"]["membership"]["config_version"]
        assert version >= held.get((name, pid), 0), (name, version)
        held[(name, pid)] = version
