"""Targets that have left and heartbeats that arrive after a restart of their daemon."""

import asyncio
import copy
import signal
from pathlib import Path

import pytest
from aiohttp import web

from devtools.platform_stand_in import Sidecar
from tests.lib.sidecar_mesh import (
    plain_sidecars,
    run,
    sidecar_mesh,
    status_of,
    until,
)

# Heartbeats from before a restart that arrive behind it, one after the other.
LATE_HEARTBEATS = 3
# Requests that look for a target that is in use again, and the time between two.
REQUESTS = 15
INTERVAL_SECONDS = 0.05


async def kill(sidecar: Sidecar) -> None:
    """Kill the daemon of ``sidecar`` and wait for its end."""
    assert sidecar.process is not None
    sidecar.signal(signal.SIGKILL)
    await sidecar.process.wait()


async def acknowledged(sidecar: Sidecar, seconds: float = 10, **changes: str) -> None:
    """Send heartbeats until one is acknowledged."""
    async with asyncio.timeout(seconds):
        while status_of(await sidecar.send_heartbeat(**changes)) != 200:
            await asyncio.sleep(0.05)


async def send_requests(*entries: Sidecar) -> None:
    for number in range(REQUESTS):
        for entry in entries:
            attempt = f"{entry.name}-{number}"
            await entry.get(f"/one/{number}", attempt=attempt)
            await entry.get(f"/orders/{number}", attempt=f"o{attempt}", method="POST")
        await asyncio.sleep(INTERVAL_SECONDS)


@pytest.mark.parametrize("stored", [False, True])
def test_late_heartbeats_do_not_return_a_target_that_left(
    tmp_path: Path, stored: bool
) -> None:
    """Guards against requests to a target whose leaving was acknowledged.

    Its daemon was killed behind the acknowledgement and started again while the store
    was away; heartbeats from before the leaving arrived then. The leaving was
    ``stored``, or known only to the killed daemon. In the first case the target passes
    its health check until its end.
    """

    async def main() -> None:
        async with sidecar_mesh(tmp_path, plain_sidecars("one", "one")) as (store, vms):
            one, two = vms
            one.stop_heartbeats()
            store.down = not stored
            one.health_check_always_ready = stored
            one.state = "draining"
            await acknowledged(one)
            await kill(one)
            store.down = True
            one.received.clear()
            await one.start_daemon(tmp_path)
            for _ in range(LATE_HEARTBEATS):
                await acknowledged(one, state="ready")
            await send_requests(two)
            store.down = False
            await one.wait_until_ready()
            await one.send_heartbeat(state="ready")
            await send_requests(one, two)
            assert one.received == []
            assert two.received != []

    run(main)


def test_late_heartbeats_do_not_return_a_replaced_target(tmp_path: Path) -> None:
    """Guards against requests that name a former target at the same address.

    The daemon restarts behind the replacement, and late heartbeats of the former target
    are the first that it gets.
    """
    named: list[str] = []

    async def main() -> None:
        async with sidecar_mesh(tmp_path, plain_sidecars("one", "two")) as (store, vms):
            one, two = vms
            former = copy.copy(one)

            async def handle(request: web.Request) -> web.StreamResponse:
                named.append(request.headers["X-Cassiasail-Target-Instance"])
                status = 200 if named[-1] == one.target_id else 421
                return one.platform_response(request, "", status=status)

            one.handle_request = handle
            one.stop_heartbeats()
            one.target_id, one.start_time_ms = "i-successor", 2
            await acknowledged(one)
            await until(lambda: b"i-successor" in store.value("hosts", one.name))
            await kill(one)
            await one.start_daemon(tmp_path)
            for _ in range(LATE_HEARTBEATS):
                await acknowledged(former)
            await one.wait_until_ready()
            await send_requests(one, two)
            assert set(named) == {"i-successor"}

    run(main)
