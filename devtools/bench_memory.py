"""Measures the memory that one more item of each kind needs, for capacity planning.

Each figure is the growth of this process's resident memory over many items, divided
by their number, so it includes the allocator's overhead. The figure of a connection
is that of one of its two ends.
"""

import argparse
import asyncio
import gc
import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from websockets.asyncio.server import Server

from cassiasail._internal.clock import SystemClock
from cassiasail._internal.ids import (
    CustomerId,
    DaemonId,
    DataCentre,
    PlanId,
    Region,
    RoutePath,
    ServiceName,
    TargetId,
    Version,
)
from cassiasail._internal.protocol.frames import CallHead
from cassiasail._internal.state.lists import Allowance, lists_from_rows
from cassiasail._internal.state.members import (
    Endpoint,
    EndpointState,
    MemberRecord,
    MemberTable,
)
from cassiasail._internal.state.routes import RouteTable, compile_routes
from cassiasail._internal.state.token_cache import TokenCache
from cassiasail._internal.transport.peer_listener import start_listener
from cassiasail._internal.transport.peers import (
    CallPool,
    ControlLinks,
    LocalPeer,
)
from cassiasail._internal.transport.shaping import RegionLink

from .bench_fleet import bare_imports_mb, bench_rows, resident_mb
from .reservations import HOST, reserve_port

LINK_COUNT = 200
RECORD_COUNT = 2800
ALLOWANCE_COUNT = 2000


# Holds a reference to everything built: the allocator would reuse freed memory for the
# next measurement, which would then show too little growth.
_retained: list[Any] = []


def growth_bytes(build: Callable[[], Any]) -> float:
    """Return the growth of resident memory, in bytes, caused by ``build``."""
    gc.collect()
    before = resident_mb("self")
    _retained.append(build())
    gc.collect()
    return (resident_mb("self") - before) * 1024 * 1024


def build_member_table() -> MemberTable:
    """Return a member table of 2,800 daemons with one target each."""
    table = MemberTable(own_record=_example_record(0))
    for number in range(1, RECORD_COUNT):
        table.merge(_example_record(number), now=0.0)
    return table


def _example_record(number: int) -> MemberRecord:
    address = f"10.0.{number // 250}.{number % 250}"
    return MemberRecord(
        id=DaemonId(f"{address}:7000"),
        incarnation=1_700_000_000_000,
        sequence=1,
        region=Region(f"region-{number % 5}"),
        data_centre=DataCentre(f"centre-{number % 11}"),
        peer_addr=f"{address}:7000",
        http_addr=f"{address}:8080",
        admin_addr=f"{address}:9090",
        endpoints=(
            Endpoint(
                service=ServiceName(f"service-{number % 130}"),
                target_id=TargetId(f"target-{number}"),
                state=EndpointState.READY,
                slots=9,
                start_time_ms=1_700_000_000_000,
            ),
        ),
    )


def build_lists() -> tuple[Any, RouteTable]:
    """Return the configuration of ``bench_fleet`` and its compiled route table."""
    lists = lists_from_rows(bench_rows())
    table = compile_routes(lists, version=Version(1))
    assert isinstance(table, RouteTable)
    return lists, table


def build_token_cache() -> TokenCache:
    """Return a token cache with entries for ``ALLOWANCE_COUNT`` allowances."""
    cache = TokenCache(clock=SystemClock(), permit_validity=10.0)
    for number in range(ALLOWANCE_COUNT):
        key = (
            CustomerId(f"customer-{number}"),
            ServiceName("service-1"),
            RoutePath("/work"),
        )
        allowance = Allowance(
            plan=PlanId("plan-1"),
            service=key[1],
            path=key[2],
            rate=50.0,
            burst=50,
            in_flight=20,
            max_body=1 << 20,
        )
        cache.get_or_add(key, allowance)
    return cache


class _ConnectedDaemons:
    """Transports of two daemons in this process, with many links between them."""

    def __init__(self) -> None:
        self.opened_ends = 0
        self.dialing_links = self._control_links("127.0.0.1:1")
        self.server: Server | None = None

    def _control_links(self, daemon: str) -> ControlLinks:
        def count_opened(*_: Any) -> None:
            self.opened_ends += 1

        return ControlLinks(
            local=_local_peer(daemon),
            on_open=count_opened,
            on_message=lambda *_: None,
            on_close=lambda *_: None,
            on_dial_failed=lambda *_: None,
        )

    async def open(self, count: int) -> None:
        """Open ``count`` links one by one; wait until both ends of each are open."""
        local = _local_peer("127.0.0.1:2")
        pool = CallPool(
            local=local,
            serve_call=_reject_call,
            serve_request=_reject_call,
            load_report_for=lambda head: None,
        )
        address = f"{HOST}:{reserve_port()}"
        self.server = await start_listener(
            address, local=local, control=self._control_links("b"), calls=pool
        )
        async with asyncio.timeout(30):
            for number in range(1, count + 1):
                self.dialing_links.dial(address)
                while self.opened_ends < 2 * number:
                    await asyncio.sleep(0.005)


def _local_peer(daemon: str) -> LocalPeer:
    link = RegionLink(delay=0, rate=0)
    return LocalPeer(daemon=DaemonId(daemon), region=Region("r"), link=link)


async def _reject_call(head: CallHead | Any, *_: Any) -> Any:
    raise RuntimeError("the memory bench serves no calls")


async def measure_link_bytes() -> float:
    """Return the growth of resident memory, in bytes, per end of a control link."""
    daemons = _ConnectedDaemons()
    gc.collect()
    before = resident_mb("self")
    await daemons.open(LINK_COUNT)
    gc.collect()
    return (resident_mb("self") - before) * 1024 * 1024 / (2 * LINK_COUNT)


def daemon_modules_mb() -> float:
    """Return the resident MB of an interpreter that imported the daemon's modules."""
    script = (
        "import cassiasail._internal.runtime\n"
        "print([line.split()[1] for line in open('/proc/self/status') "
        "if line.startswith('VmRSS')][0])"
    )
    output = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    return int(output.stdout) / 1024


def measure() -> dict[str, float]:
    """Return all figures by name; the names state the units."""
    member_bytes = growth_bytes(build_member_table) / RECORD_COUNT
    lists_bytes = growth_bytes(build_lists)
    allowance_bytes = growth_bytes(build_token_cache) / ALLOWANCE_COUNT
    row_count = len(_retained[1][0].rows_by_key)
    return {
        "one member with a target, bytes": member_bytes,
        "one row of the lists with its route table, bytes": lists_bytes / row_count,
        "one allowance in use, bytes": allowance_bytes,
        "one end of a link, bytes": asyncio.run(measure_link_bytes()),
        "bare imports, MB": bare_imports_mb(),
        "with the daemon's modules, MB": daemon_modules_mb(),
    }


def main() -> None:
    """Measure, print the figures and write them to ``--out`` if given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, help="write the figures as JSON, too")
    options = parser.parse_args()
    figures = measure()
    for name, value in figures.items():
        print(f"{name:50} {value:10.1f}")
    if options.out:
        options.out.write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
