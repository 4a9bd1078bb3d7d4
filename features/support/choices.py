"""Types of step parameters whose texts choose among values."""

import re

import parse
from behave import register_type


def register_choices(name: str, choices: dict[str, object]) -> None:
    """Register a type of steps that takes exactly these texts."""

    @parse.with_pattern("|".join(re.escape(text) for text in choices))
    def choose(text: str) -> object:
        return choices[text]

    register_type(**{name: choose})
