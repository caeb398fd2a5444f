"""What all programs of the package do before they run: settings or an exit code."""

import sys
from collections.abc import Callable
from typing import TypeVar

from ..exceptions import SettingsError

EXIT_SETTINGS = 1

Settings = TypeVar("Settings")


def load_or_exit(load: Callable[[], Settings], *, check_only: bool) -> Settings:
    """Return the settings; print their faults and exit if there are any.

    With ``check_only`` the program ends with a word on sound settings.
    """
    try:
        settings = load()
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if check_only:
        print("the settings are valid")
        sys.exit(0)
    return settings
