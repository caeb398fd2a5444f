"""Loading of settings at the start of the daemons and of the sidecar."""

import sys
from collections.abc import Callable
from typing import TypeVar

from ..exceptions import SettingsError

EXIT_INVALID_SETTINGS = 1

Settings = TypeVar("Settings")


def load_or_exit(load: Callable[[], Settings], *, check_only: bool) -> Settings:
    """Return the settings; print their faults and exit if there are any.

    With ``check_only``, valid settings end the program with exit code 0.
    """
    try:
        settings = load()
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if check_only:
        print("the settings are valid")
        sys.exit(0)
    return settings
