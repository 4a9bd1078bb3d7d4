"""Objects in the store as other writers leave them: odd, but in a sound listing."""

from typing import Any

import msgspec

from knapweedrock.emulator.store import ObjectStore

DEPTH = 2000
# Nearly as deep as an object of the largest size can be nested.
LARGEST_DEPTH = 500_000


def create_nested(depth: int) -> msgspec.Raw:
    """Create an array that contains an array, and so on."""
    return msgspec.Raw(b"[" * depth + b"]" * depth)


ODD_SPECIFICATIONS = {
    "nested 2,000 deep": create_nested(DEPTH),
    "nested 500,000 deep": create_nested(LARGEST_DEPTH),
    "with a number too large": msgspec.Raw(b'{"version":1e400}'),
    "with an integer of 5,000 digits": msgspec.Raw(b'{"version":' + b"9" * 5000 + b"}"),
    "with an integer that no float holds": {
        "version": msgspec.Raw(b"9" * 400),
        "routes": {},
        "services": {},
        "limits": {"idleTimeoutMs": msgspec.Raw(b"9" * 400)},
    },
    "with a port out of range": {"address": "10.0.0.1:99999", "port": 99999},
    "with a text as its specification": "odd",
    "with null as its specification": None,
    "with bytes that are no text": msgspec.Raw(b'{"version":"\xff\xfe"}'),
}
ODD_ITEMS = {
    "without a specification": {"metadata": {"name": "odd", "revision": 3}},
    "without metadata": {"specification": {}},
    "with a text as its revision": {
        "metadata": {"name": "odd", "revision": "new"},
        "specification": {},
    },
    "with a revision below 0": {
        "metadata": {"name": "odd", "revision": -1},
        "specification": {},
    },
    "with a list as its name": {
        "metadata": {"name": ["odd"], "revision": 3},
        "specification": {},
    },
    "with metadata nested 2,000 deep": {
        "metadata": create_nested(DEPTH),
        "specification": {},
    },
    "that is a number": 7,
    "that is null": None,
}
ODDITIES = (*ODD_SPECIFICATIONS, *ODD_ITEMS)


def create_odd_object(oddity: str, name: str, revision: int) -> Any:
    """Create an object with the named oddity."""
    if oddity in ODD_ITEMS:
        return ODD_ITEMS[oddity]
    return {
        "metadata": {"name": name, "revision": revision},
        "specification": ODD_SPECIFICATIONS[oddity],
        "status": None,
    }


def write_odd_object(objects: ObjectStore, kind: str, oddity: str, name: str) -> None:
    """Write an object with an oddity, as another writer leaves it."""
    item = create_odd_object(oddity, name, objects.revision + 1)
    objects.write_raw(kind, name, item)
