"""Steps about the pages on which operators inspect a mesh."""

import json
import socket

from behave import given, then, when
from hypothesis import strategies as st

from features.support.examples import feed_examples
from features.support.mesh_builders import create_settings
from features.support.operators import start_mesh
from knapweedrock.checker import parse_address
from knapweedrock.clock import create_clock
from knapweedrock.codes import Code
from knapweedrock.emulator.addresses import create_address
from knapweedrock.http_client import create_client
from knapweedrock.mesh.node import Node

TIMEOUT_S = 5
READ_BYTES = 65536
REFUSED_STATUSES = (400, 505)
MOVE_TIMEOUT_S = 15


@given("a mesh that operators inspect")
def start_inspected_mesh(context):
    """Start a mesh with three targets."""
    start_mesh(context)


@given("a node that reaches neither store nor peers")
def start_isolated_node(context):
    """Start a node without a store and without peers."""
    settings = create_settings(0, create_address(), create_address())
    node = Node(settings, create_clock())
    node.start()
    context.add_cleanup(node.abort)
    context.address = str(settings.metrics)


@when('zone "{zone}" is taken out of service on all nodes')
def evacuate_zone(context, zone):
    """Take a zone out of service and wait until all nodes know it."""
    mesh = context.mesh
    mesh.evacuate_zone(zone)
    mesh.wait_until(lambda: all(zone in n.zones_out for n in mesh.nodes.values()))


@when('the target of "{name}" crashes')
def crash_target(context, name):
    """Crash a target and wait until all nodes know it as absent."""
    mesh = context.mesh
    mesh.find_place(name).holder.crash()
    nodes = mesh.nodes.values()
    mesh.wait_until(lambda: all(n.board.members[name].state == "absent" for n in nodes))


@when('the VM of "{name}" is lost and its keys have moved')
def lose_vm(context, name):
    """Kill node and target of a VM, and wait until other nodes own its keys."""
    mesh = context.mesh
    mesh.lose_vm(name)

    def have_keys_moved():
        rows = [r for n in mesh.nodes.values() for r in n.get_rows("orders")]
        return rows and all(row.node_id != name for row in rows)

    mesh.wait_until(have_keys_moved, MOVE_TIMEOUT_S)


@when("a request without a route is refused")
def send_unrouted(context):
    """Send a request that matches no route."""
    assert context.mesh.call("node-0", "/nowhere", key=1).status == 404


def fetch(address, target, method="GET"):
    """Fetch a page; return its status and body."""
    client = create_client(address, TIMEOUT_S)
    try:
        response = client.request(method, target)
        return response.status_code, bytes(response.read())
    finally:
        client.close()


@then("its pages respond with")
def check_pages(context):
    """Check the status and the error code of each page."""
    for row in context.table:
        status, body = fetch(context.address, row["page"])
        code = 0 if status == 200 else json.loads(body)["code"]
        assert (status, code) == (int(row["status"]), int(row["code"])), (row, body)


@then("arbitrary paths and queries get responses with a known code")
def request_arbitrary_paths(context):
    """Request random pages with random queries."""
    path = st.sampled_from(["/owner", "/status", "/dump", "/x", "/", "/x//", "/[::1"])
    text = st.from_regex(r"[!-~]{0,12}", fullmatch=True)
    method = st.sampled_from(["GET", "POST", "DELETE"])

    def check_response(method, path, key, service):
        target = f"{path}?key={key}&service={service}"
        status, body = fetch(context.address, target.replace("#", ""), method)
        if status != 200:
            assert Code(json.loads(body)["code"]), body

    feed_examples(check_response, method, path, text, text, count=100)


@then("invalid HTTP is refused")
def send_invalid_http(context):
    """Send each invalid request and expect a refusal."""
    for row in context.table:
        data = row["request"].replace("\\n", "\r\n").encode() + b"\r\n\r\n"
        with socket.create_connection(parse_address(context.address), TIMEOUT_S) as s:
            s.sendall(data)
            head = s.recv(READ_BYTES)
        assert int(head.split()[1]) in REFUSED_STATUSES, (row["request"], head)


@then("the node still shows its status")
def check_status(context):
    """Check that the status page responds without troubles."""
    status, body = fetch(context.address, "/status")
    assert status == 200, status
    assert json.loads(body)["troubles"] == [], body
