"""Steps about the experiment tool."""

import tempfile
from pathlib import Path

import click
from behave import then, when

from features.support.imports import ROOT
from tools.experiment import (
    ABLATION_FILE,
    compare,
    format_differences,
    read_mechanisms,
)


@then("every constant of the ablation file exists and has another value")
def check_mechanisms(context) -> None:
    """Read the file, which checks each entry."""
    assert ABLATION_FILE.is_relative_to(ROOT)
    assert read_mechanisms(ABLATION_FILE)


@when('an ablation file names the constant "{constant}"')
def write_entry(context, constant: str) -> None:
    """Write an ablation file with one entry and read it."""
    entry = f'[[mechanism]]\nname = "test"\nconstant = "{constant}"\nvalue = 1\n'
    context.error = ""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "ablation.toml"
        path.write_text(entry)
        try:
            read_mechanisms(path)
        except click.ClickException as error:
            context.error = error.message


@then('reading it fails with "{text}"')
def check_error(context, text: str) -> None:
    """Check the message of the error."""
    assert text in context.error, context.error


@when("runs with the shares {before} are compared with runs with the shares {after}")
def compare_runs(context, before: str, after: str) -> None:
    """Compare runs of one share."""
    runs = [
        [{"read in time": float(share)} for share in shares.split()]
        for shares in (before, after)
    ]
    context.differences = compare("calm", "test", *runs)


@then("the difference is {certain}")
def check_difference(context, certain: str) -> None:
    """Check whether the difference is listed or only counted."""
    text = format_differences(context.differences)
    assert ("read in time" in text) is (certain == "shown"), text
