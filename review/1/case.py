"""Case 1: an order is refused as not run although a target runs it.

Targets refuse some requests, and send some of their responses a second time, late.
"""

import asyncio
import os
import random
import sys
import uuid
from collections import Counter
from pathlib import Path

from review.stand_ins.mesh import BROKEN, CALLER_HOST, Mesh, Record
from review.stand_ins.target import KEY_COUNT
from review.stand_ins.wire import call, encode, get_status

PLACES = 5
RATE_PER_S = 80.0
LOAD_S = 80.0
DEADLINE_MS = 1500
# A site file has both troubles at these doses.
SHED_SHARE = 0.45
REPEATED_SHARE = 0.03
# A share of 0.6, the site's limit.
REPEATING_TARGETS = 3
# Each spell lasts 5 s, and the next one begins 10 s later.
SPELL_S = 5.0
SPELL_INTERVAL_S = 10.0
NOT_RUN_STATUSES = {408, 421, 429, 503}


def main() -> int:
    """Run the case; return `BROKEN`, 0 if the rule held, or 2 without a run."""
    record = Record(Path(__file__).with_name("record.txt"))
    mesh = Mesh(record, PLACES)
    try:
        asyncio.run(run(mesh))
        return judge(record)
    except Exception as error:
        print(f"the case could not run: {error!r}")
        return 2
    finally:
        mesh.stop()
        record.close()


async def run(mesh: Mesh) -> None:
    """Start the mesh and send orders while targets refuse and repeat."""
    await mesh.start()
    trouble = None
    if os.environ.get("TROUBLE") != "0":
        trouble = asyncio.create_task(run_spells(mesh))
    tasks = []
    end_s = asyncio.get_running_loop().time() + LOAD_S
    while asyncio.get_running_loop().time() < end_s:
        await asyncio.sleep(random.expovariate(RATE_PER_S))
        tasks.append(asyncio.create_task(send_order(mesh)))
    await asyncio.gather(*tasks)
    if trouble is not None:
        trouble.cancel()


async def run_spells(mesh: Mesh) -> None:
    """Let targets shed requests and repeat responses for a spell at a time."""
    targets = list(mesh.targets.values())
    while True:
        mesh.record("spell begins")
        for target in targets:
            target.sheds = lambda: random.random() < SHED_SHARE
        for target in targets[:REPEATING_TARGETS]:
            target.repeats = lambda: random.random() < REPEATED_SHARE
        await asyncio.sleep(SPELL_S)
        mesh.record("spell ends")
        for target in targets:
            target.sheds = target.repeats = lambda: False
        await asyncio.sleep(SPELL_INTERVAL_S - SPELL_S)


async def send_order(mesh: Mesh) -> None:
    """Send one order to any node and record its answer."""
    attempt, key = uuid.uuid4().hex[:16], random.randrange(KEY_COUNT)
    place = random.choice(mesh.places)
    headers = {
        "Host": CALLER_HOST,
        "X-Attempt-Id": attempt,
        "X-Timeout-Remaining": DEADLINE_MS,
        "X-Shard-Key": key,
    }
    mesh.record("sent", id=attempt, key=key, to=place.name)
    data = encode("POST /order/1 HTTP/1.1", headers, b"two pallets")
    reply = await call(place.caller, data, DEADLINE_MS / 1000)
    status = get_status(reply) if reply else 0
    mesh.record("answered", id=attempt, status=status)


def judge(record: Record) -> int:
    """Return `BROKEN` if a refused order ran or an order ran twice."""
    runs = Counter(e["id"] for e in record.events if e["event"] == "runs")
    answers = {e["id"]: e["status"] for e in record.events if e["event"] == "answered"}
    refused = [
        attempt
        for attempt, status in answers.items()
        if status in NOT_RUN_STATUSES and runs[attempt]
    ]
    twice = [attempt for attempt, count in runs.items() if count > 1]
    print(f"{len(answers)} orders, answers {dict(Counter(answers.values()))}")
    print(
        f"REFUSED: {len(refused)} orders were answered as not run and ran {refused[:5]}"
    )
    print(f"TWICE: {len(twice)} orders ran more than once {twice[:5]}")
    if not answers or not any(status == 200 for status in answers.values()):
        return 2
    return BROKEN if refused or twice else 0


if __name__ == "__main__":
    sys.exit(main())
