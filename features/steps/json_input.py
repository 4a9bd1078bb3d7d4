"""Steps about JSON of other writers: decoding with bounds, and splitting."""

import json
from typing import Any

import gevent
from behave import then, when
from hypothesis import strategies as st

from features.support.examples import feed_examples
from knapweedrock.clock import NS_PER_MS, create_clock
from knapweedrock.json_input import (
    InputError,
    decode_json,
    read_elements,
    read_members,
    split_parts,
)

EXAMPLE_COUNT = 300
DOCUMENT_BYTES = 1 << 20
SCALARS = (
    st.none() | st.booleans() | st.integers(-(1 << 53), 1 << 53) | st.text(max_size=8)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=20,
)
CONTAINERS = st.lists(VALUES, max_size=5) | st.dictionaries(
    st.text(max_size=6), VALUES, max_size=5
)
# Bytes that matter to the parsers come often.
JSON_BYTES = st.lists(
    st.sampled_from([b"[", b"]", b"{", b"}", b'"', b"\\", b",", b":", b"1e400", b" "])
    | st.binary(max_size=3),
    max_size=200,
).map(b"".join)
# Text that is repeated in an array, by the name of the pattern.
PATTERNS = {
    "empty arrays": b"[],",
    "small objects with strings": b'{"a":["b","c"]},',
    "escaped quotes": b'"\\"\\"\\"",',
    "opened brackets in a string": b'"[[{{",',
}
NESTED = b"[" * 100 + b"]" * 100


@when("random arrays and objects are split")
def split_random(context) -> None:
    """Split each example in two notations, and keep what differs."""
    context.differences = []

    def check(value: Any) -> None:
        for text in (json.dumps(value), json.dumps(value, indent=1)):
            parts = [json.loads(part) for part in split_parts(text.encode())]
            if isinstance(value, dict):
                parts = dict(zip(parts[::2], parts[1::2], strict=True))
            if parts != value:
                context.differences.append((value, parts))

    feed_examples(check, CONTAINERS, count=EXAMPLE_COUNT)


@when("random bytes and damaged documents are decoded and split")
def decode_random(context) -> None:
    """Call all functions with each example, and keep unexpected errors."""
    context.errors = []

    def check(data: bytes) -> None:
        for call in (decode_json, read_members, read_elements, split_after_check):
            try:
                call(data)
            except InputError:
                continue
            except Exception as error:
                context.errors.append((call.__name__, data, repr(error)))

    for strategy in (
        JSON_BYTES,
        JSON_BYTES.map(lambda data: NESTED + data),
        JSON_BYTES.map(lambda data: b"{" + NESTED + data),
    ):
        feed_examples(check, strategy, count=EXAMPLE_COUNT)


@when("an array of {levels} levels is decoded")
def decode_nested(context, levels: str) -> None:
    """Decode nested arrays, and keep the error."""
    count = int(levels.replace(",", ""))
    context.error = None
    try:
        decode_json(b"[" * count + b"]" * count)
    except InputError as error:
        context.error = error


@when("a document of 1 MB of {pattern} beside a nested value is split")
def split_large(context, pattern: str) -> None:
    """Split a large document while another task measures the turns of the loop."""
    large = create_large_value(pattern)
    data = b'{"large":' + large + b',"nested":' + NESTED + b',"beside":7}'
    clock, context.turns_ms = create_clock(), []

    def measure_turns() -> None:
        while True:
            start_ns = clock.now_ns()
            gevent.sleep(0)
            context.turns_ms.append((clock.now_ns() - start_ns) / NS_PER_MS)

    task = gevent.spawn(measure_turns)
    gevent.sleep(0)
    context.members = read_members(data)
    gevent.sleep(0)
    task.kill()


@then("the decoded parts are what a decoder finds")
def check_parts(context) -> None:
    """Check that no example differs."""
    assert not context.differences, context.differences[:2]


@then("each call returned or raised InputError")
def check_errors(context) -> None:
    """Check that there was no other error."""
    assert not context.errors, context.errors[:2]


@then("the nested value is {outcome}")
def check_nested(context, outcome: str) -> None:
    """Check whether the value was refused."""
    assert (context.error is not None) == (outcome == "refused"), context.error


@then("no turn of the event loop took {ms:d} ms")
def check_turns(context, ms: int) -> None:
    """Check the longest turn."""
    assert context.turns_ms
    assert max(context.turns_ms) < ms, sorted(context.turns_ms)[-5:]


@then("the value beside it is found")
def check_value_beside(context) -> None:
    """Check the member after the large and the nested one."""
    assert context.members["beside"] == b"7", list(context.members)


def create_large_value(pattern: str) -> bytes:
    """Create a valid value of about 1 MB."""
    if pattern == "nested arrays":
        return b"[" * (DOCUMENT_BYTES // 2) + b"]" * (DOCUMENT_BYTES // 2)
    if pattern == "nested objects":
        count = DOCUMENT_BYTES // 6
        return b'{"a":' * count + b"1" + b"}" * count
    text = PATTERNS[pattern]
    return b"[" + (text * (DOCUMENT_BYTES // len(text))).rstrip(b",") + b"]"


def split_after_check(data: bytes) -> list[bytes]:
    """Split data that begins like an array or an object."""
    if not data.lstrip().startswith((b"[", b"{")):
        raise InputError("no array or object")
    return split_parts(data)
