"""Process that increments one object of the platform and records each attempt."""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from features.support.builders_platform import create_test_client  # noqa: E402
from knapweedrock.codes import Code  # noqa: E402
from knapweedrock.errors import PlatformError  # noqa: E402

OBJECT = "config/incremented"
RESULTS = {Code.PLATFORM_CONFLICT: "never", Code.PLATFORM_RATE_LIMITED: "never"}


def increment(client, tag: str) -> dict:
    """Try one increment and describe how it ended."""
    stored = client.get(OBJECT)
    version = stored.version if stored else 0
    value = list(stored.value) if stored else []
    try:
        written = client.put(OBJECT, [*value, tag], version).version
    except PlatformError as error:
        return {"tag": tag, "result": RESULTS.get(error.code, "open")}
    return {"tag": tag, "result": "applied", "version": written}


def write(client, name: str, ends_s: float) -> None:
    """Increment until the time has come; one line on the output for each attempt."""
    number = 0
    while time.monotonic() < ends_s:
        number += 1
        try:
            record = increment(client, f"{name}.{number}")
        except PlatformError:
            continue
        sys.stdout.write(json.dumps(record) + "\n")
        sys.stdout.flush()


def main() -> None:
    """Run the writers of one process, all with the same client."""
    address, name, writers, seconds = sys.argv[1:]
    client = create_test_client(address, name)
    ends_s = time.monotonic() + float(seconds)
    tasks = [
        gevent.spawn(write, client, f"{name}.{index}", ends_s)
        for index in range(int(writers))
    ]
    gevent.joinall(tasks, raise_error=True)


if __name__ == "__main__":
    main()
