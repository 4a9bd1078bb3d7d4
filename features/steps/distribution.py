"""Steps about the configuration in force at the nodes of a mesh."""

import random
import time
from http.client import HTTPException

import gevent
from behave import given, then, when

from features.support.builders import create_full_configuration
from features.support.http import call_or_none
from features.support.owners import CLOCK, SERVICE, choose_owner
from knapweedrock.clock import NS_PER_S


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
