"""Test that scenarios detect removed guards, by removing one guard at a time.

`guards.toml` lists the guards, each with a scenario that must fail without it. Each
scenario runs in a separate copy of the source tree. A scenario that passes without
its guard, or fails with it, does not prove that the guard is needed.
"""

import argparse
import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
GUARDS_FILE = Path(__file__).resolve().parent / "guards.toml"
PARALLEL_PROCESSES = int(os.environ.get("TEST_PROCESSES", "2"))
SCENARIO_TIMEOUT_S = 200
MAX_QUOTE_CHARACTERS = 600
ASSERTION_PATTERN = re.compile(r"^ *ASSERT FAILED:(.*)", re.MULTILINE)
ERROR_PATTERN = re.compile(r"^([A-Za-z.]*(?:Error|Exception)\b.*)", re.MULTILINE)


class GuardError(Exception):
    """A guard that cannot be tested."""


class Edit(NamedTuple):
    """A piece of source text, and its replacement without the guard."""

    file: str
    old: str
    new: str


class Guard(NamedTuple):
    """Code that a promise depends on, and the scenario that must fail without it."""

    name: str
    promise: str
    feature: str
    scenario: str
    edits: list[Edit]


class ScenarioRun(NamedTuple):
    """Outcome of a scenario.

    `is_check_failure` is true if a check of the outcome failed, rather than the setup
    or the code. `quote` is the first line of the failure.
    """

    passed: bool
    is_check_failure: bool
    quote: str


def read_guards() -> list[Guard]:
    """Read the guards from `guards.toml`."""
    entries = tomllib.loads(GUARDS_FILE.read_text())["guard"]
    return [
        Guard(
            entry["name"],
            entry["promise"],
            entry["feature"],
            entry["scenario"],
            [Edit(**edit) for edit in entry["edit"]],
        )
        for entry in entries
    ]


def select_guards(guards: list[Guard], names: list[str]) -> list[Guard]:
    """Select guards by name, or all if no names are given; raises `GuardError`."""
    unknown = set(names) - {guard.name for guard in guards}
    if unknown:
        raise GuardError(f"unknown guards: {', '.join(sorted(unknown))}")
    return [guard for guard in guards if not names or guard.name in names]


def remove_guard(text: str, edit: Edit) -> str:
    """Return the text without the guard.

    Raises `GuardError` unless the text to replace occurs exactly once.
    """
    count = text.count(edit.old)
    if count != 1:
        raise GuardError(f"{edit.file}: found {count} times, expected 1: {edit.old!r}")
    return text.replace(edit.old, edit.new)


def check_guard(guard: Guard) -> None:
    """Raise `GuardError` if the text of an edit or the scenario does not exist."""
    feature = (ROOT / f"features/{guard.feature}.feature").read_text()
    name = guard.scenario.partition(" -- ")[0]
    patterns = (
        re.sub("<[^>]+>", ".+", re.escape(title))
        for title in re.findall(r"^ *Scenario[^:]*: (.+)$", feature, re.MULTILINE)
    )
    if not any(re.fullmatch(pattern, name) for pattern in patterns):
        raise GuardError(f"{guard.feature}: no scenario is named {name!r}")
    texts: dict[str, str] = {}
    for edit in guard.edits:
        text = texts.get(edit.file) or (ROOT / edit.file).read_text()
        texts[edit.file] = remove_guard(text, edit)


def copy_tree(directory: Path) -> None:
    """Copy all files that git tracks into a directory."""
    listed = subprocess.run(
        ["git", "ls-files", "-z"], cwd=ROOT, capture_output=True, check=True
    )
    for name in filter(None, listed.stdout.decode().split("\0")):
        destination = directory / name
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(ROOT / name, destination)


def run_on_copy(guard: Guard, edits: list[Edit]) -> ScenarioRun:
    """Run the guard's scenario in a copy of the source tree with these edits."""
    with tempfile.TemporaryDirectory(prefix="knapweedrock-guard-") as name:
        directory = Path(name)
        copy_tree(directory)
        for edit in edits:
            path = directory / edit.file
            path.write_text(remove_guard(path.read_text(), edit))
        return run_scenario(directory, guard)


def run_scenario(directory: Path, guard: Guard) -> ScenarioRun:
    """Run the guard's scenario in a source tree and return its outcome."""
    report = directory / "guard-report.json"
    command = [sys.executable, "-m", "behave", "--no-capture", "--format", "json"]
    command += ["--outfile", str(report), "--format", "plain"]
    command += ["--name", f"^{re.escape(guard.scenario)}"]
    command.append(f"features/{guard.feature}.feature")
    environment = os.environ | {"PYTHONPATH": str(directory)}
    try:
        completed = subprocess.run(
            command,
            cwd=directory,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            timeout=SCENARIO_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return ScenarioRun(False, False, f"timed out after {SCENARIO_TIMEOUT_S} s")
    return read_report(report, guard, completed.stdout)


def read_report(report: Path, guard: Guard, text: str) -> ScenarioRun:
    """Read the outcome of the scenarios that ran from behave's report."""
    report_text = report.read_text() if report.exists() else ""
    features = json.loads(report_text) if report_text.strip() else []
    elements = [item for feature in features for item in feature.get("elements", [])]
    run_elements = [
        e for e in elements if e.get("status") not in (None, "skipped", "untested")
    ]
    if not run_elements:
        raise GuardError(f"{guard.name}: no scenario is named {guard.scenario!r}")
    for element in run_elements:
        if element["status"] != "passed":
            return read_failure(element, text)
    return ScenarioRun(True, False, "")


def read_failure(element: dict, text: str) -> ScenarioRun:
    """Read which step failed, and whether it failed in a check of the outcome.

    Only failed assertions and timeouts outside of `given` steps count as such.
    """
    failed = [step for step in element["steps"] if has_failed(step)]
    if not failed:
        return ScenarioRun(False, False, "a hook failed")
    step = failed[0]
    assertion_match = ASSERTION_PATTERN.search(text)
    error_match = ERROR_PATTERN.search(text)
    is_assertion = step["result"]["status"] == "failed"
    is_check = is_assertion or is_timeout(error_match)
    match = assertion_match if is_assertion else error_match
    line = match[1].strip() if match else ""
    quote = f"{step['name']}: {line[:MAX_QUOTE_CHARACTERS] or 'assertion without text'}"
    return ScenarioRun(False, is_check and step["step_type"] != "given", quote)


def has_failed(step: dict) -> bool:
    """Return whether a step ran and did not pass."""
    passed = (None, "passed", "skipped", "untested")
    return step.get("result", {}).get("status") not in passed


def is_timeout(error_match: re.Match | None) -> bool:
    """Return whether a check timed out while waiting for its condition."""
    return error_match is not None and error_match[1].startswith("TimeoutError")


def run_without_guard(
    guard: Guard, baselines: dict[tuple[str, str], ScenarioRun]
) -> tuple[bool, str]:
    """Run a guard's scenario without the guard.

    Returns whether the scenario failed as it must, and a description of the result.
    """
    baseline = baselines[guard.feature, guard.scenario]
    if not baseline.passed:
        return False, f"FAILED WITH ITS GUARD: {baseline.quote}"
    run = run_on_copy(guard, guard.edits)
    if run.passed:
        return False, "PASSED WITHOUT ITS GUARD"
    if not run.is_check_failure:
        return False, f"FAILED BEFORE ITS CHECKS: {run.quote}"
    return True, f"failed as it must: {run.quote}"


def run_baselines(guards: list[Guard]) -> dict[tuple[str, str], ScenarioRun]:
    """Run each scenario once with all guards in place."""
    guards_by_scenario = {(guard.feature, guard.scenario): guard for guard in guards}
    with ThreadPoolExecutor(PARALLEL_PROCESSES) as pool:
        results = pool.map(
            lambda guard: run_on_copy(guard, []), guards_by_scenario.values()
        )
        return dict(zip(guards_by_scenario, results, strict=True))


def run_guards(guards: list[Guard]) -> int:
    """Test guards, print the result of each, and return the exit status."""
    for guard in guards:
        check_guard(guard)
    baselines = run_baselines(guards)
    proven_count = 0
    with ThreadPoolExecutor(PARALLEL_PROCESSES) as pool:
        results = pool.map(lambda guard: run_without_guard(guard, baselines), guards)
        for guard, (is_proved, text) in zip(guards, results, strict=True):
            proven_count += is_proved
            print(f"{guard.name} | {guard.feature}: {guard.scenario}", flush=True)
            print(f"    {text}", flush=True)
    print(f"{proven_count} of {len(guards)} scenarios fail without their guard")
    return 0 if proven_count == len(guards) else 1


def list_guards(guards: list[Guard]) -> None:
    """Print all guards with their promises and scenarios."""
    for guard in guards:
        print(f"{guard.name} | {guard.promise} | {guard.feature}: {guard.scenario}")


def main() -> int:
    """Test all guards, or the named ones, and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="guards to test; all by default")
    parser.add_argument("--list", action="store_true", help="list the guards")
    parser.add_argument(
        "--check", action="store_true", help="only check that texts and scenarios exist"
    )
    options = parser.parse_args()
    try:
        guards = select_guards(read_guards(), options.names)
        if options.list:
            list_guards(guards)
            return 0
        if options.check:
            for guard in guards:
                check_guard(guard)
            return 0
        return run_guards(guards)
    except GuardError as error:
        print(f"error: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
