"""Validation of settings: reads each value and collects an error for each bad one."""

import ipaddress
import math
import re
from collections.abc import Mapping
from typing import NamedTuple

from knapweedrock.errors import SettingError

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MAX_PORT = 65535


class Address(NamedTuple):
    """IP address and port of a listener."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse `IP:PORT`, with IPv6 addresses in brackets; raise `ValueError`."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError(f"{text!r} is not IP:PORT")
    if host.startswith("[") and host.endswith("]"):
        parsed = ipaddress.IPv6Address(host[1:-1])
    else:
        parsed = ipaddress.IPv4Address(host)
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port {port} is not 1 to {MAX_PORT}")
    return Address(str(parsed), int(port))


class Missing:
    """Placeholder that error messages show for a missing value."""

    def __repr__(self) -> str:
        return "nothing"


class Checker:
    """Reader of raw settings that collects errors instead of stopping at the first.

    After an error every `read_` method returns a valid placeholder, so that the
    settings can be built; `raise_errors` then raises all errors together.
    """

    def __init__(self, raw: Mapping[str, object], env_prefix: str) -> None:
        self.raw = raw
        self.env_prefix = env_prefix
        self.errors: list[SettingError] = []

    def add_error(self, name: str, found: object, expected: str) -> None:
        """Add an error for one setting, with its flag and environment variable."""
        flag = "--" + name.replace("_", "-")
        variable = f"{self.env_prefix}_{name.upper()}"
        shown = Missing() if found is None else found
        self.errors.append(SettingError(f"{flag} ({variable})", shown, expected))

    def read_name(self, name: str) -> str:
        """Read a name made of letters, digits, dots, dashes and underscores."""
        value = self.raw.get(name)
        if isinstance(value, str) and NAME_PATTERN.fullmatch(value):
            return value
        expected = "1 to 63 letters, digits, '.', '_' or '-', a letter or digit first"
        self.add_error(name, value, expected)
        return "unknown"

    def read_address(self, name: str) -> Address:
        """Read an IP address with a port; wildcard addresses are errors."""
        value = self.raw.get(name)
        try:
            address = parse_address(str(value))
        except ValueError:
            self.add_error(name, value, "IP:PORT, such as 127.0.0.1:7001 or [::1]:7001")
            return Address("127.0.0.1", 1)
        if ipaddress.ip_address(address.host).is_unspecified:
            self.add_error(name, value, "a reachable address, not a wildcard")
        return address

    def read_integer(self, name: str, low: int, high: int) -> int:
        """Read an integer within inclusive bounds."""
        value = self.raw.get(name)
        text = str(value)
        if text.isascii() and text.isdigit() and low <= int(text[:20]) <= high:
            return int(text)
        self.add_error(name, value, f"a whole number from {low} to {high}")
        return low

    def read_number(self, name: str, low: float, high: float) -> float:
        """Read a decimal number within inclusive bounds."""
        value = self.raw.get(name)
        try:
            number = float(str(value))
        except ValueError:
            number = math.nan
        if low <= number <= high:
            return number
        self.add_error(name, value, f"a number from {low:g} to {high:g}")
        return low

    def read_flag(self, name: str) -> bool:
        """Read a boolean."""
        value = self.raw.get(name)
        if isinstance(value, bool):
            return value
        self.add_error(name, value, "true or false")
        return False

    def raise_errors(self) -> None:
        """Raise all errors found so far as one ExceptionGroup of SettingError."""
        if self.errors:
            raise ExceptionGroup("invalid settings", self.errors)
