"""Exit codes of the command line, documented in docs/operators-guide.md."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes that calling programs may depend on; the numbers must not change."""

    OK = 0
    INPUT_FAULTS = 1
    USAGE = 2
    CONFLICT = 3
    STORE_UNREACHABLE = 4
    DAEMONS_UNREACHABLE = 5
    OUTCOME_UNKNOWN = 6
    STORE_DAMAGED = 7
    INTERRUPTED = 130
