"""A command whose arguments are parsed and which has not run yet.

Fire calls a function before it detects unused arguments. The ``run`` functions of the
commands therefore only return an ``Invocation``, so that a mistyped option of
``apply`` is refused before anything is written.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .exit_codes import ExitCode
from .options import usage_error
from .session import Session


@dataclass(frozen=True, slots=True, kw_only=True)
class Invocation:
    """The action of a command, to be called once all arguments are accepted."""

    action: Callable[[Session], Awaitable[ExitCode]]


def parse_whole_number(name: str, text: str) -> int:
    """Return a whole number of at most 18 digits, or raise ``CommandError``."""
    if text.isascii() and text.isdecimal() and len(text) <= 18:
        return int(text)
    raise usage_error(f"{name}: {text!r} is not a whole number")
