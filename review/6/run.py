"""Case 6: a coordinator that follows a drill of the store reads keys that went back."""

import asyncio
import signal
import sys
import time
from pathlib import Path

from review.stand_ins_2.cases import run_script
from review.stand_ins_2.mesh import Mesh, Record
from review.stand_ins_2.owners import MAX_SHARED_S, OverlapMonitor, list_low_tokens

SERVICE = "depot-orders"
ZONES = ("nz-north-a", "nz-north-b", "nz-north-c")
AWAY_S = 0.8
CALM_S = 8.0
OBSERVED_S = 14.0
RATE_PER_S = 25.0


async def play(log: Record, has_trouble: bool) -> int:
    """Play the case; return 1 if the rule is broken."""
    mesh = Mesh(log)
    try:
        return await run_case(mesh, log, has_trouble)
    finally:
        await mesh.stop()


async def run_case(mesh: Mesh, log: Record, has_trouble: bool) -> int:
    """Scale in, restore the store, restart the coordinator, and check the holds."""
    await mesh.store.start()
    mesh.configure(SERVICE)
    names = ["m1", "m2", "m3", "m4", "m5"]
    for number, name in enumerate(names):
        machine = mesh.add_machine(name, ZONES[number % len(ZONES)], SERVICE)
        await machine.start_process()
        await machine.start_backend(phase_s=0.17 * number)
    await mesh.wait_until_held()
    log("all keys are held")
    monitor = OverlapMonitor(mesh.list_lives)
    sampling = asyncio.create_task(monitor.run())
    mesh.start_clients(RATE_PER_S, list(mesh.machines.values()), seed=7)
    await asyncio.sleep(4)

    coordinator = mesh.read_leader()
    leaving = next(m for n, m in mesh.machines.items() if n != coordinator)
    log(f"coordinator {coordinator}; {leaving.name} is scaled in")
    began_s = time.monotonic()
    leave = asyncio.create_task(leaving.backend.leave())
    await wait_for_moves(mesh, leaving.backend)
    log(f"all keys of {leaving.name} are held by others")
    if has_trouble:
        await mesh.store.drill(mesh.store.find_copy(began_s), AWAY_S)
    await leave
    await leaving.end_process(signal.SIGTERM)
    await asyncio.sleep(CALM_S)

    coordinator = mesh.read_leader()
    log(f"coordinator {coordinator} is stopped and started again")
    machine = mesh.machines[coordinator]
    await machine.end_process(signal.SIGTERM)
    await machine.start_process()
    await asyncio.sleep(OBSERVED_S)
    sampling.cancel()
    return report(mesh, log, monitor)


async def wait_for_moves(mesh: Mesh, leaving) -> None:
    """Wait until a backend holds nothing and all keys are held by others."""
    await leaving.acked_draining.wait()
    await asyncio.sleep(0.3)
    await mesh.wait_until_held()


def report(mesh: Mesh, log: Record, monitor: OverlapMonitor) -> int:
    """Record what was seen; return 1 if the rule is broken."""
    for outcome in mesh.outcomes:
        log.write(f"sent {log.at(outcome.at_s):.3f} {outcome[1:]}")
    for life in mesh.list_lives():
        for take in life.takes:
            log.write(f"take {log.at(take.at_s):.3f} {life.instance} {take[1:]}")
        for run in life.runs:
            log.write(f"run {log.at(run.at_s):.3f} {life.instance} {run[1:]}")
    for item in mesh.store.writes:
        log.write(f"store write {log.at(item[0]):.3f} {item[1:]}")
    low = list_low_tokens(mesh.list_lives())
    for item in low[:8]:
        log(
            f"at {log.at(item.at_s):.3f} {item.instance} takes keys {item.start}-"
            f"{item.end} with token {item.fence}; {item.former} had them with"
            f" {item.former_fence}"
        )
    long = [o for o in monitor.finish() if o.lasted_s > MAX_SHARED_S]
    for item in long[:8]:
        log(
            f"from {log.at(item.since_s):.3f} for {item.lasted_s:.2f} s"
            f" {item.first} and {item.second} held {item.keys} of the same keys"
        )
    statuses: dict[int, int] = {}
    for outcome in mesh.outcomes:
        statuses[outcome.status] = statuses.get(outcome.status, 0) + 1
    log(f"answers by status: {dict(sorted(statuses.items()))}")
    log(f"{len(low)} takes under a low token, {len(long)} shared holds over 0.5 s")
    return 1 if low or long else 0


if __name__ == "__main__":
    sys.exit(run_script(play, Path(__file__).parent))
