"""Newer views and configurations from peers, as differences where that is possible."""

from typing import TYPE_CHECKING, Any

from knapweedrock.differences import Change, History
from knapweedrock.nodes.handlers import Sender, handles
from knapweedrock.nodes.messages import (
    Assign,
    ConfigAnswer,
    FetchConfig,
    FetchView,
    ViewAnswer,
)
from knapweedrock.nodes.view import ViewVersion

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

NO_VIEW = ViewVersion(0, 0)


def take_view(env: "Environment", note: Assign | ViewAnswer) -> bool:
    """Take a newer view; tell whether the difference, if it is one, fitted."""
    if note.difference is None and note.view is None:
        return True
    change = Change(ViewVersion(*note.base), note.difference, note.view)
    view = apply_change(env, env.views.history, change)
    if view is not None:
        env.views.replace(view)
    return view is not None


def take_configuration(env: "Environment", answer: ConfigAnswer) -> bool:
    """Take a newer configuration; tell whether the difference fitted."""
    if answer.difference is None and answer.value is None:
        return True
    held = env.configuration
    change = Change(answer.base, answer.difference, answer.value)
    value = apply_change(env, held.history, change)
    if value is not None:
        held.replace(answer.version, value)
    return value is not None


def apply_change(env: "Environment", history: History, change: Change) -> Any | None:
    """Return the value of a change; None where its difference is of no use here."""
    try:
        value = history.apply(change)
    except ValueError:
        value = None
    if value is None:
        env.counters.count("differences_unused")
    return value


@handles(FetchView)
def send_view(env: "Environment", _sender: Sender, fetch: FetchView) -> ViewAnswer:
    """Send the view if it is newer than the one held."""
    version = ViewVersion(fetch.epoch, fetch.count)
    if env.views.version <= version:
        return ViewAnswer(version, None, None)
    return ViewAnswer(*env.views.find_change(version))


@handles(FetchConfig)
def send_configuration(
    env: "Environment", _sender: Sender, fetch: FetchConfig
) -> ConfigAnswer:
    """Send the configuration if it is newer than the one held."""
    held = env.configuration
    if held.version <= fetch.version:
        return ConfigAnswer(held.version, fetch.version, None, None)
    return ConfigAnswer(held.version, *held.find_change(fetch.version))
