"""Settings of a node, read from a file of environment variables."""

from pathlib import Path

from knapweedrock.checker import Address, Checker
from knapweedrock.errors import SettingError
from knapweedrock.mesh.definitions import NodeSettings

VARIABLE_PREFIX = "KNAPWEEDROCK_SERVE"
# Settings that a running node applies without a restart.
LIVE_SETTINGS = frozenset(
    {
        "store",
        "heartbeat_interval_ms",
        "max_hold_ms",
        "shutdown_ms",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "quota_window_s",
        "quota_overage",
        "quota_slack",
    }
)
MAX_MS = 3_600_000
MAX_RATIO = 1000.0
MAX_CORES = 1024.0
DEFAULT_RETRY_WINDOW_S = 10.0
DEFAULT_QUOTA_WINDOW_S = 5.0
MIN_WINDOW_S = 0.1
# A node keeps the times of all requests within the windows.
MAX_WINDOW_S = 3600.0
MAX_MBPS = 1_000_000.0
MAX_MEMORY_MB = 16_777_216.0
MAX_DESCRIPTORS = 1e9


def read_file(path: Path) -> str:
    """Read a settings file; raise an ExceptionGroup if it cannot be read."""
    try:
        return path.read_text()
    except (OSError, UnicodeError) as error:
        setting_error = SettingError("--settings-file", str(path), f"a file: {error}")
        raise ExceptionGroup("settings", [setting_error]) from error


def parse_settings(text: str) -> NodeSettings:
    """Parse and check settings; raise an ExceptionGroup with every SettingError."""
    return create_settings(parse_variables(text))


def parse_variables(text: str) -> dict[str, str]:
    """Parse lines of the form `KNAPWEEDROCK_SERVE_NAME=value`; skip all other lines."""
    raw_settings = {}
    for line in text.splitlines():
        name, separator, value = line.strip().partition("=")
        if separator and name.startswith(f"{VARIABLE_PREFIX}_"):
            raw_settings[name.removeprefix(f"{VARIABLE_PREFIX}_").lower()] = value
    return raw_settings


def create_settings(raw_settings: dict[str, str]) -> NodeSettings:
    """Create checked settings; raise an ExceptionGroup with every SettingError."""
    checker = Checker(raw_settings, VARIABLE_PREFIX)
    settings = NodeSettings(
        node_id=checker.read_name("node_id"),
        zone=checker.read_name("zone"),
        service=read_optional_name(checker, "service"),
        target=read_optional_address(checker, "target"),
        caller=checker.read_address("caller"),
        heartbeat=checker.read_address("heartbeat"),
        ready=checker.read_address("ready"),
        peer=checker.read_address("peer"),
        metrics=checker.read_address("metrics"),
        store=checker.read_address("store"),
        heartbeat_interval_ms=checker.read_integer("heartbeat_interval_ms", 1, MAX_MS),
        max_hold_ms=checker.read_integer("max_hold_ms", 1, MAX_MS),
        shutdown_ms=int(checker.read_number("shutdown_s", 0, MAX_MS) * 1000),
        retry_ratio=checker.read_number("retry_ratio", 0, MAX_RATIO),
        retry_slack=checker.read_number("retry_slack", 0, MAX_MS),
        retry_window_s=read_window(checker, "retry_window_s", DEFAULT_RETRY_WINDOW_S),
        quota_window_s=read_window(checker, "quota_window_s", DEFAULT_QUOTA_WINDOW_S),
        quota_overage=read_optional_number(checker, "quota_overage", 0.0, MAX_RATIO),
        quota_slack=read_optional_number(checker, "quota_slack", 0.0, MAX_MS),
        peer_listen=read_optional_address(checker, "peer_listen"),
        cores=read_cores(checker),
        link_mbps=read_optional_number(checker, "link_mbps", 0.0, MAX_MBPS),
        memory_mb=read_optional_number(checker, "memory_mb", 0.0, MAX_MEMORY_MB),
        descriptors=int(
            read_optional_number(checker, "descriptors", 0.0, MAX_DESCRIPTORS)
        ),
    )
    checker.raise_errors()
    return settings


def read_optional_name(checker: Checker, name: str) -> str:
    """Read an optional name, empty by default."""
    return checker.read_name(name) if checker.raw.get(name) else ""


def read_optional_address(checker: Checker, name: str) -> Address | None:
    """Read an optional address."""
    return checker.read_address(name) if checker.raw.get(name) else None


def read_cores(checker: Checker) -> float:
    """Return the VM's capacity in cores: share of a core times speed of a core."""
    share = read_optional_number(checker, "core_share", 1.0, MAX_CORES)
    speed = read_optional_number(checker, "core_speed", 1.0, MAX_CORES)
    return share * speed


def read_window(checker: Checker, name: str, default_s: float) -> float:
    """Read the length in s of a window in which requests are limited."""
    if not checker.raw.get(name):
        return default_s
    return checker.read_number(name, MIN_WINDOW_S, MAX_WINDOW_S)


def read_optional_number(
    checker: Checker, name: str, default: float, maximum: float
) -> float:
    """Read an optional number from 0 to `maximum`."""
    if not checker.raw.get(name):
        return default
    return checker.read_number(name, 0, maximum)


def merge_live_settings(
    old: NodeSettings, new: NodeSettings
) -> tuple[NodeSettings, list[str]]:
    """Merge live settings into the old ones; also list changes that need a restart."""
    changed = {
        name: value
        for name, value in new._asdict().items()
        if value != getattr(old, name)
    }
    live = {name: value for name, value in changed.items() if name in LIVE_SETTINGS}
    return old._replace(**live), sorted(changed.keys() - live.keys())
