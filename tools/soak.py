"""Run soak tests with consecutive seeds.

Usage: `python tools/soak.py FIRST COUNT SECONDS [FAULTS]`. `FIRST` is the first seed,
`COUNT` the number of seeds, and `FAULTS` a comma-separated list of faults to draw from.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import traceback  # noqa: E402
from pathlib import Path  # noqa: E402

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import features.support.soak_drills  # noqa: E402, F401 (registers faults)
from features.support.mesh_soak import Soak  # noqa: E402

VM_COUNT = 4
RATE_PER_S = 60.0


def run_seed(seed: int, seconds: float, fault_kinds: str) -> list[str]:
    """Run one seed and return the violations found."""
    soak = Soak(seed, VM_COUNT, RATE_PER_S, fault_kinds)
    try:
        soak.run(seconds)
        violations = soak.list_violations()
    except (AssertionError, OSError):
        violations = [traceback.format_exc()]
    finally:
        soak.stop()
    statuses = {
        s: sum(1 for r in soak.sent_requests if r.status == s)
        for s in (0, 200, 502, 503, 504)
    }
    print(f"seed {seed}: {statuses} {soak.faults}", flush=True)
    for line in violations[:5]:
        print(f"  {line}", flush=True)
    return violations


def main() -> int:
    """Run all seeds and return the exit status, 1 if any seed failed."""
    first, count, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    fault_kinds = " ".join(sys.argv[4].split(",")) if len(sys.argv) > 4 else ""
    seeds = range(first, first + count)
    failed = [seed for seed in seeds if run_seed(seed, seconds, fault_kinds)]
    print(f"{count - len(failed)} seeds passed, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
