"""Memory slopes for the capacity page: what one more item of each kind costs.

Each slope is the growth of resident memory of this process over many items, so it
includes the allocator's overhead. Connections are counted per end.
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
from cassiasail._internal.transport.peers import (
    CallPool,
    ControlLinks,
    LocalPeer,
    start_listener,
)
from cassiasail._internal.transport.shaping import RegionLink

from .bench_fleet import bare_imports_mb, bench_rows, resident_mb

LINKS = 200
RECORDS = 2800
ALLOWANCES = 2000


# Everything built stays alive: freed memory would serve the next measurement and hide
# its growth.
_kept: list[Any] = []


def growth_bytes(build: Callable[[], Any]) -> float:
    """Return by how many bytes the process grows while ``build`` runs."""
    gc.collect()
    before = resident_mb("self")
    _kept.append(build())
    gc.collect()
    return (resident_mb("self") - before) * 1024 * 1024


def build_members() -> MemberTable:
    """Return a table of 2,800 members with one target each."""
    table = MemberTable(own_record=_record(0))
    for number in range(1, RECORDS):
        table.merge(_record(number), now=0.0)
    return table


def _record(number: int) -> MemberRecord:
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
    """Return the lists of the fleet bench with their route table."""
    lists = lists_from_rows(bench_rows())
    table = compile_routes(lists, version=Version(1))
    assert isinstance(table, RouteTable)
    return lists, table


def build_holdings() -> TokenCache:
    """Return a cache with an entry for each of many allowances."""
    cache = TokenCache(clock=SystemClock(), permit_validity=10.0)
    for number in range(ALLOWANCES):
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


class _Peers:
    """Two daemons' transports in this process, with many links between them."""

    def __init__(self) -> None:
        self.opened = 0
        self.links = self._control("127.0.0.1:1")
        self.server: Server | None = None

    def _control(self, daemon: str) -> ControlLinks:
        def opened(*_: Any) -> None:
            self.opened += 1

        return ControlLinks(
            local=_local(daemon),
            on_open=opened,
            on_message=lambda *_: None,
            on_close=lambda *_: None,
            on_dial_failed=lambda *_: None,
        )

    async def open(self, count: int) -> None:
        """Open ``count`` links and wait until both ends of each are up."""
        local = _local("127.0.0.1:2")
        pool = CallPool(
            local=local,
            serve_call=_no_calls,
            serve_request=_no_calls,
            load_report_for=lambda head: None,
        )
        self.server = await start_listener(
            "127.0.0.1:47113", local=local, control=self._control("b"), calls=pool
        )
        async with asyncio.timeout(30):
            for number in range(1, count + 1):
                self.links.dial("127.0.0.1:47113")
                while self.opened < 2 * number:
                    await asyncio.sleep(0.005)


def _local(daemon: str) -> LocalPeer:
    link = RegionLink(delay=0, rate=0)
    return LocalPeer(daemon=DaemonId(daemon), region=Region("r"), link=link)


async def _no_calls(head: CallHead | Any, *_: Any) -> Any:
    raise RuntimeError("no calls are served here")


async def link_bytes() -> float:
    """Return the bytes of one end of a control link."""
    peers = _Peers()
    gc.collect()
    before = resident_mb("self")
    await peers.open(LINKS)
    gc.collect()
    return (resident_mb("self") - before) * 1024 * 1024 / (2 * LINKS)


def modules_mb() -> float:
    """Return the resident memory of an interpreter with the daemon's modules."""
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
    """Return all figures."""
    members = growth_bytes(build_members) / RECORDS
    lists = growth_bytes(build_lists)
    holdings = growth_bytes(build_holdings) / ALLOWANCES
    rows = len(_kept[1][0].rows_by_key)
    return {
        "one member with a target, bytes": members,
        "one row of the lists with its route table, bytes": lists / rows,
        "one allowance in use, bytes": holdings,
        "one end of a link, bytes": asyncio.run(link_bytes()),
        "bare imports, MB": bare_imports_mb(),
        "with the daemon's modules, MB": modules_mb(),
    }


def main() -> None:
    """Run as a program."""
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
