"""Settings of the command line. Options override the settings file.

The settings file is an INI file: that of ``--config``, else that of the environment
variable CASSIASAIL_CONFIG, else ``~/.config/cassiasail.ini``. Only the last one may
be missing::

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

CONFIG_ENVIRONMENT_VARIABLE = "CASSIASAIL_CONFIG"
DEFAULT_CONFIG_PATH = Path(".config/cassiasail.ini")
DEFAULT_TIMEOUT = "5s"

_SECTION_NAME = "cassiasail"
_SETTING_KEYS = ("store", "daemons", "timeout")
_ADDRESS_PATTERN = re.compile(r"[A-Za-z0-9.-]+:[0-9]{1,5}|\[[0-9A-Fa-f:]+\]:[0-9]{1,5}")


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
    """Raises ``CommandError`` instead of exiting, so that errors can be JSON too."""

    def error(self, message: str) -> NoReturn:
        raise usage_error(message)


def parse_shared_options(
    arguments: Sequence[str], environ: Mapping[str, str], home: Path
) -> tuple[Options, list[str]]:
    """Return the shared options, from any position, and the remaining arguments."""
    parser = _Parser(add_help=False, allow_abbrev=False)
    for key in (*_SETTING_KEYS, "config"):
        parser.add_argument(f"--{key}")
    parser.add_argument("--json", action="store_true")
    parsed, remaining = parser.parse_known_args(arguments)
    text_by_key = _read_config(parsed.config, environ, home)
    for key in _SETTING_KEYS:
        if getattr(parsed, key) is not None:
            text_by_key[key] = getattr(parsed, key)
    store = text_by_key.get("store", "").strip()
    daemons = [item.strip() for item in text_by_key.get("daemons", "").split(",")]
    options = Options(
        store=check_address("store", store) if store else "",
        daemons=tuple(check_address("daemons", item) for item in daemons if item),
        timeout=_parse_timeout(text_by_key.get("timeout", DEFAULT_TIMEOUT)),
        json=parsed.json,
    )
    return options, remaining


def check_address(name: str, address: str) -> str:
    """Return ``address``, or raise ``CommandError`` if it is not HOST:PORT."""
    port = address.rpartition(":")[2]
    if _ADDRESS_PATTERN.fullmatch(address) and 0 < int(port) < 65536:
        return address
    raise usage_error(f"{name}: {address!r} is not an address; write HOST:PORT")


def usage_error(message: str) -> CommandError:
    """Return the error for wrong arguments or settings."""
    return CommandError(message, exit_code=ExitCode.USAGE)


def _read_config(
    option: str | None, environ: Mapping[str, str], home: Path
) -> dict[str, str]:
    """Return the settings of the file; none if the default file does not exist."""
    explicit_path = option or environ.get(CONFIG_ENVIRONMENT_VARIABLE)
    path = Path(explicit_path) if explicit_path else home / DEFAULT_CONFIG_PATH
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except OSError as error:
        if explicit_path is None:
            return {}
        raise usage_error(f"cannot read {path}: {error.strerror}; correct the path")
    except (configparser.Error, UnicodeDecodeError) as error:
        reason = str(error).replace("\n", " ")
        raise usage_error(f"{path} is not an INI file: {reason}")
    if not parser.has_section(_SECTION_NAME):
        raise usage_error(f"{path} has no section [{_SECTION_NAME}]; add it")
    values = dict(parser.items(_SECTION_NAME))
    for key in values:
        if key not in _SETTING_KEYS:
            known = ", ".join(_SETTING_KEYS)
            raise usage_error(f"{path}: unknown key {key!r}; use {known}")
    return values


def _parse_timeout(text: str) -> float:
    seconds = parse_seconds(text.strip())
    if isinstance(seconds, BadValue):
        raise usage_error(f"timeout {seconds.problem}; {seconds.remedy}")
    if not 0 < seconds <= 600:
        raise usage_error("timeout must be above 0s and at most 600s")
    return seconds
