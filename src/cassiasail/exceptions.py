"""Exceptions raised by cassiasail, all derived from one root.

Messages say what to do next. Expected failures on the data path are not
exceptions: they are returned as sentinels with a reason.
"""


class CassiasailError(Exception):
    """Root of all exceptions of the package."""


class SettingsError(CassiasailError):
    """The settings file has faults; ``faults`` lists all of them."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class ProtocolError(CassiasailError):
    """A peer sent a malformed, oversized or unexpected message."""


class InvariantError(CassiasailError):
    """An internal invariant does not hold; raised only in strict mode."""


class CommandError(CassiasailError):
    """A command of an operator cannot be done; ``exit_code`` is its exit status."""

    def __init__(self, message: str, *, exit_code: int) -> None:
        super().__init__(message)
        self.exit_code = exit_code
