"""Steps about the single-file binary."""

import contextlib
import os
import shutil
import subprocess
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from features.support.processes import ROOT
from knapweedrock.checker import parse_address
from knapweedrock.clock import create_clock
from knapweedrock.counters import Counters
from knapweedrock.emulator.addresses import create_address
from knapweedrock.platform.store import Store

BINARY = ROOT / "dist" / "knapweedrock"
CALL_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.002
OBSERVATION_S = 3.0
DEMO_MARGIN_S = 30


def start(context, *arguments, binary=BINARY):
    """Start the binary; the scenario's cleanup kills it."""
    environment = os.environ | {"KNAPWEEDROCK_UNPACK_DIR": str(context.directory)}
    process = subprocess.Popen(
        [binary, *arguments],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(process.communicate)
    context.add_cleanup(process.kill)
    return process


def run(context, *arguments, binary=BINARY):
    """Run the binary to its end and return its status, stdout and stderr."""
    process = start(context, *arguments, binary=binary)
    output, errors = process.communicate(timeout=30)
    return process.returncode, output, errors


def list_children(pid):
    """List the children of all threads of a process."""
    children = []
    for task in Path(f"/proc/{pid}/task").iterdir():
        children += (task / "children").read_text().split()
    return children


def list_unpacked(context):
    """List the unpacked directories."""
    return sorted(context.directory.iterdir())


@given("the built binary and an empty directory to unpack into")
def expect_binary(context):
    """Expect the binary, which `make binary` builds, and create a directory."""
    assert BINARY.is_file(), "run `make binary` first"
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = Path(directory.name)


@when("the binary runs as a store emulator")
def start_emulator(context):
    """Start the store emulator and record its children for a while."""
    context.address = str(create_address())
    arguments = ["emulate", "store", "--listen", context.address]
    context.process = start(context, *arguments)
    record_children(context, OBSERVATION_S)
    assert context.process.poll() is None, context.process.stderr.read()


def record_children(context, max_duration_s):
    """Record the children of the process until it ends or the time is over."""
    context.child_lists = []
    end_s = time.monotonic() + max_duration_s
    while time.monotonic() < end_s and context.process.poll() is None:
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            context.child_lists.append(list_children(context.process.pid))
        time.sleep(POLL_INTERVAL_S)


@when("the binary runs the demo for {duration_s:d} s")
def run_demo(context, duration_s):
    """Run the demo to its end and record its children."""
    context.process = start(context, "demo", "--for", str(duration_s))
    record_children(context, duration_s + DEMO_MARGIN_S)


@then("it exited with status 0")
def check_ended(context):
    """Check the exit status, and show the output of a failed run."""
    assert context.process.poll() == 0, context.process.communicate()


@then("no child process was seen from its start on")
def check_one_process(context):
    """Check that the children were listed often, and that there never were any."""
    assert len(context.child_lists) > 100
    assert not any(context.child_lists), [
        found for found in context.child_lists if found
    ]
    print(f"{len(context.child_lists)} lists of children")


@then("it responds to calls of the store client")
def check_answers(context):
    """Create an object in the store emulator and read it back."""
    store = Store(parse_address(context.address), create_clock(), Counters())
    created = store.create("things", "a", 1, CALL_TIMEOUT_S)
    assert store.get("things", "a") == created, created


@then(
    "it takes at most {resident_mb:d} MB of resident memory and {file_mb:d} MB on disk"
)
def check_size(context, resident_mb, file_mb):
    """Check the resident memory of the process and the size of the binary."""
    status = Path(f"/proc/{context.process.pid}/status").read_text().splitlines()
    line = next(line for line in status if line.startswith("VmRSS"))
    resident_bytes = int(line.split()[1]) * 1024
    file_bytes = BINARY.stat().st_size
    print(f"resident {resident_bytes} bytes, file {file_bytes} bytes")
    assert resident_bytes <= resident_mb * 1_000_000
    assert file_bytes <= file_mb * 1_000_000


@then("it exits with status 0 on SIGTERM")
def expect_end(context):
    """Terminate the store emulator."""
    context.process.terminate()
    assert context.process.wait(5) == 0


@when("the binary is run twice")
def run_twice(context):
    """Run twice, and record the change times of files after the first run."""
    context.results = [run(context, "--version")]
    context.change_times = read_change_times(context)
    context.results.append(run(context, "--version"))


def read_change_times(context):
    """Read the last change time of each file."""
    return {p: p.stat().st_ctime_ns for p in context.directory.rglob("*")}


@then("all runs succeeded and one directory was unpacked")
def check_unpacked_once(context):
    """Check the results of all runs, and that one directory is left."""
    for status, output, errors in context.results:
        assert (status, errors) == (0, ""), errors
        assert "version" in output
    assert len(list_unpacked(context)) == 1, list_unpacked(context)


@then("the second run wrote no file")
def check_nothing_written(context):
    """Compare the change times of files after both runs."""
    assert context.change_times == read_change_times(context)


@when("the binary is run {count:d} times at once")
def run_at_once(context, count):
    """Start all runs before the first one ends."""
    started = [start(context, "--version") for _ in range(count)]
    results = [(process, *process.communicate(timeout=30)) for process in started]
    context.results = [(process.returncode, out, err) for process, out, err in results]


@when("the unpacked directory becomes writable for others between two runs")
def open_directory(context):
    """Make the unpacked directory writable for others after the first run."""
    run(context, "--version")
    list_unpacked(context)[0].chmod(0o777)
    context.result = run(context, "--version")


@when("a truncated copy of the binary is run")
def run_truncated(context):
    """Run a copy that is cut in the middle."""
    copy = context.directory / "copy"
    shutil.copy(BINARY, copy)
    os.truncate(copy, copy.stat().st_size // 2)
    context.result = run(context, "--version", binary=copy)


@then("{subject} fails with a reason")
def check_failure(context, subject):
    """Check the exit status and the error message."""
    status, output, errors = context.result
    assert (status, output) == (1, ""), context.result
    assert errors.startswith("error: can't "), errors
