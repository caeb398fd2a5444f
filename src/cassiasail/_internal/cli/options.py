"""Settings of the command line: options, then an INI file.

The file is ``--config``, else the one named by the environment variable
CASSIASAIL_CONFIG, else ``~/.config/cassiasail.ini``; only the last may be absent::

    [cassiasail]
    store = 127.0.0.1:7000
    daemons = 127.0.0.1:7102, 127.0.0.1:7202
    timeout = 5s
"""

import argparse
import configparser
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import NoReturn

from ...exceptions import CommandError
from ..state.listunits import BadValue, parse_seconds
from .exit_codes import ExitCode

CONFIG_VARIABLE = "CASSIASAIL_CONFIG"
DEFAULT_CONFIG = Path(".config/cassiasail.ini")
DEFAULT_TIMEOUT = "5s"

_SECTION = "cassiasail"
_KEYS = ("store", "daemons", "timeout")
_ADDRESS = re.compile(r"[A-Za-z0-9.-]+:[0-9]{1,5}|\[[0-9A-Fa-f:]+\]:[0-9]{1,5}")


@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Options shared by all commands.

    ``store`` is an address or empty, ``daemons`` are admin addresses and ``timeout``
    is in seconds per request.
    """

    store: str = ""
    daemons: tuple[str, ...] = ()
    timeout: float = 5.0
    json: bool = False


class _Parser(argparse.ArgumentParser):
    """Raises errors instead of leaving the process, so that they can be JSON."""

    def error(self, message: str) -> NoReturn:
        raise usage_error(message)


def split_options(
    arguments: Sequence[str], environ: Mapping[str, str], home: Path
) -> tuple[Options, list[str]]:
    """Return the shared options, wherever they stand, and the other arguments."""
    parser = _Parser(add_help=False, allow_abbrev=False)
    for key in (*_KEYS, "config"):
        parser.add_argument(f"--{key}")
    parser.add_argument("--json", action="store_true")
    found, rest = parser.parse_known_args(arguments)
    text_by_key = _read_config(found.config, environ, home)
    for key in _KEYS:
        if getattr(found, key) is not None:
            text_by_key[key] = getattr(found, key)
    store = text_by_key.get("store", "").strip()
    daemons = [item.strip() for item in text_by_key.get("daemons", "").split(",")]
    options = Options(
        store=check_address("store", store) if store else "",
        daemons=tuple(check_address("daemons", item) for item in daemons if item),
        timeout=_timeout(text_by_key.get("timeout", DEFAULT_TIMEOUT)),
        json=found.json,
    )
    return options, rest


def check_address(name: str, address: str) -> str:
    """Return ``address``, or raise ``CommandError`` if it is not HOST:PORT."""
    port = address.rpartition(":")[2]
    if _ADDRESS.fullmatch(address) and 0 < int(port) < 65536:
        return address
    raise usage_error(f"{name}: {address!r} is not an address; write HOST:PORT")


def usage_error(message: str) -> CommandError:
    """Return the error of a command that was called the wrong way."""
    return CommandError(message, exit_code=ExitCode.USAGE)


def _read_config(
    option: str | None, environ: Mapping[str, str], home: Path
) -> dict[str, str]:
    named = option or environ.get(CONFIG_VARIABLE)
    path = Path(named) if named else home / DEFAULT_CONFIG
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except OSError as error:
        if named is None:
            return {}
        raise usage_error(f"cannot read {path}: {error.strerror}; correct the path")
    except (configparser.Error, UnicodeDecodeError) as error:
        reason = str(error).replace("\n", " ")
        raise usage_error(f"{path} is not an INI file: {reason}")
    if not parser.has_section(_SECTION):
        raise usage_error(f"{path} has no section [{_SECTION}]; add it")
    values = dict(parser.items(_SECTION))
    for key in values:
        if key not in _KEYS:
            known = ", ".join(_KEYS)
            raise usage_error(f"{path}: unknown key {key!r}; use {known}")
    return values


def _timeout(text: str) -> float:
    seconds = parse_seconds(text.strip())
    if isinstance(seconds, BadValue):
        raise usage_error(f"timeout {seconds.problem}; {seconds.remedy}")
    if not 0 < seconds <= 600:
        raise usage_error("timeout must be above 0s and at most 600s")
    return seconds
