"""Play drills of the store in the model: FIRST_SEED COUNT SECONDS [EVENTS]."""

import sys
import time
from concurrent.futures import ProcessPoolExecutor

from features.support.store_drills import play_drills

PROCESSES = 3


def play(arguments: tuple[int, float, str]) -> tuple[int, list[str], list[str]]:
    """Play a seed; return it with its violations and its events."""
    seed, seconds, names = arguments
    result = play_drills(seed, seconds, names)
    return seed, result.list_violations(), result.events


def main() -> int:
    """Play the seeds; return 1 if a rule was broken."""
    first, count, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    names = " ".join(sys.argv[4:])
    started_s = time.monotonic()
    failed = 0
    with ProcessPoolExecutor(PROCESSES) as pool:
        plays = [(seed, seconds, names) for seed in range(first, first + count)]
        for seed, violations, events in pool.map(play, plays):
            if violations:
                failed += 1
                print(f"seed {seed}: {violations}\n  {events}", flush=True)
    elapsed_s = time.monotonic() - started_s
    print(f"{count - failed} passed, {failed} failed, {elapsed_s:.0f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
