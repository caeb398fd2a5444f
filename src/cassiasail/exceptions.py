"""Exceptions raised by cassiasail, all derived from ``CassiasailError``.

Messages include what to do next. Expected failures of calls are not raised: functions
return them as values with a reason, such as ``Refusal``.
"""


class CassiasailError(Exception):
    """Base class of all exceptions of the package."""


class SettingsError(CassiasailError):
    """The settings file is invalid; ``faults`` has one text for each fault."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class ProtocolError(CassiasailError):
    """A peer sent a malformed, oversized or unexpected message."""


class InvariantError(CassiasailError):
    """An internal invariant does not hold; raised only in strict mode."""


class CommandError(CassiasailError):
    """A command of the command line failed; it exits with ``exit_code``."""

    def __init__(self, message: str, *, exit_code: int) -> None:
        super().__init__(message)
        self.exit_code = exit_code
