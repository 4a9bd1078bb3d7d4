"""Commands that run the emulated store and an emulated target as processes."""

import signal
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event
from logbook import Logger

from knapweedrock.checker import Address
from knapweedrock.clock import create_clock
from knapweedrock.codes import Code
from knapweedrock.emulator.store import ObjectStore, create_endpoint
from knapweedrock.emulator.target import EmulatedTarget
from knapweedrock.errors import KnapweedrockError
from knapweedrock.json_input import InputError, decode_json
from knapweedrock.platform.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    decode_configuration,
)
from knapweedrock.settings import TargetSettings
from knapweedrock.status import ExitStatus

MS_PER_S = 1000

log = Logger("emulator")


def run_store(address: Address, configuration: Path | None) -> ExitStatus:
    """Run an emulated store until SIGTERM or SIGINT."""
    objects = ObjectStore(era=1)
    if configuration is not None:
        document = read_configuration(configuration)
        objects.write(CONFIGURATION_KIND, CONFIGURATION_NAME, document)
    front = create_endpoint(objects, address)
    front.start()
    log.info("store started", address=address)
    wait_for_signal()
    front.stop()
    return ExitStatus.SUCCESS


def run_target(settings: TargetSettings) -> ExitStatus:
    """Run an emulated target until SIGTERM or SIGINT."""
    holder = EmulatedTarget(
        settings.service,
        settings.zone,
        settings.listen,
        settings.node,
        create_clock(),
        settings.seed,
    )
    holder.slots = settings.slots
    holder.work_ms = settings.work_ms
    holder.keyed = settings.keyed
    holder.cold_ms = settings.cold_s * MS_PER_S
    holder.start()
    gevent.spawn_later(settings.cold_s, holder.warm_up)
    log.info("target started", address=settings.listen, service=settings.service)
    wait_for_signal()
    holder.crash()
    return ExitStatus.SUCCESS


def read_configuration(path: Path) -> dict[str, Any]:
    """Read a JSON configuration file; raise `CONFIGURATION_MALFORMED` if invalid."""
    try:
        document = decode_json(path.read_bytes(), dict[str, Any])
        decode_configuration(document)
    except OSError as error:
        raise create_configuration_error(path, error.strerror) from None
    except InputError as error:
        raise create_configuration_error(path, str(error)) from None
    return document


def create_configuration_error(path: Path, detail: str) -> KnapweedrockError:
    """Create the error for an unreadable or invalid configuration file."""
    return KnapweedrockError(Code.CONFIGURATION_MALFORMED, f"{path.name}: {detail}")


def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    end = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, end.set)
    end.wait()
