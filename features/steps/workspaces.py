"""Steps about workspaces and their credentials."""

import math
import random
import time

import gevent
from behave import given, then, when

from features.support.mesh_harness import Mesh
from features.support.mesh_processes import ProcessMesh
from features.support.workspaces import (
    BLUE,
    BLUE_CREDENTIAL,
    CREDENTIALS,
    GREEN_CREDENTIAL,
    NEW_CREDENTIAL,
    SMALL_CREDENTIAL,
    UNKNOWN_CREDENTIAL,
    create_workspace_document,
)
from knapweedrock.json_input import InputError
from knapweedrock.mesh.definitions import Route
from knapweedrock.mesh.http import Headers, Response, encode_request
from knapweedrock.mesh.http_connections import dial
from knapweedrock.mesh.http_parsers import ResponseParser
from knapweedrock.mesh.routes import RouteIndex
from knapweedrock.platform.documents import decode_configuration
from knapweedrock.platform.headers import CREDENTIAL, WORKSPACE
from knapweedrock.workspaces.definitions import Workspace
from knapweedrock.workspaces.identity import combine_priorities

KEY = 300
POLL_S = 0.05
CREDENTIAL_HEADERS: dict[str, Headers] = {
    "no credential": [],
    "an empty credential": [(CREDENTIAL, "")],
    "an unknown credential": [(CREDENTIAL, UNKNOWN_CREDENTIAL)],
    "the same credential twice": [(CREDENTIAL, BLUE_CREDENTIAL)] * 2,
    "a credential and an unknown one": [
        (CREDENTIAL, BLUE_CREDENTIAL),
        (CREDENTIAL, UNKNOWN_CREDENTIAL),
    ],
    "two credentials in one header": [
        (CREDENTIAL, f"{BLUE_CREDENTIAL}, {GREEN_CREDENTIAL}")
    ],
    "a credential of 8000 characters": [(CREDENTIAL, "x" * 8000)],
    "a credential in upper case": [(CREDENTIAL, BLUE_CREDENTIAL.upper())],
}
ODD_WORKSPACES = {
    "a negative rate": {"ratePerS": -1},
    "a rate without end": {"ratePerS": math.inf},
    "a rate that is a text": {"ratePerS": "many"},
    "a negative burst": {"burst": -1},
    "credentials that are no list": {"apiKeys": BLUE_CREDENTIAL},
    "an empty one": {"apiKeys": [""]},
    "one that is a number": {"apiKeys": [12]},
    "one of another workspace": {"apiKeys": [BLUE_CREDENTIAL]},
}


@given(
    "a mesh of {keyed:d} keyed and {unkeyed:d} unkeyed targets with workspaces",
)
def start_mesh_with_workspaces(context, keyed: int, unkeyed: int) -> None:
    """Start a mesh whose configuration has workspaces."""
    context.mesh = Mesh(keyed, unkeyed)
    context.add_cleanup(context.mesh.stop)
    context.mesh.configure(create_workspace_document())
    context.mesh.start()


def send(context, name: str, headers: Headers, path: str = "/read/1") -> Response:
    """Send a request with the given headers to a node."""
    key = KEY if path.startswith("/read/") else None
    return context.mesh.call(name, path, key, extra_headers=headers)


def list_received(context) -> list:
    """List the requests that targets have executed."""
    return [
        request for place in context.mesh.places for request in place.holder.requests
    ]


@when("requests with the credential of blue are sent to every node")
def send_known(context) -> None:
    """Send requests of both services."""
    context.responses = [
        send(context, name, [(CREDENTIAL, BLUE_CREDENTIAL)], path)
        for name in context.mesh.nodes
        for path in ("/read/1", "/list/1")
    ]


@when("requests with the credential of blue name the workspace green")
def send_foreign_workspace(context) -> None:
    """Name another workspace in the header that nodes set."""
    headers = [(WORKSPACE, "green"), (CREDENTIAL, BLUE_CREDENTIAL)]
    headers.append(("X-Tenant", "green"))
    context.responses = [send(context, name, headers) for name in context.mesh.nodes]


@then("each is served, and its target sees the workspace blue and no credential")
def check_workspace(context) -> None:
    """Check responses, and the headers that targets received."""
    assert [r.status for r in context.responses] == [200] * len(context.responses)
    received = list_received(context)
    assert len(received) >= len(context.responses)
    for request in received:
        named = [value for name, value in request.headers if name == WORKSPACE]
        assert named == [BLUE], request.headers
        assert CREDENTIAL not in request.fields, request.headers


@when("a request bears {credentials}")
def send_credentials(context, credentials: str) -> None:
    """Send a request with known, unknown or odd credentials."""
    name = next(iter(context.mesh.nodes))
    context.response = send(context, name, CREDENTIAL_HEADERS[credentials])


@then("it gets 401 and reaches no target")
def check_unknown(context) -> None:
    """Check the refusal, and that nothing ran."""
    assert context.response.status == 401, context.response
    assert context.response.get_header("www-authenticate")
    assert not list_received(context)


@when(
    "a public route gets requests with no credential, an unknown one and that of blue"
)
def send_public(context) -> None:
    """Send requests on a public route."""
    name = next(iter(context.mesh.nodes))
    all_headers = (
        [],
        [(CREDENTIAL, UNKNOWN_CREDENTIAL), (WORKSPACE, "green")],
        [(CREDENTIAL, BLUE_CREDENTIAL)],
    )
    context.responses = [
        send(context, name, headers, "/public/1") for headers in all_headers
    ]


@then("all are served, and only the last has a workspace")
def check_public(context) -> None:
    """Check which workspaces the target saw."""
    assert [r.status for r in context.responses] == [200, 200, 200]
    received = list_received(context)
    assert [r.fields.get(WORKSPACE) for r in received] == [None, None, BLUE]
    assert all(CREDENTIAL not in request.fields for request in received)


@when("a version gives blue another credential in place of its own")
def replace_credential(context) -> None:
    """Publish a version with another credential."""
    context.mesh.configure(create_workspace_document(2, NEW_CREDENTIAL))
    context.changed_s = time.monotonic()


@then(
    "within {seconds:g} s every node refuses the old credential and accepts the new one"
)
def check_replaced(context, seconds: float) -> None:
    """Poll all nodes until each follows the new version."""
    expected = [401, 200]
    while True:
        statuses = {
            name: [
                send(context, name, [(CREDENTIAL, credential)]).status
                for credential in (BLUE_CREDENTIAL, NEW_CREDENTIAL)
            ]
            for name in context.mesh.nodes
        }
        if all(pair == expected for pair in statuses.values()):
            return
        assert time.monotonic() - context.changed_s < seconds, statuses
        gevent.sleep(POLL_S)


@when("a request has a credential and names a workspace, which means nothing")
def send_without_workspaces(context) -> None:
    """Send headers to a mesh whose configuration has no workspaces."""
    context.headers = [(CREDENTIAL, "anything"), (WORKSPACE, "anyone")]
    name = next(iter(context.mesh.nodes))
    context.response = send(context, name, context.headers)


@then("it is served, and its target sees both headers")
def check_headers_passed(context) -> None:
    """Check that the headers were forwarded unchanged."""
    assert context.response.status == 200
    (request,) = list_received(context)
    assert set(context.headers) <= set(request.headers), request.headers


@when(
    "{count:d} requests of small are sent to every node in turn, {seconds:d} s after "
    "their start"
)
def send_beyond_quota(context, count: int, seconds: int) -> None:
    """Send requests faster than the quota allows, once the bucket is full."""
    gevent.sleep(seconds)
    context.responses = [
        send(context, name, [(CREDENTIAL, SMALL_CREDENTIAL)], "/list/1")
        for _ in range(count)
        for name in context.mesh.nodes
    ]


@then(
    "between {least:d} and {most:d} are served, and the others get 429 with Retry-After"
)
def check_quota(context, least: int, most: int) -> None:
    """Check how many requests were served."""
    served = [r for r in context.responses if r.status == 200]
    refused = [r for r in context.responses if r.status == 429]
    assert len(served) + len(refused) == len(context.responses)
    assert least <= len(served) <= most, len(served)
    assert all(float(r.get_header("retry-after")) > 0 for r in refused)


@then("requests of blue are still served by every node")
def check_others_served(context) -> None:
    """Check that another workspace is not affected."""
    for name in context.mesh.nodes:
        response = send(context, name, [(CREDENTIAL, BLUE_CREDENTIAL)], "/list/1")
        assert response.status == 200, response


@when("the node that accounts for small is killed")
def kill_accountant(context) -> None:
    """Kill the accountant after a first charge, so that links to it are open."""
    mesh = context.mesh
    for name in mesh.nodes:
        send(context, name, [(CREDENTIAL, SMALL_CREDENTIAL)], "/list/1")
    node = next(iter(mesh.nodes.values()))
    accounts = node.quotas._accounts
    mesh.kill_node(accounts.order.list_candidates("small")[0])


@then("a request of small is served by another node within {seconds:g} s")
def check_next_accountant(context, seconds: float) -> None:
    """Poll one of the other nodes until it serves a request of the workspace."""
    until_s = time.monotonic() + seconds
    names = list(context.mesh.nodes)
    statuses = []
    while 200 not in statuses:
        assert time.monotonic() < until_s, statuses
        headers = [(CREDENTIAL, SMALL_CREDENTIAL)]
        statuses.append(send(context, names[0], headers, "/list/1").status)
        gevent.sleep(POLL_S)


@given("a mesh of node processes with workspaces")
def start_processes_with_workspaces(context) -> None:
    """Start node processes that log to files."""
    context.mesh = ProcessMesh(2, unkeyed=1)
    context.add_cleanup(context.mesh.stop)
    context.mesh.configure(create_workspace_document())
    context.mesh.start()


@when("requests with known and unknown credentials are sent, and an odd configuration")
def send_all_credentials(context) -> None:
    """Send each credential to each node, in headers of all kinds."""
    mesh = context.mesh
    for name in mesh.nodes:
        for credential in CREDENTIALS:
            send(context, name, [(CREDENTIAL, credential)])
            send(context, name, [(CREDENTIAL, credential)], "/public/1")
            send(context, name, [(CREDENTIAL, credential)] * 2)
        for _ in range(15):
            send(context, name, [(CREDENTIAL, SMALL_CREDENTIAL)], "/list/1")
    odd = {"apiKeys": [BLUE_CREDENTIAL], "ratePerS": 1}
    mesh.configure(create_workspace_document(2, **odd))
    mesh.configure({"version": 3, "routes": {}, "services": BLUE_CREDENTIAL})
    gevent.sleep(1.0)


@then("no log and no operators' page contains a credential")
def check_output(context) -> None:
    """Read all logs and all pages of all nodes."""
    texts = {}
    for name, node in context.mesh.nodes.items():
        texts[name] = node.log.read_bytes()
        for path in ("/metrics", "/status", "/dump", "/owner?service=orders&key=1"):
            texts[f"{name}{path}"] = read_page(node.place.settings.metrics, path)
    assert any(b"QUOTA_EXCEEDED" in text for text in texts.values())
    assert any(b"configuration rejected" in text for text in texts.values())
    for source, text in texts.items():
        for credential in CREDENTIALS:
            assert credential.encode() not in text, f"{credential} in {source}"


def read_page(address: tuple[str, int], path: str) -> bytes:
    """Read an operators' page."""
    connection = dial(address, 2)
    try:
        connection.send(encode_request("GET", path, [("Host", "node")], b""), 5)
        return connection.read(ResponseParser(), 5).body
    finally:
        connection.close()


@given("workspaces of priority 1 and 2, and routes of priority 0 and 5")
def create_priorities(context) -> None:
    """Create workspaces and routes."""
    context.workspaces = [Workspace("urgent", 1), Workspace("other", 2)]
    context.routes = [create_route("/a/", 0), create_route("/b/", 5)]


def create_route(prefix: str, priority: int = 0, host: str = "h") -> Route:
    """Create a route."""
    return Route(prefix, host, prefix, True, 1000.0, 500.0, priority, (), 1)


@then("their requests are ranked by workspace first and by route within it")
def check_ranks(context) -> None:
    """Check the order of all combinations."""
    ranks = [
        combine_priorities(workspace, route)
        for workspace in context.workspaces
        for route in context.routes
    ]
    assert ranks == sorted(set(ranks)), ranks
    assert [combine_priorities(None, route) for route in context.routes] == [0, 5]


@when("a workspace is added that has {odd}")
def decode_odd(context, odd: str) -> None:
    """Decode a configuration with an odd workspace."""
    fields = ODD_WORKSPACES.get(odd, {"priority": 3})
    try:
        context.result = decode_configuration(create_workspace_document(1, **fields))
    except InputError as error:
        context.result = error


@then('it is refused with an error that says "{text}" and contains no credential')
def check_error(context, text: str) -> None:
    """Check the error's text."""
    assert isinstance(context.result, InputError), context.result
    assert text in str(context.result), context.result
    assert not any(credential in str(context.result) for credential in CREDENTIALS)


@then("it is accepted, and the workspace has no quota")
def check_accepted(context) -> None:
    """Check the decoded workspace, and that its representation hides credentials."""
    workspaces = context.result.workspaces
    assert workspaces.by_name["odd"] == Workspace("odd", 3)
    assert not workspaces.by_name["odd"].is_limited
    assert BLUE_CREDENTIAL not in repr(context.result)


@when("random routes and paths are looked up")
def look_up_random(context) -> None:
    """Look up paths among routes whose prefixes nest."""
    chance = random.Random(7)
    context.found = []
    for _ in range(300):
        routes = [create_random_route(chance) for _ in range(chance.randrange(12))]
        index = RouteIndex(routes)
        for _ in range(20):
            host, path = chance.choice("hgx"), create_random_path(chance)
            matching = [
                r for r in routes if r.host == host and path.startswith(r.prefix)
            ]
            expected = max(matching, key=lambda r: len(r.prefix), default=None)
            context.found.append((index.find(host, path), expected))


def create_random_path(chance: random.Random) -> str:
    """Create a path of a few short segments."""
    segments = [chance.choice("ab") for _ in range(chance.randrange(5))]
    return "/" + "".join(f"{segment}/" for segment in segments) + chance.choice(" ax")


def create_random_route(chance: random.Random) -> Route:
    """Create a route with a short prefix and some priority."""
    prefix = create_random_path(chance)[:-1]
    return create_route(prefix, chance.randrange(1000), chance.choice("hg"))


@then("each path gets the first route with the longest prefix")
def check_found(context) -> None:
    """Compare the index with the search."""
    assert any(expected is not None for _, expected in context.found)
    for found, expected in context.found:
        assert found is expected, (found, expected)


class CountingDict(dict):
    """A dict that counts its look-ups."""

    count = 0

    def get(self, *arguments):
        """Count and look up."""
        CountingDict.count += 1
        return super().get(*arguments)


@when("routes are looked up among {few:d} and among {many:d}")
def count_comparisons(context, few: int, many: int) -> None:
    """Count the look-ups that the last route's path takes."""
    context.counts = []
    for count in (few, many):
        routes = [create_route(f"/r{number:05}/") for number in range(count)]
        index = RouteIndex(routes)
        host_routes = index._hosts["h"]
        host_routes._by_prefix = CountingDict(host_routes._by_prefix)
        CountingDict.count = 0
        assert index.find("h", f"{routes[-1].prefix}x") is routes[-1]
        context.counts.append(CountingDict.count)


@then("the larger look-up makes at most twice as many comparisons")
def check_comparisons(context) -> None:
    """Compare the counts."""
    few, many = context.counts
    assert 0 < many <= 2 * few, context.counts
