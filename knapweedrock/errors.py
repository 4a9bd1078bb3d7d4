"""Typed errors that carry a numbered result code."""

from knapweedrock.codes import INFO, Code, CodeInfo


class KnapweedrockError(Exception):
    """Base of all errors that carry a result code."""

    def __init__(self, code: Code, detail: str = "") -> None:
        super().__init__(f"{int(code)} {code.name}: {detail or INFO[code].meaning}")
        self.code = code
        self.detail = detail or INFO[code].meaning

    @property
    def info(self) -> CodeInfo:
        """Return the `INFO` entry of this error's code."""
        return INFO[self.code]


class RefusalError(KnapweedrockError):
    """A request that was refused; `retry_after_ms` is the delay before a retry."""

    def __init__(self, code: Code, detail: str = "", retry_after_ms: int = 0) -> None:
        super().__init__(code, detail)
        self.retry_after_ms = retry_after_ms


class PlatformError(KnapweedrockError):
    """A call to the platform that failed."""


class LinkError(KnapweedrockError):
    """A request to a peer that failed; the code says whether the request was sent."""


class SettingError(KnapweedrockError):
    """One invalid setting."""

    def __init__(self, name: str, found: object, expected: str) -> None:
        super().__init__(
            Code.SETTING_INVALID, f"{name}: found {found!r}, expected {expected}"
        )
        self.name = name
