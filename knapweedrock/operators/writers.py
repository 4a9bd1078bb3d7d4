"""Output of formatted results to standard output."""

from typing import Any

import click

from knapweedrock.operators.formatters import FORMATTERS, format_json


def write_result(subject: str, value: Any, as_json: bool) -> None:
    """Write a result as text for people, or as JSON for programs."""
    function = format_json if as_json else FORMATTERS.get(subject, format_json)
    click.echo(function(value))
