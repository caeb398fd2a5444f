"""Settings of a sidecar from the platform's file."""

import tomllib
from dataclasses import dataclass
from typing import Any

from .._internal.ids import DataCentre, Region, ServiceName
from .._internal.protocol.exchanges import Address, parse_address
from ..exceptions import SettingsError
from . import fields

# The environment variable that holds the path of the file.
PATH_VARIABLE = "CASSIASAIL_BOOT"


@dataclass(frozen=True, slots=True, kw_only=True)
class SidecarSettings:
    """What the platform tells a sidecar; times in seconds.

    ``address`` is the IPv4 address of this VM. ``clients`` is where clients and the
    target of this VM send requests, ``peers`` where other daemons do, ``reports``
    where the target reports.
    ``drain`` is the time after which an acknowledged leaving target gets nothing
    more, ``grace`` the time between SIGTERM and SIGKILL, ``config_apply`` the time
    within which a configuration must be in force. ``link_mbps`` is the rate of the
    link of this VM in Mbit/s; ``first_start`` if the whole system has never run.
    """

    host: str
    address: str
    data_centre: DataCentre
    region: Region
    service: ServiceName
    target: Address
    clients: Address
    peers: Address
    readiness: Address
    reports: Address
    store: Address
    report_interval: float
    drain: float
    grace: float
    config_apply: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    link_mbps: float
    first_start: bool


def decode_settings(document: bytes) -> SidecarSettings:
    """Return the settings in ``document``; SettingsError names all faults."""
    try:
        tables = tomllib.loads(document.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([f"the settings file is not TOML: {error}"]) from error
    faults: list[str] = []

    def read(reader: Any, path: str) -> Any:
        *outer, name = path.split("/")
        try:
            document: Any = tables
            for each in outer:
                document = fields.table(document, each)
            return reader(document, name)
        except (fields.MalformedError, ValueError) as error:
            faults.append(f"{path.replace('/', '.')}: {error}; correct the settings")
            return None

    listen, bounds = "network/listenAddrs", "terms/bounds"
    values = {
        "host": read(fields.text, "self/node"),
        "address": read(fields.text, "self/bindIp"),
        "data_centre": read(_data_centre, "self/zone"),
        "region": read(_region, "self/region"),
        "service": read(_service, "self/service"),
        "target": read(_address, "self/appAddr"),
        "clients": read(_address, f"{listen}/outbound"),
        "peers": read(_address, f"{listen}/inbound"),
        "readiness": read(_address, f"{listen}/readiness"),
        "reports": read(_address, f"{listen}/admin"),
        "store": read(_address, "platform/platform/address"),
        "report_interval": read(fields.seconds, "platform/heartbeatMs"),
        "drain": read(fields.seconds, f"{bounds}/drainMs"),
        "grace": read(fields.number, f"{bounds}/graceS"),
        "config_apply": read(fields.seconds, f"{bounds}/configApplyMs"),
        "retry_ratio": read(fields.number, f"{bounds}/retryBudgetRatio"),
        "retry_slack": read(fields.number, f"{bounds}/budgetSlack"),
        "retry_window": read(fields.number, f"{bounds}/budgetWindowS"),
        "first_start": read(_flag, "self/bootstrap"),
        "link_mbps": read(fields.number, "self/limits/linkMbps"),
    }
    if faults:
        raise SettingsError(faults)
    return SidecarSettings(**values)


def _address(document: Any, name: str) -> Address:
    return parse_address(fields.text(document, name))


def _data_centre(document: Any, name: str) -> DataCentre:
    return DataCentre(fields.text(document, name))


def _region(document: Any, name: str) -> Region:
    return Region(fields.text(document, name))


def _service(document: Any, name: str) -> ServiceName:
    return ServiceName(fields.text(document, name))


def _flag(document: Any, name: str) -> bool:
    return document.get(name) is True
