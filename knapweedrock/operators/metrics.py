"""Publication of counters and gauges at a scrape."""

import re
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, NamedTuple

from aioprometheus import Counter, Gauge, Registry, render

from knapweedrock.codes import Code
from knapweedrock.counters import Labels

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

PREFIX = "knapweedrock_"
NAME_PATTERN = re.compile(r"[^a-zA-Z0-9_]")
RESERVED_LABEL = "job"
CODE_LABEL = "code"
NAMES_BY_NUMBER = {str(int(code)): code.name for code in Code}


class Sample(NamedTuple):
    """One gauge that is worked out at the scrape."""

    name: str
    value: float
    labels: Labels = ()


Sampler = Callable[["Environment"], Iterator[Sample]]

SAMPLERS: list[Sampler] = []


def sampler(function: Sampler) -> Sampler:
    """Register a source of gauges."""
    SAMPLERS.append(function)
    return function


@sampler
def sample_versions(env: "Environment") -> Iterator[Sample]:
    """Yield the versions that this node holds."""
    yield Sample("configuration_version", env.configuration.version)
    yield Sample("view_epoch", env.views.version.epoch)
    yield Sample("view_count", env.views.version.count)


@sampler
def sample_lease(env: "Environment") -> Iterator[Sample]:
    """Yield the time left of the node lease."""
    if hasattr(env, "lease"):
        yield Sample("lease_remaining_ms", max(env.lease.remaining_ms(), 0))


@sampler
def sample_members(env: "Environment") -> Iterator[Sample]:
    """Yield the members of the cell by zone and state."""
    found: dict[Labels, int] = {}
    for member in env.views.view["members"].values():
        labels = (("state", member["state"]), ("zone", member["zone"]))
        found[labels] = found.get(labels, 0) + 1
    for labels, count in found.items():
        yield Sample("members", count, labels)


def render_metrics(env: "Environment") -> tuple[bytes, str]:
    """Render all metrics as text; return it with its content type."""
    registry = Registry()
    published: dict[str, Counter | Gauge] = {}
    for (name, labels), value in list(env.counters.counts.items()):
        publish(registry, published, Counter, name, labels, value)
    for (name, labels), value in list(env.counters.gauges.items()):
        publish(registry, published, Gauge, name, labels, value)
    for function in SAMPLERS:
        for sample in function(env):
            publish(
                registry, published, Gauge, sample.name, sample.labels, sample.value
            )
    content, headers = render(registry, [])
    return content, headers["Content-Type"]


def publish(
    registry: Registry,
    published: dict[str, Counter | Gauge],
    kind: type[Counter] | type[Gauge],
    name: str,
    labels: Labels,
    value: float,
) -> None:
    """Add one value; a gauge named like a counter gets a suffix."""
    full = PREFIX + NAME_PATTERN.sub("_", name)
    if full in published and not isinstance(published[full], kind):
        full += "_now"
    if full not in published:
        doc = name.replace("_", " ")
        published[full] = kind(full, doc, registry=registry)
    published[full].set(dict(map(name_label, number_codes(labels))), value)


def number_codes(labels: Labels) -> Iterator[tuple[str, str]]:
    """Yield the labels, with a result code as its number and its name."""
    for name, value in labels:
        if name != CODE_LABEL:
            yield name, value
        elif value in Code.__members__:
            yield from ((name, str(int(Code[value]))), ("name", value))
        elif value in NAMES_BY_NUMBER:
            yield from ((name, value), ("name", NAMES_BY_NUMBER[value]))
        else:
            yield name, value


def name_label(label: tuple[str, str]) -> tuple[str, str]:
    """Return a label under a name that Prometheus takes."""
    name, value = label
    name = NAME_PATTERN.sub("_", name)
    if name == RESERVED_LABEL or name.startswith("__"):
        name = "label_" + name.lstrip("_")
    return name, escape_value(str(value))


def escape_value(value: str) -> str:
    """Escape a label's value, which the library writes as it is."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
