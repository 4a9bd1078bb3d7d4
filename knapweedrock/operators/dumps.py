"""Dump of a process's whole state as plain data."""

from collections import deque
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from knapweedrock.counters import Labels

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

HIDDEN = "(hidden)"


def create_dump(env: "Environment") -> dict[str, Any]:
    """Collect the state of every part; a part that fails does not hide the rest."""
    return {
        "settings": dump_settings(env),
        "incarnation": env.incarnation,
        "now_ns": env.clock.now_ns(),
        "configuration": {
            "version": env.configuration.version,
            "value": env.configuration.value,
        },
        "view": env.views.view,
        "cuts": make_plain(env.faults.cuts._asdict()),
        "counters": {name_value(*key): n for key, n in env.counters.counts.items()},
        "gauges": {name_value(*key): n for key, n in env.counters.gauges.items()},
        "parts": {name: dump_part(part) for name, part in list(env.dumps.items())},
    }


def dump_settings(env: "Environment") -> dict[str, Any]:
    """Dump the settings without the secret."""
    settings = env.settings._asdict()
    settings["secret"] = HIDDEN if env.settings.secret else ""
    return {
        name: str(value) if hasattr(value, "port") else value
        for name, value in settings.items()
    }


def dump_part(part: Any) -> Any:
    """Dump one part as plain data, or tell why that failed."""
    try:
        return make_plain(part.dump())
    except Exception as error:  # a broken part must not hide the others
        return {"error": repr(error)}


def make_plain(value: Any) -> Any:
    """Turn a value into what JSON can hold."""
    if value is None or isinstance(value, bool | int | float | str):
        return value
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        value = value._asdict()
    if isinstance(value, Mapping):
        return {str(key): make_plain(item) for key, item in list(value.items())}
    if isinstance(value, set | frozenset):
        return sorted((make_plain(item) for item in value), key=str)
    if isinstance(value, list | tuple | deque):
        return [make_plain(item) for item in list(value)]
    return repr(value)


def name_value(name: str, labels: Labels) -> str:
    """Name a counter with its labels."""
    if not labels:
        return name
    return name + "{" + ",".join(f'{key}="{value}"' for key, value in labels) + "}"
