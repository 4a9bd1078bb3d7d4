"""Steps about what targets, operators and callers say to a node."""

import json
import tempfile
from copy import deepcopy
from pathlib import Path

import gevent
from behave import given, then, when
from gevent import socket

from features.support.mesh_builders import (
    FakeClock,
    create_heartbeat,
    create_settings,
)
from knapweedrock.codes import Code
from knapweedrock.emulator.addresses import create_address
from knapweedrock.errors import RefusalError
from knapweedrock.mesh.admission import Admission
from knapweedrock.mesh.http import ResponseParser, dial, encode_request
from knapweedrock.mesh.settings import parse_settings, read_file
from knapweedrock.mesh.targets import Target
from knapweedrock.platform.heartbeats import decode_message

PATH = "/instances/i-1/heartbeat"
FIELDS = {
    "address": "10.0.0.1:80",
    "born": 1234,
    "information": {"service": "orders", "version": "1", "zone": "z", "slots": 18},
    "status": {"state": "ready", "seq": 3, "coldRemainingMs": 500},
    "holds": [[0, 99, 4]],
    "freed": [[100, 199, "mark"]],
}
HEAD = "POST /order/1 HTTP/1.1\r\nHost: mesh.example\r\nX-Shard-Key: 1\r\n"
TRICKS = {
    "a length and chunks": "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "two lengths": "Content-Length: 3\r\nContent-Length: 5\r\n",
    "a length that is no number": "Content-Length: 3x\r\n",
}


def break_fields(fault: str) -> bytes:
    """Encode a heartbeat with a fault."""
    fields = deepcopy(FIELDS)
    match fault:
        case "no state":
            del fields["status"]["state"]
        case "an unknown state":
            fields["status"]["state"] = "asleep"
        case "a text for its slots":
            fields["information"]["slots"] = "many"
        case "a key above the highest":
            fields["holds"] = [[0, 65536, 1]]
        case "bytes that are no JSON":
            return b"\xff{"
        case "a list for all":
            return b"[]"
        case "a fraction for its start":
            fields["born"] = 1.5
        case _:
            raise AssertionError(f"unknown fault {fault}")
    return json.dumps(fields).encode()


@given("the heartbeat of a target")
def give_heartbeat(context) -> None:
    """Take the usual heartbeat."""
    context.heartbeat = None


@given("a node's view of a target that has started twice")
def give_twice(context) -> None:
    """Let a target start twice."""
    settings = create_settings(0, create_address(), create_address())
    clock = FakeClock()
    context.target = Target(settings, clock, Admission(clock))
    assert context.target.take(create_heartbeat(target="n0@1", sequence=5))
    assert context.target.take(create_heartbeat(target="n0@2", sequence=1))


@given("settings without a store and with a text for the longest hold")
def give_settings(context) -> None:
    """Write a file of wrong settings."""
    context.file = tempfile.NamedTemporaryFile("w", suffix=".env")  # noqa: SIM115
    context.add_cleanup(context.file.close)
    context.file.write("KNAPWEEDROCK_SERVE_MAX_HOLD_MS=long\n")
    context.file.flush()


@when("it comes with {fault}")
def decode_broken(context, fault: str) -> None:
    """Decode a broken heartbeat."""
    context.error = None
    try:
        decode_message(PATH, break_fields(fault))
    except RefusalError as error:
        context.error = error


@when("it comes as it is")
def decode_good(context) -> None:
    """Decode the heartbeat."""
    context.heartbeat = decode_message(PATH, json.dumps(FIELDS).encode())


@when("a heartbeat of its first start comes late")
def send_late(context) -> None:
    """Send a heartbeat of the former start."""
    late = create_heartbeat(target="n0@1", sequence=9, draining=True)
    context.is_news = context.target.take(late)


@when("a heartbeat of another service comes to its node")
def send_foreign(context) -> None:
    """Send a heartbeat that isn't of the target beside the node."""
    place = context.mesh.places[0]
    fields = deepcopy(FIELDS)
    fields["information"]["service"] = "strangers"
    connection = dial(place.settings.heartbeat, 2)
    data = encode_request("POST", PATH, [("Host", "node")], json.dumps(fields).encode())
    connection.send(data, 2)
    context.status = connection.read(ResponseParser(), 2).status
    connection.close()


@when("operators write a configuration without routes")
def write_broken(context) -> None:
    """Write a configuration that can't be decoded."""
    context.mesh.configure({"version": 2})


@when("the store drops its history")
def drop_history(context) -> None:
    """Let the store drop its history."""
    context.mesh.objects.forget_history()


@when("{ms:d} ms pass in the mesh")
def wait(context, ms: int) -> None:
    """Wait."""
    gevent.sleep(ms / 1000)


@when("they are read")
def read_wrong(context) -> None:
    """Read the wrong settings."""
    context.errors = []
    try:
        parse_settings(read_file(Path(context.file.name)))
    except ExceptionGroup as group:
        context.errors = [str(error) for error in group.exceptions]


@when("a request comes with {trick}")
def send_trick(context, trick: str) -> None:
    """Send a request whose length can be read in two ways."""
    connection = dial(context.mesh.places[0].settings.caller, 2)
    connection.send((HEAD + TRICKS[trick] + "\r\nabc").encode(), 2)
    context.status = connection.read(ResponseParser(), 2).status
    connection.close()


@then("the heartbeat is refused with code {code:d}")
def check_refused(context, code: int) -> None:
    """Check the code of the refusal."""
    assert context.error is not None
    assert context.error.code == Code(code), context.error


@then("its holds, releases and start are known")
def check_decoded(context) -> None:
    """Check the decoded heartbeat."""
    heartbeat = context.heartbeat
    assert heartbeat.target == "i-1@1234"
    assert heartbeat.held == ((0, 99, 4),)
    assert heartbeat.released == ((100, 199, "mark"),)
    assert heartbeat.cold_ms == 500
    assert not heartbeat.draining


@then("the second start is still the one that counts")
def check_second(context) -> None:
    """Check that the late heartbeat changed nothing."""
    assert not context.is_news
    assert context.target.name == "n0@2"
    assert not context.target.draining


@then("the heartbeat is answered with {status:d}")
def check_heartbeat_status(context, status: int) -> None:
    """Check the status of the answer."""
    assert context.status == status, context.status


@then("the node still names its own target")
def check_own_target(context) -> None:
    """Check what the node takes for its target."""
    node = next(iter(context.mesh.nodes.values()))
    assert node.target.name == context.mesh.places[0].holder.target


@then("version {version:d} is in force within {seconds:d} s")
def check_version(context, version: int, seconds: int) -> None:
    """Check the version of every node."""
    mesh = context.mesh

    def is_in_force() -> bool:
        return {n.configuration.version for n in mesh.nodes.values()} == {version}

    mesh.wait_until(is_in_force, seconds)


@then("both are named in one error")
def check_errors(context) -> None:
    """Check that the errors name both settings."""
    text = "\n".join(context.errors)
    assert "KNAPWEEDROCK_SERVE_STORE" in text, text
    assert "KNAPWEEDROCK_SERVE_MAX_HOLD_MS" in text, text


@then("the target ran nothing")
def check_ran_nothing(context) -> None:
    """Check that no part of the request reached the target."""
    gevent.sleep(0.2)
    assert context.mesh.places[0].holder.runs == []


@when('a request has the header "{header}"')
def send_header(context, header: str) -> None:
    """Send a request with one header, in which hexadecimal escapes are bytes."""
    line = header.encode().decode("unicode_escape")
    lines = ["GET /read/1 HTTP/1.1", "Host: mesh.example", "X-Attempt-Id: h1", line]
    send_lines(context, lines)


@when("a request has a key of {count:d} digits")
def send_long_key(context, count: int) -> None:
    """Send a request whose key is far too long."""
    send_header(context, "X-Shard-Key: " + "9" * count)


@when("a request names a header of its own in Connection")
def send_connection_header(context) -> None:
    """Send a request with a header for this connection alone, and one for all."""
    lines = ["GET /read/1 HTTP/1.1", "Host: mesh.example", "X-Attempt-Id: h2"]
    lines += ["Connection: keep-alive, X-Own", "X-Own: 1", "X-Other: 2"]
    send_lines(context, [*lines, "X-Shard-Key: 1"])
    assert context.status == 200, context.status


@when("a HEAD request comes")
def send_head(context) -> None:
    """Send a request whose answer has no body."""
    sock = socket.create_connection(context.mesh.places[0].settings.caller, 2)
    lines = ["HEAD /read/1 HTTP/1.1", "Host: mesh.example", "X-Attempt-Id: h3"]
    lines += ["X-Shard-Key: 1", "Connection: close"]
    began_ns = context.mesh.clock.now_ns()
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
    context.received = b""
    with gevent.Timeout(2, False):
        while data := sock.recv(65536):
            context.received += data
    context.took_ms = (context.mesh.clock.now_ns() - began_ns) / 1e6
    sock.close()


@then("its target got neither Connection nor that header")
def check_connection_headers(context) -> None:
    """Check the headers that the target got."""
    fields = context.mesh.places[0].holder.requests[-1].fields
    assert "connection" not in fields, fields
    assert "x-own" not in fields, fields


@then("it got the other headers")
def check_other_headers(context) -> None:
    """Check that nothing else was left out."""
    fields = context.mesh.places[0].holder.requests[-1].fields
    assert fields["x-other"] == "2", fields


@then("the answer is {status:d} within {limit_ms:d} ms")
def check_status_in_time(context, status: int, limit_ms: int) -> None:
    """Check the status line and the time it took."""
    assert context.received.startswith(b"HTTP/1.1 %d " % status), context.received
    assert context.took_ms < limit_ms, context.took_ms


@then("it tells a length and has no body")
def check_head_answer(context) -> None:
    """Check the length that a GET would have had."""
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert not body, context.received
    assert f"content-length: {len('h3 1')}".encode() in head.lower(), head


def send_lines(context, lines: list[str]) -> None:
    """Send the head of a request and keep the status of its answer."""
    connection = dial(context.mesh.places[0].settings.caller, 2)
    connection.send(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"), 2)
    try:
        context.status = connection.read(ResponseParser(), 2).status
    except OSError as error:
        context.status = repr(error)
    connection.close()
