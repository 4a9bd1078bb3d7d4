"""Steps about the operator server, and operators that race on the stand-in."""

import socket

import gevent
from behave import given, then, when
from hypothesis import strategies as st

from features.support.builders import create_service, create_zone
from features.support.choices import register_choices
from features.support.examples import feed_examples
from features.support.http import call
from features.support.operators import (
    SECRET,
    FakeCoordinator,
    start_operator_server,
)
from features.support.servers import set_platform_faults, start_platform
from features.support.tickets import CONFIG, attempt_ticket
from knapweedrock.clock import create_clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.nodes.view import ViewHolder
from knapweedrock.operators.client import exchange
from knapweedrock.platform.http import create_client
from knapweedrock.settings import parse_address

SECRETS = {"with a secret": SECRET.replace(" ", "-"), "without a secret": ""}

register_choices("Secret", SECRETS)


@given("an operator server {secret:Secret}")
def start_server(context, secret):
    """Start an operator server on loopback, which may want a secret."""
    start_operator_server(context, secret)


@given("every member holds the configuration")
@when("every member holds the configuration")
def take_configuration(context):
    """Let both members hold whatever the platform holds."""
    stored = context.env.platform.get(CONFIG)
    if stored is None:
        zones = [create_zone("zone-a")]
        services = [create_service("depot-orders")]
        ticket = {"number": 1, "zones": zones, "services": services}
        assert attempt_ticket(context.env.platform, ticket).code == 0
        stored = context.env.platform.get(CONFIG)
    context.env.configuration.version = stored.version
    context.env.configuration.value = stored.value
    versions = context.env.dumps["coordinator"].versions
    versions.update(n1=stored.version, n2=stored.version)


@given("its node knows nobody and waits for voters")
def forget_members(context):
    """Let the node be as it is right after its start."""
    env = context.env
    env.views = ViewHolder(env.settings.cell)
    env.dumps["coordinator"] = FakeCoordinator({}, "a majority of the voters")


@given("its status page fails")
def break_status(context):
    """Let the coordinator's part of the status fail."""
    context.env.dumps["coordinator"].status = None


@then("each page without the secret answers")
def check_pages(context):
    """Ask for each page without a secret and with a wrong one."""
    address = str(context.env.settings.operator)
    for row in context.table:
        for headers in ({}, {"Authorization": "Bearer wrong"}):
            reply = call(address, "GET", row["page"], headers=headers)
            assert reply.status == int(row["status"]), (row["page"], reply)
            assert reply.headers["knapweedrock-code"] == row["code"], reply


@then("the dump with the secret hides it and shows every part")
def check_dump(context):
    """Check the dump, a broken part included."""
    secret = context.env.settings.secret
    headers = {"Authorization": f"Bearer {secret}"}
    reply = call(str(context.env.settings.operator), "GET", "/dump", headers=headers)
    assert secret.encode() not in reply.body
    parts = reply.json()["parts"]
    assert parts["coordinator"]["versions"] == {"n1": 0, "n2": 0}, parts
    assert "broken on purpose" in parts["broken"]["error"], parts


@then("arbitrary paths, queries and bodies get numbered answers")
def feed_server(context):
    """Feed the server with arbitrary input."""
    address = context.env.settings.operator
    pages = ["/tickets", "/owner", "/status", "/faults", "/dump", "/metrics", "/x"]

    def feed(method, page, query, body):
        target = f"{page}?{query}".encode().decode("latin-1")
        headers = {"Content-Type": "application/json"}
        status, content = exchange(address, method, target, headers, body)
        assert status < 500 or status == 503, (method, target, status, content)

    feed_examples(
        feed,
        st.sampled_from(["GET", "POST", "PUT", "HEAD", "PATCH"]),
        st.sampled_from(pages),
        st.text("abck=&%+;/?é0123", max_size=30),
        st.binary(max_size=60),
        count=150,
    )
    internal = context.env.counters.counts.get(
        ("operator_answers", (("code", str(int(Code.INTERNAL))),)), 0
    )
    assert internal == 0


@then("broken HTTP gets a numbered answer")
def send_broken(context):
    """Send each broken request on a connection of its own."""
    for row in context.table:
        lines = row["request"].replace("\\n", "\n").replace("\n", "\r\n")
        request = f"{lines}\r\n\r\n".encode()
        with socket.create_connection(context.env.settings.operator, 5) as sock:
            sock.sendall(request)
            sock.shutdown(socket.SHUT_WR)
            answer = b"".join(iter(lambda s=sock: s.recv(65536), b""))
        head = answer.partition(b"\r\n\r\n")[0]
        assert head.startswith(b"HTTP/1.1 4"), (request, answer)
        assert b"Knapweedrock-Code: 3" in head, (request, answer)
        assert answer.count(b"HTTP/1.1 ") == 1, (request, answer)


@then("the metrics hold")
def check_metrics(context):
    """Count under names and numbers, scrape, and look for whole lines."""
    counters = context.env.counters
    counters.count("caller_refusals", 2, code="NOT_OWNER")
    counters.count("platform_errors", code="501")
    reply = call(str(context.env.settings.operator), "GET", "/metrics")
    lines = reply.body.decode().splitlines()
    for row in context.table:
        assert row["line"] in lines, (row["line"], lines)


@then("a label's value is escaped")
def check_escaped(context):
    """Count under odd names and look for the line that Prometheus wants."""
    context.env.counters.count("odd!", code="what", job='a"b\nc\\')
    reply = call(str(context.env.settings.operator), "GET", "/metrics")
    expected = r'knapweedrock_odd_{code="what",label_job="a\"b\nc\\"} 1'
    assert expected in reply.body.decode().splitlines(), reply.body


@then("the server still answers its health page")
def check_health(context):
    """Check that the server goes on."""
    reply = call(str(context.env.settings.operator), "GET", "/healthz")
    assert reply.status == 200


@given("a platform stand-in that loses answers")
def start_stand_in(context):
    """Start the stand-in as a process and let it lose the coming answers."""
    context.address = start_platform(context)
    set_platform_faults(context.address, lose_answers=5)


@when("{operators:d} operators apply {tickets:d} tickets each by own clients")
def race_clients(context, operators, tickets):
    """Apply tickets at the same time, each operator with its own objects."""

    def operate(index):
        client = create_client(
            parse_address(context.address),
            f"operator-{index}",
            Counters(),
            clock=create_clock(),
        )
        return [
            attempt_ticket(
                client,
                {
                    "number": 1 + index + turn * operators,
                    "zones": [create_zone(f"zone-{index}"), create_zone("shared")],
                },
            )
            for turn in range(tickets)
        ]

    jobs = [gevent.spawn(operate, index) for index in range(operators)]
    gevent.joinall(jobs, raise_error=True)
    context.attempts = [attempt for job in jobs for attempt in job.value]
    context.held = create_client(
        parse_address(context.address), "reader", Counters()
    ).get(CONFIG)


@then("the stand-in holds one version for each accepted ticket")
def check_versions(context):
    """Check accepted tickets against the versions and digests in the stand-in."""
    accepted = [attempt for attempt in context.attempts if attempt.applied]
    codes = {attempt.code for attempt in context.attempts}
    print(f"{len(accepted)} of {len(context.attempts)} accepted, codes {codes}")
    assert codes <= {0, int(Code.TICKET_NUMBER_OLD)}, codes
    recorded = [record["number"] for record in context.held.value["recent"]]
    assert sorted(recorded) == sorted(a.ticket["number"] for a in accepted)
    assert context.held.version == len(accepted) >= 8
    assert recorded == sorted(recorded), "every ticket touched the shared zone"
