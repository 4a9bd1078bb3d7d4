"""Case 9: a zone evacuated after a drill of the store goes on getting requests."""

import asyncio
import sys
import time
from pathlib import Path

from review.stand_ins_2.cases import run_script
from review.stand_ins_2.mesh import BOUNDS, Mesh, Record

SERVICE = "depot-orders"
ZONES = ("nz-north-a", "nz-north-b", "nz-north-c")
FIRST_ZONE, SECOND_ZONE = ZONES[0], ZONES[1]
AWAY_S = 0.8
# Age of the copy when the store goes away.
COPY_AGE_S = 4.0
OBSERVED_S = 20.0
RATE_PER_S = 25.0


async def play(log: Record, has_trouble: bool) -> int:
    """Play the case; return 1 if the rule is broken."""
    mesh = Mesh(log)
    try:
        return await run_case(mesh, log, has_trouble)
    finally:
        await mesh.stop()


async def run_case(mesh: Mesh, log: Record, has_trouble: bool) -> int:
    """Evacuate one zone, take it back, restore the store, evacuate another."""
    await mesh.store.start()
    mesh.configure(SERVICE)
    for number in range(6):
        zone = ZONES[number % len(ZONES)]
        machine = mesh.add_machine(f"m{number + 1}", zone, SERVICE)
        await machine.start_process()
        await machine.start_backend(phase_s=0.13 * number)
    await mesh.wait_until_held()
    log("all keys are held")
    mesh.start_clients(RATE_PER_S, list(mesh.machines.values()), seed=7)
    await asyncio.sleep(4)

    mesh.store.write("evacuations", FIRST_ZONE, {})
    log(f"{FIRST_ZONE} is evacuated")
    await asyncio.sleep(8)
    revision = mesh.store.remove("evacuations", FIRST_ZONE)
    log(f"{FIRST_ZONE} is taken back, revision {revision}")
    await asyncio.sleep(1)
    if has_trouble:
        copy = mesh.store.find_copy(time.monotonic() - COPY_AGE_S)
        await mesh.store.drill(copy, AWAY_S)
    back_s = time.monotonic()
    await asyncio.sleep(0.5)
    revision = mesh.store.write("evacuations", SECOND_ZONE, {})
    acked_s = time.monotonic()
    log(f"{SECOND_ZONE} is evacuated, revision {revision}")
    await asyncio.sleep(OBSERVED_S)
    return report(mesh, log, acked_s, back_s)


def report(mesh: Mesh, log: Record, acked_s: float, back_s: float) -> int:
    """Record what was seen; return 1 if the rule is broken."""
    for outcome in mesh.outcomes:
        log.write(f"sent {log.at(outcome.at_s):.3f} {outcome[1:]}")
    # Machines are in touch `stableWindowMs` after the end of a disruption.
    bound_s = max(
        acked_s + BOUNDS["evacuationMs"] / 1000,
        back_s + BOUNDS["stableWindowMs"] / 1000,
    )
    late = []
    for life in mesh.list_lives():
        for run in life.runs:
            log.write(f"run {log.at(run.at_s):.3f} {life.instance} {run[1:]}")
            if life.zone == SECOND_ZONE and run.at_s > bound_s:
                late.append(run.at_s)
    log(f"{len(late)} requests reached {SECOND_ZONE} after {log.at(bound_s):.3f}")
    if late:
        log(f"the last one at {log.at(max(late)):.3f}")
    statuses: dict[int, int] = {}
    for outcome in mesh.outcomes:
        statuses[outcome.status] = statuses.get(outcome.status, 0) + 1
    log(f"answers by status: {dict(sorted(statuses.items()))}")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run_script(play, Path(__file__).parent))
