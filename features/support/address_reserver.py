"""A process that reserves addresses, prints their ports and keeps running."""

import json
import signal
import sys

from knapweedrock.emulator.addresses import create_address


def main() -> None:
    """Print the ports of as many addresses as the first argument says."""
    ports = [create_address().port for _ in range(int(sys.argv[1]))]
    print(json.dumps(ports), flush=True)
    signal.pause()


if __name__ == "__main__":
    main()
