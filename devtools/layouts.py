"""Test layouts: their VMs, with the location and service of each.

Each VM has a separate loopback address, 127.NET.CENTRE.VM, so that all daemons use
the same ports, as on real VMs.
"""

import itertools
from dataclasses import dataclass

PEER_PORT = 7000
HTTP_PORT = 8080
ADMIN_PORT = 9090
TARGET_PORT = 8000
STORE_PORT = 6000


@dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """One VM with its daemon and target."""

    name: str
    region: str
    data_centre: str
    ip: str
    service: str
    slots: int

    @property
    def peer(self) -> str:
        return f"{self.ip}:{PEER_PORT}"

    @property
    def http(self) -> str:
        return f"{self.ip}:{HTTP_PORT}"

    @property
    def admin(self) -> str:
        return f"{self.ip}:{ADMIN_PORT}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """A deployment; ``region_delay_ms`` is the one-way delay between regions.

    Each process may use all of ``region_mbit``: one relay carries the control traffic
    of its region, and an equal share per process would only slow it down.
    """

    name: str
    vms: tuple[Vm, ...]
    store: str
    store_region: str
    region_delay_ms: float
    region_mbit: float

    @property
    def data_centres(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys(vm.data_centre for vm in self.vms))

    def settings_of(self, vm: Vm, *, seeds: int = 3, extra: str = "") -> str:
        """Return the INI settings of the daemon on ``vm``."""
        others = [other.peer for other in self.vms if other is not vm]
        return f"""\
[daemon]
region = {vm.region}
data_centre = {vm.data_centre}
peer_address = {vm.peer}
http_address = {vm.http}
admin_address = {vm.admin}
[store]
address = {self.store}
region = {self.store_region}
[fleet]
data_centres = {", ".join(self.data_centres)}
seeds = {", ".join(others[:seeds])}
[emulation]
region_delay_ms = {self.region_delay_ms}
region_mbit = {self.region_mbit}
{extra}"""


# Data centres with their regions, number of VMs by service, and slots of each target.
_UTILITY = (
    (
        ("kzn-1", "kzn-coast"),
        ("kzn-2", "kzn-coast"),
        ("ec-1", "ec-coast"),
        ("ec-2", "ec-coast"),
    ),
    (("outlook-svc", 4), ("array-ctl", 4), ("tide-svc", 5)),
    9,
)
_FOUNDATION = (
    (
        ("bogota-1", "andina"),
        ("bogota-2", "andina"),
        ("medellin-1", "antioquia"),
        ("medellin-2", "antioquia"),
    ),
    (("conteos", 4), ("certificados", 4), ("series", 5)),
    18,
)
_DEPLOYMENT_BY_NAME = {"utility": _UTILITY, "foundation": _FOUNDATION}


def build_layout(name: str, *, net: int) -> Layout:
    """Return the utility's or the foundation's layout of 13 VMs."""
    centres, services, slots = _DEPLOYMENT_BY_NAME[name]
    service_of_each_vm = itertools.chain.from_iterable(
        itertools.repeat(service, count) for service, count in services
    )
    return _assemble_layout(name, centres, list(service_of_each_vm), slots, net)


def scaled_layout(name: str, *, count: int, net: int) -> Layout:
    """Return a layout of ``count`` VMs in the data centres of ``name``."""
    centres, services, slots = _DEPLOYMENT_BY_NAME[name]
    names = [service for service, _ in services]
    service_of_each_vm = [names[index % len(names)] for index in range(count)]
    return _assemble_layout(name, centres, service_of_each_vm, slots, net)


def _assemble_layout(
    name: str,
    centres: tuple[tuple[str, str], ...],
    service_of_each_vm: list[str],
    slots: int,
    net: int,
) -> Layout:
    def build_vm(index: int, service: str) -> Vm:
        centre = index % len(centres)
        number = index // len(centres) + 1
        data_centre, region = centres[centre]
        return Vm(
            name=f"{service}-{index + 1}",
            region=region,
            data_centre=data_centre,
            ip=f"127.{net}.{centre + 1}.{number}",
            service=service,
            slots=slots,
        )

    vms = tuple(
        build_vm(index, service) for index, service in enumerate(service_of_each_vm)
    )
    return Layout(
        name=name,
        vms=vms,
        store=f"127.{net}.0.1:{STORE_PORT}",
        store_region=centres[0][1],
        region_delay_ms=12.0,
        region_mbit=30.0,
    )
