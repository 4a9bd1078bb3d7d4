"""Logging setup: one structured line for each change of state."""

import sys
from typing import TextIO

import logbook
from logbook.concurrency import enable_gevent

PLAIN_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.:/_-+*@%[]"
)
LEVELS = ("debug", "info", "warning", "error")


def create_log_handler(
    level: str = "info", stream: TextIO | None = None
) -> logbook.Handler:
    """Create a handler that writes lines of `field=value` to standard error."""
    enable_gevent()
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=logbook.lookup_level(level.upper())
    )
    handler.formatter = format_record
    return handler


def format_record(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Format a record as one line; keyword arguments become separate fields."""
    fields = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
        **record.kwargs,
    }
    if record.exc_info:
        fields["exception"] = record.formatted_exception
    return " ".join(f"{name}={quote(value)}" for name, value in fields.items())


def quote(value: object) -> str:
    """Quote a value so that it cannot break out of its field or line."""
    text = str(value)
    if text and PLAIN_CHARACTERS.issuperset(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    printable = "".join(
        character if character.isprintable() else escape(character)
        for character in escaped
    )
    return f'"{printable}"'


def escape(character: str) -> str:
    """Escape a non-printable character."""
    return character.encode("unicode_escape").decode()
