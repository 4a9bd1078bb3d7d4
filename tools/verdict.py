"""Run all features, or the named ones, and count the scenarios passed and failed.

Feature files run in parallel, each in a behave process of its own. Scenarios listed
in KNOWN-RED.txt are run and printed, but do not fail the run.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
PARALLEL_PROCESSES = int(os.environ.get("TEST_PROCESSES", "3"))
FEATURE_TIMEOUT_S = 400
# Features that measure the memory of processes: they run last, one at a time.
EXCLUSIVE_FEATURES = frozenset({"crowds"})
FAILURE_MARKERS = ("ASSERT FAILED:", "Traceback", "timed out")


class ScenarioResult(NamedTuple):
    """Outcome of one scenario, with the output of its feature."""

    feature: str
    name: str
    passed: bool
    text: str


def read_known_red() -> set[str]:
    """Read the names of the scenarios that are known to fail."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip() for entry in entries}


def run_feature(path: Path) -> list[ScenarioResult]:
    """Run a feature file and return the outcomes of its scenarios."""
    with tempfile.NamedTemporaryFile("r", suffix=".json") as report:
        command = [sys.executable, "-m", "behave", "--no-capture", "--format"]
        command += ["json", "--outfile", report.name, "--format", "plain", str(path)]
        try:
            completed = subprocess.run(
                command,
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=FEATURE_TIMEOUT_S,
            )
            output = completed.stdout + completed.stderr
        except subprocess.TimeoutExpired as error:
            output = f"timed out after {error.timeout} s"
        report_text = report.read()
    name = path.stem
    if not report_text.strip():
        return [ScenarioResult(name, "feature did not run", False, output)]
    features = json.loads(report_text)
    scenarios = [
        element
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    return [
        ScenarioResult(name, item["name"], item.get("status") == "passed", output)
        for item in scenarios
    ]


def run_features(paths: list[Path]) -> Iterator[list[ScenarioResult]]:
    """Run feature files in parallel, then the exclusive ones one at a time."""
    shared = [path for path in paths if path.stem not in EXCLUSIVE_FEATURES]
    with ThreadPoolExecutor(PARALLEL_PROCESSES) as pool:
        yield from pool.map(run_feature, shared)
    for path in paths:
        if path.stem in EXCLUSIVE_FEATURES:
            yield run_feature(path)


def find_reason(output: str) -> str:
    """Find the first line of output that says why a feature failed."""
    lines = (line.strip() for line in output.splitlines())
    return next(
        (line for line in lines if line.startswith(FAILURE_MARKERS)), "see above"
    )


def main() -> int:
    """Run the features, print the results, and return the exit status."""
    names = sys.argv[1:]
    paths = sorted((ROOT / "features").glob("*.feature"))
    if names:
        paths = [path for path in paths if path.stem in names]
    known_red = read_known_red()
    passed = known_red_count = 0
    failures: list[ScenarioResult] = []
    for results in run_features(paths):
        for result in results:
            label = f"{result.feature}: {result.name}"
            if result.passed:
                passed += 1
                print(f"passed  {label}", flush=True)
            elif result.name.strip() in known_red:
                known_red_count += 1
                print(f"KNOWN RED  {label}", flush=True)
            else:
                failures.append(result)
                print(f"FAILED  {label}\n{result.text}", flush=True)
    if known_red_count:
        print((ROOT / "KNOWN-RED.txt").read_text())
        print(f"{known_red_count} known red, not counted below")
    for result in failures:
        print(f"FAILED  {result.feature}: {result.name}: {find_reason(result.text)}")
    print(f"{passed} passed, {len(failures)} failed")
    return 1 if failures or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
