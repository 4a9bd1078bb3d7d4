"""Steps about commands, the operator server and the docs beside them."""

import copy
import json
import re
import shlex
import socket
import tempfile
from pathlib import Path

import click
import gevent
from behave import given, then, when
from hypothesis import given as arbitrary
from hypothesis import settings
from hypothesis import strategies as st

from features.support.builders import create_sample
from features.support.http import call
from features.support.operators import (
    SECRET,
    FakeCoordinator,
    create_operator_environment,
    run_command,
    set_variables,
    start_operator_server,
)
from features.support.processes import (
    Child,
    Ports,
    create_loopback_host,
    wait_for,
)
from features.support.tickets import CONFIG, attempt_ticket, create_zone
from knapweedrock.clock import NS_PER_MS, NS_PER_S, create_clock
from knapweedrock.codes import INFO, Code
from knapweedrock.counters import Counters
from knapweedrock.definition import cli
from knapweedrock.errors import KnapweedrockError, SettingError
from knapweedrock.load.plots import plot_reports, read_load_report
from knapweedrock.load.report import FORMATTERS as LOAD_FORMATTERS
from knapweedrock.load.report import create_report
from knapweedrock.load.samples import Tally
from knapweedrock.nodes.view import ViewHolder
from knapweedrock.operators.client import decode_answer, exchange, raise_errors
from knapweedrock.operators.comparison import compare_reports
from knapweedrock.operators.report_commands import format_compared
from knapweedrock.operators.reports import read_report
from knapweedrock.platform.http import create_client
from knapweedrock.settings import (
    create_load_settings,
    create_node_settings,
    create_operator_settings,
    create_target_settings,
    parse_address,
)

PAGES = Path(__file__).resolve().parents[2] / "docs/operators"
CODES_PAGE = PAGES / "codes.md"
SETTINGS_PAGE = PAGES / "settings.md"
START_TIMEOUT_S = 15.0
# Second in which a request was due, its latency in ms, and its outcome.
LOAD = [(0, 1, "done"), *[(1, 3, "not-run")] * 3, (1, 0, "done")]
JSON_VALUES = st.recursive(
    st.none() | st.integers() | st.just(10**400) | st.floats() | st.text(max_size=3),
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(st.text(max_size=3), values, max_size=3)
    ),
    max_leaves=5,
)
NODE_FLAGS = {
    "--node-id": "n1",
    "--cell": "c7",
    "--group": "depots",
    "--zone": "zone-a",
    "--region": "region-1",
    "--caller": "127.0.0.1:7001",
    "--peer": "127.0.0.1:7002",
    "--target": "127.0.0.1:7003",
    "--operator": "[::1]:7004",
    "--platform-kind": "http",
    "--platform": "127.0.0.1:7000",
    "--secret": SECRET.replace(" ", "-"),
    "--drain-ms": "77",
    "--choice-policy": "round-robin",
}


@when('"{command}" runs with')
def run_with_options(context, command):
    """Run a command with a table of options."""
    options = [part for row in context.table for part in row]
    context.run = run_command([*command.split(), *options])


@when('"{command}" runs')
def run_line(context, command):
    """Run a command; NODE stands for the operator server's address."""
    if hasattr(context, "env"):
        context.address = str(context.env.settings.operator)
    command = command.replace("NODE", getattr(context, "address", "NODE"))
    command = command.replace("DIR", getattr(context, "directory", "DIR"))
    context.run = run_command(shlex.split(command))


@then("it ends with status {status:d} and code {code:d}")
def check_end(context, status, code):
    """Check the exit status and the number in the error lines."""
    assert context.run.status == status, context.run
    found = re.findall(r"^error: (\d+) ", context.run.text, re.MULTILINE)
    assert set(found) == ({str(code)} if code else set()), context.run.text


@then("it names exactly")
def check_named(context):
    """Check which settings are named, each with what was expected."""
    lines = [x for x in context.run.text.splitlines() if x.startswith("error: ")]
    assert len(lines) == len(context.table.rows), context.run.text
    for row in context.table:
        named = [line for line in lines if f": {row['setting']} (" in line]
        assert len(named) == 1, (row["setting"], lines)
        assert row["expected"] in named[0].partition("expected")[2], named


@then("the secret is not repeated")
def check_secret_hidden(context):
    """Check that the wrong secret is in no line."""
    assert "'short'" not in context.run.text, context.run.text


@then('it says "{text}"')
def check_said(context, text):
    """Check that the output holds a text."""
    assert text in context.run.text, context.run.text


@then("the server has read {count:d} request")
def check_read(context, count):
    """Check how many requests a closing server has read."""
    assert len(context.read) == count, context.read


def walk_commands(command, path=()):
    """Yield every command with its path."""
    yield path, command
    for name, child in getattr(command, "commands", {}).items():
        yield from walk_commands(child, (*path, name))


@then("arbitrary settings raise nothing but setting errors")
def feed_settings(context):
    """Feed the checker of every program with arbitrary values."""
    values = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
    values |= st.from_regex(r"\[?[0-9.:]{0,9}\]?:[0-9]{0,6}", fullmatch=True)
    names = [
        option.name for command in cli.commands.values() for option in command.params
    ]

    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @arbitrary(st.dictionaries(st.sampled_from(sorted(set(names))), values))
    def feed(given):
        for create in (
            create_node_settings,
            create_target_settings,
            create_load_settings,
            create_operator_settings,
        ):
            try:
                create(given)
            except ExceptionGroup as group:
                assert all(isinstance(e, SettingError) for e in group.exceptions)

    feed()


@then("arbitrary answers of a node raise nothing but numbered errors")
def feed_answers(context):
    """Feed the client with arbitrary bodies, well formed and not."""
    address = parse_address("127.0.0.1:1")
    body = st.binary(max_size=40) | st.dictionaries(
        st.sampled_from(["code", "detail", "errors", "x"]),
        st.integers() | st.text(max_size=3) | st.lists(st.none() | st.just({})),
    ).map(lambda value: json.dumps(value).encode())

    @settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @arbitrary(body)
    def feed(content):
        try:
            raise_errors(decode_answer(address, content))
        except ExceptionGroup as group:
            assert all(isinstance(e, KnapweedrockError) for e in group.exceptions)
        except KnapweedrockError:
            pass

    feed()


@then("each command's help closes with an example that can be read")
def check_examples_of_help(context):
    """Parse the example of every command against the options there are."""
    seen = 0
    for path, command in walk_commands(cli):
        shown = run_command([*path, "--help"])
        assert shown.status == 0, shown
        assert "Example:" in shown.text, path
        text = command.epilog.partition("Example:")[2].replace("\\\n", " ")
        for line in text.strip().splitlines():
            words = shlex.split(line)
            assert words[0] == "knapweedrock", line
            parse_line(words[1:])
            seen += 1
    assert seen >= 12, seen


def parse_line(words):
    """Parse the words of a command line and run nothing."""
    group = cli
    parent = click.Context(cli, info_name="knapweedrock")
    while isinstance(group, click.Group):
        group = group.commands[words[0]]
        words = words[1:]
        if not isinstance(group, click.Group):
            return group.make_context(group.name, list(words), parent=parent)
    return None


@then("flags and variables give a node the same settings")
def check_variables(context):
    """Give every setting once as a flag and once as a variable."""
    command = cli.commands["node"]
    flags = [part for pair in NODE_FLAGS.items() for part in pair]
    flags += ["--faults-enabled", "--no-copies"]
    by_flags = command.make_context("node", flags, parent=create_parent()).params
    variables = {
        "KNAPWEEDROCK_NODE_" + name[2:].replace("-", "_").upper(): value
        for name, value in NODE_FLAGS.items()
    }
    variables["KNAPWEEDROCK_NODE_FAULTS_ENABLED"] = "true"
    variables["KNAPWEEDROCK_NODE_COPIES"] = "false"
    with set_variables(variables):
        found = command.make_context("node", [], parent=create_parent()).params
    assert create_node_settings(by_flags) == create_node_settings(found)
    assert create_node_settings(found).copies_enabled is False


def create_parent():
    """Create the context of the program itself."""
    return cli.make_context("knapweedrock", ["node"], resilient_parsing=True)


@given("an operator server with a secret")
def start_secret_server(context):
    """Start an operator server that wants a secret."""
    start_server(context, SECRET.replace(" ", "-"))


@given("an operator server without a secret")
def start_open_server(context):
    """Start an operator server on loopback without a secret."""
    start_server(context, "")


def start_server(context, secret):
    """Start a server and stop it after the scenario."""
    context.env = create_operator_environment(secret)
    context.env.configuration.replace(1, context.env.configuration.value)
    context.server = start_operator_server(context.env)
    context.add_cleanup(context.server.stop, timeout=0)
    directory = tempfile.TemporaryDirectory(prefix="knapweedrock-")
    context.add_cleanup(directory.cleanup)
    context.directory = directory.name


@given("every member holds the configuration")
@when("every member holds the configuration")
def take_configuration(context):
    """Let both members hold whatever the platform holds."""
    stored = context.env.platform.get(CONFIG)
    if stored is None:
        zones = [create_zone("zone-a")]
        services = [{"name": "depot-orders", "keyed": True, "longest_request_ms": 1000}]
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

    @settings(derandomize=True, database=None, deadline=None, max_examples=150)
    @arbitrary(
        st.sampled_from(["GET", "POST", "PUT", "HEAD", "PATCH"]),
        st.sampled_from(pages),
        st.text("abck=&%+;/?é0123", max_size=30),
        st.binary(max_size=60),
    )
    def feed(method, page, query, body):
        target = f"{page}?{query}".encode().decode("latin-1")
        headers = {"Content-Type": "application/json"}
        status, content = exchange(address, method, target, headers, body)
        assert status < 500 or status == 503, (method, target, status, content)

    feed()
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
    context.address = Ports(create_loopback_host()).take()
    context.directory = Path(tempfile.mkdtemp(prefix="knapweedrock-"))
    arguments = ["emulate", "platform", "--listen", context.address]
    child = Child("platform", arguments, context.directory)
    child.start()
    context.add_cleanup(child.kill)

    def answers():
        try:
            return call(context.address, "GET", "/emulator/stats").status == 200
        except OSError:
            return False

    wait_for(answers, START_TIMEOUT_S, "platform stand-in")
    call(context.address, "POST", "/emulator/faults", {"lose_answers": 5})


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


@then("docs/operators/codes.md lists exactly the codes with their meanings")
def check_codes_page(context):
    """Compare the page with the enum."""
    rows = {}
    for line in CODES_PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 7 and cells[0].isdigit():
            rows[int(cells[0])] = cells[1:]
    assert set(rows) == {int(code) for code in Code}, set(rows) ^ set(map(int, Code))
    for code in Code:
        info = INFO[code]
        repeat = "yes" if info.retry else "no"
        expected = [code.name, str(info.http_status), info.outcome.value, repeat]
        assert rows[code][:5] == [*expected, info.meaning], (rows[code], info)
        assert rows[code][5].endswith("."), f"{code.name} has no action"


@when("all keys move to n2, {count:d} callers are refused, and n2 stops")
def change_cell(context, count):
    """Change what a report shows."""
    env = context.env
    view = json.loads(json.dumps(env.views.view)) | {"count": 2}
    view["tables"]["depot-orders"]["ranges"][0]["owner"] = "n2"
    view["members"]["n2"]["operator"] = "127.0.0.1:1"
    env.views.replace(view)
    env.counters.count("caller_refusals", count, code="NOT_OWNER")


@given("reports of a cell and of loads")
def create_reports(context):
    """Take a report of a cell and write one of a load of four requests."""
    start_server(context, "")
    directory = Path(context.directory)
    context.address = str(context.env.settings.operator)
    run_command(["report", "take", "--node", context.address, f"{directory}/cell.json"])
    tally = Tally()
    for second, took_ms, outcome in LOAD:
        due_ns = second * NS_PER_S
        tally.offer(due_ns)
        tally.add(create_sample(due_ns, due_ns + took_ms * NS_PER_MS, outcome))
    report = create_report(tally, len(LOAD), 1, 5.0, 1.0)
    (directory / "l.json").write_text(LOAD_FORMATTERS["json"](report))


def list_spots(value):
    """List the way to each part of a document."""
    names = value if isinstance(value, dict) else range(len(value))
    for name in names:
        yield (name,)
        if isinstance(value[name], dict | list):
            yield from ((name, *spot) for spot in list_spots(value[name]))


def show_cell(path):
    """Compare a report of a cell with itself."""
    return format_compared(compare_reports(read_report(path), read_report(path)))


def show_load(path):
    """Plot a report of a load."""
    return plot_reports([read_load_report(path)])


@then("arbitrary changes of {name} raise nothing but REPORT_MALFORMED")
def feed_reports(context, name):
    """Replace parts of a report at random and show it."""
    show = show_load if name == "l.json" else show_cell
    path = Path(context.directory) / name
    sound = json.loads(path.read_text())

    @settings(derandomize=True, database=None, deadline=None, max_examples=400)
    @arbitrary(st.sampled_from(list(list_spots([sound]))), JSON_VALUES)
    def feed(spot, value):
        holder = changed = [copy.deepcopy(sound)]
        for name in spot[:-1]:
            holder = holder[name]
        holder[spot[-1]] = value
        path.write_text(json.dumps(changed[0]))
        try:
            show(path)
        except KnapweedrockError as error:
            assert error.code == Code.REPORT_MALFORMED, error

    feed()


@then("docs/operators/settings.md lists exactly the options of each command")
def check_settings_page(context):
    """Compare the rows of each section with the options of its commands."""
    sections = re.split(r"^## ", SETTINGS_PAGE.read_text(), flags=re.MULTILINE)[1:]
    listed = {
        section.partition("\n")[0].strip(): {
            tuple(cell.strip(" `") for cell in row.split("|")[1:4])
            for row in section.splitlines()
            if row.startswith("| `--")
        }
        for section in sections
    }
    found = {}
    for path, command in walk_commands(cli):
        for option in command.params:
            if option.envvar or getattr(option, "show_envvar", False):
                title, row = describe_option(path, option)
                found.setdefault(title, set()).add(row)
    for title, rows in found.items():
        assert listed.get(title) == rows, (title, rows ^ listed.get(title, set()))


def describe_option(path, option):
    """Return the section of an option, and its flag, variable and default."""
    words = ["KNAPWEEDROCK", *path, option.name]
    variable = option.envvar or "_".join(words).upper().replace("-", "_")
    shared = variable.startswith("KNAPWEEDROCK_OPERATOR_")
    title = "Operators' commands" if shared else " ".join(path) or "All commands"
    default = str("" if option.default is None else option.default)
    default = default.lower() if isinstance(option.default, bool) else default
    return title, (option.opts[0], variable, default)
