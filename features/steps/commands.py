"""Steps about commands and their pages in the docs."""

import json
import os
import re
import shlex
from contextlib import suppress
from pathlib import Path
from unittest import mock

import click
from behave import then, when
from hypothesis import strategies as st

from features.support.examples import feed_examples
from features.support.operators import run_command
from knapweedrock.checker import parse_address
from knapweedrock.codes import INFO, Code
from knapweedrock.definition import cli
from knapweedrock.errors import KnapweedrockError, SettingError
from knapweedrock.operators.client import create_error, decode_response
from knapweedrock.settings import (
    create_load_settings,
    create_operator_settings,
    create_target_settings,
)

PAGES = Path(__file__).resolve().parents[2] / "docs/operators"
CODES_PAGE = PAGES / "codes.md"
SETTINGS_PAGE = PAGES / "settings.md"
TARGET_FLAGS = {
    "--listen": "127.0.0.1:7001",
    "--node": "[::1]:7002",
    "--service": "depot-orders",
    "--zone": "zone-a",
    "--slots": "7",
    "--work-ms": "2.5",
    "--cold-s": "1",
    "--seed": "9",
}
PLACEHOLDERS = {"NODE": "address", "OTHER": "other_address", "DIR": "directory"}


@when('"{command}" runs with')
def run_with_options(context, command):
    """Run a command with a table of options."""
    options = [part for row in context.table for part in row]
    context.run = run_command([*command.split(), *options])


@when('"{command}" runs')
def run_line(context, command):
    """Run a command with its placeholders replaced.

    NODE and OTHER stand for the addresses of nodes, DIR for a directory.
    """
    for name, attribute in PLACEHOLDERS.items():
        command = command.replace(name, str(getattr(context, attribute, name)))
    context.run = run_command(shlex.split(command))


@then("it ends with status {status:d} and code {code:d}")
def check_end(context, status, code):
    """Check the exit status and the result code in the error lines."""
    assert context.run.status == status, context.run
    found = re.findall(r"^error: (\d+) ", context.run.text, re.MULTILINE)
    assert set(found) == ({str(code)} if code else set()), context.run.text


@then("it names exactly")
def check_named(context):
    """Check that errors name these settings, each with the expected value."""
    lines = [x for x in context.run.text.splitlines() if x.startswith("error: ")]
    assert len(lines) == len(context.table.rows), context.run.text
    for row in context.table:
        named = [line for line in lines if f": {row['setting']} (" in line]
        assert len(named) == 1, (row["setting"], lines)
        assert row["expected"] in named[0].partition("expected")[2], named


@then('it says "{text}"')
def check_said(context, text):
    """Check that the output contains a text."""
    assert text in context.run.text, context.run.text


@then("the server has read {count:d} request")
def check_read(context, count):
    """Check how many requests the server has read."""
    assert len(context.requests) == count, context.requests


def walk_commands(command, path=()):
    """Yield every command with its path."""
    yield path, command
    for name, child in getattr(command, "commands", {}).items():
        yield from walk_commands(child, (*path, name))


@then("arbitrary settings raise nothing but setting errors")
def feed_settings(context):
    """Build the settings of every program from arbitrary values."""
    values = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
    values |= st.from_regex(r"\[?[0-9.:]{0,9}\]?:[0-9]{0,6}", fullmatch=True)
    names = [
        option.name for command in cli.commands.values() for option in command.params
    ]

    def feed(given):
        for create in (
            create_target_settings,
            create_load_settings,
            create_operator_settings,
        ):
            try:
                create(given)
            except ExceptionGroup as group:
                assert all(isinstance(e, SettingError) for e in group.exceptions)

    values_by_name = st.dictionaries(st.sampled_from(sorted(set(names))), values)
    feed_examples(feed, values_by_name, count=200)


@then("arbitrary responses of a node raise nothing but numbered errors")
def feed_responses(context):
    """Let the client decode arbitrary bodies, well-formed and malformed."""
    address = parse_address("127.0.0.1:1")
    body = st.binary(max_size=40) | st.dictionaries(
        st.sampled_from(["code", "detail", "errors", "x"]),
        st.integers() | st.text(max_size=3) | st.lists(st.none() | st.just({})),
    ).map(lambda value: json.dumps(value).encode())

    def feed(content):
        with suppress(KnapweedrockError):
            assert create_error(decode_response(address, content)).code in INFO

    feed_examples(feed, body)


@then("each command's help ends with an example that can be parsed")
def check_help_examples(context):
    """Parse the example of every command with the command's own options."""
    example_count = 0
    for path, command in walk_commands(cli):
        shown = run_command([*path, "--help"])
        assert shown.status == 0, shown
        assert "Example:" in shown.text, path
        text = command.epilog.partition("Example:")[2].replace("\\\n", " ")
        for line in text.strip().splitlines():
            words = shlex.split(line)
            assert words[0] == "knapweedrock", line
            parse_line(words[1:])
            example_count += 1
    assert example_count >= 12, example_count


def parse_line(words):
    """Parse the words of a command line without running the command."""
    group = cli
    parent = click.Context(cli, info_name="knapweedrock")
    while isinstance(group, click.Group):
        group = group.commands[words[0]]
        words = words[1:]
        if not isinstance(group, click.Group):
            return group.make_context(group.name, list(words), parent=parent)
    return None


@then("flags and variables give a target the same settings")
def check_variables(context):
    """Set every option once by its flag and once by its environment variable."""
    command = cli.commands["emulate"].commands["target"]
    flags = [part for pair in TARGET_FLAGS.items() for part in pair] + ["--no-keyed"]
    by_flags = command.make_context("target", flags, parent=create_parent()).params
    variables = {
        "KNAPWEEDROCK_EMULATE_TARGET_" + name[2:].replace("-", "_").upper(): value
        for name, value in TARGET_FLAGS.items()
    }
    variables["KNAPWEEDROCK_EMULATE_TARGET_KEYED"] = "false"
    with mock.patch.dict(os.environ, variables):
        found = command.make_context("target", [], parent=create_parent()).params
    assert create_target_settings(by_flags) == create_target_settings(found)
    assert create_target_settings(found).keyed is False


def create_parent():
    """Create the click context of the `emulate` group."""
    top = cli.make_context("knapweedrock", ["emulate"], resilient_parsing=True)
    group = cli.commands["emulate"]
    return group.make_context("emulate", ["target"], parent=top, resilient_parsing=True)


@then("docs/operators/codes.md lists exactly the codes with their meanings")
def check_codes_page(context):
    """Compare the table on the page with `Code` and `INFO`."""
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


@then("docs/operators/settings.md lists exactly the options of each command")
def check_settings_page(context):
    """Compare the rows of each section with the options of the section's commands."""
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
