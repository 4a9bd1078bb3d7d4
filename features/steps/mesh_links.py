"""Steps about requests whose link to another node is in trouble."""

import gevent
from behave import given, then, when

from features.support.mesh_proxied import PATIENT_MS, ProxiedMesh
from knapweedrock.mesh.http import AnswerParser

ENTRY = "node-0"
ANSWER_S = 8.0
SEND_S = 1.0
# Requests whose runs are looked at, by kind.
KINDS = {"order": ("POST", "/order/1", b"body"), "read": ("GET", "/read/1", b"")}


@given("a mesh of {nodes:d} nodes behind proxies whose targets work for {work_ms:d} ms")
def give_proxied(context, nodes: int, work_ms: int) -> None:
    """Start nodes that dial each other through proxies."""
    context.mesh = ProxiedMesh(nodes)
    context.add_cleanup(context.mesh.stop)
    context.mesh.start()
    for place in context.mesh.places:
        place.holder.work_ms = float(work_ms)


@when("a {kind} is at work at a target beside another node")
def begin_work(context, kind: str) -> None:
    """Send a request for a key of another node and wait until its target runs it."""
    mesh = context.mesh
    method, path, body = KINDS[kind]
    key = mesh.find_remote_key(ENTRY)
    context.owner = mesh.find_owner(key)
    data, context.attempt_id = mesh.encode(path, key, method, body, PATIENT_MS)
    context.connection = mesh.open(ENTRY)
    context.connection.send(data, SEND_S)
    mesh.wait_until(lambda: context.owner.holder.requests)


@when("the link to that node is held up for {ms:d} ms")
def hold_up(context, ms: int) -> None:
    """Let no byte pass for a while, neither on open connections nor on new ones."""
    proxy = find_proxy(context)
    for way in proxy.ways:
        way.open.clear()
    gevent.spawn_later(ms / 1000, proxy.mend)


@when("the link to that node is silent for good")
def silence(context) -> None:
    """Let open connections carry nothing any more, while new ones work."""
    find_proxy(context).silence()


@when("the link to that node is reset")
def reset(context) -> None:
    """Reset the open connections."""
    find_proxy(context).reset()


def find_proxy(context):
    """Return the proxy before the node beside the target that is at work."""
    return context.mesh.proxies[context.owner.settings.node_id]


@when("the node where it entered is told to stop")
def stop_entry(context) -> None:
    """Begin to stop the node in order."""
    gevent.spawn(context.mesh.nodes[ENTRY].stop)


@then("its caller gets the target's own answer")
def check_answer(context) -> None:
    """Read the answer that the caller gets."""
    try:
        answer = context.connection.read(AnswerParser(), ANSWER_S)
    finally:
        context.connection.close()
    assert answer.status == 200, answer
    assert answer.body.decode().startswith(context.attempt_id), answer


@then("it ran once and nothing was cut")
def check_ran_once(context) -> None:
    """Check the runs of all targets."""
    holders = [place.holder for place in context.mesh.places]
    ran = [run.attempt_id for holder in holders for run in holder.runs]
    cut = [attempt_id for holder in holders for attempt_id in holder.cut]
    assert ran.count(context.attempt_id) == 1, ran
    assert not cut, cut
