"""Settings of each program, as given by flags and environment variables."""

from collections.abc import Mapping
from typing import NamedTuple

from knapweedrock.checker import Address, Checker, parse_address

STORE_ENV_PREFIX = "KNAPWEEDROCK_EMULATE_STORE"
TARGET_ENV_PREFIX = "KNAPWEEDROCK_EMULATE_TARGET"
OPERATOR_ENV_PREFIX = "KNAPWEEDROCK_OPERATOR"
LOAD_ENV_PREFIX = "KNAPWEEDROCK_LOAD"
MAX_WORK_MS = 600_000
MAX_COLD_S = 3_600
MAX_SLOTS = 100_000
MAX_SEED = (1 << 63) - 1
MAX_RATE = 1_000_000
MAX_SECONDS = 86_400
# Keys are numbered from 1 up to the highest key that a request can carry.
MAX_KEYS = 65_535


class TargetSettings(NamedTuple):
    """Checked settings of one target stand-in.

    `node` is the heartbeat address of the node beside the stand-in; `cold_s` is how
    long after its start the stand-in reports that it is cold.
    """

    listen: Address
    node: Address
    service: str
    zone: str
    keyed: bool
    slots: int
    work_ms: float
    cold_s: float
    seed: int


class LoadSettings(NamedTuple):
    """Checked settings of one run of the load program.

    `rate` is the number of arrivals a second over all nodes, `zipf` the exponent of the
    Zipf distribution of keys, and `orders_share` the share of requests that must not
    run twice. If `host` is empty, the Host header of a request is its node's address.
    """

    nodes: tuple[Address, ...]
    rate: float
    seconds: float
    keys: int
    zipf: float
    seed: int
    orders_share: float
    path: str
    orders_path: str
    host: str
    keyed: bool
    deadline_ms: int
    as_json: bool


class OperatorSettings(NamedTuple):
    """Checked settings of an operator's command; `nodes` are metrics addresses."""

    nodes: tuple[Address, ...]
    as_json: bool


def create_store_listener(raw: Mapping[str, object]) -> Address:
    """Build the listen address of the store stand-in.

    Raises an ExceptionGroup with every SettingError.
    """
    checker = Checker(raw, STORE_ENV_PREFIX)
    address = checker.read_address("listen")
    checker.raise_errors()
    return address


def create_target_settings(raw: Mapping[str, object]) -> TargetSettings:
    """Build settings of a target stand-in.

    Raises an ExceptionGroup with every SettingError.
    """
    checker = Checker(raw, TARGET_ENV_PREFIX)
    settings = TargetSettings(
        listen=checker.read_address("listen"),
        node=checker.read_address("node"),
        service=checker.read_name("service"),
        zone=checker.read_name("zone"),
        keyed=checker.read_flag("keyed"),
        slots=checker.read_integer("slots", 1, MAX_SLOTS),
        work_ms=checker.read_number("work_ms", 0, MAX_WORK_MS),
        cold_s=checker.read_number("cold_s", 0, MAX_COLD_S),
        seed=checker.read_integer("seed", 0, MAX_SEED),
    )
    checker.raise_errors()
    return settings


def create_load_settings(raw: Mapping[str, object]) -> LoadSettings:
    """Build settings of the load program.

    Raises an ExceptionGroup with every SettingError.
    """
    checker = Checker(raw, LOAD_ENV_PREFIX)
    path = _read_path(checker, "path")
    settings = LoadSettings(
        nodes=_read_nodes(checker),
        rate=checker.read_number("rate", 0.1, MAX_RATE),
        seconds=checker.read_number("seconds", 0.1, MAX_SECONDS),
        keys=checker.read_integer("keys", 1, MAX_KEYS),
        zipf=checker.read_number("zipf", 0, 5),
        seed=checker.read_integer("seed", 0, MAX_SEED),
        orders_share=checker.read_number("orders_share", 0, 1),
        path=path,
        orders_path=(
            _read_path(checker, "orders_path")
            if checker.raw.get("orders_path")
            else path
        ),
        host=checker.read_name("host") if checker.raw.get("host") else "",
        keyed=checker.read_flag("keyed"),
        deadline_ms=checker.read_integer("deadline_ms", 1, MAX_WORK_MS),
        as_json=checker.read_flag("json"),
    )
    checker.raise_errors()
    return settings


def create_operator_settings(raw: Mapping[str, object]) -> OperatorSettings:
    """Build settings of an operator's command that queries nodes.

    Raises an ExceptionGroup with every SettingError.
    """
    checker = Checker(raw, OPERATOR_ENV_PREFIX)
    settings = OperatorSettings(_read_nodes(checker), checker.read_flag("json"))
    checker.raise_errors()
    return settings


def _read_nodes(checker: Checker) -> tuple[Address, ...]:
    """Read the addresses of one or more nodes."""
    value = checker.raw.get("node") or ()
    texts = value if isinstance(value, tuple | list) else (value,)
    addresses = []
    for text in texts:
        try:
            addresses.append(parse_address(str(text)))
        except ValueError:
            checker.add_error("node", text, "IP:PORT of a node")
    if not texts:
        checker.add_error("node", None, "one IP:PORT or more")
    return tuple(addresses)


def _read_path(checker: Checker, name: str) -> str:
    """Read the path of requests to send."""
    path = str(checker.raw.get(name))
    if path.startswith("/") and path.isascii() and path.isprintable():
        return path
    checker.add_error(name, path, "a path that starts with '/', in printable ASCII")
    return "/"
