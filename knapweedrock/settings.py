"""Settings of each program, as given by flags and environment variables."""

from collections.abc import Mapping
from typing import NamedTuple

from knapweedrock.checker import (
    SECRET_MIN_CHARACTERS,
    Address,
    Checker,
    is_loopback,
    parse_address,
)

__all__ = [
    "Address",
    "LoadSettings",
    "NodeSettings",
    "OperatorSettings",
    "TargetSettings",
    "create_load_settings",
    "create_node_settings",
    "create_operator_settings",
    "create_platform_listener",
    "create_target_settings",
    "parse_address",
]

NODE_VARIABLES = "KNAPWEEDROCK_NODE"
TARGET_VARIABLES = "KNAPWEEDROCK_EMULATE_TARGET"
PLATFORM_VARIABLES = "KNAPWEEDROCK_EMULATE_PLATFORM"
OPERATOR_VARIABLES = "KNAPWEEDROCK_OPERATOR"
LOAD_VARIABLES = "KNAPWEEDROCK_LOAD"
MAX_DRAIN_MS = 3_600_000
MAX_WORK_MS = 600_000
MAX_COLD_S = 3_600
MAX_SLOTS = 100_000
MAX_CONNECTIONS = 1_000_000
MAX_SEED = (1 << 63) - 1
MAX_RATE = 1_000_000
MAX_SECONDS = 86_400
MAX_WAIT_S = 3_600
MAX_KEYS = 1 << 32


class NodeSettings(NamedTuple):
    """Checked settings of one node process."""

    node_id: str
    cell: str
    group: str
    zone: str
    region: str
    caller: Address
    peer: Address
    target: Address
    operator: Address
    platform_kind: str
    platform: Address
    secret: str
    faults_enabled: bool
    drain_ms: int
    choice_policy: str
    copies_enabled: bool


class TargetSettings(NamedTuple):
    """Checked settings of one target stand-in.

    `node` is the target address of the node beside it; `cold_s` is how long a
    cold start lasts, during which it bears `cold_slots` requests at once.
    """

    listen: Address
    node: Address
    service: str
    zone: str
    slots: int
    connections: int
    fenced: bool
    work_ms: float
    cold_s: float
    cold_slots: int
    connect_ms: float
    seed: int


class LoadSettings(NamedTuple):
    """Checked settings of one run of the load program.

    `rate` is arrivals a second over all nodes, `zipf` the exponent of the keys'
    distribution, `orders_share` the share of non-idempotent requests. `key_header`
    is empty where the path alone carries the key.
    """

    nodes: tuple[Address, ...]
    rate: float
    seconds: float
    keys: int
    zipf: float
    seed: int
    orders_share: float
    path: str
    key_header: str
    deadline_ms: int
    as_json: bool


class OperatorSettings(NamedTuple):
    """Checked settings of an operator's command.

    `node` is the operator address of a node, `platform` the platform's API; a
    command goes to one of them. `wait_s` is 0 where it does not wait.
    """

    node: Address | None
    platform: Address | None
    platform_kind: str
    group: str
    secret: str
    wait_s: float
    as_json: bool


def create_node_settings(given: Mapping[str, object]) -> NodeSettings:
    """Build node settings; raise an ExceptionGroup with every SettingError."""
    checker = Checker(given, NODE_VARIABLES)
    settings = NodeSettings(
        node_id=checker.read_name("node_id"),
        cell=checker.read_name("cell"),
        group=checker.read_name("group"),
        zone=checker.read_name("zone"),
        region=checker.read_name("region"),
        caller=checker.read_address("caller"),
        peer=checker.read_address("peer"),
        target=checker.read_address("target"),
        operator=checker.read_address("operator"),
        platform_kind=_read_platform_kind(checker),
        platform=checker.read_address("platform"),
        secret=checker.read_secret("secret"),
        faults_enabled=checker.read_flag("faults_enabled"),
        drain_ms=checker.read_integer("drain_ms", 0, MAX_DRAIN_MS),
        choice_policy=_read_choice_policy(checker),
        copies_enabled=checker.read_flag("copies"),
    )
    _check_listeners(checker, settings)
    _check_secret(checker, settings)
    checker.close()
    return settings


def _read_platform_kind(checker: Checker) -> str:
    """Read a kind that the registry of platforms knows."""
    # Imported here since the clients of the platform import this module.
    import knapweedrock.platform.http  # noqa: F401
    from knapweedrock.platform.interface import KINDS

    return checker.read_choice("platform_kind", KINDS)


def _read_choice_policy(checker: Checker) -> str:
    """Read a policy that the registry of choices knows."""
    # Imported here since the ingress imports this module.
    from knapweedrock.callers.choice import POLICIES

    return checker.read_choice("choice_policy", POLICIES)


def _check_listeners(checker: Checker, settings: NodeSettings) -> None:
    """Refuse a listen address that is given twice."""
    if checker.errors:
        return
    seen: dict[Address, str] = {}
    for name in ("caller", "peer", "target", "operator"):
        address = getattr(settings, name)
        if address in seen:
            expected = f"an address other than that of --{seen[address]}"
            checker.refuse(name, str(address), expected)
        seen[address] = name


def _check_secret(checker: Checker, settings: NodeSettings) -> None:
    """Refuse to be reached by other machines without a good secret."""
    open_names = [
        f"--{name}"
        for name in ("peer", "operator")
        if not is_loopback(getattr(settings, name))
    ]
    if not open_names or len(settings.secret) >= SECRET_MIN_CHARACTERS:
        return
    expected = (
        f"at least {SECRET_MIN_CHARACTERS} characters, since other machines reach "
        + " and ".join(open_names)
    )
    found = f"{len(settings.secret)} characters"
    checker.refuse("secret", found, expected)


def create_platform_listener(given: Mapping[str, object]) -> Address:
    """Build the platform stand-in's address; raise an ExceptionGroup if wrong."""
    checker = Checker(given, PLATFORM_VARIABLES)
    address = checker.read_address("listen")
    checker.close()
    return address


def create_target_settings(given: Mapping[str, object]) -> TargetSettings:
    """Build stand-in settings; raise an ExceptionGroup with every SettingError."""
    checker = Checker(given, TARGET_VARIABLES)
    settings = TargetSettings(
        listen=checker.read_address("listen"),
        node=checker.read_address("node"),
        service=checker.read_name("service"),
        zone=checker.read_name("zone"),
        slots=checker.read_integer("slots", 1, MAX_SLOTS),
        connections=checker.read_integer("connections", 1, MAX_CONNECTIONS),
        fenced=checker.read_flag("fenced"),
        work_ms=checker.read_number("work_ms", 0, MAX_WORK_MS),
        cold_s=checker.read_number("cold_s", 0, MAX_COLD_S),
        cold_slots=checker.read_integer("cold_slots", 1, MAX_SLOTS),
        connect_ms=checker.read_number("connect_ms", 0, MAX_WORK_MS),
        seed=checker.read_integer("seed", 0, MAX_SEED),
    )
    checker.close()
    return settings


def create_load_settings(given: Mapping[str, object]) -> LoadSettings:
    """Build load settings; raise an ExceptionGroup with every SettingError."""
    checker = Checker(given, LOAD_VARIABLES)
    settings = LoadSettings(
        nodes=_read_nodes(checker),
        rate=checker.read_number("rate", 0.1, MAX_RATE),
        seconds=checker.read_number("seconds", 0.1, MAX_SECONDS),
        keys=checker.read_integer("keys", 1, MAX_KEYS),
        zipf=checker.read_number("zipf", 0, 5),
        seed=checker.read_integer("seed", 0, MAX_SEED),
        orders_share=checker.read_number("orders_share", 0, 1),
        path=_read_path(checker),
        key_header=checker.read_header("key_header"),
        deadline_ms=checker.read_integer("deadline_ms", 1, MAX_WORK_MS),
        as_json=checker.read_flag("json"),
    )
    checker.close()
    return settings


def create_operator_settings(
    given: Mapping[str, object], needed: tuple[str, ...] = ("node", "platform")
) -> OperatorSettings:
    """Build settings of an operator's command that needs one of the addresses.

    With nothing needed both may be missing. Raises an ExceptionGroup with every
    SettingError.
    """
    checker = Checker(given, OPERATOR_VARIABLES)
    addresses = {
        name: checker.read_address(name)
        for name in ("node", "platform")
        if given.get(name) is not None
    }
    if needed and not any(name in addresses for name in needed):
        others = " or ".join(f"--{name}" for name in needed)
        checker.refuse(needed[0], None, f"IP:PORT in {others}")
    if len(addresses) > 1:
        checker.refuse("platform", given["platform"], "nothing beside --node")
    uses_platform = "platform" in addresses
    settings = OperatorSettings(
        node=addresses.get("node"),
        platform=addresses.get("platform"),
        platform_kind=_read_platform_kind(checker) if uses_platform else "",
        group=checker.read_name("group") if uses_platform else "",
        secret=checker.read_secret("secret"),
        wait_s=checker.read_number("wait", 0, MAX_WAIT_S) if "wait" in given else 0,
        as_json=checker.read_flag("json"),
    )
    checker.close()
    return settings


def _read_nodes(checker: Checker) -> tuple[Address, ...]:
    """Read the caller addresses of one or more nodes."""
    given = checker.given.get("node") or ()
    found = given if isinstance(given, tuple | list) else (given,)
    addresses = []
    for text in found:
        try:
            addresses.append(parse_address(str(text)))
        except ValueError:
            checker.refuse("node", text, "IP:PORT of a node's caller address")
    if not found:
        checker.refuse("node", None, "one IP:PORT or more")
    return tuple(addresses)


def _read_path(checker: Checker) -> str:
    """Read the path of the requests to send."""
    path = str(checker.given.get("path"))
    if path.startswith("/") and path.isascii() and path.isprintable():
        return path
    checker.refuse("path", path, "a path that starts with '/', in printable ASCII")
    return "/"
