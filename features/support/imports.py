"""Import graph of the package, read from the sources of its modules."""

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PACKAGE = "knapweedrock"


def list_modules() -> dict[str, Path]:
    """Map the names of the package's modules to their files."""
    found = {}
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        found[name] = path
    return found


def list_imports(path: Path, modules: dict[str, Path]) -> Iterator[str]:
    """List the package's modules that a file imports at module level."""
    tree = ast.parse(path.read_text())
    for node in tree.body:
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in modules)
        if isinstance(node, ast.ImportFrom) and node.module in modules:
            inner = [f"{node.module}.{alias.name}" for alias in node.names]
            yield from (name for name in inner if name in modules)
            yield node.module


def read_graph() -> dict[str, set[str]]:
    """Read the import graph, without imports that only type checkers execute."""
    modules = list_modules()
    return {name: set(list_imports(path, modules)) for name, path in modules.items()}


def find_cycle(graph: dict[str, set[str]]) -> list[str]:
    """Find modules that import each other in a cycle; empty if there is none."""
    done: set[str] = set()
    path: list[str] = []

    def visit(name: str) -> list[str]:
        if name in path:
            return [*path[path.index(name) :], name]
        if name in done:
            return []
        path.append(name)
        for other in sorted(graph[name]):
            cycle = visit(other)
            if cycle:
                return cycle
        path.pop()
        done.add(name)
        return []

    for name in graph:
        cycle = visit(name)
        if cycle:
            return cycle
    return []
