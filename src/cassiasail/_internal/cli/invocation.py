"""A parsed command, not yet run.

Fire calls a function before it notices that arguments are left over. The functions
of the commands therefore only return what is to be done, so that a mistyped option
of ``apply`` is refused before anything is written.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .exit_codes import ExitCode
from .options import usage_error
from .session import Session


@dataclass(frozen=True, slots=True, kw_only=True)
class Invocation:
    """What a command does once its arguments are known to be sound."""

    action: Callable[[Session], Awaitable[ExitCode]]


def parse_whole(name: str, text: str) -> int:
    """Return a whole number of at most 18 digits, or raise ``CommandError``."""
    if text.isascii() and text.isdecimal() and len(text) <= 18:
        return int(text)
    raise usage_error(f"{name}: {text!r} is not a whole number")
