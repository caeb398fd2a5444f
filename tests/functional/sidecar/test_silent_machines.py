"""Machines that are silent or slow to report for a while, with work running on them."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from cassiasail._internal.protocol.exchanges import Address, ExchangeFailed
from cassiasail._internal.protocol.http1 import HttpResponse
from devtools.platform_stand_in import HOST, PlatformStore, Sidecar, route
from devtools.reservations import reserve_port
from devtools.soak.proxy import LinkMode, LoopbackProxy
from tests.lib.sidecar_mesh import (
    HeldRequests,
    plain_sidecars,
    run,
    sidecar_mesh,
    status_of,
    until,
)

# Longer than the four heartbeats after which a target counts as silent.
SILENT_SECONDS = 1.3
SLOTS = 4
QUEUED = 2
# Far longer than a test takes, so that no request ends by its time-out.
TIMEOUT_SECONDS = 25.0
ROUTES = {
    name: route("one", prefix=f"/{name}/", kind=kind, timeoutMs=20000, sloMs=20000)
    for name, kind in (("one", "safe"), ("orders", "unsafe"))
} | {"two": route("two")}

Fault = Callable[[Sidecar, Sidecar, LoopbackProxy], Awaitable[None]]
Requests = dict[str, "asyncio.Task[HttpResponse | ExchangeFailed]"]


async def pause(sidecar: Sidecar) -> None:
    sidecar.signal(signal.SIGSTOP)
    await asyncio.sleep(SILENT_SECONDS)
    sidecar.signal(signal.SIGCONT)


async def pause_host(one: Sidecar, two: Sidecar, link: LoopbackProxy) -> None:
    """Suspend the daemon beside the target that runs the requests."""
    await pause(one)


async def pause_entry(one: Sidecar, two: Sidecar, link: LoopbackProxy) -> None:
    """Suspend the daemon that took the requests from the clients."""
    await pause(two)


async def cut_store(one: Sidecar, two: Sidecar, link: LoopbackProxy) -> None:
    """Cut the daemon beside the target off the store."""
    link.set_mode(LinkMode.RESET)
    await asyncio.sleep(SILENT_SECONDS)
    link.set_mode(LinkMode.NORMAL)


async def hold_heartbeats(one: Sidecar, two: Sidecar, link: LoopbackProxy) -> None:
    """Send no heartbeats until other daemons know that the target is silent."""
    one.stop_heartbeats()
    await two.wait_for_ready_targets(1)
    one.start_heartbeats()


def send(entry: Sidecar, name: str, number: int) -> Requests:
    """Send ``number`` requests, half of them unsafe; return them by attempt id."""
    return {
        f"{name}-{each}": asyncio.create_task(
            entry.get(
                f"/one/{each}" if each % 2 else f"/orders/{each}",
                attempt=f"{name}-{each}",
                method="GET" if each % 2 else "POST",
                timeout=TIMEOUT_SECONDS,
                deadline=TIMEOUT_SECONDS,
            )
        )
        for each in range(number)
    }


@pytest.mark.parametrize(
    ("fault", "queued"),
    [
        (pause_host, QUEUED),
        (pause_entry, QUEUED),
        (cut_store, QUEUED),
        # The queue of a target that counts as silent is refused; others may serve it.
        (hold_heartbeats, 0),
    ],
)
def test_work_on_a_silent_machine_is_neither_given_up_nor_repeated(
    tmp_path: Path, fault: Fault, queued: int
) -> None:
    """Guards against work that is lost, or started again, while its machine is silent.

    Requests that run and requests that wait for a slot are all answered, and each runs
    once. The target gets no more requests at a time than it has slots when its daemon
    hears of it again.
    """
    links: list[LoopbackProxy] = []

    def sidecars(store: PlatformStore) -> list[Sidecar]:
        one, two = plain_sidecars("one", "two")(store)
        one.store_address = Address(HOST, reserve_port())
        links.append(LoopbackProxy(listen=one.store_address, server=store.address))
        return [one, two]

    async def main() -> None:
        held = HeldRequests()
        async with sidecar_mesh(tmp_path, sidecars, routes=ROUTES, links=links) as (
            _,
            (one, two),
        ):
            held.serve_targets_of(one, two)
            requests = send(two, "running", SLOTS)
            await until(lambda: len(held.runs_by_attempt_id) == SLOTS)
            requests |= send(two, "queued", queued)
            await asyncio.sleep(0.2)
            await fault(one, two, links[0])
            await two.wait_for_ready_targets(2)
            requests |= send(two, "later", SLOTS)
            await asyncio.sleep(0.5)
            assert held.most_running == SLOTS
            held.release.set()
            statuses = {name: status_of(await each) for name, each in requests.items()}
            assert set(statuses.values()) == {200}, statuses
            runs = {name: len(each) for name, each in held.runs_by_attempt_id.items()}
            assert runs == dict.fromkeys(requests, 1)

    run(main)
