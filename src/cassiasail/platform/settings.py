"""Settings of a sidecar, decoded from the platform's settings file."""

import tomllib
from dataclasses import dataclass
from typing import Any

from .._internal.ids import DataCentre, Region, ServiceName
from .._internal.state.addresses import Address, parse_address
from ..exceptions import SettingsError
from . import fields

# The environment variable that holds the path of the file.
PATH_VARIABLE = "CASSIASAIL_BOOT"
# Limits of the smallest VM in use, for settings that name none.
DEFAULT_MEMORY_MB = 200.0
DEFAULT_MAX_DESCRIPTORS = 4096
# Descriptors of a process that the platform reserves for files; the rest is for
# sockets. A smaller process has half for each.
FILE_DESCRIPTORS = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class SidecarSettings:
    """Settings of one sidecar.

    Addresses: ``vm_address`` is the IPv4 address of this VM. Clients and the target of
    this VM send requests to ``clients_address``, other daemons to ``peers_address``,
    and the target sends heartbeats to ``heartbeats_address``.

    Times: a leaving target whose notice was acknowledged gets no more requests after
    ``drain_seconds``; ``shutdown_grace_seconds`` lie between SIGTERM and SIGKILL; a new
    configuration must be applied within ``config_apply_seconds``.

    ``link_mbps`` is the rate of the network link of this VM in Mbit/s, ``memory_mb``
    its memory in MB and ``max_descriptors`` the sockets that a process may open;
    ``first_start`` is true if the whole system has never run.
    """

    host: str
    vm_address: str
    data_centre: DataCentre
    region: Region
    service: ServiceName
    target_address: Address
    clients_address: Address
    peers_address: Address
    readiness_address: Address
    heartbeats_address: Address
    store_address: Address
    heartbeat_interval_seconds: float
    drain_seconds: float
    shutdown_grace_seconds: float
    config_apply_seconds: float
    retry_ratio: float
    retry_slack: float
    retry_window_seconds: float
    link_mbps: float
    memory_mb: float
    max_descriptors: int
    first_start: bool


def decode_settings(document: bytes) -> SidecarSettings:
    """Return the settings in ``document``; SettingsError names all faults."""
    try:
        tables = tomllib.loads(document.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(
            [f"the settings file is not valid TOML: {error}"]
        ) from error
    faults: list[str] = []

    def read(reader: Any, path: str) -> Any:
        *outer, name = path.split("/")
        try:
            document: Any = tables
            for table_name in outer:
                document = fields.table(document, table_name)
            return reader(document, name)
        except (fields.MalformedError, ValueError) as error:
            faults.append(f"{path.replace('/', '.')}: {error}; correct the settings")
            return None

    listen, bounds = "network/listenAddrs", "terms/bounds"
    values = {
        "host": read(fields.text, "self/node"),
        "vm_address": read(fields.text, "self/bindIp"),
        "data_centre": read(_read_data_centre, "self/zone"),
        "region": read(_read_region, "self/region"),
        "service": read(_read_service, "self/service"),
        "target_address": read(_read_address, "self/appAddr"),
        "clients_address": read(_read_address, f"{listen}/outbound"),
        "peers_address": read(_read_address, f"{listen}/inbound"),
        "readiness_address": read(_read_address, f"{listen}/readiness"),
        "heartbeats_address": read(_read_address, f"{listen}/admin"),
        "store_address": read(_read_address, "platform/platform/address"),
        "heartbeat_interval_seconds": read(fields.seconds, "platform/heartbeatMs"),
        "drain_seconds": read(fields.seconds, f"{bounds}/drainMs"),
        "shutdown_grace_seconds": read(fields.number, f"{bounds}/graceS"),
        "config_apply_seconds": read(fields.seconds, f"{bounds}/configApplyMs"),
        "retry_ratio": read(fields.number, f"{bounds}/retryBudgetRatio"),
        "retry_slack": read(fields.number, f"{bounds}/budgetSlack"),
        "retry_window_seconds": read(fields.number, f"{bounds}/budgetWindowS"),
        "first_start": read(_read_flag, "self/bootstrap"),
        "link_mbps": read(fields.number, "self/limits/linkMbps"),
        "memory_mb": read(_read_memory, "self/limits"),
        "max_descriptors": read(_read_descriptors, "self/limits"),
    }
    if faults:
        raise SettingsError(faults)
    return SidecarSettings(**values)


def _read_address(document: Any, name: str) -> Address:
    return parse_address(fields.text(document, name))


def _read_data_centre(document: Any, name: str) -> DataCentre:
    return DataCentre(fields.text(document, name))


def _read_region(document: Any, name: str) -> Region:
    return Region(fields.text(document, name))


def _read_service(document: Any, name: str) -> ServiceName:
    return ServiceName(fields.text(document, name))


def _read_memory(document: Any, name: str) -> float:
    limits = fields.table(document, name)
    if "memoryMb" not in limits:
        return DEFAULT_MEMORY_MB
    return fields.number(limits, "memoryMb")


def _read_descriptors(document: Any, name: str) -> int:
    limits = fields.table(document, name)
    if "maxFds" not in limits:
        return DEFAULT_MAX_DESCRIPTORS
    descriptors = fields.integer(limits, "maxFds", 1)
    return max(descriptors - FILE_DESCRIPTORS, descriptors // 2)


def _read_flag(document: Any, name: str) -> bool:
    return document.get(name) is True
