"""Settings of ``cassiasaild``: an INI file, validated as a whole before the start."""

import configparser
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..exceptions import SettingsError
from .ids import DataCentre, Region

_NAME = re.compile(r"[A-Za-z0-9._-]+\Z")
_ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})\Z")


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingSpec:
    """One key of the settings file.

    ``parse`` raises ``ValueError`` for a value that is not allowed; ``allowed``
    describes the allowed ones. A key without ``default`` is required.
    """

    section: str
    key: str
    parse: Callable[[str], Any]
    default: str | None
    allowed: str
    description: str


def parse_name(text: str) -> str:
    """Return ``text`` if it has only letters, digits, dots, underscores and hyphens."""
    if not _NAME.match(text):
        raise ValueError(text)
    return text


def parse_address(text: str) -> str:
    """Return ``text`` if it is an IPv4 address with a port, as in ``10.0.0.1:7000``."""
    match = _ADDRESS.match(text)
    if match is None or not 0 < int(match[2]) < 65536:
        raise ValueError(text)
    if any(int(part) > 255 for part in match[1].split(".")):
        raise ValueError(text)
    return text


def _parse_list(item: Callable[[str], str]) -> Callable[[str], tuple[str, ...]]:
    def parse(text: str) -> tuple[str, ...]:
        parts = (part.strip() for part in text.split(","))
        return tuple(item(part) for part in parts if part)

    return parse


def _number_between(low: float, high: float) -> Callable[[str], float]:
    def parse(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    return parse


def _integer_between(low: int, high: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    return parse


def _spec(
    section: str,
    key: str,
    parse: Callable[[str], Any],
    default: str | None,
    allowed: str,
    description: str,
) -> SettingSpec:
    return SettingSpec(
        section=section,
        key=key,
        parse=parse,
        default=default,
        allowed=allowed,
        description=description,
    )


_ADDRESS_ALLOWED = "IPv4 address and port, such as 10.0.0.1:7000"
_NAMES_ALLOWED = "names separated by commas"

SPECS: tuple[SettingSpec, ...] = (
    _spec("daemon", "region", parse_name, None, "a name", "Region of this VM."),
    _spec(
        "daemon", "data_centre", parse_name, None, "a name", "Data centre of this VM."
    ),
    _spec(
        "daemon",
        "peer_address",
        parse_address,
        None,
        _ADDRESS_ALLOWED,
        "Listener for other daemons; also the id of this daemon.",
    ),
    _spec(
        "daemon",
        "http_address",
        parse_address,
        None,
        _ADDRESS_ALLOWED,
        "Listener for callers and for the target beside this daemon.",
    ),
    _spec(
        "daemon",
        "admin_address",
        parse_address,
        None,
        _ADDRESS_ALLOWED,
        "Listener for metrics, health checks and operators.",
    ),
    _spec(
        "store",
        "address",
        parse_address,
        None,
        _ADDRESS_ALLOWED,
        "The platform's store.",
    ),
    _spec(
        "store", "region", parse_name, None, "a name", "Region of the platform's store."
    ),
    _spec(
        "store",
        "timeout",
        _number_between(0.05, 60),
        "2",
        "0.05 to 60 seconds",
        "Timeout of one request to the store.",
    ),
    _spec(
        "store",
        "rate",
        _number_between(0.1, 1000),
        "20",
        "0.1 to 1000 requests/s",
        "Limit of this daemon's store requests for control.",
    ),
    _spec(
        "store",
        "claim_rate",
        _number_between(0.1, 1000),
        "40",
        "0.1 to 1000 requests/s",
        "Limit of this daemon's store requests for idempotency claims.",
    ),
    _spec(
        "fleet",
        "data_centres",
        _parse_list(parse_name),
        None,
        _NAMES_ALLOWED,
        "All data centres of the fleet; allowances are divided among them.",
    ),
    _spec(
        "fleet",
        "seeds",
        _parse_list(parse_address),
        "",
        "addresses separated by commas",
        "Peer addresses that this daemon connects to first when it starts.",
    ),
    _spec(
        "fleet",
        "fan_out",
        _integer_between(2, 256),
        "24",
        "2 to 256 links",
        "Maximum number of children of one relay.",
    ),
    _spec(
        "limits",
        "max_deadline",
        _number_between(0.1, 3600),
        "10",
        "0.1 to 3600 seconds",
        "Maximum time from the arrival of a call to its deadline.",
    ),
    _spec(
        "limits",
        "max_body",
        _integer_between(0, 1 << 40),
        "67108864",
        "0 to 2**40 bytes",
        "Maximum length of a request body; plans cannot raise it.",
    ),
    _spec(
        "limits",
        "max_calls",
        _integer_between(1, 100000),
        "2000",
        "1 to 100000 calls",
        "Maximum number of calls in flight at this daemon.",
    ),
    _spec(
        "limits",
        "queue",
        _integer_between(1, 100000),
        "200",
        "1 to 100000 calls",
        "Maximum number of calls in the queue of one target.",
    ),
    _spec(
        "quota",
        "shards_per_data_centre",
        _integer_between(1, 64),
        "4",
        "1 to 64 shards, the same on every daemon",
        "Quota shards of one data centre.",
    ),
    _spec(
        "quota",
        "term",
        _number_between(1, 86400),
        "3600",
        "1 to 86400 seconds, the same on every daemon",
        "Time for which a quota shard lease lasts without confirmation by the store.",
    ),
    _spec(
        "link",
        "budget_mbit",
        _number_between(0.1, 100000),
        "30",
        "0.1 to 100000 Mbit/s",
        "Bandwidth to other regions that the daemons of a region share for calls.",
    ),
    _spec(
        "emulation",
        "region_delay_ms",
        _number_between(0, 1000),
        "0",
        "0 to 1000 ms",
        "Delay added to each message to another region; for test layouts.",
    ),
    _spec(
        "emulation",
        "region_mbit",
        _number_between(0, 100000),
        "0",
        "0 (unlimited) to 100000 Mbit/s",
        "Bandwidth of this process to other regions; for test layouts.",
    ),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings, with the units given in ``SPECS``."""

    region: Region
    data_centre: DataCentre
    peer_address: str
    http_address: str
    admin_address: str
    store_address: str
    store_region: Region
    store_timeout: float
    store_rate: float
    store_claim_rate: float
    fleet_data_centres: tuple[str, ...]
    fleet_seeds: tuple[str, ...]
    fleet_fan_out: int
    limits_max_deadline: float
    limits_max_body: int
    limits_max_calls: int
    limits_queue: int
    quota_shards_per_data_centre: int
    quota_term: float
    link_budget_mbit: float
    emulation_region_delay_ms: float
    emulation_region_mbit: float


def load(path: Path) -> Settings:
    """Return the settings in the file ``path``.

    Raises ``SettingsError`` with all faults.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            [f"{path}: {error}; name a readable file with --config"]
        ) from None
    return parse(text)


def parse(text: str) -> Settings:
    """Return the settings in ``text``.

    Raises ``SettingsError`` with all faults.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise SettingsError([f"not a valid INI file: {error}"]) from None
    values: dict[str, Any] = {}
    faults = list(_unknown_keys(parser))
    for spec in SPECS:
        raw = parser.get(spec.section, spec.key, fallback=spec.default)
        try:
            values[_field_name(spec)] = _parse_value(spec, raw)
        except ValueError:
            faults.append(_fault_text(spec, raw))
    if not faults:
        faults.extend(_conflicts(values))
    if faults:
        raise SettingsError(faults)
    return Settings(**values)


def _field_name(spec: SettingSpec) -> str:
    """Return the name of the field of ``Settings`` for a key."""
    return spec.key if spec.section == "daemon" else f"{spec.section}_{spec.key}"


def _parse_value(spec: SettingSpec, raw: str | None) -> Any:
    if raw is None:
        raise ValueError(spec.key)
    return spec.parse(raw.strip())


def _fault_text(spec: SettingSpec, raw: str | None) -> str:
    found = "absent" if raw is None else repr(raw)
    return f"[{spec.section}] {spec.key}: {found}; allowed: {spec.allowed}"


def _unknown_keys(parser: configparser.ConfigParser) -> Iterator[str]:
    """Yield a fault for each section and key that is not in ``SPECS``."""
    known_keys = {(spec.section, spec.key) for spec in SPECS}
    known_sections = {spec.section for spec in SPECS}
    for section in parser.sections():
        if section not in known_sections:
            names = ", ".join(sorted(known_sections))
            yield f"[{section}]: unknown section; allowed: {names}"
            continue
        for key, value in parser.items(section):
            if (section, key) not in known_keys:
                allowed = sorted(name for other, name in known_keys if other == section)
                yield (
                    f"[{section}] {key}: unknown key with value {value!r}; "
                    f"allowed: {', '.join(allowed)}"
                )


def _conflicts(values: dict[str, Any]) -> Iterator[str]:
    """Yield the faults of settings that are valid each but not together."""
    names = values["fleet_data_centres"]
    if values["data_centre"] not in names:
        yield (
            f"[fleet] data_centres: {', '.join(names)!r}; "
            f"allowed: a list with this daemon's {values['data_centre']!r}"
        )
    if len(set(names)) != len(names):
        yield "[fleet] data_centres: a name is repeated; allowed: each name once"
