"""Steps about the structure of the source tree."""

import ast

from behave import then, when

from features.support.imports import find_cycle, list_modules, read_graph

ADAPTER = "knapweedrock.platform"
STAND_INS = "knapweedrock.emulator"
# Names of headers, paths, kinds and fields of the users' platform.
PLATFORM_NAMES = frozenset(
    {
        "x-attempt-id",
        "x-timeout-remaining",
        "x-shard-key",
        "x-response-signature",
        "x-expected-instance",
        "x-not-executed",
        "x-caller-service",
        "x-server-load",
        "x-cold-milliseconds",
        "x-instance-id",
        "coldremainingms",
        "trafficsplit",
        "targetlatencyms",
        "pathprefix",
        "sharded",
        "holdms",
        "atrevision",
        "hasmore",
        "specification",
        "evacuations",
        "deregister",
    }
)


def list_strings(prefixes: tuple[str, ...], inside: bool) -> set[tuple[str, str]]:
    """List the strings, in lower case, of modules inside or outside some packages."""
    found = set()
    for name, path in list_modules().items():
        if name.startswith(prefixes) != inside:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                found.add((name, node.value.lower()))
    return found


@when("the imports of all modules are read")
def read_imports(context) -> None:
    """Read the import graph."""
    context.graph = read_graph()
    assert len(context.graph) > 80, len(context.graph)


@when("the strings of all modules outside of the adapter and the stand-ins are read")
def read_strings(context) -> None:
    """Read the strings of the modules that must not use platform names."""
    context.strings = list_strings((ADAPTER, STAND_INS), inside=False)


@then("there is no import cycle")
def check_no_cycle(context) -> None:
    """Check that the import graph has no cycle."""
    assert not find_cycle(context.graph), find_cycle(context.graph)


@then("an inserted import cycle is found")
def check_cycle_found(context) -> None:
    """Check that the search finds a cycle that was added to the graph."""
    graph = {**context.graph, "a": {"b"}, "b": {"c"}, "c": {"a"}}
    assert find_cycle(graph) == ["a", "b", "c", "a"]


@then("none is a name from the platform's messages")
def check_names(context) -> None:
    """Check that no string equals a platform name."""
    wrong = [item for item in context.strings if item[1] in PLATFORM_NAMES]
    assert not wrong, wrong


@then("the adapter itself uses such names")
def check_adapter(context) -> None:
    """Check that the adapter uses more than half of the listed names."""
    strings = {text for _, text in list_strings((ADAPTER,), inside=True)}
    missing = PLATFORM_NAMES - strings
    assert len(missing) < len(PLATFORM_NAMES) / 2, missing
