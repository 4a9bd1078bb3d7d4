"""Measure what the platform's client costs and how many calls it carries."""

from gevent import monkey

monkey.patch_all()

import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from statistics import median  # noqa: E402

from gevent.pool import Pool  # noqa: E402

from features.support.builders_platform import create_test_client  # noqa: E402
from features.support.http import call, call_or_none  # noqa: E402
from features.support.processes import (  # noqa: E402
    Ports,
    create_loopback_host,
    wait_for,
)

CALLS = 2000
RUNS = 5
IDLE_S = 12
TABLE_RANGES = 64
START_TIMEOUT_S = 10


def measure(task: Callable[[int], object], at_once: int) -> tuple[float, float]:
    """Run the task many times; return calls a second and CPU µs a call."""
    pool = Pool(at_once)
    started_s, started_cpu_s = time.monotonic(), time.process_time()
    for _ in pool.imap_unordered(task, range(CALLS), maxsize=at_once):
        pass
    spent_s = time.monotonic() - started_s
    return CALLS / spent_s, (time.process_time() - started_cpu_s) / CALLS * 1e6


def create_value() -> dict:
    """Create a value like a table of a cell."""
    ranges = [
        {"start": index << 58, "owner": f"n{index}", "incarnation": "a" * 16}
        | {"token": index, "since_ms": 1_700_000_000_000 + index}
        for index in range(TABLE_RANGES)
    ]
    return {"service": "depot-orders", "cell": "c1", "epoch": 7, "ranges": ranges}


def report(name: str, task: Callable[[int], object], at_once: int) -> None:
    """Measure several times and print the median and the spread."""
    found = [measure(task, at_once) for _ in range(RUNS)]
    rates, costs = sorted(rate for rate, _ in found), sorted(cost for _, cost in found)
    print(
        f"{name:<24} {at_once:>3} at once  {median(rates):7.0f} calls/s "
        f"({rates[0]:.0f} to {rates[-1]:.0f})  {median(costs):6.0f} µs CPU a call "
        f"({costs[0]:.0f} to {costs[-1]:.0f})",
        flush=True,
    )


def report_idle(address: str, client) -> None:
    """Print what a waiting watch costs."""
    before = call(address, "GET", "/emulator/stats").json()["total"].get("watch", 0)
    started_cpu_s = time.process_time()
    client.watch("watched", 1, IDLE_S * 1000)
    cpu_s = time.process_time() - started_cpu_s
    after = call(address, "GET", "/emulator/stats").json()["total"]["watch"]
    print(
        f"an idle watch: {(after - before) / IDLE_S:.2f} calls/s, "
        f"{cpu_s / IDLE_S * 100:.3f} % of a core"
    )


def main() -> int:
    """Start the stand-in, measure against it and stop it."""
    address = Ports(create_loopback_host()).take()
    command = [sys.executable, "-m", "knapweedrock", "emulate", "platform"]
    process = subprocess.Popen([*command, "--listen", address])
    try:
        wait_for(
            lambda: call_or_none(address, "GET", "/emulator/stats"),
            START_TIMEOUT_S,
            "the stand-in answers",
        )
        rates = {"reads_per_s": 1e6, "writes_per_s": 1e6}
        call(address, "POST", "/emulator/faults", rates)
        client = create_test_client(address)
        client.put("small", 1, 0)
        client.put("table", create_value(), 0)
        client.put("watched", 1, 0)
        for at_once in (1, 16):
            report("get, small value", lambda _: client.get("small", 9000), at_once)
            report("get, table", lambda _: client.get("table", 9000), at_once)
        versions = {"small": 1, "table": 1}

        def put(name: str, value: object) -> None:
            versions[name] = client.put(name, value, versions[name], 9000).version

        report("put, small value", lambda _: put("small", 1), 1)
        value = create_value()
        report("put, table", lambda _: put("table", value), 1)
        report_idle(address, client)
    finally:
        process.terminate()
        process.wait(5)
    return 0


if __name__ == "__main__":
    sys.exit(main())
