"""Steps about input that a node gets from targets, operators and callers."""

import json
import tempfile
from copy import deepcopy
from pathlib import Path

import gevent
import msgspec
from behave import given, then, when
from gevent import socket

from features.support.heartbeats import send_heartbeat
from features.support.mesh_builders import (
    FakeClock,
    create_heartbeat,
    create_settings,
)
from features.support.odd_objects import LARGEST_DEPTH, create_nested
from knapweedrock.codes import Code
from knapweedrock.emulator.addresses import create_address
from knapweedrock.errors import RefusalError
from knapweedrock.mesh.admission import Admission
from knapweedrock.mesh.http_connections import dial
from knapweedrock.mesh.http_parsers import ResponseParser
from knapweedrock.mesh.settings import parse_settings, read_file
from knapweedrock.mesh.targets import Target
from knapweedrock.platform.heartbeats import decode_message

HEARTBEAT_PATH = "/instances/i-1/heartbeat"
HEARTBEAT_FIELDS = {
    "address": "10.0.0.1:80",
    "born": 1234,
    "information": {"service": "orders", "version": "1", "zone": "z", "slots": 18},
    "status": {"state": "ready", "seq": 3, "coldRemainingMs": 500},
    "holds": [[0, 99, 4]],
    "freed": [[100, 199, "mark"]],
}
REQUEST_HEAD = "POST /order/1 HTTP/1.1\r\nHost: mesh.example\r\nX-Shard-Key: 1\r\n"
LENGTH_HEADERS = {
    "a length and chunks": "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "two lengths": "Content-Length: 3\r\nContent-Length: 5\r\n",
    "a length that is not a number": "Content-Length: 3x\r\n",
}


def encode_invalid_heartbeat(fault: str) -> bytes:
    """Encode a heartbeat that has the named fault."""
    fields = deepcopy(HEARTBEAT_FIELDS)
    match fault:
        case "no state":
            del fields["status"]["state"]
        case "an unknown state":
            fields["status"]["state"] = "asleep"
        case "a text as its slots":
            fields["information"]["slots"] = "many"
        case "a key above the maximum":
            fields["holds"] = [[0, 65536, 1]]
        case "bytes that are not JSON":
            return b"\xff{"
        case "a list as its body":
            return b"[]"
        case "a fractional start time":
            fields["born"] = 1.5
        case "a holds list nested 2,000 deep":
            fields["holds"] = create_nested(2000)
        case "a body nested 500,000 deep":
            return bytes(create_nested(LARGEST_DEPTH))
        case "a number too large":
            fields["status"]["coldRemainingMs"] = msgspec.Raw(b"1e400")
        case "a cold time that no float holds":
            fields["status"]["coldRemainingMs"] = msgspec.Raw(b"9" * 400)
        case "a sequence number of 400 digits":
            fields["status"]["seq"] = msgspec.Raw(b"9" * 400)
        case "more slots than can be counted":
            fields["information"]["slots"] = 1 << 60
        case "a start time of 5,000 digits":
            fields["born"] = msgspec.Raw(b"9" * 5000)
        case "a text as its information":
            fields["information"] = "orders"
        case "no version":
            del fields["information"]["version"]
        case "no cold time":
            del fields["status"]["coldRemainingMs"]
        case "no sequence number":
            del fields["status"]["seq"]
        case "a zone of 2,000 characters":
            fields["information"]["zone"] = "z" * 2000
        case "a row of four fields":
            fields["holds"] = [[0, 99, 4, 5]]
        case "a port out of range":
            fields["address"] = "10.0.0.1:99999"
        case _:
            raise AssertionError(f"unknown fault {fault}")
    return msgspec.json.encode(fields)


@given("a heartbeat of a target")
def prepare_heartbeat(context) -> None:
    """Prepare the result of decoding the default heartbeat."""
    context.heartbeat = None


@given("a node whose target is in its second incarnation")
def create_restarted_target(context) -> None:
    """Create a node's state of a target that has restarted."""
    settings = create_settings(0, create_address(), create_address())
    clock = FakeClock()
    context.target = Target(settings, clock, Admission(clock))
    assert context.target.handle_heartbeat(create_heartbeat(target="n0@1", sequence=5))
    assert context.target.handle_heartbeat(create_heartbeat(target="n0@2", sequence=1))


@given("settings without a store and with a text as the maximum hold")
def write_invalid_settings(context) -> None:
    """Write a settings file with several errors."""
    context.file = tempfile.NamedTemporaryFile("w", suffix=".env")  # noqa: SIM115
    context.add_cleanup(context.file.close)
    context.file.write("KNAPWEEDROCK_SERVE_MAX_HOLD_MS=long\n")
    context.file.flush()


@when("it is received with {fault}")
def decode_invalid_heartbeat(context, fault: str) -> None:
    """Decode a heartbeat with a fault, and keep the error."""
    context.error = None
    try:
        decode_message(HEARTBEAT_PATH, encode_invalid_heartbeat(fault))
    except RefusalError as error:
        context.error = error


@when("it is received unchanged")
def decode_valid_heartbeat(context) -> None:
    """Decode the default heartbeat."""
    context.heartbeat = decode_message(
        HEARTBEAT_PATH, json.dumps(HEARTBEAT_FIELDS).encode()
    )


@when("a heartbeat of its first incarnation arrives late")
def receive_late_heartbeat(context) -> None:
    """Apply a heartbeat of the former incarnation."""
    late = create_heartbeat(target="n0@1", sequence=9, draining=True)
    context.is_accepted = context.target.handle_heartbeat(late)


@when("its node receives a heartbeat for another service")
def send_foreign_heartbeat(context) -> None:
    """Send a heartbeat that does not come from the target beside the node."""
    fields = deepcopy(HEARTBEAT_FIELDS)
    fields["information"]["service"] = "strangers"
    send_body(context, json.dumps(fields).encode())


@when("its node receives a heartbeat with {fault}")
def send_invalid_heartbeat(context, fault: str) -> None:
    """Send a heartbeat with a fault to the node."""
    send_body(context, encode_invalid_heartbeat(fault))


@when("operators write a configuration without routes")
def write_invalid_configuration(context) -> None:
    """Write a configuration that cannot be decoded."""
    context.mesh.configure({"version": 2})


@when("the store drops its history")
def drop_history(context) -> None:
    """Make the store drop its history."""
    context.mesh.objects.forget_history()


@when("{ms:d} ms pass in the mesh")
def wait(context, ms: int) -> None:
    """Wait for the given time."""
    gevent.sleep(ms / 1000)


@when("the settings are parsed")
def parse_invalid_settings(context) -> None:
    """Read and parse the settings file, and keep the errors."""
    context.errors = []
    try:
        parse_settings(read_file(Path(context.file.name)))
    except ExceptionGroup as group:
        context.errors = [str(error) for error in group.exceptions]


@when("a request is sent with {length_header}")
def send_smuggled_request(context, length_header: str) -> None:
    """Send a request whose length is ambiguous or invalid."""
    connection = dial(context.mesh.places[0].settings.caller, 2)
    connection.send(
        (REQUEST_HEAD + LENGTH_HEADERS[length_header] + "\r\nabc").encode(), 2
    )
    context.status = connection.read(ResponseParser(), 2).status
    connection.close()


@then("the heartbeat is refused with code {code:d}")
def check_heartbeat_refused(context, code: int) -> None:
    """Check the error code of the refusal."""
    assert context.error is not None
    assert context.error.code == Code(code), context.error


@then("its holds, releases and start time are decoded")
def check_decoded_heartbeat(context) -> None:
    """Check each field of the decoded heartbeat."""
    heartbeat = context.heartbeat
    assert heartbeat.target == "i-1@1234"
    assert heartbeat.held == ((0, 99, 4),)
    assert heartbeat.released == ((100, 199, "mark"),)
    assert heartbeat.cold_ms == 500
    assert not heartbeat.draining


@then("the second incarnation is still the current one")
def check_current_incarnation(context) -> None:
    """Check that the late heartbeat changed nothing."""
    assert not context.is_accepted
    assert context.target.name == "n0@2"
    assert not context.target.draining


@then("the heartbeat gets the response status {status:d}")
def check_heartbeat_status(context, status: int) -> None:
    """Check the response status of the heartbeat."""
    assert context.status == status, context.status


@then("the node still has its own target")
def check_own_target(context) -> None:
    """Check that the node has not adopted another target."""
    node = next(iter(context.mesh.nodes.values()))
    assert node.target.name == context.mesh.places[0].holder.target


@then("version {version:d} is in force within {seconds:d} s")
def check_version(context, version: int, seconds: int) -> None:
    """Wait until every node has the version in force."""
    mesh = context.mesh

    def is_in_force() -> bool:
        return {n.configuration.version for n in mesh.nodes.values()} == {version}

    mesh.wait_until(is_in_force, seconds)


@then("one error reports both")
def check_all_errors(context) -> None:
    """Check that the errors name both settings."""
    text = "\n".join(context.errors)
    assert "KNAPWEEDROCK_SERVE_STORE" in text, text
    assert "KNAPWEEDROCK_SERVE_MAX_HOLD_MS" in text, text


@then("the target executed nothing")
def check_no_execution(context) -> None:
    """Check that no part of the request was executed by the target."""
    gevent.sleep(0.2)
    assert context.mesh.places[0].holder.runs == []


@when('a request has the header "{header}"')
def send_header(context, header: str) -> None:
    """Send a request with an additional header, whose hexadecimal escapes are bytes."""
    line = header.encode().decode("unicode_escape")
    lines = ["GET /read/1 HTTP/1.1", "Host: mesh.example", "X-Attempt-Id: h1", line]
    send_lines(context, lines)


@when("a request has a key of {count:d} digits")
def send_long_key(context, count: int) -> None:
    """Send a request whose key has too many digits."""
    send_header(context, "X-Shard-Key: " + "9" * count)


@when("a request lists one of its headers in Connection")
def send_connection_header(context) -> None:
    """Send a request with one hop-by-hop header and one end-to-end header."""
    lines = ["GET /read/1 HTTP/1.1", "Host: mesh.example", "X-Attempt-Id: h2"]
    lines += ["Connection: keep-alive, X-Own", "X-Own: 1", "X-Other: 2"]
    send_lines(context, [*lines, "X-Shard-Key: 1"])
    assert context.status == 200, context.status


@when("a HEAD request is sent")
def send_head_request(context) -> None:
    """Send a HEAD request, and keep the received bytes and the elapsed time."""
    sock = socket.create_connection(context.mesh.places[0].settings.caller, 2)
    lines = ["HEAD /read/1 HTTP/1.1", "Host: mesh.example", "X-Attempt-Id: h3"]
    lines += ["X-Shard-Key: 1", "Connection: close"]
    began_ns = context.mesh.clock.now_ns()
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
    context.received = b""
    with gevent.Timeout(2, False):
        while data := sock.recv(65536):
            context.received += data
    context.elapsed_ms = (context.mesh.clock.now_ns() - began_ns) / 1e6
    sock.close()


@then("its target received neither Connection nor that header")
def check_connection_headers(context) -> None:
    """Check that the target received no hop-by-hop header."""
    fields = context.mesh.places[0].holder.requests[-1].fields
    assert "connection" not in fields, fields
    assert "x-own" not in fields, fields


@then("it received the other headers")
def check_other_headers(context) -> None:
    """Check that the target received the end-to-end header."""
    fields = context.mesh.places[0].holder.requests[-1].fields
    assert fields["x-other"] == "2", fields


@then("the response is {status:d} within {limit_ms:d} ms")
def check_status_in_time(context, status: int, limit_ms: int) -> None:
    """Check the status line and the elapsed time."""
    assert context.received.startswith(b"HTTP/1.1 %d " % status), context.received
    assert context.elapsed_ms < limit_ms, context.elapsed_ms


@then("it has a content length and no body")
def check_head_answer(context) -> None:
    """Check that the length is that of the GET response, and that no body follows."""
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert not body, context.received
    assert f"content-length: {len('h3 1')}".encode() in head.lower(), head


def send_body(context, body: bytes) -> None:
    """Send the body of a heartbeat to the first node and keep the response status."""
    context.status = send_heartbeat(context.mesh.places[0], "i-1", body)


def send_lines(context, lines: list[str]) -> None:
    """Send the head of a request and keep the response status, or the error."""
    connection = dial(context.mesh.places[0].settings.caller, 2)
    connection.send(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"), 2)
    try:
        context.status = connection.read(ResponseParser(), 2).status
    except OSError as error:
        context.status = repr(error)
    connection.close()
