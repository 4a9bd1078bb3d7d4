"""Commands for operators: status, dump, owner, story and causes."""

from pathlib import Path
from urllib.parse import urlencode

import click

from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.operators.causes import format_summary, summarize_failures
from knapweedrock.operators.client import fetch_first
from knapweedrock.operators.story import build_story, format_story, read_log_files
from knapweedrock.operators.writers import write_result
from knapweedrock.settings import OperatorSettings
from knapweedrock.status import ExitStatus


def show_endpoint(settings: OperatorSettings, subject: str, target: str) -> ExitStatus:
    """Show the response of the first node that responds."""
    value = fetch_first(settings.nodes, target)
    write_result(subject, value, settings.as_json)
    return ExitStatus.SUCCESS


def show_status(settings: OperatorSettings) -> ExitStatus:
    """Show the state of the mesh and its problems."""
    return show_endpoint(settings, "status", "/status")


def show_dump(settings: OperatorSettings) -> ExitStatus:
    """Show the full state of a node."""
    return show_endpoint(settings, "dump", "/dump")


def show_owner(settings: OperatorSettings, key: str, service: str) -> ExitStatus:
    """Show the owner of a key."""
    query = urlencode({"service": service, "key": key})
    return show_endpoint(settings, "owner", f"/owner?{query}")


def show_story(attempt_id: str, files: tuple[Path, ...]) -> ExitStatus:
    """Show the story of a request; raises `REPORT_MALFORMED` if no line names it."""
    request_story = build_story(attempt_id, read_log_files(files))
    if request_story is None:
        raise KnapweedrockError(
            Code.REPORT_MALFORMED, f"no log line names request {attempt_id}"
        )
    click.echo(format_story(request_story))
    return ExitStatus.SUCCESS


def show_causes(files: tuple[Path, ...]) -> ExitStatus:
    """Show why requests failed; raises `REPORT_MALFORMED` without any failure."""
    summary = summarize_failures(read_log_files(files))
    if not summary.groups:
        raise KnapweedrockError(
            Code.REPORT_MALFORMED, "no log line tells of a failed request"
        )
    click.echo(format_summary(summary))
    return ExitStatus.SUCCESS
